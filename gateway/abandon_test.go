package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/dispatch"
	"github.com/bronzeturn/bronzeturn/scheduler"
)

// TestSilentEngineIsKeptUntilAnotherIsGranted guards against a status 502 for want of capacity: an
// attempt that is abandoned for a free slot that another request gets meanwhile.
func TestSilentEngineIsKeptUntilAnotherIsGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &fakeDispatcher{refuse: func(n int) scheduler.Cause {
			if n == 0 {
				return ""
			}
			return scheduler.CauseBacklog
		}}
		d.contended.Store(true)
		d.free.Store(true)
		b := newBench(t, d, answersAfter(560*time.Millisecond), answers)
		b.inOrder()
		b.c.Check(b.send(context.Background(), "/safe/").Code, qt.Equals, http.StatusOK)
		b.c.Check(d.outcomes(b.c), qt.DeepEquals, []scheduler.Outcome{scheduler.Answered})
		b.c.Check(b.received.Load(), qt.Equals, int32(1))
		b.c.Assert(len(d.requests) > 1, qt.IsTrue)
		asked := d.requests[1]
		b.c.Check(asked.Class, qt.Equals, scheduler.Repeated)
		b.c.Check(asked.Tried, qt.DeepEquals, []string{b.keys[0]})
		b.c.Check(asked.Key, qt.Equals, uint64(0), qt.Commentf("its refusal must not change the caller's appointment"))
	})
}

// TestSpareTicketEndsWithItsRequest guards against slots that count as used for ever, because the
// silent engine answered while a ticket for another one was acquired.
func TestSpareTicketEndsWithItsRequest(t *testing.T) {
	c := qt.New(t)
	d := &fakeDispatcher{}
	acquire := func() *attemptTicket {
		ticket, _, _ := d.Acquire(context.Background(), dispatch.Request{})
		return &attemptTicket{ticket: ticket}
	}
	var s spareTicket
	c.Check(s.put(acquire(), dispatch.Wait{}), qt.IsTrue)
	s.close()
	s.close()
	c.Check(d.outcomes(c), qt.DeepEquals, []scheduler.Outcome{scheduler.Canceled})
	late := acquire()
	c.Check(s.put(late, dispatch.Wait{}), qt.IsFalse, qt.Commentf("the request has ended"))
	late.end(scheduler.Canceled)
	taken, _ := s.take()
	c.Check(taken, qt.IsNil)
}
