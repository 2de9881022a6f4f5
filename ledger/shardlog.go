package ledger

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// errSlotsFull reports that the next slot holds a batch that is not yet
// compacted and archived, or that the tail is too large.
var errSlotsFull = errors.New("no free slot, compaction is behind")

// shardLog reads and writes the log of one shard. Methods that do I/O are
// called from a single goroutine; lookup is safe for concurrent use.
//
// The slots of a shard form a ring. The batch with sequence number n replaces
// batch n-slots by an update conditional on that batch's revision (or by a
// create, the first time around). Revisions never repeat, so a delayed write
// from a paused writer can only fail.
type shardLog struct {
	store     Store
	layout    layout
	shard     uint32
	writer    string
	retention Retention

	// revisions are the slots' revisions as last read or written, zero if
	// absent.
	revisions []uint64
	// compacted is the last sequence number covered by segments; archived is
	// the last one whose bills are in the totals. Both only increase.
	compacted uint64
	archived  uint64
	segments  []segmentInfo
	totals    totals
	// oldestBillsExpire is the shard clock at which the oldest itemised bills
	// expire.
	oldestBillsExpire int64
	// tail holds the batches after min(compacted, archived), in order.
	tail      []*bronzeturnv1.LedgerBatch
	tailBytes int
	// appliedAt is a time on the local monotonic clock, not before the instant
	// that the state's clock stands for.
	appliedAt time.Time
	loaded    bool

	// mu guards the following fields against concurrent lookups.
	mu       sync.RWMutex
	state    *state
	readable bool
}

func newShardLog(store Store, l layout, shard uint32, writer string, r Retention) *shardLog {
	return &shardLog{store: store, layout: l, shard: shard, writer: writer, retention: r, state: newState(r)}
}

// next returns the sequence number of the next batch to write.
func (g *shardLog) next() uint64 { return g.state.sequence + 1 }

// load reads the segments and the batches after them.
func (g *shardLog) load(ctx context.Context) error {
	g.loaded = false
	segments, err := g.readSegments(ctx)
	if err != nil {
		return err
	}
	fresh := newState(g.retention)
	for _, seg := range segments {
		restoreSegment(fresh, seg)
	}
	g.compacted = fresh.sequence
	g.tail, g.tailBytes = nil, 0
	g.replaceState(fresh)
	if err := g.loadTotals(ctx); err != nil {
		return err
	}
	if err := g.loadSlots(ctx); err != nil {
		return err
	}
	if err := g.catchUp(ctx); err != nil {
		return err
	}
	g.loaded = true
	g.setReadable(true)
	return nil
}

func (g *shardLog) setReadable(yes bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readable = yes
}

// replaceState installs a state that was read from the store, or an empty one.
func (g *shardLog) replaceState(s *state) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = s
	g.appliedAt = time.Now()
}

// catchUp applies the batches that other daemons wrote after the last one read.
func (g *shardLog) catchUp(ctx context.Context) error {
	for {
		batch, err := g.readSlot(ctx, g.next())
		if err != nil {
			return err
		}
		if batch == nil {
			return nil
		}
		g.apply(batch, time.Now())
	}
}

// apply applies a batch. at is a local time not before the instant of the
// batch's clock.
func (g *shardLog) apply(batch *bronzeturnv1.LedgerBatch, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.apply(batch)
	g.state.sweep()
	g.appliedAt = at
	g.addToTail(batch)
}

// addToTail keeps a batch until it is compacted and archived.
func (g *shardLog) addToTail(batch *bronzeturnv1.LedgerBatch) {
	g.tail = append(g.tail, batch)
	g.tailBytes += proto.Size(batch)
}

// trimTail drops the batches that are compacted and archived.
func (g *shardLog) trimTail() {
	done := min(g.compacted, g.archived)
	kept := g.tailAfter(done)
	g.tail, g.tailBytes = nil, 0
	for _, batch := range kept {
		g.addToTail(batch)
	}
}

