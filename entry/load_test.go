package entry

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/balance"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/occupancy"
)

// newPaceSharer returns the balancer of a daemon that is its own keeper, with the given store.
func newPaceSharer(c *qt.C, name string, store *occupancy.Store, register *bronzeturnv1.Register) (*sharedBalancer, *balance.Plan) {
	state, err := balance.NewState(balanceOptions())
	c.Assert(err, qt.IsNil)
	reserves := func(string) bool { return false }
	return &sharedBalancer{State: state, reserves: reserves, occupancy: occupancy.New(occupancy.Options{
		Self: name, Keeper: func(string) string { return name }, Backups: func(string) []string { return nil }, Reserves: reserves, InFlight: state.OwnLoad, EachInFlight: state.InFlight,
		Store: store, Log: zerolog.Nop(), Registerer: prometheus.NewRegistry(),
	})}, state.Plan(register, nil)
}

// TestPaceReachesOtherDaemonsWithLoad guards against a pace that is measured but not reported, or
// reported but not used in choices.
func TestPaceReachesOtherDaemonsWithLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		register, store := &bronzeturnv1.Register{}, occupancy.NewStore()
		for i := range 3 {
			register.Engines = append(register.Engines, &bronzeturnv1.Engine{Name: engineName(i), Host: engineName(i), Versions: []string{"s"}, Slots: 4, TokensPerSecond: 100})
		}
		a, _ := newPaceSharer(c, "a", store, register)
		b, plan := newPaceSharer(c, "b", store, register)
		work := balance.Work{PromptTokens: 300, ExpectedTokens: 100}
		measure := func(engine int, ratio float64, cancelled bool) {
			a.Dispatched(balance.Dispatched{Engine: engineName(engine), Work: work, At: time.Now()})
			a.Finished(balance.Finished{Engine: engineName(engine), Work: work, PaceRatio: ratio, Cancelled: cancelled, At: time.Now()})
		}
		for range 40 {
			for i, ratio := range []float64{1.6, 1, 0.625} {
				measure(i, ratio, false)
				measure(i, 1/ratio, true)
			}
			// The last reports are sent with the next request, as the client is not run.
			a.Dispatched(balance.Dispatched{Engine: engineName(0), Work: work, At: time.Now()})
			a.Finished(balance.Finished{Engine: engineName(0), Work: work, At: time.Now()})
		}
		rng, used := rand.New(rand.NewPCG(1, 2)), time.Duration(0)
		for range 5 {
			d, ok := b.Choose(plan, &balance.Request{Version: "s", Work: work}, time.Now(), rng)
			c.Assert(ok, qt.IsTrue)
			c.Check(d.Engine.GetName(), qt.Equals, engineName(2))
			used = d.ExpectedAnswer
			time.Sleep(time.Second)
		}
		c.Check(used < 750*time.Millisecond, qt.IsTrue, qt.Commentf("%v for an answer of 1 s at pace 1", used))
	})
}

// TestMeanLoadIsNotThatOfAMoment guards against an estimate of the fleet's load that changes by the
// number of daemons with each request, and against one that is late when many requests come.
func TestMeanLoadIsNotThatOfAMoment(t *testing.T) {
	c := qt.New(t)
	var m meanLoad
	now := time.Unix(1000, 0)
	c.Check(m.observe(1, now), qt.Equals, 1.0)
	for n := range 100 {
		now = now.Add(reviewInterval)
		load := m.observe(int64(n%4/3), now) // One request in a quarter of the time.
		if n > 50 {
			c.Check(load > 0.15 && load < 0.35, qt.IsTrue, qt.Commentf("%v", load))
		}
	}
	c.Check(m.observe(10, now.Add(reviewInterval)) >= 9, qt.IsTrue)
}
