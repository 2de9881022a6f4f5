package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

const (
	// streamEvents is the number of events in every stream before the stop phase.
	streamEvents = 12
	// callTimeout is the time after which a caller cancels its request.
	callTimeout = 6 * time.Second
	// recoveryTime is the time within which all daemons must serve again after
	// the last fault has ended.
	recoveryTime = 12 * time.Second
)

// checks sends the requests of a run and records the results and the violations of
// guarantees.
type checks struct {
	run *run

	mu         sync.Mutex
	next       int
	requests   int
	succeeded  int
	refused    int
	failed     int
	violations []string
	// notRun are the ids of requests that were answered as not run and must not
	// have run, atMostOnce those of requests that may run at most once.
	notRun, atMostOnce []string
	// daemonOf holds the daemon that each request was sent to, by the id of the request.
	daemonOf map[string]*daemon
}

func newChecks(r *run) *checks { return &checks{run: r, daemonOf: make(map[string]*daemon)} }

// reportViolation records the violation of a guarantee, with the time since the
// start of the run.
func (c *checks) reportViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf("%.3f ", time.Since(c.run.started).Seconds())+fmt.Sprintf(format, args...))
}

// targets are the paths that callers request. Requests under /once may run at most
// once.
var targets = []string{"/once/x", "/safe/x", "/stream/x"}

// plainTargets are those of targets that are not streams.
var plainTargets = targets[:2]

// sendRequests sends random requests, one after the other, until ctx ends. Like callers that do
// not look for news of daemons, it uses open connections until their process is gone.
func (c *checks) sendRequests(ctx context.Context, random *rand.Rand) {
	connections := &http.Transport{}
	defer connections.CloseIdleConnections()
	for ctx.Err() == nil {
		d := c.run.daemons[random.IntN(len(c.run.daemons))]
		c.send(connections, d, targets[random.IntN(len(targets))], random.IntN(8) == 0)
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// newID returns a unique id for a request to a daemon and counts the request.
func (c *checks) newID(d *daemon) string {
	c.mu.Lock()
	c.next++
	id := fmt.Sprintf("s%d-%d", c.run.Seed, c.next)
	c.mu.Unlock()
	c.addRequest(id, d)
	return id
}

// addRequest counts a request to a daemon.
func (c *checks) addRequest(id string, d *daemon) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.daemonOf[id] = d
}

// newConnections is a transport that opens a connection for each request.
var newConnections = &http.Transport{DisableKeepAlives: true}

// send sends one request, checks the answer, and reports whether it was complete
// and correct. With cancelsEarly, the caller cancels after 50 ms.
func (c *checks) send(connections http.RoundTripper, d *daemon, target string, cancelsEarly bool) bool {
	id := c.newID(d)
	wait := callTimeout
	if cancelsEarly {
		wait = 50 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := c.request(ctx, d, id, target, "body")
	if err != nil {
		return false
	}
	atMostOnce := strings.HasPrefix(target, "/once")
	if atMostOnce {
		c.recordAtMostOnce(id)
	}
	resp, err := connections.RoundTrip(req)
	if err != nil {
		c.count(&c.failed)
		return false
	}
	defer func() { _ = resp.Body.Close() }() // An error changes nothing once the body is read or reading it has failed.
	body, err := io.ReadAll(resp.Body)
	return c.checkAnswer(id, target, atMostOnce, resp.StatusCode, string(body), err)
}

// request builds one request.
func (c *checks) request(ctx context.Context, d *daemon, id, target, body string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Front+target, strings.NewReader(body))
	if err != nil {
		c.reportViolation("building the request failed: %v", err)
		return nil, err
	}
	req.Host = emulator.Host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+emulator.Key)
	if strings.HasPrefix(target, "/stream") {
		req.Header.Set(emulator.TokensHeader, "100,100")
		req.Header.Set(emulator.PromptHeader, commonPart+":100,"+id+":10")
	}
	return req, nil
}

// checkAnswer compares an answer with the one that the engines give to the request,
// counts the result, and reports whether the answer was complete and correct.
func (c *checks) checkAnswer(id, target string, atMostOnce bool, status int, body string, err error) bool {
	want := emulator.AnswerBody(id, []byte("body"))
	if strings.HasPrefix(target, "/stream") {
		want = streamBody(id, streamEvents)
	}
	return c.checkBody(id, want, atMostOnce, status, body, err)
}

// streamBody returns the body of a complete stream.
func streamBody(id string, events int) string {
	var body strings.Builder
	for n := 1; n <= events; n++ {
		body.WriteString(emulator.EventText(id, n))
	}
	return body.String()
}

