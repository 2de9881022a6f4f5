package tally

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
)

// messageDelay is the one-way delay of a message between daemons of two data centres.
const messageDelay = 1400 * time.Microsecond

var errDown = errors.New("down")

// member is a daemon of a fleet under test.
type member struct {
	*Tally
	place   atomic.Pointer[Place]
	answers atomic.Uint64
	// othersAnswers is the number of answers that all others have counted, as far as this
	// daemon knows.
	othersAnswers atomic.Uint64
	down          atomic.Bool
	calls         atomic.Uint64
}

// client calls a member.
type client struct{ to *member }

// Add implements bronzeturnv1connect.TallyServiceClient.
func (c client) Add(_ context.Context, r *connect.Request[bronzeturnv1.AddRequest]) (*connect.Response[bronzeturnv1.AddResponse], error) {
	time.Sleep(messageDelay)
	if c.to.down.Load() {
		return nil, errDown
	}
	c.to.calls.Add(1)
	answer := c.to.Add(r.Msg)
	time.Sleep(messageDelay)
	return connect.NewResponse(answer), nil
}

// reportWith returns a report with the given number of answers of the new version.
func reportWith(answers uint64, sessions ...uint64) *Report {
	return &Report{Order: 7, Target: "v2", HeldSessions: sessions, Counts: []*bronzeturnv1.CanaryCount{
		{Route: "r", Trial: true, Answers: answers, Latencies: answers, LogLatencySum: float64(answers)},
	}}
}

// answersOf returns the number of answers in a report.
func answersOf(r *Report) uint64 {
	n := uint64(0)
	for _, c := range r.GetCounts() {
		n += c.GetAnswers()
	}
	return n
}

// startFleet builds a fleet and starts it.
func startFleet(ctx context.Context, size, branches int) map[string]*member {
	fleet := newFleet(size, branches)
	run(ctx, fleet)
	return fleet
}

// run starts the daemons. They stop when ctx ends.
func run(ctx context.Context, fleet map[string]*member) {
	for _, m := range fleet {
		go func() { _ = m.Run(ctx) }() // Ends with ctx.
	}
}

// newFleet returns three roots and below them a number of branches, each with levels of 2, 16
// and the remaining daemons.
func newFleet(size, branches int) map[string]*member {
	fleet := make(map[string]*member)
	add := func(name string, place Place) {
		m := &member{}
		place.Live = size
		m.place.Store(&place)
		m.answers.Store(1)
		m.Tally = New(Options{
			Self: name, Place: func() Place { return *m.place.Load() },
			Client: func(daemon string) bronzeturnv1connect.TallyServiceClient { return client{fleet[daemon]} },
			Own:    func() map[string]*Report { return map[string]*Report{"s": reportWith(m.answers.Load())} },
			Others: func(_ string, others *Report) { m.othersAnswers.Store(answersOf(others)) },
			Log:    zerolog.Nop(),
		})
		fleet[name] = m
	}
	roots := []string{"root-0", "root-1", "root-2"}
	for i, name := range roots {
		add(name, Place{Roots: append(append([]string(nil), roots[:i]...), roots[i+1:]...)})
	}
	for i := range size - len(roots) {
		branch, at := i%branches, i/branches
		first, level := at%2, fmt.Sprint("d-", branch, "-")
		switch {
		case at < 2:
			add(fmt.Sprint(level, at), Place{Depth: 1, Parents: []string{roots[(branch+at)%3], roots[(branch+at+1)%3]}})
		case at < 18:
			add(fmt.Sprint(level, at), Place{Depth: 2, Parents: []string{fmt.Sprint(level, first), fmt.Sprint(level, 1-first)}})
		default:
			add(fmt.Sprint(level, at), Place{Depth: 3, Parents: []string{fmt.Sprint(level, 2+at%16), fmt.Sprint(level, 2+(at+1)%16)}})
		}
	}
	return fleet
}

