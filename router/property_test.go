package router

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/standin"
)

// engineFault is the behaviour of an engine in one case of the property test.
type engineFault struct {
	Faults standin.Faults
	// Unreachable refuses connections. Silent runs requests and never answers. Busy
	// answers with status 429. Late delays answers.
	Unreachable, Silent, Busy bool
	Late                      time.Duration
}

// apply sets the behaviour of one engine of the fixture.
func (f engineFault) apply(s *fixture, number int) {
	e := s.engines[number]
	e.SetFaults(f.Faults)
	switch {
	case f.Unreachable:
		s.network.set(engineAddress(number), nil)
	case f.Silent:
		s.network.set(engineAddress(number), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			e.ServeHTTP(&discardWriter{header: make(http.Header)}, r)
			<-r.Context().Done()
		}))
	case f.Busy:
		s.network.set(engineAddress(number), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "1")
			w.Header().Set("X-Not-Run", "true")
			w.WriteHeader(http.StatusTooManyRequests)
		}))
	case f.Late > 0:
		s.network.set(engineAddress(number), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(f.Late)
			e.ServeHTTP(w, r)
		}))
	}
}

// discardWriter discards an answer except for its last bytes.
type discardWriter struct {
	header http.Header
	end    [16]byte
}

// Flush implements http.Flusher.
func (d *discardWriter) Flush() {}

// ended reports whether a stream ended with the [DONE] marker.
func (d *discardWriter) ended() bool { return bytes.HasSuffix(d.end[:], []byte("data: [DONE]\n\n")) }

// Header implements http.ResponseWriter.
func (d *discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discardWriter) Write(p []byte) (int, error) {
	if len(p) < len(d.end) {
		copy(d.end[:], d.end[len(p):])
	}
	tail := p[max(len(p)-len(d.end), 0):]
	copy(d.end[len(d.end)-len(tail):], tail)
	return len(p), nil
}

// WriteHeader implements http.ResponseWriter.
func (d *discardWriter) WriteHeader(int) {}

func drawFault(rt *rapid.T, label string) engineFault {
	switch rapid.IntRange(0, 9).Draw(rt, label) {
	case 0:
		return engineFault{Unreachable: true}
	case 1:
		return engineFault{Silent: true}
	case 2:
		return engineFault{Busy: true}
	case 3:
		return engineFault{Faults: standin.Faults{Refuse: true}}
	case 4:
		return engineFault{Faults: standin.Faults{Fail: true}}
	case 5:
		return engineFault{Faults: standin.Faults{LoseAnswers: 1}}
	case 6:
		return engineFault{Faults: standin.Faults{BreakAfterTokens: 2}}
	case 7:
		return engineFault{Late: time.Duration(rapid.IntRange(1, 3000).Draw(rt, label+" ms")) * time.Millisecond}
	default:
		return engineFault{}
	}
}

// drawnRequest is one request of a case of the property test.
type drawnRequest struct {
	callerRequest
	kind string
	// start is the delay before the request is sent. leaves is the time after which the
	// caller disconnects; zero means never.
	start, leaves time.Duration
}

func drawRequest(rt *rapid.T, number int) drawnRequest {
	kind := rapid.SampledFrom([]string{"default", "tag", "quick", "review"}).Draw(rt, "kind")
	h := header(callerapi.HeaderKind, kind)
	if kind == "tag" || rapid.Bool().Draw(rt, "with key") {
		h[callerapi.HeaderIdempotencyKey] = fmt.Sprint("key ", number)
	}
	if rapid.Bool().Draw(rt, "short deadline") {
		h[callerapi.HeaderDeadline] = fmt.Sprint(rapid.IntRange(1, 2000).Draw(rt, "deadline"), "ms")
	}
	d := drawnRequest{kind: kind, callerRequest: callerRequest{stream: rapid.Bool().Draw(rt, "stream"), prompt: fmt.Sprint("prompt ", number), header: h}}
	d.start = time.Duration(rapid.IntRange(0, 500).Draw(rt, "start")) * time.Millisecond
	if rapid.IntRange(0, 3).Draw(rt, "leaves") == 0 {
		d.leaves = time.Duration(rapid.IntRange(1, 1000).Draw(rt, "after")) * time.Millisecond
	}
	return d
}

// send sends the request after its delay, and disconnects after d.leaves unless it is zero.
func (d drawnRequest) send(s *fixture) callerResponse {
	time.Sleep(d.start)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if d.leaves > 0 {
		timer := time.AfterFunc(d.leaves, cancel)
		defer timer.Stop()
	}
	a := d.callerRequest
	a.ctx = ctx
	return s.send(a)
}

// violation describes the guarantee that a response violates, or returns "".
func (d drawnRequest) violation(s *fixture, g callerResponse) string {
	runs, bills := s.executions(g.id()), len(s.ledger.billsOf(g.id()))
	switch {
	case bills > 1:
		return "billed more than once"
	case d.kind == "tag" && runs > 1:
		return "a non-idempotent request ran more than once"
	case g.complete(d.callerRequest) && bills != 1:
		return "a complete answer without a bill"
	case !g.cut && g.Code == http.StatusOK && !g.complete(d.callerRequest):
		return "an incomplete answer ended like a complete one"
	case !g.complete(d.callerRequest) && g.failure().Code == "":
		return "a failure without a code"
	case g.failure().Ran == "no" && runs > 0:
		return "a failure that says the request did not run, although it ran"
	case g.failure().Ran == "no" && bills > 0:
		return "a bill for a request that did not run"
	}
	return ""
}

// TestGuaranteesHoldUnderFailures checks that all guarantees to callers hold under any
// combination of failing engines and disconnecting callers, and that exactly one end is
// reported to the balancer for each request sent.
func TestGuaranteesHoldUnderFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var faults []engineFault
		for i := range engineCount {
			faults = append(faults, drawFault(rt, engineName(i)))
		}
		var requests []drawnRequest
		for i := range rapid.IntRange(1, 6).Draw(rt, "requests") {
			requests = append(requests, drawRequest(rt, i))
		}
		measured := rapid.Bool().Draw(rt, "hedging")
		var problem string
		synctest.Test(t, func(t *testing.T) {
			s := newFixture(t)
			if measured {
				s.measureHedges()
			}
			for i, f := range faults {
				f.apply(s, i)
			}
			answers := make([]callerResponse, len(requests))
			var sending sync.WaitGroup
			for i, d := range requests {
				sending.Go(func() { answers[i] = d.send(s) })
			}
			sending.Wait()
			time.Sleep(time.Minute) // Longer than any request may run.
			synctest.Wait()
			for i, d := range requests {
				if broken := d.violation(s, answers[i]); broken != "" && problem == "" {
					problem = fmt.Sprintf("request %d (%s): %s: %d %s", i, d.kind, broken, answers[i].Code, answers[i].Body)
				}
			}
			if broken := s.balancer.check(); broken != "" {
				problem = broken
			}
			if busy := s.network.busy(); busy != 0 {
				problem = fmt.Sprintf("%d requests still run at engines", busy)
			}
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}
