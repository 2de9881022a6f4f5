package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bronzeturn/bronzeturn/failure"
)

var epoch = time.Unix(1_800_000_000, 0)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func fullBudget() *Budget {
	return NewBudget(BudgetOptions{FloorPerSecond: 100, Burst: 100})
}

func TestNext(t *testing.T) {
	ok := Attempt{Kind: KindConnect, Ran: failure.RanNo, Number: 1, Left: time.Minute}
	tests := []struct {
		name   string
		change func(*Attempt)
		again  bool
		reason Reason
	}{
		{"not run", func(*Attempt) {}, true, ReasonNotRun},
		{"ran and idempotent", func(a *Attempt) { a.Ran, a.Idempotent = failure.RanYes, true }, true, ReasonIdempotent},
		{"unknown and idempotent", func(a *Attempt) { a.Ran, a.Idempotent = failure.RanUnknown, true }, true, ReasonIdempotent},
		{"unknown and not idempotent", func(a *Attempt) { a.Ran = failure.RanUnknown }, false, ReasonMayHaveRun},
		{"unset and not idempotent", func(a *Attempt) { a.Ran = "" }, false, ReasonMayHaveRun},
		{"answer begun", func(a *Attempt) { a.Idempotent, a.BytesSent = true, 1 }, false, ReasonAnswerBegun},
		{"request rejected", func(a *Attempt) { a.Kind = KindRejected }, false, ReasonRejected},
		{"caller disconnected", func(a *Attempt) { a.Kind = KindCancelled }, false, ReasonCancelled},
		{"attempts used", func(a *Attempt) { a.Number = 3 }, false, ReasonAttemptsUsed},
		{"no time left", func(a *Attempt) { a.Left = 10 * time.Millisecond }, false, ReasonDeadline},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			a := ok
			test.change(&a)
			again, _, reason := DefaultPolicy().Next(a, fullBudget(), epoch, newRand())
			c.Assert(again, qt.Equals, test.again)
			c.Assert(reason, qt.Equals, test.reason)
		})
	}
}

func TestNextNeverWaitsBeyondTheDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := DefaultPolicy()
		p.MaxAttempts = 20
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		a := Attempt{
			Kind:   KindConnect,
			Ran:    failure.RanNo,
			Number: rapid.IntRange(1, 19).Draw(t, "number"),
			Left:   time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "left")),
		}
		again, wait, _ := p.Next(a, fullBudget(), epoch, rng)
		if again && wait+p.MinAttempt > a.Left {
			t.Fatalf("wait %v with %v left", wait, a.Left)
		}
		if wait > p.Backoff.Bound(a.Number) || wait > p.Backoff.Max {
			t.Fatalf("wait %v above its bound", wait)
		}
	})
}

func TestBackoffCoversTheWholeRange(t *testing.T) {
	c := qt.New(t)
	b := Backoff{Base: 100 * time.Millisecond, Max: time.Second}
	c.Assert(b.Bound(1), qt.Equals, 100*time.Millisecond)
	c.Assert(b.Bound(3), qt.Equals, 400*time.Millisecond)
	c.Assert(b.Bound(60), qt.Equals, time.Second)
	rng := newRand()
	low, high := 0, 0
	for range 1000 {
		switch wait := b.Wait(3, rng); {
		case wait < 100*time.Millisecond:
			low++
		case wait > 300*time.Millisecond:
			high++
		}
	}
	c.Assert(low > 200 && high > 200, qt.IsTrue, qt.Commentf("%d low, %d high", low, high))
}

func TestBudgetGrantsShareOfRequestsAndFloor(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(DefaultBudgetOptions())
	now := epoch
	requests, granted := 0, 0
	for range 10_000 { // 10 s at 1000 requests per second, all of which fail
		now = now.Add(time.Millisecond)
		b.Request(now)
		requests++
		if b.Take(now) {
			granted++
		}
	}
	c.Assert(granted <= requests/10+11, qt.IsTrue, qt.Commentf("%d", granted))
	c.Assert(granted >= requests/10, qt.IsTrue, qt.Commentf("%d", granted))

	c.Assert(b.Take(now), qt.IsFalse)
	c.Assert(b.Take(now.Add(-time.Hour)), qt.IsFalse, qt.Commentf("a clock that steps back earns nothing"))
	c.Assert(b.Take(now.Add(time.Second)), qt.IsTrue)
	quiet := 0
	for range 1000 {
		if b.Take(now.Add(time.Hour)) {
			quiet++
		}
	}
	c.Assert(quiet, qt.Equals, int(DefaultBudgetOptions().Burst))
}

// TestReadyAgreesWithTake guards against Ready taking from the budget or differing from Take.
func TestReadyAgreesWithTake(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(BudgetOptions{Share: 0.5, Burst: 5})
	now := time.Unix(1000, 0)
	c.Check(b.Ready(now), qt.IsFalse)
	b.Request(now)
	c.Check(b.Ready(now), qt.IsFalse)
	b.Request(now)
	c.Check(b.Ready(now), qt.IsTrue)
	c.Check(b.Ready(now), qt.IsTrue)
	c.Check(b.Take(now), qt.IsTrue)
	c.Check(b.Ready(now), qt.IsFalse)
}

// TestTakeUnreservedLeavesReserve guards against suspect requests using up the whole budget.
func TestTakeUnreservedLeavesReserve(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(BudgetOptions{FloorPerSecond: 10, Burst: 10})
	c.Check(b.Take(epoch), qt.IsTrue)
	full := epoch.Add(time.Minute)
	unreserved := 0
	for b.TakeUnreserved(full, 0.5) {
		unreserved++
	}
	c.Check(unreserved, qt.Equals, 5)
	rest := 0
	for b.Take(full) {
		rest++
	}
	c.Check(rest, qt.Equals, 5)
}
