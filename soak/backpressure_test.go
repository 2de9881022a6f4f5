package soak

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

// TestBackpressureViolationsAreReported checks each rule with arrivals just within and just beyond
// its bound, and with a daemon that was restarted in between.
func TestBackpressureViolationsAreReported(t *testing.T) {
	start := time.Unix(1000, 0)
	arrivals := func(d *daemon, every time.Duration, n int, what emulator.Arrival) (list []engineArrival) {
		for i := range n {
			what.At = start.Add(time.Duration(i) * every)
			list = append(list, engineArrival{what, d})
		}
		return list
	}
	limit, pause, leaving := emulator.Arrival{Limit: statedLimit}, emulator.Arrival{RetryAfter: statedPause}, emulator.Arrival{Leaving: true}
	within := limitWindow/(limitOverage*statedLimit*4+limitSlack) + time.Nanosecond
	for _, test := range []struct {
		name      string
		list      func(d *daemon) []engineArrival
		check     func(c *checks, list []engineArrival)
		restarted bool
		want      int
	}{
		{"limit kept", func(d *daemon) []engineArrival { return arrivals(d, within, 30, limit) }, (*checks).checkLimit, false, 0},
		{"limit exceeded", func(d *daemon) []engineArrival { return arrivals(d, within*9/10, 30, limit) }, (*checks).checkLimit, false, 1},
		{"limit exceeded by a restarted daemon", func(d *daemon) []engineArrival { return arrivals(d, within*9/10, 30, limit) }, (*checks).checkLimit, true, 0},
		{"pause kept", func(d *daemon) []engineArrival { return arrivals(d, statedPause*2/5, 3, pause) }, (*checks).checkPauses, false, 0},
		{"pause broken", func(d *daemon) []engineArrival { return arrivals(d, statedPause/5, 4, pause) }, (*checks).checkPauses, false, 1},
		{"pause broken by a restarted daemon", func(d *daemon) []engineArrival { return arrivals(d, statedPause/5, 4, pause) }, (*checks).checkPauses, true, 0},
		{"leaving engine left alone", func(d *daemon) []engineArrival { return arrivals(d, drainTime/4, 4, leaving) }, (*checks).checkLeaving, false, 0},
		{"leaving engine used", func(d *daemon) []engineArrival { return arrivals(d, drainTime/4, 5, leaving) }, (*checks).checkLeaving, false, 1},
		{"leaving engine used by a restarted daemon", func(d *daemon) []engineArrival { return arrivals(d, drainTime/4, 5, leaving) }, (*checks).checkLeaving, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, d := newChecks(&run{started: start}), &daemon{Daemon: emulator.Daemon{Name: "entry-0"}}
			list := test.list(d)
			if test.restarted {
				for _, a := range list[1:] {
					d.disturbed = append(d.disturbed, a.At.Add(-time.Millisecond))
				}
			}
			test.check(c, list)
			qt.Check(t, c.violations, qt.HasLen, test.want)
		})
	}
}
