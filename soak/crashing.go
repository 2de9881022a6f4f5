package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

const (
	// crashBody is the prefix of the bodies of requests that crash engines.
	crashBody = "crash"
	// crashRequestInterval is the time after which the caller repeats such a
	// request.
	crashRequestInterval = 200 * time.Millisecond
	// settleTime is the time that daemons have, after all faults have ended, to
	// exchange what they know about such requests.
	settleTime = 3 * time.Second
	// quarantineThreshold is the number of engines after whose crashes a request
	// must be in quarantine, maxLateArrivals the number of times that it may
	// still reach an engine after settleTime.
	quarantineThreshold = 3
	maxLateArrivals     = 3
	// repeatsAfterFaults is the number of times that each daemon gets each such
	// request after settleTime.
	repeatsAfterFaults = 3
)

// crashSpec makes engines crash under such requests and restart.
var crashSpec = emulator.CrashSpec{
	BodyPrefix: crashBody, Delay: 30 * time.Millisecond, RestartAfter: time.Second, DeregisterAfter: 1500 * time.Millisecond,
}

// startCrashRequests starts a caller that repeats a new request that crashes engines,
// at each daemon in turn. The returned function stops it.
func (r *run) startCrashRequests() (end func()) {
	body := fmt.Sprintf("%s %d", crashBody, len(r.crashBodies))
	r.crashBodies = append(r.crashBodies, body)
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			d := r.daemons[n%len(r.daemons)]
			all.Go(func() { r.checks.sendCrashRequest(d, body) })
			select {
			case <-ctx.Done():
			case <-time.After(crashRequestInterval):
			}
		}
	})
	return func() { cancel(); all.Wait() }
}

// sendCrashRequest sends one request that crashes engines. It accepts any answer;
// after a status of 503, the request must not have run.
func (c *checks) sendCrashRequest(d *daemon, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	id := c.newID(d)
	req, err := c.request(ctx, d, id, "/stream/x", body)
	if err != nil {
		return
	}
	resp, err := newConnections.RoundTrip(req)
	if err != nil {
		return // The daemon may be down.
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		c.recordNotRun(id)
	}
}

// checkQuarantine checks, after all faults have ended, that requests that crashed
// quarantineThreshold engines or more are in quarantine: they hardly reach engines
// any more.
func (c *checks) checkQuarantine() {
	time.Sleep(settleTime)
	from := time.Now()
	for range repeatsAfterFaults {
		for _, body := range c.run.crashBodies {
			for _, d := range c.run.daemons {
				c.sendCrashRequest(d, body)
			}
		}
	}
	crashCounts := make(map[string]int)
	for _, crash := range c.run.record.Crashes() {
		if crash.At.Before(from) {
			crashCounts[crash.Body]++
		}
	}
	for body, count := range crashCounts {
		if count < quarantineThreshold {
			continue
		}
		late := c.run.record.Arrivals(func(a emulator.Arrival) bool { return a.Body == body && a.At.After(from) })
		if len(late) > maxLateArrivals {
			c.reportViolation("%q crashed %d engines and still reached engines %d times afterwards", body, count, len(late))
		}
	}
}
