package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	playTime = 30 * time.Second
	// With the shorter time, the shares of two kinds of callers differ by 3 in 100 by chance.
	compareTime = 200 * time.Second
)

func others(n int, rate float64, daemons ...string) []*load {
	var list []*load
	for i := range n {
		list = append(list, &load{org: fmt.Sprint("org", i), rate: rate, work: 100 * ms, daemons: daemons})
	}
	return list
}

var four = []string{"a", "b", "c", "d"}

// One organisation that sends 25 times as much as each of five others must not take their
// capacity, whether it uses all daemons or two.
func TestDominantOrganisation(t *testing.T) {
	for _, daemons := range [][]string{four, four[:2]} {
		t.Run(fmt.Sprint(len(daemons), " daemons"), func(t *testing.T) {
			c := qt.New(t)
			p := newPlay(c, 1, 1, 1, 1)
			small := others(5, 16, four...)
			large := &load{org: "large", rate: 400, work: 100 * ms, daemons: daemons, returns: 4}
			busy := p.run(playTime, append(small, large)...)
			p.log(t, busy, append(small, large)...)
			for _, l := range small {
				c.Check(p.tallies[l].share(p.tallies[l].inTime, p.tallies[l].callers) >= 0.95, qt.IsTrue, qt.Commentf(l.org))
			}
			c.Check(busy >= 0.8, qt.IsTrue)
			c.Check(p.full, qt.Equals, 0)
		})
	}
}

// Less urgent work that exceeds the capacity must not delay urgent work.
func TestUrgentBesideLessUrgent(t *testing.T) {
	c := qt.New(t)
	p := newPlay(c, 1, 1, 1, 1)
	urgent := &load{org: "urgent", rate: 80, work: 100 * ms, daemons: four}
	other := &load{org: "other", rank: 1, rate: 400, work: 100 * ms, daemons: four, returns: 4}
	busy := p.run(playTime, urgent, other)
	p.log(t, busy, urgent, other)
	u := p.tallies[urgent]
	c.Check(u.share(u.inTime, u.callers) >= 0.97, qt.IsTrue)
	c.Check(busy >= 0.8, qt.IsTrue)
}

// Engines of different speeds must get work according to their speed.
func TestEnginesOfDifferentSpeeds(t *testing.T) {
	c := qt.New(t)
	p := newPlay(c, 0.4, 0.4, 1, 1, 2, 2)
	p.noise = 0.3
	rate := 0.95 * 4 * 2 * 3.4 / 0.1
	l := &load{org: "one", rate: rate, work: 100 * ms, daemons: four, wait: 400 * ms}
	busy := p.run(playTime, l)
	p.log(t, busy, l)
	u, fast := p.tallies[l], 0
	for _, d := range u.took {
		if d <= 500*ms {
			fast++
		}
	}
	t.Logf("within 5 mean runs: %.3f", u.share(fast, u.callers))
	c.Check(u.share(fast, u.callers) >= 0.9, qt.IsTrue)
}

// Callers that return when told must not lose against new ones, and refusals must be early.
func TestReturningCallers(t *testing.T) {
	for _, organisations := range []int{1, 5} {
		t.Run(fmt.Sprint(organisations, " organisations"), func(t *testing.T) {
			c := qt.New(t)
			p := newPlay(c, 1, 1, 1, 1)
			loads := others(organisations, 320/float64(organisations), four...)
			for _, l := range loads {
				l.returns = 4
			}
			busy := p.run(playTime, loads...)
			p.log(t, busy, loads...)
			sum := total(p, loads)
			t.Logf("told served %.3f, new served %.3f, of tries %.3f", sum.share(sum.toldServed, sum.toldTries),
				sum.share(sum.newServed, sum.callers), sum.share(sum.served, sum.tries))
			c.Check(sum.toldServed*sum.callers >= sum.newServed*sum.toldTries, qt.IsTrue)
			c.Check(sum.toldTries >= sum.callers/10, qt.IsTrue, qt.Commentf("too few appointments"))
			c.Check(3*sum.served >= sum.tries, qt.IsTrue)
			c.Check(sum.slowestRefusal < 500*ms, qt.IsTrue)
			c.Check(busy >= 0.8, qt.IsTrue)
		})
	}
}

