// Package router carries out the way of one request: it checks form and
// identity, asks the decision packages for a version and an engine, forwards,
// streams the answer back, bills and counts. It keeps no decision of its own.
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
	"github.com/bronzeturn/bronzeturn/plainservice"
	"github.com/bronzeturn/bronzeturn/quality"
	"github.com/bronzeturn/bronzeturn/retry"
	"github.com/bronzeturn/bronzeturn/selection"
)

// EngineClient sends one request to one engine.
type EngineClient interface {
	Open(ctx context.Context, r engine.Request) (*engine.Stream, error)
}

// ServiceClient calls one instance of a plain service once.
type ServiceClient interface {
	Call(ctx context.Context, c plainservice.Call) (*plainservice.Response, error)
}

// Balancer chooses engines and follows what they do. Each Dispatched is
// followed by exactly one Finished or Failed.
type Balancer interface {
	Choose(p *balance.Plan, r *balance.Request, now time.Time, rng *rand.Rand) (balance.Decision, bool)
	Dispatched(ev balance.Dispatched)
	FirstToken(ev balance.FirstToken)
	Finished(ev balance.Finished)
	Failed(ev balance.Failed)
}

// Members tells about daemons and backend hosts.
type Members interface {
	// Entries returns the addresses that callers should use, best first, and
	// how long they may keep them.
	Entries(rng *rand.Rand) ([]string, time.Duration)
	// BackendLeaving tells whether a backend host gets no new work.
	BackendLeaving(host string) bool
}

// Raters takes samples of answers to be rated. It must not block.
type Raters interface {
	Sample(s AnswerSample)
}

// AnswerSample names one answer for the rating service.
type AnswerSample struct {
	RequestID    string
	Organisation string
	Version      string
	Kind         string
	// Accepted tells that the check of a cascade let the answer pass.
	Accepted bool
}

// Options are what a Router needs. All fields are required unless they say
// otherwise.
type Options struct {
	DataCentre   string
	MaxBodyBytes int64
	// Tables returns the newest configuration, nil before the first one.
	Tables func() *Tables
	// Fresh returns a failure when this daemon's news is too old to take work. It may
	// wait a little for news.
	Fresh func(now time.Time) *failure.Error

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
	Raters    Raters
	// Quarantine blocks requests that crash engines.
	Quarantine Quarantine

	EngineClient  EngineClient
	ServiceClient ServiceClient

	// Seed feeds the random sources of the requests.
	Seed       uint64
	Log        zerolog.Logger
	Registerer prometheus.Registerer
}

// Router serves callers.
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
	r.rngs.New = func() any {
		return rand.New(rand.NewPCG(o.Seed, r.seeds.Add(1)))
	}
	return r
}

// Handler returns the handler of the caller listener.
func (r *Router) Handler() http.Handler {
	mux := bunrouter.New(
		bunrouter.WithNotFoundHandler(serveUnknown),
		bunrouter.WithMethodNotAllowedHandler(serveUnknown),
	)
	mux.GET(callerapi.PathEntries, r.serveEntries)
	mux.POST(callerapi.PathChatCompletions, r.serveChat)
	for _, method := range serviceMethods {
		mux.Handle(method, callerapi.PathServices+":name/*path", r.serveService)
	}
	return mux
}

// serveUnknown answers a path or a method that does not exist.
func serveUnknown(w http.ResponseWriter, _ bunrouter.Request) error {
	writeFailure(w, failure.New(failure.CodeNotFound, failure.RanNo, "no such path or method"))
	return nil
}

// StopAdmitting makes every new request a refusal that names other addresses.
func (r *Router) StopAdmitting() { r.gate.close() }

// Drain waits until the requests in progress have ended, or ctx ends. Call it
// after StopAdmitting.
func (r *Router) Drain(ctx context.Context) error { return r.gate.wait(ctx) }

// InProgress returns the number of requests in progress.
func (r *Router) InProgress() int { return r.gate.inProgress() }

// withRand lends a random source to f. Sources are not shared between
// goroutines.
func (r *Router) withRand(f func(rng *rand.Rand)) {
	rng := r.rngs.Get().(*rand.Rand)
	defer r.rngs.Put(rng)
	f(rng)
}

// newRequestID returns an id that no other request has.
func newRequestID() string { return uuid.NewString() }

// serveEntries answers which addresses to use.
func (r *Router) serveEntries(w http.ResponseWriter, _ bunrouter.Request) error {
	addresses, keep := r.otherEntries()
	answer := callerapi.Entries{Addresses: addresses, KeepSeconds: int(keep.Seconds())}
	return bunrouter.JSON(w, answer)
}

// otherEntries returns the addresses that callers should use.
func (r *Router) otherEntries() (addresses []string, keep time.Duration) {
	r.withRand(func(rng *rand.Rand) {
		addresses, keep = r.Members.Entries(rng)
	})
	return addresses, keep
}
