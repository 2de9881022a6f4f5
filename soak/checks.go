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
	// streamEvents is the length of every stream.
	streamEvents = 12
	// callTimeout is how long a caller waits, and grace how much later than the
	// route allows an answer may come.
	callTimeout = 6 * time.Second
	// recoveryTime bounds the return of service after the last failure.
	recoveryTime = 12 * time.Second
)

// checks are the callers of a run, and what they found.
type checks struct {
	run *run

	mu       sync.Mutex
	next     int
	requests int
	good     int
	refused  int
	failed   int
	broken   []string
	// notRun are the ids of requests that may not repeat and were answered as
	// not run, once those that may run once at most.
	notRun, once []string
}

func newChecks(r *run) *checks { return &checks{run: r} }

// broke notes a broken promise.
func (c *checks) broke(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf("%.3f ", time.Since(c.run.started).Seconds())+fmt.Sprintf(format, args...))
}

// kinds are what callers ask for.
var kinds = []string{"/once/x", "/safe/x", "/stream/x"}

// call sends requests until ctx ends.
func (c *checks) call(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		d := c.run.daemons[random.IntN(len(c.run.daemons))]
		c.one(d, kinds[random.IntN(len(kinds))], random.IntN(8) == 0)
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// newID returns an id that no other request has.
func (c *checks) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	c.requests++
	return fmt.Sprintf("s%d-%d", c.run.Seed, c.next)
}

// one makes one request and checks what comes back. Some callers leave early.
func (c *checks) one(d *daemon, target string, leaves bool) bool {
	id := c.newID()
	wait := callTimeout
	if leaves {
		wait = 50 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := c.request(ctx, d, id, target, "body")
	if err != nil {
		return false
	}
	once := strings.HasPrefix(target, "/once")
	if once {
		c.noteOnce(id)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		c.count(&c.failed)
		return false
	}
	defer func() { _ = resp.Body.Close() }() // The body is read to its end, or has failed.
	body, err := io.ReadAll(resp.Body)
	return c.check(id, target, once, resp.StatusCode, string(body), err)
}

// request builds one request.
func (c *checks) request(ctx context.Context, d *daemon, id, target, body string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Front+target, strings.NewReader(body))
	if err != nil {
		c.broke("request not made: %v", err)
		return nil, err
	}
	req.Host, req.Close = emulator.Host, true
	req.Header.Set("Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+emulator.Key)
	if strings.HasPrefix(target, "/stream") {
		req.Header.Set(emulator.TokensHeader, "100,100")
	}
	return req, nil
}

// check compares an answer with what the engines send.
func (c *checks) check(id, target string, once bool, status int, body string, err error) bool {
	want := emulator.Body(id, []byte("body"))
	if strings.HasPrefix(target, "/stream") {
		want = ""
		for n := 1; n <= streamEvents; n++ {
			want += emulator.Event(id, n)
		}
	}
	switch {
	case status == http.StatusOK && err != nil:
		c.count(&c.failed)
		if !strings.HasPrefix(want, body) {
			c.broke("%s: a part of an answer that is not its own: %q", id, body)
		}
		return false
	case status == http.StatusOK && body != want:
		c.broke("%s: a whole answer that is not its own: %q", id, body)
		return false
	case status == http.StatusOK:
		c.count(&c.good)
		return true
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		c.count(&c.refused)
		if once {
			c.noteNotRun(id)
		}
	case status == http.StatusUnauthorized || status == http.StatusNotFound || status == http.StatusForbidden:
		c.broke("%s: denied with %d though every configuration allows it", id, status)
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

func (c *checks) noteOnce(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.once = append(c.once, id)
}

func (c *checks) noteNotRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notRun = append(c.notRun, id)
}

// recovery checks that every daemon serves every kind again.
func (c *checks) recovery() {
	deadline := time.Now().Add(recoveryTime)
	for _, d := range c.run.daemons {
		for _, target := range kinds {
			for !c.one(d, target, false) {
				if time.Now().After(deadline) {
					c.broke("%s does not serve %s again within %v", d.Name, target, recoveryTime)
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}

// result sums up, and checks what can be told only at the end.
func (c *checks) result() Result {
	c.mu.Lock()
	once, notRun := c.once, c.notRun
	c.mu.Unlock()
	for _, id := range once {
		if runs := c.run.record.Runs(id); len(runs) > 1 {
			c.broke("%s ran %d times", id, len(runs))
		}
	}
	for _, id := range notRun {
		if len(c.run.record.Runs(id)) > 0 {
			c.broke("%s was said not to have run, and ran", id)
		}
	}
	c.checkBudget()
	c.checkColdEngines()
	c.mu.Lock()
	defer c.mu.Unlock()
	return Result{Requests: c.requests, Succeeded: c.good, Refused: c.refused, Failed: c.failed, Violations: c.broken}
}

// checkColdEngines counts what cold engines got within any second, from all daemons.
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
			if got := i - first + 1; got > bounds.MostCold() {
				c.broke("%s got %d requests within a second while it was cold", e.Spec.ID, got)
				break
			}
		}
	}
}

// checkBudget adds up the second runs in every window. Runs that were refused
// unseen are not on record, so this is the lower bound.
func (c *checks) checkBudget() {
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
			c.broke("%v second runs in a window of %v requests", got, base)
			return
		}
	}
}
