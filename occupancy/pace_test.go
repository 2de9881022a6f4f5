package occupancy

import (
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// TestPaceSamplesCountOnce guards against counting samples twice when reports are late,
// repeated or lost, and against losing them when a later report arrives.
func TestPaceSamplesCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, sums, sequence, now := NewStore(), &paceSums{}, &atomic.Uint64{}, start
		var sent []*bronzeturnv1.ShareRequest
		measured, logSum := 0, 0.0
		report := func() *bronzeturnv1.ShareRequest {
			m := &bronzeturnv1.ShareRequest{Daemon: "a", Own: []*bronzeturnv1.EngineLoad{{Engine: 5}}}
			sums.complete(m, sequence, now)
			return m
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				log := rapid.Float64Range(-1, 1).Draw(t, "log")
				sums.add(5, log, now)
				measured, logSum = measured+1, logSum+log
			case 1:
				sent = append(sent, report())
			case 2: // A message of the last few arrives, perhaps again.
				if n := len(sent); n > 0 {
					store.exchange(sent[rapid.IntRange(max(0, n-4), n-1).Draw(t, "message")], start)
				}
			case 3: // The period ends after its last report has arrived.
				store.exchange(report(), start)
				now = now.Add(pacePeriod)
			}
			if got := store.Pace(5, start).Weight; got > float64(measured) {
				t.Fatalf("%v samples counted, %d measured", got, measured)
			}
		}
		store.exchange(report(), start)
		got := store.Pace(5, start)
		if got.Weight != float64(measured) || math.Abs(got.MeanLog*got.Weight-logSum) > 0.001*60 {
			t.Fatalf("%+v, want weight %d and sum %v", got, measured, logSum)
		}
	})
}

// TestPaceDecaysWithItsHalfLife guards against old samples that outweigh new ones, and
// against a store that grows with every engine that ever answered.
func TestPaceDecaysWithItsHalfLife(t *testing.T) {
	c := qt.New(t)
	store := NewStore()
	store.RecordPace("a", 5, PaceReport{Sequence: 1, Period: 1, LogSum: 8, SquareSum: 10, Count: 8}, start)
	now := start.Add(paceHalfLife)
	c.Check(store.Pace(5, now), qt.Equals, Pace{MeanLog: 1, Variance: 0.25, Weight: 4})
	store.RecordPace("b", 5, PaceReport{Sequence: 1, Period: 1, LogSum: -4, SquareSum: 4, Count: 4}, now)
	c.Check(store.Pace(5, now), qt.Equals, Pace{MeanLog: 0, Variance: 9.0 / 8, Weight: 8})
	c.Check(store.Pace(6, now), qt.Equals, Pace{}, qt.Commentf("an engine without samples"))
	store.Expire(now.Add(paceReportTTL))
	c.Check(store.shard(5).engines, qt.HasLen, 1, qt.Commentf("the last sums are kept against repeated reports"))
	store.Expire(now.Add(paceReportTTL + 1))
	c.Check(store.shard(5).engines, qt.HasLen, 0)
}

// TestSumsOutliveTheirPeriod guards against counting the samples of a period again when a daemon
// reports after a pause.
func TestSumsOutliveTheirPeriod(t *testing.T) {
	c := qt.New(t)
	store, now := NewStore(), start.Add(pacePeriod)
	store.RecordPace("a", 5, PaceReport{Sequence: 1, Period: 1, Count: 8}, start)
	store.Expire(now)
	store.RecordPace("a", 5, PaceReport{Sequence: 2, Period: 1, Count: 9}, now)
	c.Check(store.Pace(5, now).Weight, qt.Equals, 5.0)
}