// tailAfter returns the batches of the tail with a greater sequence number.
func (g *shardLog) tailAfter(sequence uint64) []*bronzeturnv1.LedgerBatch {
	i := sort.Search(len(g.tail), func(i int) bool { return g.tail[i].Sequence > sequence })
	return g.tail[i:]
}

// full reports whether the next slot still holds a batch that is needed, or the
// tail has grown too large for a segment.
func (g *shardLog) full() bool {
	free := min(g.compacted, g.archived) + uint64(g.layout.slots)
	return g.next() > free || g.tailBytes > maxTailBytes
}

// write tries to write the records as the next batch. After an error the batch
// may or may not be in the log: the caller must call catchUp and decide each
// record again.
func (g *shardLog) write(ctx context.Context, records []*bronzeturnv1.LedgerRecord) error {
	sequence := g.next()
	if g.full() {
		return errSlotsFull
	}
	nonce := newNonce()
	now := time.Now()
	elapsed := now.Sub(g.appliedAt)
	batch := &bronzeturnv1.LedgerBatch{
		Sequence:      sequence,
		Nonce:         nonce[:],
		Writer:        g.writer,
		ElapsedMicros: elapsed.Microseconds(),
		Records:       records,
	}
	value, err := proto.Marshal(batch)
	if err != nil {
		return fmt.Errorf("encode batch: %w", err)
	}
	slot := sequence % uint64(g.layout.slots)
	obj, err := conditionalWrite(ctx, g.store, g.layout.slotKey(g.shard, sequence), value, g.revisions[slot])
	if err != nil {
		return fmt.Errorf("write batch %d of shard %d: %w", sequence, g.shard, err)
	}
	g.revisions[slot] = obj.Revision
	g.apply(batch, now)
	return nil
}

// ready reports whether the state has been loaded.
func (g *shardLog) ready() bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.readable
}

// lookup returns the unexpired entry according to the log as read so far, with
// its time-dependent fields set for the current shard clock.
func (g *shardLog) lookup(class Class, fp fingerprint) *bronzeturnv1.LedgerEntry {
	g.mu.RLock()
	defer g.mu.RUnlock()
	entry := g.state.lookup(class, fp)
	setTimeFields(entry, g.clockNow())
	return entry
}

// clockNow returns the shard's clock, which is never ahead of real time. The
// caller holds mu.
func (g *shardLog) clockNow() int64 {
	return g.state.clock + time.Since(g.appliedAt).Microseconds()
}

// setTimeFields sets the fields of an answer that depend on the current time. A
// running claim whose deadline has passed reads as unknown: its holder may have
// died between dispatch and outcome.
func setTimeFields(entry *bronzeturnv1.LedgerEntry, clock int64) {
	if entry == nil {
		return
	}
	entry.RemainingMicros = entry.ExpiresMicros - clock
	c := entry.GetClaim()
	if c == nil || c.State != bronzeturnv1.LedgerClaimState_LEDGER_CLAIM_STATE_RUNNING {
		return
	}
	if clock > c.DeadlineMicros {
		c.State = bronzeturnv1.LedgerClaimState_LEDGER_CLAIM_STATE_UNKNOWN
	}
}

// decide is state.decide with the time-dependent fields of the answer set.
func (g *shardLog) decide(rec *bronzeturnv1.LedgerRecord) decision {
	g.mu.RLock()
	defer g.mu.RUnlock()
	d := g.state.decide(rec)
	if d.verdict != nil {
		setTimeFields(d.verdict.Entry, g.clockNow())
	}
	return d
}

// unload frees the state's memory. The log is loaded again on its next use.
func (g *shardLog) unload() {
	g.loaded = false
	g.tail, g.tailBytes = nil, 0
	g.replaceState(newState(g.retention))
	g.setReadable(false)
}

// maintain compacts and archives the tail and deletes expired objects.
func (g *shardLog) maintain(ctx context.Context, keepBills time.Duration) error {
	if err := g.compact(ctx); err != nil {
		return err
	}
	if err := g.archiveBills(ctx); err != nil {
		return err
	}
	if err := g.dropSegments(ctx); err != nil {
		return err
	}
	return g.dropBills(ctx, keepBills.Microseconds())
}
