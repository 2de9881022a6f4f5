package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/backpressure"
	"github.com/bronzeturn/bronzeturn/balance"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
	"github.com/bronzeturn/bronzeturn/quarantine"
	"github.com/bronzeturn/bronzeturn/route"
)

// Headers of testCodec.
const (
	testID, testStamp, testNotRun = "X-Id", "X-Stamp", "X-Not-Run"
	testConfidence, testLastEvent = "X-Confidence", "Last-Event-Id"
	testRetryAfter, testAnyModel  = "Retry-After", "X-Any-Model"
	testLeaving, testInstance     = "X-Leaving", "X-Instance"
)

// testCodec implements Codec.
type testCodec struct{}

func (testCodec) Meta(h http.Header) Meta {
	return Meta{ID: h.Get(testID), LastEvent: h.Get(testLastEvent), AnyModel: h.Get(testAnyModel) != "", PromptTokens: 100, LikelyTokens: 10}
}

func (testCodec) Strip(http.Header)           {}
func (testCodec) Apply(h http.Header, s Sent) { h.Set(testLastEvent, s.LastEvent) }

func (testCodec) Receipt(_ int, h http.Header) Receipt {
	r := Receipt{
		RequestID: h.Get(testID), Genuine: h.Get(testStamp) != "", NotRun: h.Get(testNotRun) != "", Confidence: noConfidence,
		Limit: backpressure.NoLimit, Tolerated: backpressure.NotBrittle, Leaving: h.Get(testLeaving) != "", Instance: h.Get(testInstance),
	}
	if n, err := strconv.Atoi(h.Get(testConfidence)); err == nil {
		r.Confidence = n
	}
	return r
}

func (testCodec) ReportedStart([]byte) (time.Time, bool) { return time.Time{}, false }

func (testCodec) Refuse(h http.Header, id string, retryAfter time.Duration) {
	h.Set(testID, id)
	if retryAfter > 0 {
		h.Set(testRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
}

// noIntroductions implements Introductions without any introduction.
type noIntroductions struct{}

func (noIntroductions) Choose(string, uint64, time.Time) bool                    { return false }
func (noIntroductions) Observe(_, _, _ string, _ bool, _ time.Duration)          {}
func (noIntroductions) ObservePace(_, _, _ string, _ time.Duration)              {}
func (noIntroductions) Began(string, uint64)                                     {}
func (noIntroductions) Running(string, uint64, string)                           {}
func (noIntroductions) Ended(string, uint64)                                     {}
func (noIntroductions) Ran(string, uint64, string, time.Time)                    {}
func (noIntroductions) ConfirmOrders(context.Context, string, uint64, time.Time) {}
func (noIntroductions) Lapses(string, uint64, time.Time) (lapse time.Time)       { return }

// noSlowStarts implements SlowStarts without any cold engine.
type noSlowStarts struct{}

func (noSlowStarts) Throttled(string, time.Time) bool { return false }
func (noSlowStarts) Take(string, time.Time) bool      { return true }

// heldQuarantine holds back every request that is about to be sent if held is set.
type heldQuarantine struct {
	*quarantine.Quarantine
	held atomic.Bool
}

func (q *heldQuarantine) Held(c quarantine.Content) bool {
	return q.held.Load() || q.Quarantine.Held(c)
}

// bench is a gateway with scripted engines.
type bench struct {
	c          *qt.C
	gateway    *Gateway
	dispatcher *fakeDispatcher
	quarantine *heldQuarantine
	network    pipes
	// received counts the requests that engines received.
	received atomic.Int32
	// keys are the keys of the engines.
	keys []string
	log  strings.Builder
}

// benchRoutes returns the routes of a bench.
func benchRoutes() []route.Route {
	desk, llm := []route.Share{{Service: "desk", Weight: 1}}, []route.Share{{Service: "llm", Weight: 1}}
	return []route.Route{
		{Name: "once", Host: "a.example", Prefix: "/once/", Kind: route.AtMostOnce, Shares: desk, Attempts: 3, Timeout: 2 * time.Second, Target: 200 * time.Millisecond, Anonymous: true},
		{Name: "short", Host: "a.example", Prefix: "/short/", Kind: route.AtMostOnce, Shares: desk, Attempts: 1, Timeout: 250 * time.Millisecond, Target: 100 * time.Millisecond, Anonymous: true},
		{Name: "safe", Host: "a.example", Prefix: "/safe/", Kind: route.Idempotent, Shares: desk, Attempts: 3, Timeout: 2 * time.Second, Target: 200 * time.Millisecond, Anonymous: true, Priority: 2},
		{Name: "stream", Host: "a.example", Prefix: "/stream/", Kind: route.Stream, Resumable: true, Shares: llm, Attempts: 3, Timeout: 5 * time.Second, Target: time.Second, MaxPause: 600 * time.Millisecond, Anonymous: true},
		{Name: "sized", Host: "a.example", Prefix: "/sized/", Kind: route.Stream, Resumable: true, Shares: llm, Attempts: 3, Timeout: 5 * time.Second, Target: time.Second, Anonymous: true, Models: []string{"small", "large"}},
	}
}

// newBench starts engines of the services "desk" (plain) and "llm" (language models), both of
// which run at every engine. dispatcher may be nil.
func newBench(t *testing.T, dispatcher *fakeDispatcher, engines ...testEngine) *bench {
	b := &bench{c: qt.New(t), dispatcher: dispatcher, network: make(pipes)}
	var list []inventory.Engine
	for i, serve := range engines {
		var requests atomic.Int32
		address := fmt.Sprintf("10.0.0.%d:80", i+1)
		b.network.serve(t, address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b.received.Add(1)
			_, _ = io.Copy(io.Discard, r.Body) // The server notices that the client has gone only after the body.
			serve(int(requests.Add(1)-1), w, r)
		}))
		list = append(list, inventory.Engine{ID: fmt.Sprintf("e-%d", i), Started: testStart, Service: "desk", Address: address, DataCentre: "hall-1", Slots: 4})
		b.keys = append(b.keys, list[i].Key())
	}
	set := inventory.New(time.Second, func(_, _ *inventory.View) {})
	set.Apply(inventory.Change{Registered: list}, time.Now())
	b.build(t, set.View())
	return b
}

