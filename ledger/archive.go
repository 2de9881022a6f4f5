package ledger

import (
	"context"
	"errors"
	"fmt"
	"sort"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

// Total is the sum of the bills of one organisation and version or service.
type Total struct {
	Organisation     string
	Version          string
	Bills            uint64
	PromptTokens     uint64
	CompletionTokens uint64
	CostMicros       uint64
}

// totalKey groups totals.
type totalKey struct {
	organisation string
	version      string
}

// totals are the sums of a shard's bills up to the filed sequence number.
type totals struct {
	revision uint64
	sums     map[totalKey]Total
}

// add puts a bill into its sum.
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

// loadTotals reads the sums and the sequence number that they cover.
func (g *shardLog) loadTotals(ctx context.Context) error {
	through, read, err := readTotals(ctx, g.store, g.shard)
	if err != nil {
		return err
	}
	g.filed, g.totals = through, read
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
	t.revision = obj.Revision
	for _, m := range msg.Totals {
		t.sums[totalKey{m.Organisation, m.Version}] = totalOf(m)
	}
	return msg.Through, t, nil
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

// file puts the bills of the tail into an itemised object and adds them to the
// totals. The first create at a start decides the range of the object; the
// conditional update of the totals counts each range once.
func (g *shardLog) file(ctx context.Context) error {
	if g.filed >= g.state.sequence {
		return nil
	}
	bills, err := g.fileItems(ctx)
	if err != nil {
		return err
	}
	sums := make(map[totalKey]Total, len(g.totals.sums))
	for key, t := range g.totals.sums {
		sums[key] = t
	}
	for _, b := range bills.Bills {
		addBill(sums, b)
	}
	value, err := proto.Marshal(totalsMessage(bills.Through, sums))
	if err != nil {
		return fmt.Errorf("encode totals: %w", err)
	}
	obj, err := conditionalWrite(ctx, g.store, totalsKey(g.shard), value, g.totals.revision)
	if err != nil {
		g.loaded = false // whether it was written shows when the log is read anew
		return fmt.Errorf("write totals of shard %d: %w", g.shard, err)
	}
	g.filed = bills.Through
	g.totals = totals{revision: obj.Revision, sums: sums}
	g.trimTail()
	return nil
}

// fileItems returns the itemised bills that follow the filed ones, as the
// store has them.
func (g *shardLog) fileItems(ctx context.Context) (*bronzeturnv1.LedgerBills, error) {
	bills := &bronzeturnv1.LedgerBills{
		From:        g.filed + 1,
		Through:     g.state.sequence,
		ClockMicros: g.state.clock,
	}
	for _, batch := range g.tailAfter(g.filed) {
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

// totalsMessage returns the wire form, sorted.
func totalsMessage(through uint64, sums map[totalKey]Total) *bronzeturnv1.LedgerTotals {
	msg := &bronzeturnv1.LedgerTotals{Through: through}
	for _, t := range sortedTotals(sums) {
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

// sortedTotals returns the sums by organisation, then version.
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

// dropBatch bounds the objects deleted in one pass.
const dropBatch = 4

// dropBills deletes itemised bills that are older than keep.
func (g *shardLog) dropBills(ctx context.Context, keepMicros int64) error {
	if g.state.clock < g.nextBillDrop {
		return nil
	}
	objects, err := g.store.List(ctx, billsPrefix(g.shard), "", dropBatch)
	if err != nil {
		return fmt.Errorf("list bills of shard %d: %w", g.shard, err)
	}
	for _, obj := range objects {
		bills, err := decodeBills(obj)
		if err != nil {
			return err
		}
		if expires := bills.ClockMicros + keepMicros; expires > g.state.clock {
			g.nextBillDrop = expires
			return nil
		}
		if bills.Through > g.filed {
			return nil
		}
		if err := g.store.Delete(ctx, obj.Key, obj.Revision); err != nil && !objectstore.IsConflict(err) {
			return fmt.Errorf("delete %s: %w", obj.Key, err)
		}
	}
	return nil
}
