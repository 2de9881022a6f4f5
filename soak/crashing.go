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
	// crashBody begins the bodies of requests that crash engines.
	crashBody = "crash"
	// insistEvery is the time between two repeats of such a request by its caller.
	insistEvery = 200 * time.Millisecond
	// contactTime is how long after all failures have ended the daemons may take to know
	// what the others know, mostCrashes how many engines convict a request, mostRetries how
	// many more it may reach ever after.
	contactTime = 3 * time.Second
	mostCrashes = 3
	mostRetries = 3
	// calmRepeats is how often each daemon gets such a request once all is calm.
	calmRepeats = 3
)

// crashes makes engines end by such requests and come back.
var crashes = emulator.CrashSpec{
	BodyPrefix: crashBody, Delay: 30 * time.Millisecond, RestartAfter: time.Second, DeregisterAfter: 1500 * time.Millisecond,
}

// insist has a caller repeat a request that crashes engines, at any daemon. It returns how
// to end that.
func (r *run) insist() (end func()) {
	body := fmt.Sprintf("%s %d", crashBody, len(r.crashing))
	r.crashing = append(r.crashing, body)
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			d := r.daemons[n%len(r.daemons)]
			all.Go(func() { r.checks.crash(d, body) })
			select {
			case <-ctx.Done():
			case <-time.After(insistEvery):
			}
		}
	})
	return func() { cancel(); all.Wait() }
}

// crash makes one request that crashes engines. Whatever is answered is right but success.
func (c *checks) crash(d *daemon, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	id := c.newID()
	req, err := c.request(ctx, d, id, "/stream/x", body)
	if err != nil {
		return
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return // The daemon may be down.
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		c.noteNotRun(id)
	}
}

// quarantine checks, once all failures have ended, that requests which crashed enough
// engines reach hardly any more.
func (c *checks) quarantine() {
	time.Sleep(contactTime)
	from := time.Now()
	for range calmRepeats {
		for _, body := range c.run.crashing {
			for _, d := range c.run.daemons {
				c.crash(d, body)
			}
		}
	}
	ended := make(map[string]int)
	for _, crash := range c.run.record.Crashes() {
		if crash.At.Before(from) {
			ended[crash.Body]++
		}
	}
	for body, count := range ended {
		if count < mostCrashes {
			continue
		}
		late := c.run.record.Arrivals(func(a emulator.Arrival) bool { return a.Body == body && a.At.After(from) })
		if len(late) > mostRetries {
			c.broke("%q had crashed %d engines and reached engines %d times more", body, count, len(late))
		}
	}
}
