package backpressure

import (
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/bronzeturn/bronzeturn/occupancy"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// at returns the time that is the given number of milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// newLimits returns the Limits of the only daemon of a fleet, and their log.
func newLimits() (*Limits, *strings.Builder) {
	log := &strings.Builder{}
	return newFleetLimits(1, func() int { return 1 }, zerolog.New(log)), log
}

// noPermits is an Options.Permit for a fleet in which nobody grants permits.
func noPermits(string, float64) (granted bool, retryAfter time.Duration, decided bool) {
	return false, 0, false
}

// newFleetLimits returns the Limits of one daemon of a fleet in which limits are divided, and which
// tells the others nothing. The function daemons returns the number of daemons that it sees.
func newFleetLimits(seed uint64, daemons func() int, log zerolog.Logger) *Limits {
	return NewLimits(Options{
		Daemons: daemons, Permit: noPermits, Random: rand.New(rand.NewPCG(seed, 1)), Share: func(string, float64) {}, Log: log, Registerer: prometheus.NewRegistry(),
	})
}

// newFleet returns the Limits of a fleet whose daemons all know its size, and in which limits are
// divided.
func newFleet(size int, seed uint64) []*Limits {
	all := make([]*Limits, size)
	for i := range all {
		all[i] = newFleetLimits(seed*10_000+uint64(i), func() int { return size }, zerolog.Nop())
	}
	return all
}

// permitKeeper grants the permits of a simulated fleet.
type permitKeeper struct {
	store *occupancy.Store
	// now is the simulated time. Nobody grants permits before a time goneUntil.
	now, goneUntil time.Time
	// granted is the number of permits granted from knownAfter on.
	granted int
}

// keepPermits has one keeper grant the permits of a fleet.
func keepPermits(fleet []*Limits) *permitKeeper {
	k := &permitKeeper{store: occupancy.NewStore()}
	for _, l := range fleet {
		l.Permit = func(_ string, perSecond float64) (granted bool, retryAfter time.Duration, decided bool) {
			if k.now.Before(k.goneUntil) {
				return false, 0, false
			}
			grant := k.store.Permit(simEngine, perSecond, k.now)
			if grant.Granted && !k.now.Before(start.Add(knownAfter)) {
				k.granted++
			}
			return grant.Granted, grant.RetryAfter, true
		}
	}
	return k
}

// replace has another keeper grant permits after a time.
func (k *permitKeeper) replace(after time.Duration) {
	k.store, k.goneUntil = occupancy.NewStore(), k.now.Add(after)
}

const (
	// knownAfter is the time after which a limit must be kept, by the daemons that got an answer
	// which states it toldBefore or earlier. window is the time over which requests are counted,
	// overage and slack are the bound: overage times what the limit allows in window, plus slack.
	knownAfter = 3 * time.Second
	toldBefore = 500 * time.Millisecond
	window     = 4 * time.Second
	overage    = 1.5
	slack      = 5
)

// mostWithin returns the maximum number of sends within any window.
func mostWithin(times []time.Time) (most int) {
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// tick is the resolution of the simulation.
const tick = 10 * time.Millisecond

// simulate has a fleet send to an engine whose answers state a limit, and returns the times at
// which daemons that knew it sent. wants reports whether a daemon has a request for the engine at
// a time.
func simulate(fleet []*Limits, limit float64, length time.Duration, wants func(daemon int, at time.Duration) bool) (sent []time.Time) {
	told := make([]time.Time, len(fleet))
	for passed := time.Duration(0); passed < length; passed += tick {
		now := start.Add(passed)
		for i, l := range fleet {
			if wants(i, passed) && !l.Throttled("e", now) && l.Take("e", now) {
				if told[i].IsZero() {
					told[i] = now
				}
				if now.Sub(told[i]) >= toldBefore {
					sent = append(sent, now)
				}
				l.Observe(Answer{Engine: "e", Limit: limit, Sent: now, At: now.Add(tick)})
			}
		}
	}
	return sent
}

// after returns the times from knownAfter on.
func after(times []time.Time) []time.Time {
	i := slices.IndexFunc(times, func(at time.Time) bool { return !at.Before(start.Add(knownAfter)) })
	if i < 0 {
		return nil
	}
	return times[i:]
}

// TestLimitHoldsOverAllDaemons draws the size of the fleet, the limit, how the traffic is distributed
// over daemons and time, and how often the keeper of the permits is replaced, if there is one.
func TestLimitHoldsOverAllDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 3, 6, 30, 66}).Draw(t, "daemons")
		limit := rapid.SampledFrom([]float64{0, 0.3, 1.4, 2.5, 2.9, 8, 40}).Draw(t, "limit")
		share := rapid.SampledFrom([]float64{0.002, 0.05, 1}).Draw(t, "share of time with a request")
		pause := time.Duration(rapid.SampledFrom([]int{0, 5, 20}).Draw(t, "pause")) * time.Second
		random := rand.New(rand.NewPCG(uint64(size), rapid.Uint64().Draw(t, "seed")))
		busy := make([]float64, size)
		for i := range busy {
			busy[i] = share * random.Float64()
		}
		fleet := newFleet(size, random.Uint64()%1000)
		var keeper *permitKeeper
		if rapid.Bool().Draw(t, "keeper") {
			keeper = keepPermits(fleet)
		}
		replaceEvery := time.Duration(rapid.SampledFrom([]int{3, 10, 1000}).Draw(t, "replace every")) * time.Second
		gone := time.Duration(rapid.SampledFrom([]int{0, 50, 750}).Draw(t, "gone")) * time.Millisecond
		sent := simulate(fleet, limit, 45*time.Second, func(daemon int, at time.Duration) bool {
			if keeper != nil {
				keeper.now = start.Add(at)
				if daemon == 0 && at%replaceEvery == 0 {
					keeper.replace(gone)
				}
			}
			idle := at > knownAfter && at < knownAfter+pause
			return !idle && random.Float64() < busy[daemon]
		})
		if got, allowed := mostWithin(after(sent)), overage*limit*window.Seconds()+slack; float64(got) > allowed {
			t.Fatalf("%d requests in %v, allowed %v", got, window, allowed)
		}
	})
}

