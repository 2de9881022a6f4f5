package attempt

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestProgressDuringGiveUpKeepsTheAttempt guards against an attempt that is cancelled although its
// answer began while GiveUp waited for another engine, and against a timer that goes on after it
// has been stopped.
func TestProgressDuringGiveUpKeepsTheAttempt(t *testing.T) {
	for _, answer := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			var asked, kept atomic.Int32
			r := Request{Kept: func() { kept.Add(1) }, GiveUp: func() bool {
				asked.Add(1)
				time.Sleep(60 * time.Millisecond)
				return answer
			}}
			p := newProgressTimer(100*time.Millisecond, r, cancel)
			time.Sleep(130 * time.Millisecond)
			p.stop()
			time.Sleep(2 * time.Second)
			c.Check(asked.Load(), qt.Equals, int32(1))
			c.Check(ctx.Err(), qt.IsNil)
			c.Check(kept.Load() == 1, qt.Equals, answer)
			p.start(time.Second)
			time.Sleep(900 * time.Millisecond)
			p.start(time.Second)
			time.Sleep(900 * time.Millisecond)
			c.Check(ctx.Err(), qt.IsNil)
			time.Sleep(2 * time.Second)
			c.Check(errors.Is(context.Cause(ctx), errSilent), qt.Equals, answer)
			p.stop()
		})
	}
}
