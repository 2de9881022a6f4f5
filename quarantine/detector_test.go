package quarantine

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/inventory"
)

// listener simulates an engine's host for connection attempts.
type listener struct{ err error }

func (l *listener) dial(context.Context, string) error { return l.err }

var refused = &listener{err: fmt.Errorf("dial: %w", syscall.ECONNREFUSED)}

// newTestDetector returns a detector and the crashes that it reports.
func newTestDetector(l *listener) (*Detector, *[]Crash) {
	var crashes []Crash
	return NewDetector(DetectorOptions{Dial: l.dial, OnCrash: func(e Crash) { crashes = append(crashes, e) }, Log: zerolog.Nop()}), &crashes
}

func ignoreFailure() {}

var (
	engineA = inventory.Engine{ID: "a", Address: "10.0.0.1:80"}
	one     = Hash{1}
	two     = Hash{2}
)

func TestRefusedConnectionAfterInterruptedAnswersIsACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, crashes := newTestDetector(refused)
		d.AnswerInterrupted(engineA, Content{Request: two}, time.Now(), ignoreFailure)
		d.AnswerInterrupted(engineA, Content{Request: one}, time.Now(), ignoreFailure)
		time.Sleep(time.Second)
		synctest.Wait()
		c.Assert(*crashes, qt.HasLen, 1)
		c.Check((*crashes)[0].Requests, qt.DeepEquals, wholes(one, two))
		c.Check((*crashes)[0].Cause, qt.Equals, CauseRefused)
		// An answer interrupted later by the same crash is reported as well.
		d.AnswerInterrupted(engineA, Content{Request: Hash{3}}, time.Now(), ignoreFailure)
		time.Sleep(time.Second)
		synctest.Wait()
		c.Assert(*crashes, qt.HasLen, 2)
		c.Check((*crashes)[1].Requests, qt.DeepEquals, wholes(Hash{3}))
	})
}

func TestEngineThatAcceptsConnectionsHasNotCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for _, l := range []*listener{{}, {err: context.DeadlineExceeded}} {
			d, crashes := newTestDetector(l)
			d.AnswerInterrupted(engineA, Content{Request: one}, time.Now(), ignoreFailure)
			time.Sleep(2 * time.Second)
			synctest.Wait()
			synctest.Wait()
			c.Check(*crashes, qt.HasLen, 0, qt.Commentf("%v", l.err))
		}
	})
}

func TestRefusedConnectionAloneIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, crashes := newTestDetector(&listener{})
		d.Refused("a", time.Now())
		d.AnswerInterrupted(engineA, Content{Request: one}, time.Now(), ignoreFailure)
		time.Sleep(crashDetectionWindow + time.Second)
		synctest.Wait()
		d.Refused("a", time.Now()) // It was shut down, long after.
		time.Sleep(time.Second)
		synctest.Wait()
		c.Check(*crashes, qt.HasLen, 0)
	})
}

func TestReplacedEngineHasCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, crashes := newTestDetector(&listener{})
		d.AnswerInterrupted(engineA, Content{Request: one}, time.Now(), ignoreFailure)
		time.Sleep(time.Second)
		synctest.Wait()
		d.Replaced("a", time.Now())
		time.Sleep(time.Second)
		synctest.Wait()
		c.Assert(*crashes, qt.HasLen, 1)
		c.Check((*crashes)[0].Cause, qt.Equals, CauseReplaced)
	})
}

func TestReportedCrashCollectsLocalInterruptions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, crashes := newTestDetector(&listener{})
		d.PeerReported(engineA, time.Now())
		time.Sleep(time.Second)
		synctest.Wait()
		c.Assert(*crashes, qt.HasLen, 0) // It has no interrupted answers of its own.
		d.AnswerInterrupted(engineA, Content{Request: one}, time.Now(), ignoreFailure)
		time.Sleep(time.Second)
		synctest.Wait()
		c.Assert(*crashes, qt.HasLen, 1)
		c.Check((*crashes)[0].Requests, qt.DeepEquals, wholes(one))
	})
}

