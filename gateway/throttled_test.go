package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRefusedCallersReturnOneByOne(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	p := permits{soonest: now.Add(300 * time.Millisecond), perSecond: 0.5}
	r := newRetrySchedule()
	for _, want := range []time.Duration{300 * time.Millisecond, 2300 * time.Millisecond, 4300 * time.Millisecond} {
		c.Check(r.assign("a", p, now, 0), qt.Equals, want)
	}
	c.Check(r.assign("a", p, now, 0), qt.Equals, maxRetryDelay/2)
	c.Check(r.assign("a", p, now, 0.5), qt.Equals, maxRetryDelay*3/4)
	c.Check(r.assign("b", p, now, 0), qt.Equals, 300*time.Millisecond, qt.Commentf("groups are independent"))
	later := now.Add(time.Minute)
	p.soonest = later.Add(time.Second)
	c.Check(r.assign("a", p, later, 0), qt.Equals, time.Second)
}