// TestSumsReachWholeFleet covers a bad version on large fleets, where each daemon sees a few
// answers a second. All daemons must know the counts within 3 s: a bad version must get no more
// work 5 s after its fault shows, of which 2 s are for spreading the verdict and for work in
// progress. No daemon may get more calls than a small host can handle.
func TestSumsReachWholeFleet(t *testing.T) {
	for _, test := range []struct{ size, branches int }{{6, 3}, {91, 4}, {295, 5}, {410, 4}} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			fleet := startFleet(ctx, test.size, test.branches)
			time.Sleep(5 * time.Second)
			for name, m := range fleet {
				c.Check(m.othersAnswers.Load(), qt.Equals, uint64(test.size-1), qt.Commentf(name))
			}
			before := fleet["root-0"].calls.Load()
			for _, m := range fleet {
				m.answers.Store(11)
			}
			began := time.Now()
			for name, m := range fleet {
				for m.othersAnswers.Load() != uint64(11*(test.size-1)) {
					time.Sleep(10 * time.Millisecond)
					c.Assert(time.Since(began) < 3*time.Second, qt.IsTrue, qt.Commentf("%s knows of %d", name, m.othersAnswers.Load()))
				}
			}
			rate := float64(fleet["root-0"].calls.Load()-before) / time.Since(began).Seconds()
			t.Logf("%d daemons: all know after %v, a root has %.1f calls a second", test.size, time.Since(began), rate)
			c.Check(rate < 40, qt.IsTrue)
		})
	}
}

// TestLostDaemonsAreBypassed removes a root and a daemon of each level. The daemons below send
// to the next one, no counts are added twice for long, and the lost daemons' own counts expire.
func TestLostDaemonsAreBypassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const size = 295
		fleet := startFleet(ctx, size, 5)
		time.Sleep(5 * time.Second)
		lost := []string{"root-1", "d-0-0", "d-3-5", "d-4-30"}
		for _, name := range lost {
			fleet[name].down.Store(true)
			fleet[name].place.Store(&Place{}) // It is cut off in both directions.
		}
		time.Sleep(2*sumsTTL + 2*time.Second)
		for name, m := range fleet {
			if !m.down.Load() {
				c.Check(m.othersAnswers.Load(), qt.Equals, uint64(size-1-len(lost)), qt.Commentf(name))
			}
		}
	})
}

// TestCyclesDoNotAddUp covers two daemons that take each other for their parent, as daemons
// with different views may. Neither adds sums from its own level.
func TestCyclesDoNotAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fleet := startFleet(ctx, 13, 1)
		fleet["d-0-0"].place.Store(&Place{Depth: 2, Parents: []string{"d-0-1"}})
		fleet["d-0-1"].place.Store(&Place{Depth: 2, Parents: []string{"d-0-0"}})
		time.Sleep(time.Minute)
		for name, m := range fleet {
			c.Check(m.othersAnswers.Load() < 13, qt.IsTrue, qt.Commentf("%s counts %d", name, m.othersAnswers.Load()))
		}
	})
}

// TestSumsHoldStoppedSessions guards against stopped sessions that are lost, that come from a report
// of another introduction with times relative to its order, or that grow without bound.
func TestSumsHoldStoppedSessions(t *testing.T) {
	c := qt.New(t)
	runs := func(ended ...int32) *Report {
		r := reportWith(1)
		for session, ms := range ended {
			r.StoppedSessions = append(r.StoppedSessions, &bronzeturnv1.StoppedSession{Session: uint64(session), EndedMs: ms})
		}
		return r
	}
	first, foreign := runs(-300, 20), runs(900, 905)
	first.AgeMs, foreign.AgeMs, foreign.Order = 300, 1000, 8
	total := addReports(first, runs(-200, 10, -5), foreign)
	var got []int32
	for _, run := range total.GetStoppedSessions() {
		got = append(got, run.GetEndedMs())
	}
	slices.Sort(got)
	c.Check(got, qt.DeepEquals, []int32{-300, -200, -5, 10, 20, 200, 205})
	c.Check(answersOf(total), qt.Equals, uint64(2))
	c.Check(subtractReport(total, runs(-300)).GetStoppedSessions(), qt.HasLen, len(got))
	var many []int32
	for n := range int32(maxStoppedSessions + 10) {
		many = append(many, n)
	}
	kept := addReports(runs(many...)).GetStoppedSessions()
	c.Check(kept, qt.HasLen, maxStoppedSessions)
	c.Check(kept[0].GetEndedMs(), qt.Equals, int32(maxStoppedSessions+9)) // The latest are kept.
}