func total(p *play, loads []*load) *tally {
	sum := &tally{}
	for _, l := range loads {
		u := p.tallies[l]
		sum.callers += u.callers
		sum.tries += u.tries
		sum.served += u.served
		sum.inTime += u.inTime
		sum.toldTries += u.toldTries
		sum.toldServed += u.toldServed
		sum.newServed += u.newServed
		sum.slowestRefusal = max(sum.slowestRefusal, u.slowestRefusal)
	}
	return sum
}

// Callers that repeat a refused request at once must gain nothing over callers that wait,
// neither within an organisation nor as an organisation of their own.
func TestRepeatingAtOnceGainsNothing(t *testing.T) {
	for _, org := range []string{"same", "other"} {
		t.Run(org, func(t *testing.T) {
			c := qt.New(t)
			p := newPlay(c, 1, 1, 1, 1)
			obeying := &load{org: "same", rate: 256, work: 100 * ms, daemons: four, returns: 4}
			repeating := &load{org: org, rate: 64, work: 100 * ms, daemons: four, returns: 4, repeats: 3}
			length := compareTime
			if org == "other" {
				repeating.rate, length = 256, playTime
			}
			busy := p.run(length, obeying, repeating)
			p.log(t, busy, obeying, repeating)
			o, r := p.tallies[obeying], p.tallies[repeating]
			t.Logf("obeying %.3f repeating %.3f", o.share(o.served, o.callers), r.share(r.served, r.callers))
			c.Check(r.share(r.served, r.callers) <= o.share(o.served, o.callers)+0.01, qt.IsTrue)
		})
	}
}

// Requests of 20 times the work must run beside small ones that would fill the engines: nearly
// all where their organisation asks for little, its share of the slots where it asks for more.
func TestLargeAmongSmall(t *testing.T) {
	for name, rate := range map[string]float64{"little": 0.25, "more than its share": 4} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newPlay(c, 1, 1, 1, 1)
			small := others(4, 100, four...)
			large := &load{
				org: "large", rate: rate, work: 2 * time.Second, daemons: four,
				wait: 400 * ms, deadline: 6 * time.Second, returns: 4,
			}
			busy := p.run(playTime, append(small, large)...)
			p.log(t, busy, append(small, large)...)
			l := p.tallies[large]
			slots := large.work.Seconds() / playTime.Seconds() / 16 // used by one request
			t.Logf("part of the slots: %.3f", float64(l.served)*slots)
			c.Check(float64(l.served)*slots >= min(0.95*float64(l.callers)*slots, 0.85/5), qt.IsTrue)
			c.Check(busy >= 0.8, qt.IsTrue)
		})
	}
}

// After a loss all callers come at once. The engines must be used, and those that can't be
// served be refused at once.
func TestAllAtOnce(t *testing.T) {
	c := qt.New(t)
	p := newPlay(c, 1, 1, 1, 1)
	base := others(5, 16, four...)
	crowd := &load{org: "crowd", work: 100 * ms, daemons: four, returns: 4, from: 5000, burst: 3000}
	busy := p.run(playTime, append(base, crowd)...)
	p.log(t, busy, append(base, crowd)...)
	sum := total(p, base)
	c.Check(sum.share(sum.inTime, sum.callers) >= 0.95, qt.IsTrue)
	u := p.tallies[crowd]
	c.Check(u.slowestRefusal < 500*ms, qt.IsTrue)
	// The others leave half of the capacity, 80 runs per second. Of the crowd, 16 can start
	// within their 200 ms, and 20 have appointments within their 500 ms at half the rate.
	c.Check(u.served >= 36, qt.IsTrue)
	c.Check(p.full, qt.Equals, 0)
}
