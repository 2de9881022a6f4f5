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

// listener is an engine's host as a connection attempt finds it.
type listener struct{ err error }

func (l *listener) dial(context.Context, string) error { return l.err }

var refused = &listener{err: fmt.Errorf("dial: %w", syscall.ECONNREFUSED)}

// watched returns a detector and the ends that it tells.
func watched(l *listener) (*Detector, *[]End) {
	var ends []End
	return NewDetector(DetectorOptions{Dial: l.dial, Ended: func(e End) { ends = append(ends, e) }, Log: zerolog.Nop()}), &ends
}

func noBlame() {}

var (
	engineA = inventory.Engine{ID: "a", Address: "10.0.0.1:80"}
	one     = Hash{1}
	two     = Hash{2}
)

func TestEngineThatRefusesConnectionsAfterItCutAnswersHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, ends := watched(refused)
		d.Broke(engineA, two, time.Now(), noBlame)
		d.Broke(engineA, one, time.Now(), noBlame)
		time.Sleep(time.Second)
		synctest.Wait()
		c.Assert(*ends, qt.HasLen, 1)
		c.Check((*ends)[0].Requests, qt.DeepEquals, []Hash{one, two})
		c.Check((*ends)[0].Cause, qt.Equals, CauseRefused)
		// An answer that breaks off later by the same end is told as well.
		d.Broke(engineA, Hash{3}, time.Now(), noBlame)
		time.Sleep(time.Second)
		synctest.Wait()
		c.Assert(*ends, qt.HasLen, 2)
		c.Check((*ends)[1].Requests, qt.DeepEquals, []Hash{{3}})
	})
}

func TestEngineThatTakesConnectionsHasNotEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for _, l := range []*listener{{}, {err: context.DeadlineExceeded}} {
			d, ends := watched(l)
			d.Broke(engineA, one, time.Now(), noBlame)
			time.Sleep(2 * time.Second)
			synctest.Wait()
			synctest.Wait()
			c.Check(*ends, qt.HasLen, 0, qt.Commentf("%v", l.err))
		}
	})
}

func TestRefusedConnectionAloneIsNoEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, ends := watched(&listener{})
		d.Refused("a", time.Now())
		d.Broke(engineA, one, time.Now(), noBlame)
		time.Sleep(cutMemory + time.Second)
		synctest.Wait()
		d.Refused("a", time.Now()) // It stopped in order, long after.
		time.Sleep(time.Second)
		synctest.Wait()
		c.Check(*ends, qt.HasLen, 0)
	})
}

func TestEngineThatIsBackAtOnceHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, ends := watched(&listener{})
		d.Broke(engineA, one, time.Now(), noBlame)
		time.Sleep(time.Second)
		synctest.Wait()
		d.Replaced("a", time.Now())
		time.Sleep(time.Second)
		synctest.Wait()
		c.Assert(*ends, qt.HasLen, 1)
		c.Check((*ends)[0].Cause, qt.Equals, CauseReplaced)
	})
}

func TestDaemonsThatAreToldOfAnEndTellWhatItCutThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, ends := watched(&listener{})
		d.Told(engineA, time.Now())
		time.Sleep(time.Second)
		synctest.Wait()
		c.Assert(*ends, qt.HasLen, 0) // Nothing of its own.
		d.Broke(engineA, one, time.Now(), noBlame)
		time.Sleep(time.Second)
		synctest.Wait()
		c.Assert(*ends, qt.HasLen, 1)
		c.Check((*ends)[0].Requests, qt.DeepEquals, []Hash{one})
	})
}

func TestBrokenAnswerIsHeldAgainstAnEngineThatLives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		blamed := 0
		blame := func() { blamed++ }
		d, _ := watched(&listener{})
		d.Broke(engineA, one, time.Now(), blame)
		began := time.Now()
		d.Wait(context.Background(), "a")
		c.Check(time.Since(began) < secondDial, qt.IsTrue)
		time.Sleep(time.Second)
		synctest.Wait()
		c.Check(blamed, qt.Equals, 1)
		d, ends := watched(refused)
		d.Broke(engineA, one, time.Now(), blame)
		d.Wait(context.Background(), "a")
		synctest.Wait()
		c.Check(blamed, qt.Equals, 1)
		c.Assert(*ends, qt.HasLen, 1)
		c.Check((*ends)[0].Blames, qt.HasLen, 1)
		// The next one of the same end is waited for as well.
		d.Broke(engineA, two, time.Now(), blame)
		d.Wait(context.Background(), "a")
		synctest.Wait()
		c.Check(*ends, qt.HasLen, 2)
	})
}

func TestFaultyEngineIsNotProbedForEachAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		d := NewDetector(DetectorOptions{
			Dial:  func(context.Context, string) error { dials++; return nil },
			Ended: func(End) {}, Log: zerolog.Nop(),
		})
		for range 1000 {
			d.Broke(engineA, one, time.Now(), noBlame)
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
		}
		// Two attempts each 650 ms, and those of the last probe.
		qt.New(t).Check(dials <= 2*(10_000/650+2), qt.IsTrue, qt.Commentf("%d", dials))
	})
}