func TestSumsAreOfOneIntroduction(t *testing.T) {
	c := qt.New(t)
	other := reportWith(50)
	other.Order = 8
	total := addReports(reportWith(3, 9, 4), reportWith(2, 4, 5), other, nil)
	c.Check(answersOf(total), qt.Equals, uint64(5))
	c.Check(total.GetHeldSessions(), qt.DeepEquals, []uint64{4, 5, 9})
	c.Check(answersOf(subtractReport(total, reportWith(3))), qt.Equals, uint64(2))
	c.Check(answersOf(subtractReport(total, reportWith(9))), qt.Equals, uint64(0))
	c.Check(answersOf(subtractReport(total, other)), qt.Equals, uint64(5))
}

// TestStoppedSessionsReachTheFleetWhileOrdersChange guards against sessions of a stopped version that
// daemons do not know of because the next order comes while the news is on its way. The times are
// those of a session that is reported from the end of an order on, for 1.5 s.
func TestStoppedSessionsReachTheFleetWhileOrdersChange(t *testing.T) {
	for _, size := range []int{65, 410} {
		for _, pause := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond} {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				fleet := newFleet(size, 4)
				done := time.Now().Add(5 * time.Second)
				reported, next := done.Add(1500*time.Millisecond), done.Add(pause)
				learned := make(map[string]time.Duration)
				var mu sync.Mutex
				for name, m := range fleet {
					m.Own = func() map[string]*Report {
						now := time.Now()
						r := &Report{Order: 7, Target: "v2", AgeMs: uint64(now.Sub(done).Milliseconds()) + 12_000}
						if now.After(next) {
							r = &Report{Order: 8, Target: "v3", AgeMs: uint64(now.Sub(next).Milliseconds())}
						}
						if name == "d-3-5" && now.After(done) && now.Before(reported) {
							ended := done.Add(-time.Second).Sub(now) + time.Duration(r.AgeMs)*time.Millisecond
							r.StoppedSessions = []*bronzeturnv1.StoppedSession{{Session: 1, EndedMs: int32(ended.Milliseconds())}}
						}
						return map[string]*Report{"s": r}
					}
					m.Others = func(_ string, others *Report) {
						mu.Lock()
						defer mu.Unlock()
						for _, run := range others.GetStoppedSessions() {
							now := time.Now()
							ended := now.Add(time.Duration(int64(run.GetEndedMs())-int64(others.GetAgeMs())) * time.Millisecond)
							if _, known := learned[name]; !known {
								learned[name] = now.Sub(done)
							}
							c.Check(ended.Sub(done.Add(-time.Second)).Abs() < 200*time.Millisecond, qt.IsTrue, qt.Commentf("%s: %s", name, ended.Sub(done)))
						}
					}
				}
				run(ctx, fleet)
				time.Sleep(13 * time.Second)
				mu.Lock()
				defer mu.Unlock()
				slowest := time.Duration(0)
				for _, took := range learned {
					slowest = max(slowest, took)
				}
				t.Logf("%d daemons, next order after %s: %d know after %s", size, pause, len(learned), slowest)
				c.Check(len(learned) >= size-1, qt.IsTrue)
			})
		}
	}
}
