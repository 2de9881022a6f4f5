package ledger

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sort"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

// Total is the sum of the bills of one organisation and one version or plain
// service.
type Total struct {
	Organisation     string
	Version          string
	Bills            uint64
	PromptTokens     uint64
	CompletionTokens uint64
	CostMicros       uint64
}

// totalKey identifies a Total.
type totalKey struct {
	organisation string
	version      string
}

// totals are the sums of a shard's bills up to the archived sequence number,
// except those in earlier, sealed volumes.
type totals struct {
	revision uint64
	volume   uint64
	sums     map[totalKey]Total
}

// addBill adds a bill to its sum.
func addBill(sums map[totalKey]Total, b *bronzeturnv1.LedgerBill) {
	key := totalKey{b.Organisation, b.Version}
	t := sums[key]
	t.Organisation, t.Version = b.Organisation, b.Version
	t.Bills++
	t.PromptTokens += b.PromptTokens
	t.CompletionTokens += b.CompletionTokens
	t.CostMicros += b.CostMicros
	sums[key] = t
}

// loadTotals reads the totals and the sequence number up to which they count
// bills.
func (g *shardLog) loadTotals(ctx context.Context) error {
	through, read, err := readTotals(ctx, g.store, g.shard)
	if err != nil {
		return err
	}
	g.archived, g.totals = through, read
	return nil
}

func readTotals(ctx context.Context, store Store, shard uint32) (through uint64, t totals, err error) {
	t.sums = make(map[totalKey]Total)
	obj, err := store.Get(ctx, totalsKey(shard))
	if errors.Is(err, objectstore.ErrNotFound) {
		return 0, t, nil
	}
	if err != nil {
		return 0, t, fmt.Errorf("read totals of shard %d: %w", shard, err)
	}
	var msg bronzeturnv1.LedgerTotals
	if err := proto.Unmarshal(obj.Value, &msg); err != nil {
		return 0, t, &CorruptError{Key: obj.Key, Cause: err}
	}
	t.revision, t.volume = obj.Revision, msg.Volume
	addTotals(t.sums, &msg)
	return msg.Through, t, nil
}

// addTotals merges the sums of a message.
func addTotals(sums map[totalKey]Total, msg *bronzeturnv1.LedgerTotals) {
	for _, m := range msg.Totals {
		mergeTotal(sums, totalKey{m.Organisation, m.Version}, totalOf(m))
	}
}

func totalOf(m *bronzeturnv1.LedgerTotal) Total {
	return Total{
		Organisation:     m.Organisation,
		Version:          m.Version,
		Bills:            m.Bills,
		PromptTokens:     m.PromptTokens,
		CompletionTokens: m.CompletionTokens,
		CostMicros:       m.CostMicros,
	}
}

// archiveBills writes the bills of the tail to an itemised object and adds them
// to the totals. The first writer to create the object for a start sequence
// decides the object's range. The update of the totals is conditional, so that
// each range is counted once.
func (g *shardLog) archiveBills(ctx context.Context) error {
	if g.archived >= g.state.sequence {
		return nil
	}
	bills, err := g.createBillsObject(ctx)
	if err != nil {
		return err
	}
	next, err := g.nextTotals(ctx)
	if err != nil {
		return err
	}
	for _, b := range bills.Bills {
		addBill(next.sums, b)
	}
	value, err := proto.Marshal(totalsMessage(bills.Through, next))
	if err != nil {
		return fmt.Errorf("encode totals: %w", err)
	}
	obj, err := conditionalWrite(ctx, g.store, totalsKey(g.shard), value, g.totals.revision)
	if err != nil {
		g.loaded = false // reloading the log shows whether it was written
		return fmt.Errorf("write totals of shard %d: %w", g.shard, err)
	}
	g.archived = bills.Through
	next.revision = obj.Revision
	g.totals = next
	g.trimTail()
	return nil
}

// volumePairs is the number of pairs of organisation and version at which the
// totals are sealed in a volume, so that each object stays below the store's
// size limit.
const volumePairs = 4000

// nextTotals returns a copy of the totals for adding bills. If the current
// totals have reached volumePairs, it seals them in a volume and returns empty
// ones. A volume counts only once the totals refer to the next volume, which
// takes a conditional update that fails if the totals have changed. A volume
// left behind by a failed attempt is therefore ignored.
func (g *shardLog) nextTotals(ctx context.Context) (totals, error) {
	if len(g.totals.sums) < volumePairs {
		return totals{volume: g.totals.volume, sums: maps.Clone(g.totals.sums)}, nil
	}
	value, err := proto.Marshal(totalsMessage(g.archived, g.totals))
	if err != nil {
		return totals{}, fmt.Errorf("encode volume: %w", err)
	}
	key, revision := volumeKey(g.shard, g.totals.volume), uint64(0)
	obj, err := g.store.Get(ctx, key)
	if err == nil {
		revision = obj.Revision
	} else if !errors.Is(err, objectstore.ErrNotFound) {
		return totals{}, fmt.Errorf("read %s: %w", key, err)
	}
	if err := g.checkTotals(ctx); err != nil {
		return totals{}, err
	}
	if _, err := conditionalWrite(ctx, g.store, key, value, revision); err != nil {
		return totals{}, fmt.Errorf("write %s: %w", key, err)
	}
	return totals{volume: g.totals.volume + 1, sums: make(map[totalKey]Total)}, nil
}

