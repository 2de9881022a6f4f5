package ledger

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
)

var testRetention = Retention{
	Claims:       DefaultClaimRetention,
	AnswerBodies: DefaultAnswerRetention,
	PinIdle:      DefaultPinIdle,
	PinLimit:     DefaultPinLimit,
	Bills:        DefaultBillRetention,
}

func loadedLog(t testing.TB, store Store, slots uint32) *shardLog {
	g := newShardLog(store, layout{shards: 1, slots: slots}, 0, "w", testRetention)
	qt.Assert(t, g.load(t.Context()), qt.IsNil)
	return g
}

func testClaim(key string) *bronzeturnv1.LedgerRecord {
	fp, nonce := fingerprintOf(ClassClaim, "org", key), newNonce()
	return &bronzeturnv1.LedgerRecord{
		Fingerprint: fp[:],
		Nonce:       nonce[:],
		Body:        &bronzeturnv1.LedgerRecord_Claim{Claim: &bronzeturnv1.LedgerClaim{BodySha256: make([]byte, 32), RemainingMicros: time.Minute.Microseconds()}},
	}
}

func testBill(id string) *bronzeturnv1.LedgerRecord {
	fp, nonce := fingerprintOf(ClassBill, "org", id), newNonce()
	return &bronzeturnv1.LedgerRecord{
		Fingerprint: fp[:],
		Nonce:       nonce[:],
		Body:        &bronzeturnv1.LedgerRecord_Bill{Bill: &bronzeturnv1.LedgerBill{Organisation: "org", RequestId: id, Version: "v", CostMicros: 2}},
	}
}

// writeBatches writes n batches of one claim and one bill each, compacting when
// due.
func writeBatches(t testing.TB, g *shardLog, prefix string, n int) {
	for i := range n {
		if g.compactionDue() {
			qt.Assert(t, g.maintain(t.Context(), time.Hour), qt.IsNil)
		}
		key := fmt.Sprintf("%s%d", prefix, i)
		err := g.write(t.Context(), []*bronzeturnv1.LedgerRecord{testClaim(key), testBill(key)})
		qt.Assert(t, err, qt.IsNil)
	}
}

// A writer is paused before its write and resumes after other writers have gone
// around the ring. Its write must fail. If slots were deleted after compaction,
// its create would succeed and it would take itself for the first writer.
func TestPausedWriterFailsAfterItsSlotIsReused(t *testing.T) {
	store := memstore.New()
	paused := loadedLog(t, store, 8)
	writeBatches(t, paused, "before", 3)
	other := loadedLog(t, store, 8)
	writeBatches(t, other, "k", 50)

	err := paused.write(t.Context(), []*bronzeturnv1.LedgerRecord{testClaim("k0")})
	qt.Assert(t, objectstore.IsConflict(err), qt.IsTrue)
	qt.Assert(t, paused.catchUp(t.Context()), qt.ErrorIs, errOverwritten)
	qt.Assert(t, paused.load(t.Context()), qt.IsNil)
	qt.Assert(t, paused.decide(testClaim("k0")).write, qt.IsFalse)
	qt.Assert(t, paused.state.sequence, qt.Equals, other.state.sequence)
}

func TestSlotsAreKeptUntilCompactedAndArchived(t *testing.T) {
	store := memstore.New()
	g := loadedLog(t, store, 8)
	for i := range 8 {
		qt.Assert(t, g.write(t.Context(), []*bronzeturnv1.LedgerRecord{testBill(fmt.Sprint(i))}), qt.IsNil)
	}
	qt.Assert(t, g.write(t.Context(), []*bronzeturnv1.LedgerRecord{testBill("8")}), qt.ErrorIs, errSlotsFull)
	qt.Assert(t, g.compact(t.Context()), qt.IsNil)
	// The writer crashes here: the segment is written, but the bills are not
	// archived.
	next := loadedLog(t, store, 8)
	qt.Assert(t, next.write(t.Context(), []*bronzeturnv1.LedgerRecord{testBill("8")}), qt.ErrorIs, errSlotsFull)
	qt.Assert(t, next.maintain(t.Context(), time.Hour), qt.IsNil)
	qt.Assert(t, next.write(t.Context(), []*bronzeturnv1.LedgerRecord{testBill("8")}), qt.IsNil)
	qt.Assert(t, next.totals.sums[totalKey{"org", "v"}].Bills, qt.Equals, uint64(8))
}

