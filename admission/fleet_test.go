package admission

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// testFleet runs daemons that report to each other through the Connect service,
// in virtual time and without a network.
type testFleet struct {
	daemons []*Controller
	owner   atomic.Int32  // index of the coordinator of every shard
	down    []atomic.Bool // daemons that no other daemon can reach
	lose    atomic.Bool   // every second answer is lost
	calls   atomic.Int32
	delay   atomic.Int64 // one-way, in nanoseconds
}

var errPartitioned = errors.New("connection is cut")

// link is the HTTP client of one daemon for another.
type link struct {
	f        *testFleet
	from, to int
}

func (l link) Do(r *http.Request) (*http.Response, error) {
	time.Sleep(time.Duration(l.f.delay.Load()))
	if l.f.down[l.from].Load() || l.f.down[l.to].Load() {
		return nil, errPartitioned
	}
	_, handler := l.f.daemons[l.to].Handler()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	time.Sleep(time.Duration(l.f.delay.Load()))
	if l.f.calls.Add(1)%2 == 0 && l.f.lose.Load() {
		return nil, errPartitioned
	}
	return recorder.Result(), nil
}

// newTestFleet starts n daemons with one limit for the organisation "org".
func newTestFleet(c *qt.C, ctx context.Context, n int, limit *bronzeturnv1.Limit) *testFleet {
	f := &testFleet{daemons: make([]*Controller, n), down: make([]atomic.Bool, n)}
	f.delay.Store(int64(time.Millisecond))
	for i := range n {
		d, err := New(Options{
			Name: fmt.Sprint("daemon", i),
			Owner: func(string) (string, bool) {
				o := int(f.owner.Load())
				return fmt.Sprint("daemon", o), o == i
			},
			Dial: func(name string) (connect.HTTPClient, string, bool) {
				var to int
				_, _ = fmt.Sscanf(name, "daemon%d", &to)
				return link{f: f, from: i, to: to}, "http://" + name, true
			},
		})
		c.Assert(err, qt.IsNil)
		d.SetLimits([]*bronzeturnv1.Limit{limit}, n)
		f.daemons[i] = d
		go func() { _ = d.Run(ctx) }()
	}
	return f
}

// offer sends requests to a daemon at a rate for the duration d, each of which
// holds its ticket for hold. It returns how many were admitted.
func (f *testFleet) offer(daemon int, rate float64, d, hold time.Duration) (admitted int) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(float64(time.Second) / rate))
		ticket, err := f.daemons[daemon].Acquire(context.Background(), Request{
			Organisation: "org", Deadline: time.Now().Add(10 * time.Second), Tokens: 100, CostMicros: 100,
		})
		if err != nil {
			continue
		}
		admitted++
		go func() {
			time.Sleep(hold)
			ticket.Release(ActualUsage{Tokens: 100, CostMicros: 100})
		}()
	}
	return admitted
}

// offerAll sends requests to all daemons at once, at one rate each.
func (f *testFleet) offerAll(rates []float64, d time.Duration) (admitted int) {
	sums := make(chan int)
	for i, rate := range rates {
		go func() {
			if rate == 0 {
				sums <- 0
				return
			}
			sums <- f.offer(i, rate, d, 10*time.Millisecond)
		}()
	}
	for range rates {
		admitted += <-sums
	}
	return admitted
}

// Callers get the whole limit, and at most 5% more, however unevenly they are
// spread over the daemons.
func TestFleetHoldsLimitForSkewedCallers(t *testing.T) {
	requests := &bronzeturnv1.Limit{Organisation: "org", RequestsPerSecond: 20}
	tokens := &bronzeturnv1.Limit{Organisation: "org", TokensPerSecond: 2_000}
	// Offered requests a second by daemon, for each phase of a minute.
	cases := []struct {
		name   string
		limit  *bronzeturnv1.Limit
		phases [][]float64
	}{
		{"all at one daemon", requests, [][]float64{{60, 0, 0, 0, 0, 0}}},
		{"skewed", requests, [][]float64{{40, 12, 6, 2, 1, 0.2}}},
		{"even", requests, [][]float64{{10, 10, 10, 10, 10, 10}}},
		{"moving from daemon to daemon", requests, [][]float64{{60, 0.4, 0, 0, 0, 0}, {0.4, 60, 0, 0, 0, 0}}},
		{"skewed, in tokens", tokens, [][]float64{{40, 12, 6, 2, 1, 0.2}}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				f := newTestFleet(c, ctx, 6, test.limit)
				f.offerAll(test.phases[0], 2*recoveryTime(6))
				for _, rates := range test.phases {
					admitted := f.offerAll(rates, time.Minute)
					over := float64(admitted)/1200 - 1
					t.Logf("admitted %d of 1200, %+.1f%%", admitted, 100*over)
					c.Check(over <= 0.05, qt.IsTrue)
					c.Check(over >= -0.10, qt.IsTrue)
				}
				cancel()
				time.Sleep(time.Second)
			})
		})
	}
}