// TestLimitIsUsed checks that a fleet with enough traffic uses most of what a limit allows.
func TestLimitIsUsed(t *testing.T) {
	for _, size := range []int{1, 6, 66} {
		const limit, length = 2.5, 120 * time.Second
		sent := simulate(newFleet(size, 7), limit, length, func(int, time.Duration) bool { return true })
		perSecond := float64(len(after(sent))) / (length - knownAfter).Seconds()
		qt.Check(t, perSecond > 0.9*dividedShare*limit, qt.IsTrue, qt.Commentf("%d daemons send %.2f a second", size, perSecond))
	}
}

// TestGrantedLimitIsUsed guards against permits that lapse at daemons without a request while others
// have some: callers ask random daemons for three times as much as a limit allows.
func TestGrantedLimitIsUsed(t *testing.T) {
	for _, size := range []int{1, 6, 66, 410} {
		const limit, length = 2.5, 120 * time.Second
		random := rand.New(rand.NewPCG(uint64(size), 1))
		fleet := newFleet(size, 7)
		keeper := keepPermits(fleet)
		for _, l := range fleet {
			l.ObserveShared("e", limit, start)
		}
		share := 3 * limit * tick.Seconds() / float64(size)
		simulate(fleet, limit, length, func(_ int, at time.Duration) bool {
			keeper.now = start.Add(at)
			return random.Float64() < share
		})
		perSecond := float64(keeper.granted) / (length - knownAfter).Seconds()
		qt.Check(t, perSecond > 0.9*grantShare*limit, qt.IsTrue, qt.Commentf("%d daemons send %.2f a second", size, perSecond))
	}
}

// TestPartitionedFleetsAreGrantedOneLimit guards against two parts of a partitioned fleet that are
// both granted the whole limit.
func TestPartitionedFleetsAreGrantedOneLimit(t *testing.T) {
	c := qt.New(t)
	live := 60
	l := newFleetLimits(1, func() int { return live }, zerolog.Nop())
	var asked float64
	l.Permit = func(_ string, perSecond float64) (granted bool, retryAfter time.Duration, decided bool) {
		asked = perSecond
		return true, 0, true
	}
	l.Observe(Answer{Engine: "e", Limit: 2, Sent: at(0), At: at(0)})
	c.Assert(l.Take("e", at(1000)), qt.IsTrue)
	c.Check(asked, qt.Equals, grantShare*2)
	live = 15
	c.Assert(l.Take("e", at(2000)), qt.IsTrue)
	c.Check(asked, qt.Equals, grantShare*2/4)
}

