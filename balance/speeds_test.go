package balance

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// unlikeSpeeds are the speeds of three engines whose paces are reported by reportSpeeds.
var unlikeSpeeds = []float64{0.6, 1, 1.6}

func reportSpeeds(s *State, at time.Time) {
	reportPaces(s, 1e6, at, 1/unlikeSpeeds[0], 1/unlikeSpeeds[1], 1/unlikeSpeeds[2])
}

// TestQueuesGrowInProportionToSpeed guards against a backlog that ends much later at slow engines
// than at fast ones: a burst of requests far above the slots is spread so that all queues end at
// the same time.
func TestQueuesGrowInProportionToSpeed(t *testing.T) {
	c := qt.New(t)
	s, rng := newState(c), newRand()
	p := s.Plan(newRegister(3), nil)
	reportSpeeds(s, epoch)
	const requests = 640
	sent := make([]float64, len(unlikeSpeeds))
	for range requests {
		d, _ := s.Choose(p, newRequest(), epoch, rng)
		send(s, d.Engine.GetName(), 1, epoch)
		sent[d.Index]++
	}
	for i, speed := range unlikeSpeeds {
		want := requests * speed / (unlikeSpeeds[0] + unlikeSpeeds[1] + unlikeSpeeds[2])
		c.Check(math.Abs(sent[i]/want-1) < 0.1, qt.IsTrue, qt.Commentf("speed %v: %v requests, %v are in proportion", speed, sent[i], want))
	}
}

// TestSlowHomeIsLeftForAFasterAnswer guards against requests that stay at the slow engine that
// holds their prefix when another one would end them sooner by more than the prefix is worth.
func TestSlowHomeIsLeftForAFasterAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := mustState(t)
		p := s.Plan(newRegister(3), nil)
		reportSpeeds(s, epoch)
		for _, e := range p.engines {
			send(s, e.name, rapid.IntRange(0, 20).Draw(t, "in progress"), epoch)
		}
		r := newRequest()
		r.Work.PromptTokens = int64(rapid.IntRange(400, 8000).Draw(t, "prompt"))
		r.Work.ExpectedTokens = int64(rapid.IntRange(1, 500).Draw(t, "answer"))
		r.PrefixHash, r.Homes[0] = 77, "engine-0"
		r.PrefixWorth = time.Duration(rapid.IntRange(0, 2000).Draw(t, "worth")) * time.Millisecond
		end := func(candidates ...string) (string, time.Duration) {
			only := *r
			copy(only.Candidates[:], candidates)
			d, ok := s.Choose(p, &only, epoch, newRand())
			if !ok {
				t.Fatal("no engine")
			}
			return d.Engine.GetName(), d.ExpectedAnswer + d.Backlog
		}
		chosen, _ := end("engine-0", "engine-1", "engine-2")
		_, home := end("engine-0")
		// The engines are in different data centres; other ones must be better by RemoteThreshold.
		for _, other := range []string{"engine-1", "engine-2"} {
			_, elsewhere := end(other)
			if limit := r.PrefixWorth + s.options.RemoteThreshold + time.Microsecond; chosen == "engine-0" && home > elsewhere+limit {
				t.Fatalf("%v at the home, %v at %s", home, elsewhere, other)
			}
		}
	})
}