// checkTotals fails if the totals in the store have changed since they were
// read. It is called between reading a volume's revision and replacing the
// volume, so that a writer with stale totals cannot replace a volume that
// already counts.
func (g *shardLog) checkTotals(ctx context.Context) error {
	obj, err := g.store.Get(ctx, totalsKey(g.shard))
	if err != nil {
		return fmt.Errorf("read totals of shard %d: %w", g.shard, err)
	}
	if obj.Revision != g.totals.revision {
		g.loaded = false
		return &objectstore.ConflictError{Key: obj.Key, Want: g.totals.revision, Have: obj.Revision}
	}
	return nil
}

// createBillsObject writes the bills that follow the archived ones to an
// itemised object. If the object exists, it returns the stored bills instead.
func (g *shardLog) createBillsObject(ctx context.Context) (*bronzeturnv1.LedgerBills, error) {
	bills := &bronzeturnv1.LedgerBills{
		From:        g.archived + 1,
		Through:     g.state.sequence,
		ClockMicros: g.state.clock,
	}
	for _, batch := range g.tailAfter(g.archived) {
		for _, rec := range batch.Records {
			if b := rec.GetBill(); b != nil {
				bills.Bills = append(bills.Bills, b)
			}
		}
	}
	value, err := proto.Marshal(bills)
	if err != nil {
		return nil, fmt.Errorf("encode bills: %w", err)
	}
	key := billsKey(g.shard, bills.From)
	_, err = g.store.Create(ctx, key, value)
	if err == nil {
		return bills, nil
	}
	if !objectstore.IsConflict(err) {
		return nil, fmt.Errorf("write %s: %w", key, err)
	}
	obj, err := g.store.Get(ctx, key)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", key, err)
	}
	return decodeBills(obj)
}

func decodeBills(obj objectstore.Object) (*bronzeturnv1.LedgerBills, error) {
	var bills bronzeturnv1.LedgerBills
	if err := proto.Unmarshal(obj.Value, &bills); err != nil {
		return nil, &CorruptError{Key: obj.Key, Cause: err}
	}
	return &bills, nil
}

// totalsMessage encodes the totals, sorted by organisation and version.
func totalsMessage(through uint64, sums totals) *bronzeturnv1.LedgerTotals {
	msg := &bronzeturnv1.LedgerTotals{Through: through, Volume: sums.volume}
	for _, t := range sortedTotals(sums.sums) {
		msg.Totals = append(msg.Totals, &bronzeturnv1.LedgerTotal{
			Organisation:     t.Organisation,
			Version:          t.Version,
			Bills:            t.Bills,
			PromptTokens:     t.PromptTokens,
			CompletionTokens: t.CompletionTokens,
			CostMicros:       t.CostMicros,
		})
	}
	return msg
}

// sortedTotals returns the sums sorted by organisation, then version.
func sortedTotals(sums map[totalKey]Total) []Total {
	list := make([]Total, 0, len(sums))
	for _, t := range sums {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Organisation != list[j].Organisation {
			return list[i].Organisation < list[j].Organisation
		}
		return list[i].Version < list[j].Version
	})
	return list
}

// dropPageSize is the maximum number of itemised objects that one call of
// dropBills deletes.
const dropPageSize = 4

// dropBills deletes itemised bills older than keepMicros.
func (g *shardLog) dropBills(ctx context.Context, keepMicros int64) error {
	if g.state.clock < g.oldestBillsExpire {
		return nil
	}
	objects, err := g.store.List(ctx, billsPrefix(g.shard), "", dropPageSize)
	if err != nil {
		return fmt.Errorf("list bills of shard %d: %w", g.shard, err)
	}
	for _, obj := range objects {
		bills, err := decodeBills(obj)
		if err != nil {
			return err
		}
		if expires := bills.ClockMicros + keepMicros; expires > g.state.clock {
			g.oldestBillsExpire = expires
			return nil
		}
		if bills.Through > g.archived {
			return nil
		}
		if err := g.store.Delete(ctx, obj.Key, obj.Revision); err != nil && !objectstore.IsConflict(err) {
			return fmt.Errorf("delete %s: %w", obj.Key, err)
		}
	}
	return nil
}
