package admission

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// uncoordinated returns a Controller that never reaches a coordinator.
func uncoordinated(tb testing.TB) *Controller {
	d, err := New(Options{
		Name:                "daemon",
		Owner:               func(string) (string, bool) { return "other", false },
		Dial:                func(string) (connect.HTTPClient, string, bool) { return nil, "", false },
		SlotTokensPerSecond: 100,
	})
	qt.Assert(tb, err, qt.IsNil)
	return d
}

func request(organisation string, tokens int64, d time.Duration) Request {
	return Request{Organisation: organisation, Group: "pool/version", Tokens: tokens, Deadline: time.Now().Add(d)}
}

func TestNewReportsEveryFault(t *testing.T) {
	_, err := New(Options{})
	for _, want := range []error{ErrNoName, ErrNoOwner, ErrNoDial} {
		qt.Check(t, errors.Is(err, want), qt.IsTrue, qt.Commentf("%v", want))
	}
}

func TestAcquireRefuses(t *testing.T) {
	day := int64(86400)
	cases := []struct {
		name  string
		limit *bronzeturnv1.Limit
		live  int
		held  int // requests admitted before, not released
		r     Request
		slots int
		want  failure.Code
		after time.Duration // at least
	}{
		{name: "rate", limit: &bronzeturnv1.Limit{RequestsPerSecond: 2}, live: 1, held: 2, slots: 10,
			want: failure.CodeLimitExceeded, after: 500 * time.Millisecond},
		{name: "rate of an equal part", limit: &bronzeturnv1.Limit{RequestsPerSecond: 2}, live: 2, held: 1, slots: 10,
			want: failure.CodeLimitExceeded, after: time.Second},
		{name: "tokens", limit: &bronzeturnv1.Limit{TokensPerSecond: 100}, live: 1, held: 1, slots: 10,
			want: failure.CodeLimitExceeded, after: 100 * time.Millisecond},
		{name: "requests in progress", limit: &bronzeturnv1.Limit{ConcurrentRequests: 3}, live: 1, held: 3, slots: 10,
			want: failure.CodeLimitExceeded, after: 100 * time.Millisecond},
		{name: "spend", limit: &bronzeturnv1.Limit{DailySpendMicros: 100}, live: 1, held: 2, slots: 10, r: Request{CostMicros: 50},
			want: failure.CodeSpendExceeded, after: time.Hour},
		{name: "capacity", held: 1, slots: 1, r: Request{Deadline: time.Unix(946684801, 0)},
			want: failure.CodeNoCapacity, after: time.Second},
		{name: "no engine", slots: 0, want: failure.CodeNoCapacity, after: time.Second},
		{name: "deadline", slots: 1, r: Request{Deadline: time.Unix(946684800, 0)}, want: failure.CodeDeadlinePassed},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				d := uncoordinated(t)
				d.SetCapacity("pool/version", test.slots)
				if test.limit != nil {
					test.limit.Organisation = "org"
					d.SetLimits([]*bronzeturnv1.Limit{test.limit}, test.live)
				}
				r := request("org", 100, time.Duration(day)*time.Second)
				r.CostMicros = test.r.CostMicros
				for range test.held {
					_, err := d.Acquire(context.Background(), r)
					c.Assert(err, qt.IsNil)
				}
				if !test.r.Deadline.IsZero() {
					r.Deadline = test.r.Deadline
				}
				start := time.Now()
				_, err := d.Acquire(context.Background(), r)
				c.Assert(err, qt.IsNotNil)
				refusal := failure.From(err)
				c.Check(refusal.Code, qt.Equals, test.want)
				c.Check(refusal.Ran, qt.Equals, failure.RanNo)
				c.Check(refusal.RetryAfter >= test.after, qt.IsTrue, qt.Commentf("%v", refusal.RetryAfter))
				c.Check(time.Since(start), qt.Equals, time.Duration(0))
			})
		})
	}
}

// A refused request is not charged to the limits, a finished one is refunded what
// it did not use, and neither affects another organisation.
func TestAcquireChargesOnlyWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := uncoordinated(t)
		d.SetCapacity("pool/version", 1)
		d.SetLimits([]*bronzeturnv1.Limit{
			{Organisation: "org", RequestsPerSecond: 2, ConcurrentRequests: 2},
			{Organisation: "other", RequestsPerSecond: 2, ConcurrentRequests: 2},
		}, 1)
		ticket, err := d.Acquire(context.Background(), request("org", 100, time.Minute))
		c.Assert(err, qt.IsNil)
		for range 20 { // no capacity within 100 ms, so nothing is charged
			_, err := d.Acquire(context.Background(), request("org", 100, 100*time.Millisecond))
			c.Assert(failure.From(err).Code, qt.Equals, failure.CodeNoCapacity)
		}
		ticket.Release(ActualUsage{Tokens: 100})
		ticket.Release(ActualUsage{Tokens: 100})
		c.Assert(inUse(d, "org"), qt.Equals, [2]int{0, 0})
		second, err := d.Acquire(context.Background(), request("org", 100, time.Minute))
		c.Assert(err, qt.IsNil)
		second.Release(ActualUsage{})
		_, err = d.Acquire(context.Background(), request("org", 100, time.Minute))
		c.Assert(failure.From(err).Code, qt.Equals, failure.CodeLimitExceeded)
		_, err = d.Acquire(context.Background(), request("other", 100, time.Minute))
		c.Assert(err, qt.IsNil)
	})
}

