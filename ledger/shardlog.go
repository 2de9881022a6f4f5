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

// errSlotsFull reports that the next slot still holds a batch that is in no
// segment.
var errSlotsFull = errors.New("no free slot, compaction is behind")

// shardLog reads and writes the log of one shard. Only one goroutine calls its
// methods that do I/O; lookup may be called by any.
//
// The slots of a shard form a ring. The batch with sequence number n replaces
// the batch n-slots by an update that names the revision of that batch (or a
// create, in the first lap). Revisions never repeat, so a write that a paused
// writer sends late can only fail.
type shardLog struct {
	store     Store
	layout    layout
	shard     uint32
	writer    string
	retention Retention

	// revisions of the slots as last read or written, zero for absent.
	revisions []uint64
	// compacted is the last sequence number that the segments cover, filed the
	// last one whose bills are in the totals. Both only rise.
	compacted uint64
	filed     uint64
	segments  []segmentInfo
	totals    totals
	// nextBillDrop is the clock at which the oldest itemised bills expire.
	nextBillDrop int64
	// tail are the batches after the lower of compacted and filed, in order.
	tail      []*bronzeturnv1.LedgerBatch
	tailBytes int
	// appliedAt is a time, on the local monotonic clock, at or after the
	// instant that the state's clock stands for.
	appliedAt time.Time
	loaded    bool

	// mu guards the state against concurrent lookups.
	mu       sync.RWMutex
	state    *state
	readable bool
}

func newShardLog(store Store, l layout, shard uint32, writer string, r Retention) *shardLog {
	return &shardLog{store: store, layout: l, shard: shard, writer: writer, retention: r, state: newState(r)}
}

// next is the sequence number of the batch to write.
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
	if err := g.forward(ctx); err != nil {
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

// replaceState installs a state that has been read from the store.
func (g *shardLog) replaceState(s *state) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = s
	g.appliedAt = time.Now()
}

// forward applies the batches that others wrote after the known end.
func (g *shardLog) forward(ctx context.Context) error {
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

// apply adds a batch whose clock reading was true at or before at.
func (g *shardLog) apply(batch *bronzeturnv1.LedgerBatch, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.apply(batch)
	g.state.sweep()
	g.appliedAt = at
	g.keep(batch)
}

// keep remembers a batch until it is compacted and filed.
func (g *shardLog) keep(batch *bronzeturnv1.LedgerBatch) {
	g.tail = append(g.tail, batch)
	g.tailBytes += proto.Size(batch)
}

// trimTail forgets the batches that are compacted and filed.
func (g *shardLog) trimTail() {
	done := min(g.compacted, g.filed)
	kept := g.tailAfter(done)
	g.tail, g.tailBytes = nil, 0
	for _, batch := range kept {
		g.keep(batch)
	}
}

// tailAfter returns the kept batches with a greater sequence number.
func (g *shardLog) tailAfter(sequence uint64) []*bronzeturnv1.LedgerBatch {
	i := sort.Search(len(g.tail), func(i int) bool { return g.tail[i].Sequence > sequence })
	return g.tail[i:]
}

// full tells that the next slot still holds a batch that is needed, or that
// the tail has grown too large for a segment.
func (g *shardLog) full() bool {
	free := min(g.compacted, g.filed) + uint64(g.layout.slots)
	return g.next() > free || g.tailBytes > maxTailBytes
}

// write tries to make the records the next batch. After an error the batch may
// be in the log or not: the caller calls forward and decides each record anew.
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

// ready tells whether the state has been read.
func (g *shardLog) ready() bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.readable
}

// lookup returns the entry in force as far as the log has been read, and the
// shard's clock now.
func (g *shardLog) lookup(class Class, fp fingerprint) *bronzeturnv1.LedgerEntry {
	g.mu.RLock()
	defer g.mu.RUnlock()
	entry := g.state.lookup(class, fp)
	stamp(entry, g.clockNow())
	return entry
}

// clockNow is the shard's clock, never ahead of real time. The caller holds mu.
func (g *shardLog) clockNow() int64 {
	return g.state.clock + time.Since(g.appliedAt).Microseconds()
}

// stamp adds to an answer what depends on the time. A running claim whose
// deadline has passed reads as unknown: its holder may have died between
// dispatch and outcome.
func stamp(entry *bronzeturnv1.LedgerEntry, clock int64) {
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

// decide is state.decide with overdue claims marked.
func (g *shardLog) decide(rec *bronzeturnv1.LedgerRecord) decision {
	g.mu.RLock()
	defer g.mu.RUnlock()
	d := g.state.decide(rec)
	if d.verdict != nil {
		stamp(d.verdict.Entry, g.clockNow())
	}
	return d
}

// unload gives back the memory. The next use loads the log again.
func (g *shardLog) unload() {
	g.loaded = false
	g.tail, g.tailBytes = nil, 0
	g.replaceState(newState(g.retention))
	g.setReadable(false)
}

// maintain compacts and files the tail and deletes what has expired.
func (g *shardLog) maintain(ctx context.Context, keepBills time.Duration) error {
	if err := g.compact(ctx); err != nil {
		return err
	}
	if err := g.file(ctx); err != nil {
		return err
	}
	if err := g.dropSegments(ctx); err != nil {
		return err
	}
	return g.dropBills(ctx, keepBills.Microseconds())
}