// A writer crashes after it has written the itemised bills of a range and
// before it has added them to the totals. The next writer must add exactly
// these bills.
func TestTotalsCountEachBillOnceWhenArchivingIsInterrupted(t *testing.T) {
	store := memstore.New()
	g := loadedLog(t, store, 8)
	writeBatches(t, g, "a", 3)
	_, err := g.createBillsObject(t.Context())
	qt.Assert(t, err, qt.IsNil)
	writeBatches(t, g, "b", 2)
	next := loadedLog(t, store, 8)
	for range 2 {
		qt.Assert(t, next.archiveBills(t.Context()), qt.IsNil)
	}
	qt.Assert(t, g.archiveBills(t.Context()), qt.IsNotNil) // the first writer's update conflicts
	qt.Assert(t, g.load(t.Context()), qt.IsNil)
	qt.Assert(t, g.totals.sums[totalKey{"org", "v"}], qt.Equals, Total{Organisation: "org", Version: "v", Bills: 5, CostMicros: 10})
}

func TestStateSurvivesCompactionAndReload(t *testing.T) {
	store := memstore.New()
	g := loadedLog(t, store, 8)
	writeBatches(t, g, "k", 100)
	fresh := loadedLog(t, store, 8)
	qt.Assert(t, fresh.state.sequence, qt.Equals, uint64(100))
	qt.Assert(t, fresh.state.clock, qt.Equals, g.state.clock)
	for i := range 100 {
		key := fmt.Sprintf("k%d", i)
		qt.Assert(t, fresh.decide(testClaim(key)).write, qt.IsFalse, qt.Commentf("claim %s", key))
		qt.Assert(t, fresh.decide(testBill(key)).write, qt.IsFalse, qt.Commentf("bill %s", key))
	}
}

// The shard clock adds up the times that writers measured. It must never run
// ahead of real time, or entries would expire early.
func TestShardClockNeverRunsAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		start := time.Now()
		for i := range 20 {
			g := loadedLog(t, store, 8)
			time.Sleep(time.Minute)
			writeBatches(t, g, fmt.Sprint("a", i, "-"), 3)
			time.Sleep(time.Minute) // between the last write and the next writer
			qt.Assert(t, g.state.clock <= time.Since(start).Microseconds(), qt.IsTrue)
		}
		g := loadedLog(t, store, 8)
		qt.Assert(t, g.state.clock, qt.Equals, (20 * time.Minute).Microseconds())
	})
}

// The number of organisations and versions grows over the years. Their sums
// must keep fitting in an object, also if sealing a volume is interrupted.
func TestTotalsAreSealedInVolumes(t *testing.T) {
	store := memstore.New()
	const batches, perBatch = 30, 400
	for i := range batches {
		g := loadedLog(t, store, 8)
		records := make([]*bronzeturnv1.LedgerRecord, perBatch)
		for j := range records {
			records[j] = testBill(fmt.Sprint(i, "-", j))
			records[j].GetBill().Organisation = fmt.Sprint("org-", i*perBatch+j)
		}
		qt.Assert(t, g.write(t.Context(), records), qt.IsNil)
		if i%2 == 0 { // crashes after sealing, before it updates the totals
			_, err := g.nextTotals(t.Context())
			qt.Assert(t, err, qt.IsNil)
			continue
		}
		qt.Assert(t, g.maintain(t.Context(), time.Hour), qt.IsNil)
	}
	g := loadedLog(t, store, 8)
	qt.Assert(t, g.totals.volume, qt.Equals, uint64(2))
	stale := loadedLog(t, store, 8) // paused writer with the totals of the first volume
	stale.totals = totals{revision: 1, volume: 0, sums: make(map[totalKey]Total, volumePairs)}
	for i := range volumePairs {
		stale.totals.sums[totalKey{"org", fmt.Sprint(i)}] = Total{Bills: 7}
	}
	_, err := stale.nextTotals(t.Context())
	qt.Assert(t, objectstore.IsConflict(err), qt.IsTrue)
	sums := make(map[totalKey]Total)
	qt.Assert(t, addShardTotals(t.Context(), store, g.layout, 0, sums), qt.IsNil)
	qt.Assert(t, len(sums), qt.Equals, batches*perBatch)
	for _, total := range sums {
		qt.Assert(t, total.Bills, qt.Equals, uint64(1))
	}
}
