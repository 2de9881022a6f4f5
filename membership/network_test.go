package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gossip"
)

// network connects daemons by in-memory links, for tests in virtual time. A cut holds back all
// frames between two daemons without closing the connection, as on a lost network path. A
// paused daemon neither sends nor receives, but accepts connections.
type network struct {
	mu      sync.Mutex
	pipes   []*pipe
	daemons map[string]*Membership
	down    map[string]bool
	paused  map[string]bool
	cut     map[[2]string]bool
	random  *rand.Rand
	delay   time.Duration
	// dials counts dial attempts by target address.
	dials map[string]int
}

func newNetwork(delay time.Duration) *network {
	return &network{
		daemons: make(map[string]*Membership),
		down:    make(map[string]bool),
		paused:  make(map[string]bool),
		cut:     make(map[[2]string]bool),
		dials:   make(map[string]int),
		random:  rand.New(rand.NewPCG(3, 4)),
		delay:   delay,
	}
}

var errReset = errors.New("connection reset")

type dialError struct{}

func (dialError) Error() string       { return "no connection" }
func (dialError) ConnectFailed() bool { return true }

// idle returns a daemon that has not been started.
func (n *network) idle(t testing.TB, name string) *Membership {
	return n.create(t, name, "hall-centro", nil)
}

// start starts a daemon whose address is its name.
func (n *network) start(t testing.TB, name, dataCentre string, list HostList, seeds ...string) *Membership {
	m := n.create(t, name, dataCentre, list, seeds...)
	n.run(name, m)
	return m
}

func (n *network) create(t testing.TB, name, dataCentre string, list HostList, seeds ...string) *Membership {
	m, err := New(Options{
		Self:     Self{Name: name, DataCentre: dataCentre, PeerAddress: name, CallerAddress: name},
		Seeds:    seeds,
		Dialer:   &networkDialer{network: n, from: name},
		HostList: list,
		Classes:  []gossip.Class{{Prefix: "test/", MaxEntries: 1000, MaxValueBytes: 1000}},
		Random:   rand.New(rand.NewPCG(1, 2)),
		Log:      zerolog.Nop(),
	})
	qt.Assert(t, err, qt.IsNil)
	return m
}

func (n *network) run(name string, m *Membership) {
	n.change(func() {
		n.daemons[name] = m
		n.down[name] = false
		n.paused[name] = false
	})
	m.Start()
}

// change modifies the network and wakes all receivers.
func (n *network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	for _, p := range n.pipes {
		p.changed.Broadcast()
	}
}

// crash stops a daemon without a goodbye frame; its connections are reset.
func (n *network) crash(name string) {
	var m *Membership
	n.change(func() {
		n.down[name] = true
		m = n.daemons[name]
	})
	m.tomb.Kill(nil)
	_ = m.tomb.Wait()
	_ = m.node.Stop()
}

func (n *network) stopAll() {
	for name := range n.daemons {
		n.mu.Lock()
		down := n.down[name]
		n.mu.Unlock()
		if !down {
			n.crash(name)
		}
	}
	// Let the frames in flight arrive, so that no goroutine of the links remains.
	time.Sleep(time.Second)
}

func (n *network) setCut(a, b string, cut bool) {
	n.change(func() {
		n.cut[[2]string{a, b}] = cut
		n.cut[[2]string{b, a}] = cut
	})
}

func (n *network) setPaused(name string, paused bool) {
	n.change(func() { n.paused[name] = paused })
}

// stuckLocked reports whether frames between the daemons are held back.
func (n *network) stuckLocked(from, to string) bool {
	return n.cut[[2]string{from, to}] || n.paused[from] || n.paused[to]
}

type networkDialer struct {
	network *network
	from    string
}

// DialLink implements gossip.Dialer.
func (d *networkDialer) DialLink(ctx context.Context, target gossip.Target) (gossip.Link, error) {
	n, to := d.network, target.Address
	n.mu.Lock()
	n.dials[to]++
	cut, down, m := n.cut[[2]string{d.from, to}], n.down[to], n.daemons[to]
	n.mu.Unlock()
	if cut {
		timer := time.NewTimer(1500 * time.Millisecond)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		return nil, dialError{}
	}
	if down || m == nil {
		return nil, dialError{}
	}
	there, back := newPipe(n, d.from, to), newPipe(n, to, d.from)
	go func() { _ = m.Table().Accept(&end{in: there, out: back}) }()
	return &end{in: back, out: there}, nil
}

// pipe carries frames in one direction, in order.
type pipe struct {
	network  *network
	from, to string
	// changed wakes the receiver. Each pipe has its own condition, because a shared one would
	// wake the receivers of all links for each frame.
	changed *sync.Cond
	frames  []*bronzeturnv1.Frame
	closed  bool
}

func newPipe(n *network, from, to string) *pipe {
	p := &pipe{network: n, from: from, to: to, changed: sync.NewCond(&n.mu)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pipes = append(n.pipes, p)
	return p
}

type end struct {
	in, out *pipe
	// closed is set when this side closes the link. It then stops receiving, while the other
	// side still receives the frames in flight.
	closed bool
}

// Send implements gossip.Link.
func (e *end) Send(frame *bronzeturnv1.Frame) error {
	n := e.out.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if e.out.closed || n.down[e.out.from] || n.down[e.out.to] {
		return errReset
	}
	e.out.frames = append(e.out.frames, frame)
	e.out.changed.Broadcast()
	return nil
}

// Receive implements gossip.Link.
func (e *end) Receive() (*bronzeturnv1.Frame, error) {
	p, n := e.in, e.in.network
	n.mu.Lock()
	for {
		reset := p.closed || n.down[p.from] || n.down[p.to]
		if reset && (len(p.frames) == 0 || n.down[p.to]) && !n.stuckLocked(p.from, p.to) || e.closed {
			n.mu.Unlock()
			return nil, errReset
		}
		if len(p.frames) > 0 && !n.stuckLocked(p.from, p.to) {
			break
		}
		p.changed.Wait()
	}
	frame := p.frames[0]
	p.frames = p.frames[1:]
	delay := n.delay/2 + time.Duration(n.random.Int64N(int64(n.delay)+1))
	n.mu.Unlock()
	time.Sleep(delay)
	return frame, nil
}

// Close implements gossip.Link. The other side notices it once frames may pass.
func (e *end) Close() {
	n := e.in.network
	n.mu.Lock()
	defer n.mu.Unlock()
	e.closed, e.in.closed, e.out.closed = true, true, true
	e.in.changed.Broadcast()
	e.out.changed.Broadcast()
}