// TestRefusedPermitPassesTheEngineOver guards against a daemon that asks for permits that it knows
// are refused, and against one that waits although it may have one.
func TestRefusedPermitPassesTheEngineOver(t *testing.T) {
	c := qt.New(t)
	l, _ := newLimits()
	asked := 0
	l.Permit = func(string, float64) (granted bool, retryAfter time.Duration, decided bool) {
		asked++
		return false, 300 * time.Millisecond, true
	}
	l.Observe(Answer{Engine: "e", Limit: 2, Sent: at(0), At: at(0)})
	c.Check(l.Throttled("e", at(1000)), qt.IsFalse)
	c.Check(l.Take("e", at(1000)), qt.IsFalse)
	c.Check(l.Throttled("e", at(1299)), qt.IsTrue)
	next, _ := l.NextPermit("e", at(1100))
	c.Check(next, qt.Equals, at(1300))
	c.Check(l.Throttled("e", at(1300)), qt.IsFalse)
	c.Check(asked, qt.Equals, 1)
}

// TestIdleFleetSendsNoBurst has all daemons of a fleet send again at the same time.
func TestIdleFleetSendsNoBurst(t *testing.T) {
	fleet := newFleet(100, 3)
	for _, l := range fleet {
		l.Observe(Answer{Engine: "e", Limit: 2, Sent: start, At: start})
	}
	now, sent := start.Add(time.Hour), 0
	for _, l := range fleet {
		if l.Take("e", now) {
			sent++
		}
	}
	qt.Check(t, sent > 0 && sent <= 3*unusedPermits, qt.IsTrue, qt.Commentf("%d sends at once", sent))
}

// TestUnknownFleetSizeSendsNothingToLimitedEngines guards against a daemon that has just started
// and uses the whole limit for itself.
func TestUnknownFleetSizeSendsNothingToLimitedEngines(t *testing.T) {
	c := qt.New(t)
	daemons := 0
	l := newFleetLimits(1, func() int { return daemons }, zerolog.Nop())
	l.Observe(Answer{Engine: "e", Limit: 2, Sent: at(0), At: at(0)})
	c.Check(l.Throttled("e", at(9000)), qt.IsTrue)
	c.Check(l.Take("e", at(9000)), qt.IsFalse)
	c.Check(l.Take("other", at(9000)), qt.IsTrue)
	daemons = 10
	c.Check(l.Take("e", at(9000)), qt.IsFalse, qt.Commentf("the first permit is at a random time"))
	interval := l.engines["e"].interval()
	c.Check(interval.Round(time.Millisecond), qt.Equals, 7143*time.Millisecond)
	first := l.engines["e"].next
	c.Check(first.Before(at(9000).Add(interval)), qt.IsTrue)
	c.Check(l.Throttled("e", first), qt.IsFalse)
	daemons = 4
	c.Check(l.Take("e", first), qt.IsTrue)
	c.Check(l.engines["e"].interval(), qt.Equals, interval, qt.Commentf("a daemon that sees fewer others keeps its share"))
}

// TestChangedLimitScalesTheWait guards against an engine whose limit changes with every answer:
// the wait for the next permit must neither begin anew nor end early.
func TestChangedLimitScalesTheWait(t *testing.T) {
	c := qt.New(t)
	l, _ := newLimits()
	l.Observe(Answer{Engine: "e", Limit: 1, Sent: at(0), At: at(0)})
	e := l.engines["e"]
	e.next = at(1000)
	l.Observe(Answer{Engine: "e", Limit: 2, Sent: at(0), At: at(500)})
	c.Check(e.next, qt.Equals, at(750))
	l.Observe(Answer{Engine: "e", Limit: 2, Sent: at(0), At: at(600)})
	c.Check(e.next, qt.Equals, at(750))
	l.Observe(Answer{Engine: "e", Limit: 0.5, Sent: at(0), At: at(650)})
	c.Check(e.next, qt.Equals, at(1050))
	unused := func(engine string) bool { return engine != "e" }
	l.Retain(unused, at(20))
	l.Retain(unused, at(20).Add(absentLimitTTL))
	c.Check(l.Take("e", at(700)), qt.IsTrue)
}