func TestInterruptedAnswerCountsAsFailureOfLiveEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		failures := 0
		countFailure := func() { failures++ }
		d, _ := newTestDetector(&listener{})
		d.AnswerInterrupted(engineA, Content{Request: one}, time.Now(), countFailure)
		began := time.Now()
		d.Wait(context.Background(), "a")
		c.Check(time.Since(began) < secondDialDelay, qt.IsTrue)
		time.Sleep(time.Second)
		synctest.Wait()
		c.Check(failures, qt.Equals, 1)
		d, crashes := newTestDetector(refused)
		d.AnswerInterrupted(engineA, Content{Request: one}, time.Now(), countFailure)
		d.Wait(context.Background(), "a")
		synctest.Wait()
		c.Check(failures, qt.Equals, 1)
		c.Assert(*crashes, qt.HasLen, 1)
		c.Check((*crashes)[0].CountFailures, qt.HasLen, 1)
		// Callers wait for the next interruption by the same crash as well.
		d.AnswerInterrupted(engineA, Content{Request: two}, time.Now(), countFailure)
		d.Wait(context.Background(), "a")
		synctest.Wait()
		c.Check(*crashes, qt.HasLen, 2)
	})
}

func TestFaultyEngineIsNotProbedForEachAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		d := NewDetector(DetectorOptions{
			Dial:    func(context.Context, string) error { dials++; return nil },
			OnCrash: func(Crash) {}, Log: zerolog.Nop(),
		})
		for range 1000 {
			d.AnswerInterrupted(engineA, Content{Request: one}, time.Now(), ignoreFailure)
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
		}
		// Two attempts each 650 ms, and those of the last probe.
		qt.New(t).Check(dials <= 2*(10_000/650+2), qt.IsTrue, qt.Commentf("%d", dials))
	})
}

// TestCancelledRunsBeforeACrashAreReported guards against leaving out the request that crashed an
// engine because the daemon had ended its run, in order to ask a larger model, just before.
func TestCancelledRunsBeforeACrashAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, crashes := newTestDetector(refused)
		d.AnswerCancelled(engineA, Content{Request: Hash{3}}, time.Now())
		time.Sleep(cancelledWindow)
		d.AnswerCancelled(engineA, Content{Request: one}, time.Now())
		time.Sleep(40 * time.Millisecond)
		d.AnswerInterrupted(engineA, Content{Request: two}, time.Now(), ignoreFailure)
		time.Sleep(time.Second)
		synctest.Wait()
		c.Assert(*crashes, qt.HasLen, 1)
		c.Check((*crashes)[0].Requests, qt.DeepEquals, wholes(one, two))

		// Without interrupted answers, the crash shows by the next connection.
		d, crashes = newTestDetector(refused)
		d.AnswerCancelled(engineA, Content{Request: one}, time.Now())
		time.Sleep(100 * time.Millisecond)
		d.Refused("a", time.Now())
		time.Sleep(time.Second)
		synctest.Wait()
		c.Assert(*crashes, qt.HasLen, 1)
		c.Check((*crashes)[0].Requests, qt.DeepEquals, wholes(one))
	})
}

// TestEngineThatIsShutDownAfterCancelledRunsHasNotCrashed guards against taking an engine that was
// shut down for one that crashed, because runs at it were cancelled some time before.
func TestEngineThatIsShutDownAfterCancelledRunsHasNotCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, crashes := newTestDetector(refused)
		for range 1000 {
			d.AnswerCancelled(engineA, Content{Request: one}, time.Now())
			d.AnswerCancelled(engineA, Content{Request: two}, time.Now())
			time.Sleep(time.Millisecond)
		}
		time.Sleep(cancelledWindow + time.Millisecond)
		d.Refused("a", time.Now())
		d.Replaced("a", time.Now())
		time.Sleep(time.Second)
		synctest.Wait()
		c.Check(*crashes, qt.HasLen, 0)
	})
}
