package slowstart

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "60")
	flag.Parse()
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

const service = "s"

// newPacer returns the pacer of one daemon. The function daemons returns the fleet size that
// the daemon sees.
func newPacer(seed uint64, perSecond float64, daemons func() int) *Pacer {
	return New(Options{
		Limit:   func(string) Limit { return Limit{For: 3 * time.Second, PerSecond: perSecond} },
		Daemons: daemons, Random: rand.New(rand.NewPCG(seed, 1)), Registerer: prometheus.NewRegistry(),
	})
}

// newFleet returns the pacers of a fleet whose daemons all know its size.
func newFleet(size int, perSecond float64, seed uint64) []*Pacer {
	all := make([]*Pacer, size)
	for i := range all {
		all[i] = newPacer(seed*10_000+uint64(i), perSecond, func() int { return size })
	}
	return all
}

// maxPerSecond returns the maximum number of times within any second.
func maxPerSecond(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// tick is the interval at which all daemons simultaneously have a request.
const tick = 2 * time.Millisecond

// TestRateLimitHoldsWhenAllDaemonsFindEnginesCold guards against overload of cold engines
// when all daemons see them idle at the same moment and have requests all the time. No
// engine may get more than the limit within any second, and each must get some requests.
func TestRateLimitHoldsWhenAllDaemonsFindEnginesCold(t *testing.T) {
	const perSecond, cold = 29, 3 * time.Second
	for _, test := range []struct{ daemons, engines int }{{1, 5}, {6, 9}, {75, 60}, {300, 5}, {300, 60}, {300, 300}} {
		t.Run(fmt.Sprintf("%d daemons, %d engines", test.daemons, test.engines), func(t *testing.T) {
			c := qt.New(t)
			fleet := newFleet(test.daemons, perSecond, 7)
			sent := make(map[string][]time.Time)
			for e := range test.engines {
				for _, p := range fleet {
					p.SetCold(fmt.Sprint(e), service, cold, start)
				}
			}
			for now := start; now.Before(start.Add(cold)); now = now.Add(10 * tick) {
				for e := range test.engines {
					name := fmt.Sprint(e)
					for _, p := range fleet {
						if !p.Throttled(name, now) && p.Take(name, now) {
							sent[name] = append(sent[name], now)
						}
					}
				}
			}
			for e := range test.engines {
				times := sent[fmt.Sprint(e)]
				c.Check(maxPerSecond(times) <= perSecond, qt.IsTrue, qt.Commentf("engine %d got %d in a second", e, maxPerSecond(times)))
				c.Check(len(times) > 0, qt.IsTrue)
			}
		})
	}
}

// TestEqualSharesExceedLimit shows why the waits are random. With a fixed share of the rate
// per daemon, all daemons that see an engine cold at the same moment send to it at once.
func TestEqualSharesExceedLimit(t *testing.T) {
	const daemons, perSecond = 75, 29
	gap := time.Duration(daemons / targetRate(perSecond) * float64(time.Second))
	var sent []time.Time
	for range daemons {
		for at := start; at.Before(start.Add(3 * time.Second)); at = at.Add(gap) {
			sent = append(sent, at)
		}
	}
	slices.SortFunc(sent, time.Time.Compare)
	qt.Check(t, maxPerSecond(sent), qt.Equals, daemons)
}

// TestRateLimitHoldsOverAllDaemons checks that the requests of all daemons together stay
// within the limit in every second, whatever the distribution of the traffic, if some
// daemons are partitioned from the others and some learn late that the engine is cold.
func TestRateLimitHoldsOverAllDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 300).Draw(t, "daemons")
		perSecond := float64(rapid.IntRange(5, 60).Draw(t, "limit"))
		partitioned := rapid.IntRange(0, size).Draw(t, "partitioned")
		late := time.Duration(rapid.IntRange(0, 500).Draw(t, "late")) * time.Millisecond
		busy := rapid.IntRange(1, size).Draw(t, "daemons with traffic")
		seed := rapid.Uint64().Draw(t, "seed")
		live := size
		fleet := make([]*Pacer, size)
		for i := range fleet {
			fleet[i] = newPacer(seed+uint64(i), perSecond, func() int { return live })
			fleet[i].SetCold("warm-before", service, time.Second, start)
		}
		// Partitioned daemons see only themselves from here on.
		for i := range partitioned {
			fleet[i].Daemons = func() int { return 1 }
		}
		var sent []time.Time
		for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(tick) {
			for i, p := range fleet[:busy] {
				coldAt := start
				if i%2 == 1 {
					coldAt = start.Add(late)
				}
				if now.Before(coldAt) {
					continue
				}
				if now.Sub(coldAt) < tick {
					p.SetCold("e", service, 3*time.Second, now)
				}
				if p.Take("e", now) {
					sent = append(sent, now)
				}
			}
		}
		if most := maxPerSecond(sent); most > int(perSecond) {
			t.Fatalf("%d requests within a second, %v allowed", most, perSecond)
		}
	})
}

