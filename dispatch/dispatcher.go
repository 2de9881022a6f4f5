package dispatch

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
	"github.com/bronzeturn/bronzeturn/scheduler"
)

// Options configure a Dispatcher. All functions must be safe for concurrent use. Only Announce
// may call the Dispatcher.
type Options struct {
	// Self is the name of this daemon.
	Self string
	// Incarnation identifies the process. It increases with each start of the daemon.
	Incarnation uint64
	// Coordinator returns the name of the daemon that coordinates a service, "" for none.
	Coordinator func(service string) string
	// Client returns a client for a daemon, nil if its address is unknown.
	Client func(daemon string) bronzeturnv1connect.DispatchServiceClient
	// Live returns the number of live daemons, including this one.
	Live func() int
	// Engines returns the engines of a service that may get requests.
	Engines func(service string) []Engine
	// Weight returns the weight of an organisation. All weights are 1 if it is nil.
	Weight func(organisation string) float64
	// Announce publishes that a service is contended. It is called at most once per second and
	// service.
	Announce     func(service string)
	NewScheduler func() Scheduler
	Log          zerolog.Logger
	Registerer   prometheus.Registerer
}

// Dispatcher gives out tickets for requests. It is safe for concurrent use.
type Dispatcher struct {
	Options
	metrics *metrics
	// services is replaced when a service is added, so that it is read without a lock.
	services atomic.Pointer[map[string]*service]
	// number is that of the last request, sequence that of the last call.
	number, sequence atomic.Uint64

	mu sync.Mutex // guards changes of services, ctx and the start of loops
	// ctx is that of Run, nil while it does not run.
	ctx   context.Context
	loops sync.WaitGroup
	// stopped is set while Run does not run.
	stopped atomic.Bool
}

var _ bronzeturnv1connect.DispatchServiceHandler = (*Dispatcher)(nil)

// New returns a Dispatcher. While Run does not run, services count as uncontended.
func New(o Options) *Dispatcher {
	d := &Dispatcher{Options: o}
	d.services.Store(&map[string]*service{})
	d.stopped.Store(true)
	d.metrics = newMetrics(o.Registerer, d)
	return d
}

// Acquire returns the ticket for an attempt. For an uncontended service it returns at once. For
// a contended one it waits for a grant, up to the request's MaxWait. A request that is refused
// fails with failure.CodeNoCapacity and a retry time, one whose context ends with
// failure.CodeCanceled or failure.CodeDeadlinePassed. It has not run then. Wait describes the
// wait in all cases.
func (d *Dispatcher) Acquire(ctx context.Context, r Request) (Ticket, Wait, *failure.Error) {
	s := d.service(r.Service)
	if !s.contended(time.Now()) {
		return s.direct(r.Work), Wait{}, nil
	}
	waiting := r // a copy, so that r needs no allocation for an uncontended service
	return s.await(ctx, &waiting)
}

// NoEngine records that an attempt found all engines of a service busy. The service becomes
// contended.
func (d *Dispatcher) NoEngine(service string) { d.service(service).announce(time.Now()) }

// MarkContended records that a service is contended until the given time.
func (d *Dispatcher) MarkContended(service string, until time.Time) {
	if d.knows(service) {
		d.service(service).markContended(until)
	}
}

// maxServices bounds the services without engines here that other daemons name. Their engines may
// just not be known yet.
const maxServices = 256

// knows reports whether state is kept for a service that another daemon names.
func (d *Dispatcher) knows(service string) bool {
	services := *d.services.Load()
	return services[service] != nil || len(services) < maxServices || len(d.Engines(service)) > 0
}

// Contended reports whether a service is contended.
func (d *Dispatcher) Contended(service string) bool {
	s := (*d.services.Load())[service]
	return s != nil && s.contended(time.Now())
}

// FreeEngine reports whether an engine of a service other than the excepted ones has a free
// slot, as far as is known.
func (d *Dispatcher) FreeEngine(service string, except []string) bool {
	return d.service(service).freeEngine(except, time.Now())
}

// Run makes the calls to coordinators until ctx ends. It returns nil. Afterwards services count
// as uncontended.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.mu.Lock()
	d.ctx = ctx
	d.mu.Unlock()
	d.stopped.Store(false)
	d.eachService(func(s *service) {
		if s.contended(time.Now()) {
			s.startLoop()
		}
	})
	<-ctx.Done()
	d.stopped.Store(true)
	d.mu.Lock()
	d.ctx = nil
	d.mu.Unlock()
	d.loops.Wait()
	return nil
}

// service returns the state of a service.
func (d *Dispatcher) service(name string) *service {
	if s := (*d.services.Load())[name]; s != nil {
		return s
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := (*d.services.Load())[name]; s != nil {
		return s
	}
	s := newService(d, name)
	services := maps.Clone(*d.services.Load())
	services[name] = s
	d.services.Store(&services)
	return s
}

func (d *Dispatcher) eachService(f func(*service)) {
	for _, s := range *d.services.Load() {
		f(s)
	}
}

// live returns the number of live daemons, at least 1.
func (d *Dispatcher) live() int { return max(d.Live(), 1) }

// weight returns the weight of an organisation.
func (d *Dispatcher) weight(organisation string) float64 {
	if d.Weight == nil {
		return 1
	}
	return d.Weight(organisation)
}

// noCapacity returns the failure of a refused request.
func noCapacity(cause scheduler.Cause, retryAfter time.Duration) *failure.Error {
	return failure.New(failure.CodeNoCapacity, failure.RanNo, "no capacity: %s", cause).WithRetryAfter(retryAfter)
}
