package dispatch

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeturn/bronzeturn/failure"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
	"github.com/bronzeturn/bronzeturn/scheduler"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	// Each check simulates seconds of load on a fleet. 100 of them take over a minute with the
	// race detector.
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.checks", "30")
	}
	os.Exit(m.Run())
}

const testService = "svc"

// testFleet is a fleet of Dispatchers that call each other without a network.
type testFleet struct {
	mu      sync.Mutex
	daemons map[string]*testDaemon
	engines []Engine
	// owner returns the coordinator as a daemon sees it.
	owner func(daemon string) string
	// fault is called before each call, and may delay it or have it fail.
	fault func(ctx context.Context, from, to string, m *bronzeturnv1.SyncRequest) error
	// after is called with each answer, and may delay it or have it lost.
	after func(ctx context.Context, from, to string, r *bronzeturnv1.SyncResponse) error
	live  atomic.Int64
	// liveOf returns the number of live daemons as a daemon sees it, if it is set.
	liveOf func(daemon string) int

	running, most int
	// runs are the requests that an engine has started.
	runs int
	log  io.Writer
	// lateBy is the most by which an Acquire took longer than its MaxWait.
	lateBy time.Duration
}

type testDaemon struct {
	*Dispatcher
	fleet     *testFleet
	calls     atomic.Int64
	announced atomic.Int64
	stop      context.CancelFunc
	ended     chan struct{}
	dead      atomic.Bool
}

// kill ends a daemon without a message to the others. Its requests end at the engines, but none
// starts any more, and calls to it hang.
func (d *testDaemon) kill() {
	d.dead.Store(true)
	d.fleet.setFault(func(ctx context.Context, from, to string, _ *bronzeturnv1.SyncRequest) error {
		if from == d.Self {
			return errTestNetwork
		}
		return freeze(d.Self)(ctx, from, to, nil)
	})
	d.stop()
	<-d.ended
}

// newFleet starts daemons named d0, d1 and so on. d0 is the coordinator.
func newFleet(t interface{ Context() context.Context }, daemons int, engines ...Engine) *testFleet {
	f := &testFleet{daemons: make(map[string]*testDaemon), engines: engines, owner: func(string) string { return "d0" }, log: io.Discard}
	f.live.Store(int64(daemons))
	for i := range daemons {
		f.start(t.Context(), fmt.Sprintf("d%d", i), 1)
	}
	return f
}

// start starts a daemon.
func (f *testFleet) start(ctx context.Context, name string, incarnation uint64) *testDaemon {
	d := &testDaemon{fleet: f, ended: make(chan struct{})}
	d.Dispatcher = New(Options{
		Self: name, Incarnation: incarnation,
		Coordinator: func(string) string { f.mu.Lock(); defer f.mu.Unlock(); return f.owner(name) },
		Client:      func(to string) bronzeturnv1connect.DispatchServiceClient { return testClient{d, name, to} },
		Live:        func() int { return f.liveAt(name) },
		Engines:     func(string) []Engine { f.mu.Lock(); defer f.mu.Unlock(); return f.engines },
		Announce:    func(service string) { d.announced.Add(1); f.gossip(service) }, NewScheduler: newFIFO,
		Log: zerolog.New(f.log), Registerer: prometheus.NewRegistry(),
	})
	ctx, d.stop = context.WithCancel(ctx)
	f.mu.Lock()
	f.daemons[name] = d
	f.mu.Unlock()
	go func() { defer close(d.ended); _ = d.Run(ctx) }()
	for d.stopped.Load() {
		time.Sleep(time.Microsecond)
	}
	return d
}

func (f *testFleet) liveAt(daemon string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.liveOf != nil {
		return f.liveOf(daemon)
	}
	return int(f.live.Load())
}

// stop ends all daemons.
func (f *testFleet) stop() {
	for _, d := range f.daemons {
		d.stop()
		<-d.ended
	}
	time.Sleep(2 * enginesInterval) // timers of coordinators end
}

// gossip tells all daemons that a service is contended.
func (f *testFleet) gossip(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.daemons {
		go d.MarkContended(service, time.Now().Add(contendedTTL))
	}
}

func (f *testFleet) d(i int) *testDaemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[fmt.Sprintf("d%d", i)]
}

func (f *testFleet) setOwner(owner func(string) string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.owner = owner
}

func (f *testFleet) setFault(fault func(ctx context.Context, from, to string, m *bronzeturnv1.SyncRequest) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// testClient calls another daemon.
type testClient struct {
	d        *testDaemon
	from, to string
}

var errTestNetwork = errors.New("lost")

// Sync implements bronzeturnv1connect.DispatchServiceClient.
func (c testClient) Sync(ctx context.Context, r *connect.Request[bronzeturnv1.SyncRequest]) (*connect.Response[bronzeturnv1.SyncResponse], error) {
	c.d.calls.Add(1)
	f := c.d.fleet
	f.mu.Lock()
	fault, after, to := f.fault, f.after, f.daemons[c.to]
	f.mu.Unlock()
	if to == nil {
		return nil, errTestNetwork
	}
	if fault != nil {
		if err := fault(ctx, c.from, c.to, r.Msg); err != nil {
			return nil, err
		}
	}
	answer, err := to.Sync(ctx, connect.NewRequest(proto.CloneOf(r.Msg)))
	if err != nil {
		return nil, err
	}
	if after != nil {
		if err := after(ctx, c.from, c.to, answer.Msg); err != nil {
			return nil, err
		}
	}
	return connect.NewResponse(proto.CloneOf(answer.Msg)), nil
}

// freeze has calls to a daemon hang until they time out.
func freeze(name string) func(context.Context, string, string, *bronzeturnv1.SyncRequest) error {
	return func(ctx context.Context, _, to string, _ *bronzeturnv1.SyncRequest) error {
		if to == name {
			<-ctx.Done()
			return ctx.Err()
		}
		return nil
	}
}

// began counts a request that an engine has started.
func (f *testFleet) began() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs++
	f.running++
	f.most = max(f.most, f.running)
}

func (f *testFleet) finished() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
}

// resetMost forgets the most requests that ran at a time.
func (f *testFleet) resetMost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.most = f.running
}

func (f *testFleet) mostRunning() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.most
}

// request returns a request that waits for at most the given time.
func request(maxWait time.Duration) Request {
	return Request{
		Service: testService, Organisation: "o", Work: 100 * time.Millisecond, Class: scheduler.First,
		MaxWait: maxWait, Deadline: time.Now().Add(1500 * time.Millisecond),
	}
}

// run makes a request that takes the given time at its engine. It returns its wait.
func (d *testDaemon) run(ctx context.Context, maxWait, work time.Duration) (Wait, *failure.Error) {
	r := request(maxWait)
	r.Work = work
	ticket, wait, refusal := d.Acquire(ctx, r)
	d.fleet.mu.Lock()
	d.fleet.lateBy = max(d.fleet.lateBy, wait.Waited-maxWait)
	d.fleet.mu.Unlock()
	if refusal != nil || d.dead.Load() {
		return wait, refusal
	}
	d.fleet.began()
	ticket.Sent(ticket.Engine())
	time.Sleep(work)
	d.fleet.finished()
	ticket.Done(scheduler.Answered)
	return wait, nil
}

func newRegistry() prometheus.Registerer { return prometheus.NewRegistry() }

func (f *testFleet) setLive(live func(string) int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.liveOf = live
}
