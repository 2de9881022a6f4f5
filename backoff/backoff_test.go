package backoff

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestPausesStayBelowTheirDoublingBound(t *testing.T) {
	b := &Backoff{Base: 100 * time.Millisecond, Max: time.Second, Random: rand.New(rand.NewPCG(1, 2))}
	longest := make([]time.Duration, 70)
	for range 2000 {
		for i := range longest {
			longest[i] = max(longest[i], b.Next())
		}
		b.Reset()
	}
	for i, pause := range longest {
		bound := min(100*time.Millisecond<<min(i, 10), time.Second)
		qt.Check(t, pause <= bound && pause > bound*9/10, qt.IsTrue, qt.Commentf("pause %d: %v of %v", i, pause, bound))
	}
}

func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cause := errors.New("stop")
		ctx, cancel := context.WithCancelCause(context.Background())
		start := time.Now()
		qt.Check(t, Sleep(ctx, time.Second), qt.IsNil)
		qt.Check(t, time.Since(start), qt.Equals, time.Second)
		time.AfterFunc(time.Second, func() { cancel(cause) })
		qt.Check(t, Sleep(ctx, time.Hour), qt.Equals, cause)
		qt.Check(t, time.Since(start), qt.Equals, 2*time.Second)
	})
}