// When the coordinator changes, fails or can't be reached, requests are still
// admitted, and the organisation exceeds its limit by at most 5% over a minute.
func TestFleetHoldsLimitThroughCoordinatorFaults(t *testing.T) {
	skewed := []float64{40, 12, 6, 2, 1, 0.2}
	cases := []struct {
		name  string
		fault func(f *testFleet)
	}{
		{"coordinator changes", func(f *testFleet) { f.owner.Store(1) }},
		{"coordinator changes back and forth", func(f *testFleet) {
			for i := range 6 {
				f.owner.Store(int32(i % 2))
				time.Sleep(5 * time.Second)
			}
		}},
		{"coordinator is lost for all", func(f *testFleet) { f.owner.Store(5); f.down[5].Store(true) }},
		{"largest daemon is partitioned from the coordinator", func(f *testFleet) { f.owner.Store(5); f.down[0].Store(true) }},
		{"small daemon is partitioned from the coordinator", func(f *testFleet) { f.down[4].Store(true) }},
		{"every second answer is lost", func(f *testFleet) { f.lose.Store(true) }},
		{"answers take 900 ms", func(f *testFleet) { f.delay.Store(int64(450 * time.Millisecond)) }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				f := newTestFleet(c, ctx, 6, &bronzeturnv1.Limit{Organisation: "org", RequestsPerSecond: 20})
				f.offerAll(skewed, 20*time.Second)
				go test.fault(f)
				admitted := f.offerAll(skewed, time.Minute)
				over := float64(admitted)/1200 - 1
				t.Logf("admitted %d of 1200, %+.1f%%", admitted, 100*over)
				c.Check(over <= 0.05, qt.IsTrue)
				c.Check(over >= -0.60, qt.IsTrue)
				cancel()
				time.Sleep(time.Second)
			})
		})
	}
}

func TestFleetHoldsConcurrencyAndSpend(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := newTestFleet(c, ctx, 6, &bronzeturnv1.Limit{Organisation: "org", ConcurrentRequests: 24, DailySpendMicros: 100_000})
		running, most := new(atomic.Int32), new(atomic.Int32)
		spent := new(atomic.Int32)
		var lastErr atomic.Pointer[failure.Error]
		for i := range 6 {
			go func() {
				for ctx.Err() == nil {
					time.Sleep(time.Duration(5+20*i) * time.Millisecond)
					ticket, err := f.daemons[i].Acquire(ctx, Request{Organisation: "org", Deadline: time.Now().Add(time.Minute), CostMicros: 100})
					if err != nil {
						lastErr.Store(failure.From(err))
						continue
					}
					if now := running.Add(1); now > most.Load() {
						most.Store(now)
					}
					go func() {
						time.Sleep(400 * time.Millisecond)
						running.Add(-1)
						spent.Add(100)
						ticket.Release(ActualUsage{CostMicros: 100})
					}()
				}
			}()
		}
		time.Sleep(10 * time.Second)
		c.Check(most.Load() <= 25, qt.IsTrue, qt.Commentf("%d in progress", most.Load()))
		c.Check(most.Load() >= 20, qt.IsTrue, qt.Commentf("%d in progress", most.Load()))
		time.Sleep(15 * time.Second)
		c.Check(spent.Load() <= 105_000, qt.IsTrue, qt.Commentf("spent %d of 100000", spent.Load()))
		c.Check(spent.Load() >= 90_000, qt.IsTrue, qt.Commentf("spent %d of 100000", spent.Load()))
		t.Logf("most in progress %d of 24, spent %d of 100000", most.Load(), spent.Load())
		refusal := lastErr.Load()
		c.Check(refusal.Code, qt.Equals, failure.CodeSpendExceeded)
		c.Check(refusal.RetryAfter > time.Hour, qt.IsTrue, qt.Commentf("%v", refusal.RetryAfter))
		cancel()
		time.Sleep(time.Second)
	})
}