// build creates the gateway.
func (b *bench) build(t *testing.T, view *inventory.View) {
	state, err := balance.NewState(balance.DefaultOptions())
	b.c.Assert(err, qt.IsNil)
	table, err := route.Compile(route.Config{
		Version: 1, Revision: 1, Routes: benchRoutes(),
		Services: []route.Service{{Name: "llm", Slots: 4, Models: []route.Model{{Name: "small", Cost: 0.015}, {Name: "large", Cost: 0.22}}}},
	})
	b.c.Assert(err, qt.IsNil)
	tables := &Tables{
		Routes: table, Changed: time.Now(),
		Engines: NewEngines(state, view, func(inventory.Engine) []string { return []string{Group("desk", false), Group("llm", false)} }),
	}
	b.quarantine = &heldQuarantine{Quarantine: quarantine.New(quarantine.Options{
		Self: "entry-1", Dial: func(context.Context, string) error { return errors.New("no dial") }, Publish: func(*bronzeturnv1.CrashReport) {}, Store: memstore.New(),
		Rank: func(quarantine.Hash) int { return 0 }, Serving: func(string) []string { return nil },
		Log: zerolog.Nop(), Registerer: prometheus.NewRegistry(),
	})}
	random := rand.New(rand.NewPCG(1, 1))
	o := Options{
		DataCentre: "hall-1", Codec: testCodec{}, Tables: func() *Tables { return tables },
		Stale: func(time.Time) bool { return false }, Outage: func() bool { return false }, TimeToReady: func() time.Duration { return 0 }, Daemons: func() int { return 1 },
		Misdirected: func(string) {}, Leaving: func(string) {}, Delayed: func(string, time.Duration) {},
		Engines: state, SlowStarts: noSlowStarts{}, Introductions: noIntroductions{}, Quarantine: b.quarantine, Models: NewModelChoice(DefaultModelOptions()),
		Limits: &backpressure.Backpressure{
			Limits: backpressure.NewLimits(backpressure.Options{Daemons: func() int { return 1 }, Permit: func(string, float64) (bool, time.Duration, bool) { return false, 0, false }, Random: random, Share: func(string, float64) {}, Log: zerolog.Nop(), Registerer: prometheus.NewRegistry()}),
			Brittle: backpressure.NewBrittle(backpressure.BrittleOptions{
				Engine: func(string) (string, int) { return "", 0 }, Reserve: func(string, int, float64) (bool, time.Duration) { return true, 0 },
				Refused: func(string) {}, Share: func(string, float64, time.Duration) {}, LearnsAtOnce: func() bool { return true }, Log: zerolog.Nop(), Registerer: prometheus.NewRegistry(),
			}),
		},
		Transport: attempt.NewUnpooledTransport(b.network.dial),
		Budget:    BudgetOptions{Ratio: 1, Slack: 100, Window: 10 * time.Second},
		Seed:      1, Log: zerolog.New(&b.log), Registerer: prometheus.NewRegistry(),
	}
	if b.dispatcher != nil {
		o.Dispatcher = b.dispatcher
	}
	b.gateway = New(o)
}

// send sends one request and returns when the gateway has ended it. headers holds pairs of name
// and value.
func (b *bench) send(ctx context.Context, target string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader("payload"))
	r.Host = "a.example"
	r.Header.Set(testID, "r-1")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	defer func() {
		if err := recover(); err != nil && err != http.ErrAbortHandler {
			panic(err)
		}
	}()
	b.gateway.ServeHTTP(w, r)
	return w
}
