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
	// crashBody is the prefix of the bodies of requests that crash engines, crashPart that of the
	// ids of prompt parts that do.
	crashBody = "crash"
	crashPart = "crash"
	// commonPart is the first part of the prompts of all requests.
	commonPart = "common"
	// crashRequestInterval is the time after which the caller repeats such a
	// request, or sends another one with the part.
	crashRequestInterval = 200 * time.Millisecond
	// settleTime is the time that daemons have, after all faults have ended, to
	// exchange what they know about such requests.
	settleTime = 3 * time.Second
	// quarantineThreshold is the number of engines after whose crashes a request
	// must be in quarantine, partThreshold that for requests with a part,
	// maxLateArrivals the number of times that they may still reach an engine
	// after settleTime.
	quarantineThreshold = 3
	partThreshold       = 5
	maxLateArrivals     = 3
	// repeatsAfterFaults is the number of times that each daemon gets each such
	// request after settleTime.
	repeatsAfterFaults = 3
)

// crashCause is what crashes engines: the body of one request, or a part that the prompts of
// different requests have in common.
type crashCause struct {
	body, part string
}

// newCrashCause returns the n-th cause. They are of the two kinds in turn.
func newCrashCause(n int) crashCause {
	if n%2 == 0 {
		return crashCause{body: fmt.Sprintf("%s %d", crashBody, n)}
	}
	return crashCause{part: fmt.Sprintf("%s%d", crashPart, n)}
}

// threshold returns the number of engines after whose crashes requests with the cause must be in
// quarantine.
func (c crashCause) threshold() int {
	if c.part != "" {
		return partThreshold
	}
	return quarantineThreshold
}

// causes reports whether a request has the cause.
func (c crashCause) causes(a emulator.Arrival) bool {
	if c.part != "" {
		return emulator.HasSharedPart(a.Prompt, c.part)
	}
	return a.Body == c.body
}

// crashSpec makes engines crash under such requests and restart.
var crashSpec = emulator.CrashSpec{
	BodyPrefix: crashBody, PromptPart: crashPart, Delay: 30 * time.Millisecond, RestartAfter: time.Second, DeregisterAfter: 1500 * time.Millisecond,
}

// startCrashRequests starts a caller that sends requests with a new cause of crashes to each daemon
// in turn. The returned function stops it.
func (r *run) startCrashRequests() (end func()) {
	cause := newCrashCause(len(r.crashCauses))
	r.crashCauses = append(r.crashCauses, cause)
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			d := r.daemons[n%len(r.daemons)]
			all.Go(func() { r.checks.sendCrashRequest(d, cause) })
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
func (c *checks) sendCrashRequest(d *daemon, cause crashCause) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	id := c.newID(d)
	body := cause.body
	if cause.part != "" {
		body = "body of " + id
	}
	req, err := c.request(ctx, d, id, "/stream/x", body)
	if err != nil {
		return
	}
	if cause.part != "" {
		req.Header.Set(emulator.PromptHeader, commonPart+":100,"+cause.part+":50,"+id+":10")
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

// checkQuarantine checks, after all faults have ended, that requests with a cause that crashed as
// many engines as its threshold or more are in quarantine: they hardly reach engines any more.
func (c *checks) checkQuarantine() {
	time.Sleep(settleTime)
	from := time.Now()
	for range repeatsAfterFaults {
		for _, cause := range c.run.crashCauses {
			for _, d := range c.run.daemons {
				c.sendCrashRequest(d, cause)
			}
		}
	}
	crashes := c.run.record.Crashes()
	for _, cause := range c.run.crashCauses {
		count := 0
		for _, crash := range crashes {
			if crash.At.Before(from) && cause.causes(crash) {
				count++
			}
		}
		if count < cause.threshold() {
			continue
		}
		late := c.run.record.Arrivals(func(a emulator.Arrival) bool { return cause.causes(a) && a.At.After(from) })
		if len(late) > maxLateArrivals {
			c.reportViolation("%+v crashed %d engines and still reached engines %d times afterwards", cause, count, len(late))
		}
	}
}
