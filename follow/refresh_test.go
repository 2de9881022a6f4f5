package follow

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// lateAnswers is a store whose answers to watches take a while.
type lateAnswers struct {
	*store
	delay time.Duration
}

// Watch implements Source.
func (s lateAnswers) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (*Changes, error) {
	changes, err := s.store.Watch(ctx, kind, after, wait)
	time.Sleep(s.delay)
	return changes, err
}

// TestRefreshReadsWhatTheStoreHasAccepted guards against a refresh that is satisfied with an answer
// given before it was asked for, or that costs the store a call for each caller.
func TestRefreshReadsWhatTheStoreHasAccepted(t *testing.T) {
	run(t, func(c *qt.C, ctx context.Context) {
		s := newStore()
		s.put("a", "0")
		d := newDaemon(ctx, lateAnswers{s, 10 * time.Millisecond}, false, nil)
		time.Sleep(time.Second)
		before := s.calls()
		const rounds, callers = 20, 50
		var calls sync.WaitGroup
		for n := range rounds {
			spec := string(rune('a' + n))
			s.put("a", spec)
			for range callers {
				calls.Go(func() {
					c.Check(d.Refresh(ctx), qt.IsNil)
					c.Check(d.spec("a") >= spec, qt.IsTrue, qt.Commentf("%s instead of %s", d.spec("a"), spec))
				})
			}
			time.Sleep(3 * time.Millisecond)
		}
		calls.Wait()
		c.Check(s.calls()-before <= rounds, qt.IsTrue, qt.Commentf("%d calls", s.calls()-before))
	})
}

// TestRefreshDoesNotWaitForAStoreThatDoesNotAnswer guards against requests that wait for the store.
func TestRefreshDoesNotWaitForAStoreThatDoesNotAnswer(t *testing.T) {
	run(t, func(c *qt.C, ctx context.Context) {
		s := newStore()
		d := newDaemon(ctx, s, true, nil)
		c.Check(d.Refresh(ctx), qt.ErrorIs, errNotReady) // There is no copy yet.
		time.Sleep(time.Second)
		s.set(func(s *store) { s.hangWatches = true })
		began := time.Now()
		c.Check(d.Refresh(ctx), qt.IsNotNil)
		c.Check(time.Since(began) <= refreshTimeout, qt.IsTrue)
		left, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		c.Check(d.Refresh(left), qt.ErrorIs, context.DeadlineExceeded)
		s.set(func(s *store) { s.hangWatches, s.down = false, true })
		time.Sleep(10 * time.Second) // The outage is noticed.
		began = time.Now()
		c.Check(d.Refresh(ctx), qt.ErrorIs, errNotReady)
		c.Check(time.Since(began), qt.Equals, time.Duration(0))
	})
}