// TestNewKeeperCountsOnlyTheCurrentPeriod guards against a new keeper that counts all answers
// of a long-running daemon as recent ones.
func TestNewKeeperCountsOnlyTheCurrentPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		to := newDirectClient()
		a, _ := newClient("a", "keeper", to)
		for range 100 {
			a.PaceMeasured("e", 2)
			a.QueryLoads(t.Context(), []string{"e"})
			a.LoadChanged("e")
			time.Sleep(time.Second)
		}
		a.PaceMeasured("e", 2)
		to.store.Store(NewStore()) // simulates a new keeper
		got := a.QueryLoads(t.Context(), []string{"e"})[0].Pace
		c.Check(got.Weight <= 10, qt.IsTrue, qt.Commentf("%v", got))
		c.Check(math.Abs(got.MeanLog-math.Log(2)) < 0.01, qt.IsTrue, qt.Commentf("%v", got))
	})
}

// TestPaceTravelsWithLoad guards against calls and messages that grow: a measured pace causes
// no call, adds a few bytes for its engine to a report, and reaches other daemons with the
// next answer.
func TestPaceTravelsWithLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		to := newDirectClient()
		a, _ := newClient("a", "keeper", to)
		b, _ := newClient("b", "keeper", to)
		go func() { _ = a.Run(t.Context()) }()
		for range 300 {
			a.PaceMeasured("e", 1.6)
		}
		time.Sleep(10 * reportInterval)
		c.Check(to.calls.Load(), qt.Equals, int64(0))
		c.Check(b.QueryLoads(t.Context(), []string{"e"})[0].Pace, qt.Equals, Pace{})
		a.LoadChanged("e")
		a.LoadChanged("other")
		time.Sleep(2 * reportInterval)
		c.Check(to.calls.Load(), qt.Equals, int64(2))
		got := b.QueryLoads(t.Context(), []string{"e", "other"})
		c.Check(math.Abs(got[0].Pace.MeanLog-math.Log(1.6)) < 0.001, qt.IsTrue)
		c.Check(got[0].Pace.Weight > 280, qt.IsTrue)
		c.Check(got[1].Pace, qt.Equals, Pace{})
		plain := &bronzeturnv1.EngineLoad{Engine: 1 << 31, Requests: 9, Tokens: 900}
		paced := proto.CloneOf(plain)
		paced.PaceLog, paced.PaceSquare, paced.PaceWeight = 141_000, 66_000, 300
		c.Check(proto.Size(paced)-proto.Size(plain) <= 11, qt.IsTrue)
	})
}

// TestImplausiblePacesAreIgnored guards against one daemon's invalid values that spoil the
// mean of all.
func TestImplausiblePacesAreIgnored(t *testing.T) {
	c := qt.New(t)
	to := newDirectClient()
	a, _ := newClient("a", "a", to)
	for _, ratio := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 0, -1, 0.04, 21} {
		a.PaceMeasured("e", ratio)
	}
	a.LoadChanged("e")
	c.Check(a.QueryLoads(t.Context(), []string{"e"})[0].Pace, qt.Equals, Pace{})
	store := NewStore()
	good := PaceReport{Sequence: 1, Period: 1, LogSum: 1, SquareSum: 0.1, Count: 10}
	store.RecordPace("a", 5, good, start)
	for _, r := range []PaceReport{
		{2, 1, math.NaN(), 1, 20}, {2, 1, math.Inf(1), 1, 20}, {2, 1, 100, 1, 11}, {2, 1, 0.5, 0.1, 9}, {2, 1, 1, 0.1, -1},
		{2, 1, 1, math.NaN(), 20}, {2, 1, 1, math.Inf(1), 20}, {2, 1, 1, 100, 11}, {2, 1, 1, 0, 20},
		{2, 2, 0, 0, math.MaxInt64}, {2, 2, -4, 9, 1}, {2, 2, 0, 0, 0},
	} {
		store.RecordPace("a", 5, r, start)
		got := store.Pace(5, start)
		c.Check(got.MeanLog == 0.1 && got.Weight == 10 && got.Variance < 1e-9, qt.IsTrue, qt.Commentf("%+v: %+v", r, got))
	}
}
