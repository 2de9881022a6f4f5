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

// engineFault is how an engine behaves in one case of the property test.
type engineFault struct {
	Faults standin.Faults
	// Unreachable refuses connections, Silent never answers what runs, Busy
	// answers 429, Late begins its answers late.
	Unreachable, Silent, Busy bool
	Late                      time.Duration
}

// place puts the behaviour in force at one engine of the site.
func (f engineFault) place(s *site, number int) {
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

// discardWriter drops an answer and remembers its last bytes.
type discardWriter struct {
	header http.Header
	end    [16]byte
}

// Flush implements http.Flusher.
func (d *discardWriter) Flush() {}

// ended tells whether a stream came to its end mark.
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

// drawnAsk is one request of a case.
type drawnAsk struct {
	ask
	kind string
	// start is when it is sent, leaves when the caller goes away, zero for never.
	start, leaves time.Duration
}

func drawAsk(rt *rapid.T, number int) drawnAsk {
	kind := rapid.SampledFrom([]string{"default", "tag", "quick", "review"}).Draw(rt, "kind")
	h := header(callerapi.HeaderKind, kind)
	if kind == "tag" || rapid.Bool().Draw(rt, "with key") {
		h[callerapi.HeaderIdempotencyKey] = fmt.Sprint("key ", number)
	}
	if rapid.Bool().Draw(rt, "short deadline") {
		h[callerapi.HeaderDeadline] = fmt.Sprint(rapid.IntRange(1, 2000).Draw(rt, "deadline"), "ms")
	}
	d := drawnAsk{kind: kind, ask: ask{stream: rapid.Bool().Draw(rt, "stream"), prompt: fmt.Sprint("prompt ", number), header: h}}
	d.start = time.Duration(rapid.IntRange(0, 500).Draw(rt, "start")) * time.Millisecond
	if rapid.IntRange(0, 3).Draw(rt, "leaves") == 0 {
		d.leaves = time.Duration(rapid.IntRange(1, 1000).Draw(rt, "after")) * time.Millisecond
	}
	return d
}

// drive sends a request as drawn.
func (d drawnAsk) drive(s *site) got {
	time.Sleep(d.start)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if d.leaves > 0 {
		timer := time.AfterFunc(d.leaves, cancel)
		defer timer.Stop()
	}
	a := d.ask
	a.ctx = ctx
	return s.send(a)
}

// violated returns the promise that an answer breaks, or "".
func (d drawnAsk) violated(s *site, g got) string {
	runs, bills := s.executions(g.id()), len(s.ledger.billsOf(g.id()))
	switch {
	case bills > 1:
		return "billed more than once"
	case d.kind == "tag" && runs > 1:
		return "a non-idempotent request ran more than once"
	case g.whole(d.ask) && bills != 1:
		return "a whole answer without a bill"
	case !g.cut && g.Code == http.StatusOK && !g.whole(d.ask):
		return "an answer that is not whole ended like a whole one"
	case !g.whole(d.ask) && g.failure().Code == "":
		return "a failure without a code"
	case g.failure().Ran == "no" && runs > 0:
		return "a refusal that says not run, of a request that ran"
	case g.failure().Ran == "no" && bills > 0:
		return "a bill for a request that did not run"
	}
	return ""
}

// Under any mix of failing engines and leaving callers every promise to callers
// holds, and the balancer hears of exactly one end per request sent.
func TestPromisesHoldUnderFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var faults []engineFault
		for i := range engineCount {
			faults = append(faults, drawFault(rt, engineName(i)))
		}
		var asks []drawnAsk
		for i := range rapid.IntRange(1, 6).Draw(rt, "requests") {
			asks = append(asks, drawAsk(rt, i))
		}
		measured := rapid.Bool().Draw(rt, "hedging")
		var problem string
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t)
			if measured {
				s.measureHedges()
			}
			for i, f := range faults {
				f.place(s, i)
			}
			answers := make([]got, len(asks))
			var sending sync.WaitGroup
			for i, d := range asks {
				sending.Go(func() { answers[i] = d.drive(s) })
			}
			sending.Wait()
			time.Sleep(time.Minute) // Whatever still runs ends by then.
			synctest.Wait()
			for i, d := range asks {
				if broken := d.violated(s, answers[i]); broken != "" && problem == "" {
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
