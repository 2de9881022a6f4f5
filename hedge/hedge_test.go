package hedge

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bronzeturn/bronzeturn/retry"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "200")
	flag.Parse()
	os.Exit(m.Run())
}

var epoch = time.Unix(1_800_000_000, 0)

const kind = "quick"

// trained returns a policy that has observed latencies of 100 ms and whose budget
// allows many hedges.
func trained(t testing.TB) *Policy {
	o := DefaultOptions()
	o.Budget = retry.BudgetOptions{Share: 1, Burst: 100}
	p, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	for range 200 {
		p.Answered(Answered{Kind: kind, Latency: 100 * time.Millisecond})
		p.Request(epoch)
	}
	return p
}

func TestNext(t *testing.T) {
	slow := Request{Kind: kind, Idempotent: true, HedgingEnabled: true, Delay: 100 * time.Millisecond, Elapsed: time.Second, Left: time.Minute}
	tests := []struct {
		name   string
		change func(*Request)
		reason Reason
	}{
		{"slow", func(*Request) {}, ReasonSlow},
		{"not enabled", func(r *Request) { r.HedgingEnabled = false }, ReasonNotEnabled},
		{"not idempotent", func(r *Request) { r.Idempotent = false }, ReasonNotIdempotent},
		{"answer begun", func(r *Request) { r.BytesSent = 1 }, ReasonAnswerBegun},
		{"unmeasured kind", func(r *Request) { r.Delay = 0 }, ReasonUnmeasured},
		{"early", func(r *Request) { r.Elapsed = 10 * time.Millisecond }, ReasonEarly},
		{"no time left", func(r *Request) { r.SecondAnswer = time.Hour }, ReasonDeadline},
		{"engines busy", func(r *Request) { r.SecondWait = time.Millisecond }, ReasonBusy},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := slow
			test.change(&r)
			hedge, reason := trained(t).Next(r, epoch)
			c.Assert(reason, qt.Equals, test.reason)
			c.Assert(hedge, qt.Equals, test.reason == ReasonSlow)
		})
	}
}

func TestBudgetBoundsTheHedges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, err := New(DefaultOptions())
		if err != nil {
			t.Fatal(err)
		}
		requests, hedges := rapid.IntRange(100, 2000).Draw(t, "requests"), 0
		for range requests {
			p.Request(epoch)
			p.Answered(Answered{Kind: kind, Latency: 100 * time.Millisecond})
			r := Request{Kind: kind, Idempotent: true, HedgingEnabled: true, Delay: time.Second, Elapsed: time.Minute, Left: time.Minute}
			if hedge, _ := p.Next(r, epoch); hedge {
				hedges++
			}
		}
		if most := int(p.options.Budget.Share*float64(requests)) + 1; hedges > most {
			t.Fatalf("%d hedges of %d requests", hedges, requests)
		}
	})
}

func TestDelayFollowsTheQuantile(t *testing.T) {
	c := qt.New(t)
	p, err := New(DefaultOptions())
	c.Assert(err, qt.IsNil)
	rng := rand.New(rand.NewPCG(1, 2))
	// The estimate fluctuates by design, so its mean over many answers is checked.
	feed := func(scale time.Duration) float64 {
		sum := 0.0
		for i := range 10_000 {
			p.Answered(Answered{Kind: kind, Latency: time.Duration(rng.Float64() * float64(scale))})
			if delay, ok := p.Delay(kind); ok && i >= 5000 {
				sum += delay.Seconds() / scale.Seconds()
			}
		}
		return sum / 5000
	}
	for _, scale := range []time.Duration{time.Second, 3 * time.Second, 500 * time.Millisecond} {
		share := feed(scale)
		c.Assert(share > 0.87 && share < 0.93, qt.IsTrue, qt.Commentf("%.3f of %v", share, scale))
	}
}