// inUse returns the requests in progress by account and by group.
func inUse(d *Controller, organisation string) [2]int {
	value, _ := d.groups.Load("pool/version")
	return [2]int{d.shard(organisation).accounts[organisation].inUse, value.(*group).queue.inUse}
}

// A waiting request gets the slot, or is refused when half of its time has passed.
func TestAcquireWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := uncoordinated(t)
		d.SetCapacity("pool/version", 1)
		ticket, err := d.Acquire(context.Background(), request("org", 100, time.Minute))
		c.Assert(err, qt.IsNil)
		start := time.Now()
		go func() {
			time.Sleep(3 * time.Second)
			ticket.Release(ActualUsage{Tokens: 100})
		}()
		second, err := d.Acquire(context.Background(), request("org", 100, time.Minute))
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(start), qt.Equals, 3*time.Second)
		start = time.Now()
		_, err = d.Acquire(context.Background(), request("org", 100, 20*time.Second))
		c.Assert(failure.From(err).Code, qt.Equals, failure.CodeNoCapacity)
		c.Assert(time.Since(start), qt.Equals, 10*time.Second)

		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = d.Acquire(ctx, request("org", 100, 20*time.Second))
		c.Assert(errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
		second.Release(ActualUsage{Tokens: 100})
		third, err := d.Acquire(context.Background(), request("org", 100, 20*time.Second))
		c.Assert(err, qt.IsNil)
		third.Release(ActualUsage{})
	})
}

// An organisation that overloads the pool does not take a small organisation's
// fair share: none of the latter's requests are refused, and each waits at most 2 s.
func TestLargeOrganisationDoesNotStarveSmallOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := uncoordinated(t)
		const slots = 10 // 10 requests of one second: 10 a second
		d.SetCapacity("pool/version", slots)
		big := startLoad(d, "big", 101)
		time.Sleep(10 * time.Second)
		small := startLoad(d, "small", 1.9)
		time.Sleep(100 * time.Second)
		big.stop.Store(true)
		small.stop.Store(true)
		time.Sleep(30 * time.Second)
		t.Logf("small: %d done, %d refused, longest wait %v; big: %d done, %d refused",
			small.done.Load(), small.refused.Load(), time.Duration(small.longest.Load()), big.done.Load(), big.refused.Load())
		c.Check(small.refused.Load(), qt.Equals, int64(0))
		c.Check(small.done.Load() >= 185, qt.IsTrue)
		c.Check(small.longest.Load() <= int64(2*time.Second), qt.IsTrue)
		c.Check(big.done.Load() >= 700, qt.IsTrue)
	})
}

// load sends requests of one second and 100 tokens at a constant rate.
type load struct {
	stop                   atomic.Bool
	done, refused, longest atomic.Int64
}

func startLoad(d *Controller, organisation string, rate float64) *load {
	l := &load{}
	go func() {
		for !l.stop.Load() {
			time.Sleep(time.Duration(float64(time.Second) / rate))
			go l.one(d, organisation)
		}
	}()
	return l
}

func (l *load) one(d *Controller, organisation string) {
	start := time.Now()
	ticket, err := d.Acquire(context.Background(), request(organisation, 100, 20*time.Second))
	if err != nil {
		l.refused.Add(1)
		return
	}
	l.longest.Store(max(l.longest.Load(), int64(ticket.WaitTime(start))))
	l.done.Add(1)
	time.Sleep(time.Second)
	ticket.Release(ActualUsage{Tokens: 100})
}

func TestAcquireAllocations(t *testing.T) {
	d := uncoordinatedWithLimits(t)
	r := request("org0", 100, time.Hour)
	allocations := testing.AllocsPerRun(1000, func() {
		ticket, err := d.Acquire(context.Background(), r)
		if err != nil {
			t.Fatal(err)
		}
		ticket.Release(ActualUsage{Tokens: 100})
	})
	qt.Assert(t, allocations, qt.Equals, 1.0) // the ticket
}

// uncoordinatedWithLimits returns a Controller whose limits and capacity are never
// reached.
func uncoordinatedWithLimits(tb testing.TB) *Controller {
	d := uncoordinated(tb)
	d.SetCapacity("pool/version", 1<<30)
	var limits []*bronzeturnv1.Limit
	for i := range 300 {
		limits = append(limits, &bronzeturnv1.Limit{
			Organisation: fmt.Sprint("org", i), RequestsPerSecond: 1e12, TokensPerSecond: 1e12,
			ConcurrentRequests: 1 << 30, DailySpendMicros: 1 << 50,
		})
	}
	d.SetLimits(limits, 1)
	return d
}

func BenchmarkAcquireRelease(b *testing.B) {
	d := uncoordinatedWithLimits(b)
	r := request("org0", 100, time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		ticket, err := d.Acquire(context.Background(), r)
		if err != nil {
			b.Fatal(err)
		}
		ticket.Release(ActualUsage{Tokens: 100})
	}
}

func BenchmarkAcquireReleaseParallel(b *testing.B) {
	d := uncoordinatedWithLimits(b)
	for i := range 36 {
		d.SetCapacity(fmt.Sprint("pool/version", i), 1<<30)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		requests := make([]Request, 300)
		for i := range requests {
			requests[i] = request(fmt.Sprint("org", i), 100, time.Hour)
			requests[i].Group = fmt.Sprint("pool/version", i%36)
		}
		for i := 0; pb.Next(); i++ {
			ticket, err := d.Acquire(context.Background(), requests[i%300])
			if err != nil {
				b.Fatal(err)
			}
			ticket.Release(ActualUsage{Tokens: 100})
		}
	})
}