// checkBody is checkAnswer for a request whose complete answer has the given body.
func (c *checks) checkBody(id, want string, atMostOnce bool, status int, body string, err error) bool {
	switch {
	case status == http.StatusOK && err != nil:
		c.count(&c.failed)
		if !strings.HasPrefix(want, body) {
			c.reportViolation("%s: partial answer does not match the request: %q", id, body)
		}
		return false
	case status == http.StatusOK && body != want:
		c.reportViolation("%s: answer does not match the request: %q", id, body)
		return false
	case status == http.StatusOK:
		c.count(&c.succeeded)
		return true
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		c.count(&c.refused)
		if atMostOnce {
			c.recordNotRun(id)
		}
	case status == http.StatusUnauthorized || status == http.StatusNotFound || status == http.StatusForbidden:
		c.reportViolation("%s: denied with status %d although every configuration allows it", id, status)
	default:
		c.count(&c.failed)
	}
	return false
}

func (c *checks) count(n *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*n++
}

func (c *checks) recordAtMostOnce(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.atMostOnce = append(c.atMostOnce, id)
}

func (c *checks) recordNotRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notRun = append(c.notRun, id)
}

// checkRecovery checks that every daemon serves every target again.
func (c *checks) checkRecovery() {
	deadline := time.Now().Add(recoveryTime)
	for _, d := range c.run.daemons {
		for _, target := range targets {
			for !c.send(newConnections, d, target, false) {
				if time.Now().After(deadline) {
					c.reportViolation("%s does not serve %s again within %v", d.Name, target, recoveryTime)
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}

// result runs the checks that need the complete record of the run, and returns the
// result.
func (c *checks) result() Result {
	c.mu.Lock()
	atMostOnce, notRun := c.atMostOnce, c.notRun
	c.mu.Unlock()
	for _, id := range atMostOnce {
		if runs := c.run.record.Runs(id); len(runs) > 1 {
			c.reportViolation("%s ran %d times", id, len(runs))
		}
	}
	for _, id := range notRun {
		if len(c.run.record.Runs(id)) > 0 {
			c.reportViolation("%s was answered as not run, but ran", id)
		}
	}
	c.checkRetryBudget()
	c.checkColdEngines()
	c.checkBackpressure()
	c.checkFalls()
	c.mu.Lock()
	defer c.mu.Unlock()
	return Result{Requests: c.requests, Succeeded: c.succeeded, Refused: c.refused, Failed: c.failed, Violations: c.violations}
}

// checkColdEngines checks the number of requests that each cold engine got from all
// daemons together within any second.
func (c *checks) checkColdEngines() {
	runs := make(map[string][]time.Time)
	for _, run := range c.run.record.Runs("") {
		runs[run.Engine] = append(runs[run.Engine], run.At)
	}
	for _, e := range c.run.engines {
		times := slices.DeleteFunc(runs[e.Spec.ID], func(at time.Time) bool { return at.After(e.ColdUntil()) })
		slices.SortFunc(times, time.Time.Compare)
		for i, first := 0, 0; i < len(times); i++ {
			for times[i].Sub(times[first]) >= time.Second {
				first++
			}
			if got := i - first + 1; got > bounds.MaxColdRequests() {
				c.reportViolation("%s got %d requests within a second while it was cold", e.Spec.ID, got)
				break
			}
		}
	}
}

// checkRetryBudget checks the number of repeated runs in every window. Attempts
// that an engine rejected before running them are not recorded, so the number is a
// lower bound of the retries.
func (c *checks) checkRetryBudget() {
	seen := make(map[string]bool)
	var firsts, repeats []time.Time
	for _, run := range c.run.record.Runs("") {
		if seen[run.RequestID] {
			repeats = append(repeats, run.At)
			continue
		}
		seen[run.RequestID] = true
		firsts = append(firsts, run.At)
	}
	window := time.Duration(bounds.RetryWindowS * float64(time.Second))
	within := func(times []time.Time, from time.Time) (n float64) {
		for _, t := range times {
			if !t.Before(from) && t.Before(from.Add(window)) {
				n++
			}
		}
		return n
	}
	for _, from := range repeats {
		base := max(within(firsts, from), within(firsts, from.Add(-window)), within(firsts, from.Add(-window/2)))
		if got := within(repeats, from); got > bounds.RetryRatio*base+bounds.RetrySlack {
			c.reportViolation("%v repeated runs in a window with %v requests exceed the retry budget", got, base)
			return
		}
	}
}
