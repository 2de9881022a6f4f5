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

// newPacer returns the pacer of one daemon of a fleet as it sees it.
func newPacer(seed uint64, perSecond float64, daemons func() int) *Pacer {
	return New(Options{
		Limit:   func(string) Limit { return Limit{For: 3 * time.Second, PerSecond: perSecond} },
		Daemons: daemons, Random: rand.New(rand.NewPCG(seed, 1)), Registerer: prometheus.NewRegistry(),
	})
}

// fleetOf returns the pacers of a fleet that knows itself.
func fleetOf(size int, perSecond float64, seed uint64) []*Pacer {
	all := make([]*Pacer, size)
	for i := range all {
		all[i] = newPacer(seed*10_000+uint64(i), perSecond, func() int { return size })
	}
	return all
}

// mostInASecond returns the most of the times in any second.
func mostInASecond(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// tick is the time between two requests that all daemons have at the same moment.
const tick = 2 * time.Millisecond

// TestHerdOfDaemonsBeforeColdEngines has every daemon of a fleet see some engines idle and
// cold at the same moment, with requests for each all the time. No engine gets more within
// any second than it bears, and none is left out.
func TestHerdOfDaemonsBeforeColdEngines(t *testing.T) {
	const perSecond, cold = 29, 3 * time.Second
	for _, test := range []struct{ daemons, engines int }{{1, 5}, {6, 9}, {75, 60}, {300, 5}, {300, 60}, {300, 300}} {
		t.Run(fmt.Sprintf("%d daemons, %d engines", test.daemons, test.engines), func(t *testing.T) {
			c := qt.New(t)
			fleet := fleetOf(test.daemons, perSecond, 7)
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
				c.Check(mostInASecond(times) <= perSecond, qt.IsTrue, qt.Commentf("engine %d got %d in a second", e, mostInASecond(times)))
				c.Check(len(times) > 0, qt.IsTrue)
			}
		})
	}
}

// TestEqualSharesWouldComeTogether is the way that was not taken: a share of the rate for
// each daemon, used at once by all that see an engine idle and cold at the same moment.
func TestEqualSharesWouldComeTogether(t *testing.T) {
	const daemons, perSecond = 75, 29
	gap := time.Duration(daemons / rate(perSecond) * float64(time.Second))
	var sent []time.Time
	for range daemons {
		for at := start; at.Before(start.Add(3 * time.Second)); at = at.Add(gap) {
			sent = append(sent, at)
		}
	}
	slices.SortFunc(sent, time.Time.Compare)
	qt.Check(t, mostInASecond(sent), qt.Equals, daemons)
}

// TestSumOverDaemonsHolds divides any traffic in any way among the daemons of a fleet.
// Some of them are cut off from the others, some learn late that the engine is cold; the
// sum over all of them stays within the bound in every second.
func TestSumOverDaemonsHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 300).Draw(t, "daemons")
		perSecond := float64(rapid.IntRange(5, 60).Draw(t, "bound"))
		cutOff := rapid.IntRange(0, size).Draw(t, "cut off")
		late := time.Duration(rapid.IntRange(0, 500).Draw(t, "late")) * time.Millisecond
		busy := rapid.IntRange(1, size).Draw(t, "daemons with traffic")
		seed := rapid.Uint64().Draw(t, "seed")
		live := size
		fleet := make([]*Pacer, size)
		for i := range fleet {
			fleet[i] = newPacer(seed+uint64(i), perSecond, func() int { return live })
			fleet[i].SetCold("warm-before", service, time.Second, start)
		}
		// The daemons that are cut off see themselves alone from here on.
		for i := range cutOff {
			fleet[i].Daemons = func() int { return 1 }
		}
		var sent []time.Time
		for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(tick) {
			for i, p := range fleet[:busy] {
				told := start
				if i%2 == 1 {
					told = start.Add(late)
				}
				if now.Before(told) {
					continue
				}
				if now.Sub(told) < tick {
					p.SetCold("e", service, 3*time.Second, now)
				}
				if p.Take("e", now) {
					sent = append(sent, now)
				}
			}
		}
		if most := mostInASecond(sent); most > int(perSecond) {
			t.Fatalf("%d requests within a second, %v allowed", most, perSecond)
		}
	})
}

func TestDaemonThatDoesNotKnowTheFleetSendsNothingToAColdEngine(t *testing.T) {
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

func TestColdEngineTurnsWarm(t *testing.T) {
	c := qt.New(t)
	// A huge fleet has next to no share.
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

func TestEngineThatTookNoConnectionCountsAsCold(t *testing.T) {
	c := qt.New(t)
	p := newPacer(1, 29, func() int { return 1 << 30 })
	c.Check(p.Unreachable("e", service, start), qt.IsTrue)
	c.Check(p.Throttled("e", start.Add(2999*time.Millisecond)), qt.IsTrue)
	c.Check(p.Throttled("e", start.Add(3*time.Second)), qt.IsFalse)
}

func TestServiceWithoutALimitIsNotPaced(t *testing.T) {
	c := qt.New(t)
	p := newPacer(1, 0, func() int { return 10 })
	p.SetCold("e", service, time.Hour, start)
	c.Check(p.Take("e", start), qt.IsTrue)
	c.Check(p.Throttled("e", start), qt.IsFalse)
}

func TestLimitThatComesAfterTheEngineHolds(t *testing.T) {
	c := qt.New(t)
	p := newPacer(1, 0, func() int { return 1 << 30 })
	p.SetCold("e", service, time.Hour, start)
	p.Limit = func(string) Limit { return Limit{PerSecond: 29} }
	for range 10 {
		c.Check(p.Take("e", start), qt.IsFalse)
	}
	c.Check(p.Throttled("e", start), qt.IsTrue)
}

// BenchmarkPassed is what a choice pays for each engine that it looks at.
func BenchmarkPassed(b *testing.B) {
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
