package entry

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/dispatch"
	"github.com/bronzeturn/bronzeturn/gateway"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
	"github.com/bronzeturn/bronzeturn/peer"
	"github.com/bronzeturn/bronzeturn/scheduler"
)

// contendedPrefix is the key prefix in the gossip table for contended services, by the name of the
// service.
const contendedPrefix = "contended/"

const (
	maxContendedEntries = 1024
	// contendedTTL is how long a service counts as contended after it was last reported. The
	// daemons that find it contended report it once per second, so two reports may be lost.
	contendedTTL = 3 * time.Second
	// coordinatorPrefix begins the keys by which the coordinators of services are chosen.
	coordinatorPrefix = "dispatch/"
)

// requestDispatcher orders the requests to contended services.
type requestDispatcher interface {
	gateway.Dispatcher
	bronzeturnv1connect.DispatchServiceHandler
	// MarkContended records that a service is contended until the given time.
	MarkContended(service string, until time.Time)
	Run(ctx context.Context) error
}

// newDispatcher returns the Dispatcher of this daemon. It is called before the fleet exists.
func newDispatcher(d *Daemon) (requestDispatcher, error) {
	schedulers, err := dispatch.NewScheduler(scheduler.Options{Seed: uint32(d.seed)})
	if err != nil {
		return nil, err
	}
	return dispatch.New(dispatch.Options{
		Self: d.Settings.Name, Incarnation: uint64(d.started.UnixMilli()),
		Coordinator: func(service string) string { return d.fleet.coordinatorOf(service) },
		Client: func(daemon string) bronzeturnv1connect.DispatchServiceClient {
			return d.fleet.dispatchClient(daemon)
		},
		Live:    func() int { return d.fleet.Live() },
		Engines: d.serviceEngines, Weight: d.weightOf,
		Announce:     func(service string) { d.fleet.announceContended(service) },
		NewScheduler: schedulers, Log: d.logger("dispatch"), Registerer: d.registry,
	}), nil
}

// coordinatorOf returns the name of the daemon that orders the requests to a service, or "" while
// no daemon is live. Daemons on hosts of high capacity are chosen for more services.
func (f *fleet) coordinatorOf(service string) string {
	return f.members.View().Owner(coordinatorPrefix + service)
}

// dispatchClient returns a client for a coordinator, or nil if the daemon is unknown.
func (f *fleet) dispatchClient(daemon string) bronzeturnv1connect.DispatchServiceClient {
	client, base, ok := f.directory.Dial(daemon)
	if !ok {
		return nil
	}
	return bronzeturnv1connect.NewDispatchServiceClient(client, base, peer.ClientOptions()...)
}

// announceContended publishes that a service is contended. The version exceeds that of an entry of
// a daemon whose clock is ahead, as the entry would expire otherwise.
func (f *fleet) announceContended(service string) {
	key := contendedPrefix + service
	current, _, _ := f.members.Table().Get(key)
	f.publish(key, max(uint64(time.Now().UnixMilli()), current+1), []byte{1})
}

// receiveContended records that a daemon finds a service contended. Expired entries have no value
// and say nothing.
func (f *fleet) receiveContended(key string, _ uint64, value []byte) {
	if len(value) > 0 {
		f.daemon.dispatcher.MarkContended(strings.TrimPrefix(key, contendedPrefix), time.Now().Add(contendedTTL))
	}
}

// schedulesLoad reports whether decisions take into account what they cost other requests: where
// the settings ask for it, and where engines differ in speed. There, daemons that decide alone and
// send each engine an equal part of the requests overload the slow engines.
func (d *Daemon) schedulesLoad() bool {
	return d.Settings.Scheduling || d.balancer.HasUnlikeEngines(time.Now())
}

// weightOf returns the share of an organisation relative to others, 1 by default.
func (d *Daemon) weightOf(organisation string) float64 {
	if weight, ok := d.Settings.Weights[organisation]; ok {
		return weight
	}
	return 1
}

// engineLists caches the engines of each service for one state of the tables. The zero value is
// ready to use. It is safe for concurrent use.
type engineLists struct {
	mu        sync.Mutex
	from      *gateway.Engines
	byService map[string][]dispatch.Engine
}

// of returns the engines that may get requests for a service, of all its versions. The caller must
// not modify the list.
func (l *engineLists) of(engines *gateway.Engines, service string) []dispatch.Engine {
	if engines == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.from != engines {
		l.from, l.byService = engines, make(map[string][]dispatch.Engine)
	}
	list, known := l.byService[service]
	if !known {
		for _, e := range engines.Serving(service) {
			list = append(list, dispatch.Engine{Key: e.Key(), Slots: max(e.Slots, 1)})
		}
		l.byService[service] = list
	}
	return list
}

// serviceEngines returns the engines that may get requests for a service.
func (d *Daemon) serviceEngines(service string) []dispatch.Engine {
	tables := d.tables.Load()
	if tables == nil {
		return nil
	}
	return d.engineLists.of(tables.Engines, service)
}
