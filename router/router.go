// Package router processes the requests of callers. It validates and authenticates
// a request, has the policy packages choose a version and an engine, forwards the
// request, streams the answer back, records the bill and updates the metrics. It
// contains no policy itself.
package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/uptrace/bunrouter"

	"github.com/bronzeturn/bronzeturn/admission"
	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/hedge"
	"github.com/bronzeturn/bronzeturn/overload"
	"github.com/bronzeturn/bronzeturn/plainservice"
	"github.com/bronzeturn/bronzeturn/quality"
	"github.com/bronzeturn/bronzeturn/retry"
	"github.com/bronzeturn/bronzeturn/selection"
)

// EngineClient sends a request to one engine.
type EngineClient interface {
	Open(ctx context.Context, r engine.Request) (*engine.Stream, error)
}

// ServiceClient calls one instance of a plain service, without retries.
type ServiceClient interface {
	Call(ctx context.Context, c plainservice.Call) (*plainservice.Response, error)
}

// Balancer chooses engines and tracks their load. Each call of Dispatched is followed
// by exactly one call of Finished or Failed.
type Balancer interface {
	Choose(p *balance.Plan, r *balance.Request, now time.Time, rng *rand.Rand) (balance.Decision, bool)
	Dispatched(ev balance.Dispatched)
	FirstToken(ev balance.FirstToken)
	Finished(ev balance.Finished)
	Failed(ev balance.Failed)
}

// Members describes the daemons and the backend hosts of the fleet.
type Members interface {
	// Entries returns the addresses that callers should use, in order of
	// preference, and how long callers may cache them.
	Entries(rng *rand.Rand) ([]string, time.Duration)
	// BackendLeaving reports whether a backend host must get no new work.
	BackendLeaving(host string) bool
}

// Sampler selects answers for the rating service. Sample must not block.
type Sampler interface {
	Sample(s AnswerSample)
}

// AnswerSample identifies one answer for the rating service.
type AnswerSample struct {
	RequestID    string
	Organisation string
	Version      string
	Kind         string
	// Accepted reports whether the answer passed the check of a cascade.
	Accepted bool
}

// Options configures a Router. All fields are required unless stated otherwise.
type Options struct {
	DataCentre   string
	MaxBodyBytes int64
	// Memory is the account of what callers hold. Nil means that it is not bounded.
	Memory *overload.Account
	// Tables returns the newest configuration, or nil before the first one.
	Tables func() *Tables
	// CheckFresh returns a failure if what this daemon knows of the configuration is too
	// old for it to accept work. It may wait briefly for an update.
	CheckFresh func(now time.Time) *failure.Error

	Versions  *selection.Policy
	Quality   *quality.Store
	Engines   Balancer
	Hedges    *hedge.Policy
	Retries   retry.Policy
	Budget    *retry.Budget
	Breakers  *retry.Breakers
	Admission *admission.Controller
	Ledger    Ledger
	Members   Members
	Sampler   Sampler
	// Quarantine blocks requests that crash engines.
	Quarantine Quarantine

	EngineClient  EngineClient
	ServiceClient ServiceClient

	// Seed seeds the random number generators.
	Seed       uint64
	Log        zerolog.Logger
	Registerer prometheus.Registerer
}

// Router serves the requests of callers.
type Router struct {
	Options
	metrics *metrics
	rngs    sync.Pool
	seeds   atomic.Uint64
	gate    *gate
}

// New returns a Router.
func New(o Options) *Router {
	r := &Router{Options: o, metrics: newMetrics(o.Registerer), gate: newGate()}
	if r.Memory == nil {
		r.Memory = overload.NewAccount(0)
	}
	r.rngs.New = func() any {
		return rand.New(rand.NewPCG(o.Seed, r.seeds.Add(1)))
	}
	return r
}

// Handler returns the handler of the caller listener.
func (r *Router) Handler() http.Handler {
	mux := bunrouter.New(
		bunrouter.WithNotFoundHandler(serveNotFound),
		bunrouter.WithMethodNotAllowedHandler(serveNotFound),
	)
	mux.GET(callerapi.PathEntries, r.serveEntries)
	mux.POST(callerapi.PathChatCompletions, r.serveChat)
	for _, method := range serviceMethods {
		mux.Handle(method, callerapi.PathServices+":name/*path", r.serveService)
	}
	return mux
}

// serveNotFound answers requests for an unknown path or method.
func serveNotFound(w http.ResponseWriter, _ bunrouter.Request) error {
	writeFailure(w, failure.New(failure.CodeNotFound, failure.RanNo, "no such path or method"))
	return nil
}

// StopAdmitting makes the router refuse all new requests and name other addresses to
// their callers.
func (r *Router) StopAdmitting() { r.gate.close() }

// Drain waits until all requests in progress have ended, or until ctx ends. It must be
// called after StopAdmitting.
func (r *Router) Drain(ctx context.Context) error { return r.gate.wait(ctx) }

// InProgress returns the number of requests in progress.
func (r *Router) InProgress() int { return r.gate.inProgress() }

// withRand calls f with a random number generator that no other goroutine uses
// meanwhile. f must not retain it.
func (r *Router) withRand(f func(rng *rand.Rand)) {
	rng := r.rngs.Get().(*rand.Rand)
	defer r.rngs.Put(rng)
	f(rng)
}

// newRequestID returns a unique request id.
func newRequestID() string { return uuid.NewString() }

// serveEntries answers with the addresses that callers should use.
func (r *Router) serveEntries(w http.ResponseWriter, _ bunrouter.Request) error {
	addresses, keep := r.otherEntries()
	answer := callerapi.Entries{Addresses: addresses, KeepSeconds: int(keep.Seconds())}
	return bunrouter.JSON(w, answer)
}

// otherEntries returns the addresses that callers should use and how long they may
// cache them.
func (r *Router) otherEntries() (addresses []string, keep time.Duration) {
	r.withRand(func(rng *rand.Rand) {
		addresses, keep = r.Members.Entries(rng)
	})
	return addresses, keep
}