func TestUnknownFleetSizeSendsNothingToColdEngine(t *testing.T) {
	c := qt.New(t)
	live := 0
	p := newPacer(1, 29, func() int { return live })
	p.SetCold("e", service, time.Hour, start)
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Second) {
		c.Check(p.Throttled("e", now), qt.IsTrue)
		c.Check(p.Take("e", now), qt.IsFalse)
	}
	live = 10
	now := start.Add(time.Minute)
	c.Check(p.Throttled("e", now), qt.IsFalse)
	p.Take("e", now)
	sent := 0
	for range 60 {
		now = now.Add(time.Second)
		if p.Take("e", now) {
			sent++
		}
	}
	c.Check(sent > 20, qt.IsTrue, qt.Commentf("%d sends within a minute", sent))
}

func TestColdEngineBecomesWarm(t *testing.T) {
	c := qt.New(t)
	// In a huge fleet, the share of one daemon is negligible.
	p := newPacer(1, 29, func() int { return 1 << 30 })
	c.Check(p.SetCold("e", service, 2*time.Second, start), qt.IsTrue)
	c.Check(p.SetCold("e", service, time.Second, start.Add(time.Second)), qt.IsFalse)
	c.Check(p.Throttled("e", start.Add(1999*time.Millisecond)), qt.IsTrue)
	c.Check(p.Throttled("other", start), qt.IsFalse)
	c.Check(p.Take("other", start), qt.IsTrue)
	c.Check(p.Throttled("e", start.Add(2*time.Second)), qt.IsFalse)
	c.Check(p.Take("e", start.Add(2*time.Second)), qt.IsTrue)
	c.Check(p.Expire(start.Add(2*time.Second)), qt.DeepEquals, []string{"e"})
	c.Check(p.Expire(start.Add(2*time.Second)), qt.HasLen, 0)

	p.SetCold("e", service, 2*time.Second, start)
	c.Check(p.SetCold("e", service, 0, start), qt.IsTrue)
	c.Check(p.Take("e", start), qt.IsTrue)
}

func TestUnreachableEngineCountsAsCold(t *testing.T) {
	c := qt.New(t)
	p := newPacer(1, 29, func() int { return 1 << 30 })
	c.Check(p.Unreachable("e", service, start), qt.IsTrue)
	c.Check(p.Throttled("e", start.Add(2999*time.Millisecond)), qt.IsTrue)
	c.Check(p.Throttled("e", start.Add(3*time.Second)), qt.IsFalse)
}

func TestServiceWithoutLimitIsNotThrottled(t *testing.T) {
	c := qt.New(t)
	p := newPacer(1, 0, func() int { return 10 })
	p.SetCold("e", service, time.Hour, start)
	c.Check(p.Take("e", start), qt.IsTrue)
	c.Check(p.Throttled("e", start), qt.IsFalse)
}

func TestLimitSetAfterEngineBecameColdApplies(t *testing.T) {
	c := qt.New(t)
	p := newPacer(1, 0, func() int { return 1 << 30 })
	p.SetCold("e", service, time.Hour, start)
	p.Limit = func(string) Limit { return Limit{PerSecond: 29} }
	for range 10 {
		c.Check(p.Take("e", start), qt.IsFalse)
	}
	c.Check(p.Throttled("e", start), qt.IsTrue)
}

// BenchmarkThrottled measures the check that is made for each engine that is considered.
func BenchmarkThrottled(b *testing.B) {
	for _, cold := range []int{0, 60} {
		b.Run(fmt.Sprintf("%d cold engines", cold), func(b *testing.B) {
			p := newPacer(1, 29, func() int { return 75 })
			for e := range cold {
				p.SetCold(fmt.Sprint(e), service, time.Hour, start)
			}
			for b.Loop() {
				p.Throttled("7", start)
			}
		})
	}
}
