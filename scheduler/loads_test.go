package scheduler_test

import (
	"testing"
	"time"
)

const (
	ms      = time.Millisecond
	hop     = 5 * ms // from a daemon to the coordinator or an engine
	target  = 300 * ms
	patient = 1500 * ms // from a caller's first try to its deadline
)

var start = time.Unix(1000, 0)

// load is a stream of callers.
type load struct {
	org     string
	rank    int
	rate    float64 // new callers per second
	work    time.Duration
	daemons []string
	// returns is how often a caller comes back, repeats how often it does so at once instead.
	returns, repeats int
	wait, deadline   time.Duration // 0 for target less work and for patient
	from, burst      int           // callers at once at the time from, in ms
}

// tally counts what became of a load's callers after the warm-up.
type tally struct {
	callers, tries, served, inTime, toldServed, toldTries, newServed, refused, late int
	slowestRefusal                                                                  time.Duration
	took                                                                            []time.Duration
}

func (t *tally) share(n, of int) float64 { return float64(n) / float64(max(1, of)) }

type caller struct {
	*load
	key             uint64
	born            time.Time
	came            time.Time
	work            time.Duration
	returns, repeat int
	told            bool
}

func (p *play) newCaller(l *load) *caller {
	p.seq++
	work := time.Duration(float64(l.work) * (1 + p.noise*(2*p.rng.Float64()-1)))
	return &caller{load: l, key: uint64(p.seq), born: p.now, work: work, returns: l.returns, repeat: l.repeats}
}

func (p *play) count(c *caller, add func(t *tally)) {
	if !c.born.Before(p.warm) && c.born.Before(p.end) {
		add(p.tallies[c.load])
	}
}

func (p *play) log(t *testing.T, busy float64, loads ...*load) {
	for _, l := range loads {
		c := p.tallies[l]
		t.Logf("%s: callers %d tries %d served %d in time %.3f; told: tries %d served %d; new served %d; refused %d, after 50 ms %d, slowest %v",
			l.org, c.callers, c.tries, c.served, c.share(c.inTime, c.callers), c.toldTries, c.toldServed, c.newServed, c.refused, c.late, c.slowestRefusal)
	}
	t.Logf("busy %.3f, refused by full engines %d", busy, p.full)
}
