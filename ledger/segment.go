package ledger

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

// Size limits of the tail, the batches that are in no segment yet. A segment
// must stay below objectstore.MaxValueBytes, and an entry may need up to twice
// the bytes of its record.
const (
	compactionBytes = 320 << 10
	maxTailBytes    = 500 << 10
)

// Compaction starts when compactionSlotQuarters quarters of the ring of slots are
// in use.
const compactionSlotQuarters = 3

// segmentInfo is the part of a segment that is kept in memory.
type segmentInfo struct {
	from     uint64
	through  uint64
	clock    int64
	expires  int64
	revision uint64
}

// readSegments returns the segments that form a gapless sequence up to the
// newest one. Segments before a gap are leftovers: a writer was paused while it
// wrote a segment that others had meanwhile written and dropped.
func (g *shardLog) readSegments(ctx context.Context) ([]*bronzeturnv1.LedgerSegment, error) {
	objects, err := listAll(ctx, g.store, segmentPrefix(g.shard), segmentPageSize)
	if err != nil {
		return nil, err
	}
	g.segments = g.segments[:0]
	var chain []*bronzeturnv1.LedgerSegment
	for _, obj := range objects {
		var seg bronzeturnv1.LedgerSegment
		if err := proto.Unmarshal(obj.Value, &seg); err != nil {
			return nil, &CorruptError{Key: obj.Key, Cause: err}
		}
		if n := len(chain); n > 0 && chain[n-1].Through+1 != seg.From {
			chain, g.segments = nil, g.segments[:0]
		}
		chain = append(chain, &seg)
		g.segments = append(g.segments, segmentInfoOf(&seg, obj.Revision))
	}
	return chain, nil
}

func segmentInfoOf(seg *bronzeturnv1.LedgerSegment, revision uint64) segmentInfo {
	return segmentInfo{
		from:     seg.From,
		through:  seg.Through,
		clock:    seg.ClockMicros,
		expires:  seg.ExpiresMicros,
		revision: revision,
	}
}

// restoreSegment adds the next segment to the state.
func restoreSegment(s *state, seg *bronzeturnv1.LedgerSegment) {
	s.sequence = seg.Through
	s.clock = seg.ClockMicros
	for _, entry := range seg.Entries {
		s.restore(entry)
	}
	expires := uint32((seg.ClockMicros + s.retention.Bills.Microseconds()) / 1e6)
	for b := seg.BillFingerprints; len(b) >= idBytes; b = b[idBytes:] {
		s.bills[fingerprint(b[:idBytes])] = expires
	}
}

// segmentPageSize is the number of objects per List call for large objects.
const segmentPageSize = 8

// compactionDue reports whether the tail should be written as a segment.
func (g *shardLog) compactionDue() bool {
	return g.tailBytes >= compactionBytes || len(g.tail)*4 >= int(g.layout.slots)*compactionSlotQuarters
}

// compact writes the tail as a segment. The first writer to create the segment
// for a start sequence decides its range; only after that may its slots be
// reused.
func (g *shardLog) compact(ctx context.Context) error {
	if g.compacted >= g.state.sequence {
		return nil
	}
	seg := g.buildSegment()
	value, err := proto.Marshal(seg)
	if err != nil {
		return fmt.Errorf("encode segment: %w", err)
	}
	obj, err := g.store.Create(ctx, segmentKey(g.shard, seg.From), value)
	if err != nil {
		g.loaded = false // reloading the log shows whether it was written
		return fmt.Errorf("write segment %d of shard %d: %w", seg.From, g.shard, err)
	}
	g.compacted = seg.Through
	g.segments = append(g.segments, segmentInfoOf(seg, obj.Revision))
	g.trimTail()
	return nil
}

// buildSegment collects the entries that the tail created or changed.
func (g *shardLog) buildSegment() *bronzeturnv1.LedgerSegment {
	seg := &bronzeturnv1.LedgerSegment{
		From:          g.compacted + 1,
		Through:       g.state.sequence,
		ClockMicros:   g.state.clock,
		ExpiresMicros: g.state.clock,
	}
	seen := make(map[fingerprint]bool)
	for _, batch := range g.tailAfter(g.compacted) {
		for _, rec := range batch.Records {
			g.addToSegment(seg, rec, seen)
		}
	}
	return seg
}

func (g *shardLog) addToSegment(seg *bronzeturnv1.LedgerSegment, rec *bronzeturnv1.LedgerRecord, seen map[fingerprint]bool) {
	fp, ok := toFingerprint(rec.Fingerprint)
	if !ok || seen[fp] {
		return
	}
	seen[fp] = true
	if rec.GetBill() != nil {
		seg.BillFingerprints = append(seg.BillFingerprints, fp[:]...)
		seg.ExpiresMicros = max(seg.ExpiresMicros, g.state.clock+g.retention.Bills.Microseconds())
		return
	}
	class := ClassClaim
	if rec.GetPin() != nil {
		class = ClassPin
	}
	if entry := g.state.lookup(class, fp); entry != nil {
		seg.Entries = append(seg.Entries, entry)
		seg.ExpiresMicros = max(seg.ExpiresMicros, entry.ExpiresMicros)
	}
}

// dropSegments deletes the oldest segments, as long as all their entries have
// expired.
func (g *shardLog) dropSegments(ctx context.Context) error {
	for len(g.segments) > 1 && g.segments[0].expires <= g.state.clock {
		old := g.segments[0]
		err := g.store.Delete(ctx, segmentKey(g.shard, old.from), old.revision)
		if err != nil && !objectstore.IsConflict(err) {
			return fmt.Errorf("delete segment %d of shard %d: %w", old.from, g.shard, err)
		}
		g.segments = g.segments[1:]
	}
	return nil
}