func TestLimitHoldsUntilALaterRequestIsAnsweredWithoutIt(t *testing.T) {
	c := qt.New(t)
	l, log := newLimits()
	engines := func() float64 { return float64(l.limited.Load()) }
	l.Observe(Answer{Engine: "e", Limit: NoLimit, Sent: at(0), At: at(10)})
	c.Check(log.String(), qt.Equals, "")
	l.Observe(Answer{Engine: "e", Limit: 2.5, Sent: at(0), At: at(20)})
	l.Observe(Answer{Engine: "e", Limit: 2.5, Sent: at(0), At: at(30)})
	c.Check(strings.Count(log.String(), "engine states a request limit"), qt.Equals, 1)
	l.Observe(Answer{Engine: "e", Limit: NoLimit, Sent: at(25), At: at(40)})
	c.Check(engines(), qt.Equals, 1.0, qt.Commentf("the request was sent before the limit was last stated"))
	l.Observe(Answer{Engine: "other", Limit: NoLimit, Sent: at(50), At: at(60)})
	c.Check(engines(), qt.Equals, 1.0)
	l.Observe(Answer{Engine: "e", Limit: NoLimit, Sent: at(50), At: at(60)})
	c.Check(engines(), qt.Equals, 0.0)
	c.Check(strings.Count(log.String(), "engine states no request limit any more"), qt.Equals, 1)
}

func TestRequestsToLimitedEnginesAreCounted(t *testing.T) {
	c := qt.New(t)
	l, _ := newLimits()
	l.Sent("e", false)
	l.Observe(Answer{Engine: "e", Limit: 1, At: at(0)})
	l.Sent("e", false)
	l.Sent("e", true)
	l.Sent("other", true)
	c.Check(testutil.ToFloat64(l.metrics.sends.WithLabelValues(attemptFirst)), qt.Equals, 1.0)
	c.Check(testutil.ToFloat64(l.metrics.sends.WithLabelValues(attemptFurther)), qt.Equals, 1.0)
}

// TestSharedStatementsYieldToRecentAnswers guards against old news from other daemons that end or
// change a limit which the engine has just stated.
func TestSharedStatementsYieldToRecentAnswers(t *testing.T) {
	c := qt.New(t)
	l, _ := newLimits()
	var shared []float64
	l.Share = func(_ string, perSecond float64) { shared = append(shared, perSecond) }
	l.ObserveShared("e", NoLimit, at(0))
	c.Check(l.limited.Load(), qt.Equals, int64(0))
	l.ObserveShared("e", 3, at(0))
	c.Check(l.engines["e"].perSecond, qt.Equals, 3.0)
	l.Observe(Answer{Engine: "e", Limit: NoLimit, Sent: at(-10), At: at(10)})
	c.Check(l.limited.Load(), qt.Equals, int64(1), qt.Commentf("the request was sent before the news of the limit arrived"))
	l.Observe(Answer{Engine: "e", Limit: 2, Sent: at(20), At: at(30)})
	l.ObserveShared("e", NoLimit, at(500))
	l.ObserveShared("e", 9, at(500))
	c.Check(l.engines["e"].perSecond, qt.Equals, 2.0)
	l.ObserveShared("e", NoLimit, at(1500))
	c.Check(l.limited.Load(), qt.Equals, int64(0))
	l.Observe(Answer{Engine: "e", Limit: 2, Sent: at(1600), At: at(1700)})
	l.Observe(Answer{Engine: "e", Limit: NoLimit, Sent: at(1800), At: at(1900)})
	c.Check(shared, qt.DeepEquals, []float64{2, 2, NoLimit})
}

// TestLimitOfAnAbsentEngineIsKept guards against a daemon that forgets a limit while the engine's
// entry is missing for a moment, or before it has learned of the engine, and exceeds it afterwards.
func TestLimitOfAnAbsentEngineIsKept(t *testing.T) {
	c := qt.New(t)
	l, _ := newLimits()
	l.ObserveShared("e", 0.5, at(0))
	c.Assert(l.Throttled("e", at(1)), qt.IsTrue)
	absent, present := func(string) bool { return false }, func(string) bool { return true }
	for begin := 0; begin < 5*int(absentLimitTTL.Milliseconds()); begin += int(absentLimitTTL.Milliseconds()) {
		l.Retain(absent, at(begin))
		l.Retain(absent, at(begin).Add(absentLimitTTL-time.Millisecond))
		l.Retain(present, at(begin).Add(absentLimitTTL-time.Millisecond))
		_, interval := l.NextPermit("e", at(begin))
		c.Check(interval > 0, qt.IsTrue, qt.Commentf("the limit is known after %d ms", begin))
	}
}
