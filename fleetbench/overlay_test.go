package fleetbench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gossip"
	"github.com/bronzeturn/bronzeturn/membership"
)

// overlay connects real memberships by in-memory links, which work with virtual time, and
// counts the traffic of the links.
type overlay struct {
	mu      sync.Mutex
	members map[string]*membership.Membership
	running sync.WaitGroup
	// frames and bytes are the totals sent on all links, headCopies is the number of
	// times that the entry headKey was sent.
	frames, bytes, headCopies atomic.Uint64
}

var errNotStarted = errors.New("daemon is not started")

// DialLink implements gossip.Dialer.
func (o *overlay) DialLink(_ context.Context, target gossip.Target) (gossip.Link, error) {
	o.mu.Lock()
	m := o.members[target.Address]
	o.mu.Unlock()
	if m == nil {
		return nil, errNotStarted
	}
	done, once := make(chan struct{}), &sync.Once{}
	there, back := make(chan *bronzeturnv1.Frame, 64), make(chan *bronzeturnv1.Frame, 64)
	o.running.Go(func() {
		_ = m.Table().Accept(&memoryLink{overlay: o, out: back, in: there, done: done, once: once}) // It returns when the other side closes the link.
	})
	return &memoryLink{overlay: o, out: there, in: back, done: done, once: once}, nil
}

// memoryLink is one side of a link.
type memoryLink struct {
	overlay *overlay
	out     chan<- *bronzeturnv1.Frame
	in      <-chan *bronzeturnv1.Frame
	done    chan struct{}
	once    *sync.Once
}

func (l *memoryLink) Send(frame *bronzeturnv1.Frame) error {
	l.overlay.frames.Add(1)
	l.overlay.bytes.Add(uint64(proto.Size(frame)))
	for _, e := range frame.GetEntries() {
		if e.GetKey() == headKey {
			l.overlay.headCopies.Add(1)
		}
	}
	select {
	case l.out <- frame:
		return nil
	case <-l.done:
		return context.Canceled
	}
}

func (l *memoryLink) Receive() (*bronzeturnv1.Frame, error) {
	select {
	case frame := <-l.in:
		return frame, nil
	case <-l.done:
		return nil, context.Canceled
	}
}

func (l *memoryLink) Close() { l.once.Do(func() { close(l.done) }) }

// headKey is the key of the entry by which the provider spreads the configuration head.
const headKey = "config/head"

// start starts n memberships, lets a minute pass, and checks that each knows all others.
func (o *overlay) start(t *testing.T, n int) {
	for i := range n {
		name := daemonName(i)
		m, err := membership.New(membership.Options{
			Self:   membership.Self{Name: name, DataCentre: dataCentreName(i % 4), PeerAddress: name, CallerAddress: name},
			Seeds:  []string{daemonName(0)},
			Dialer: o, Random: rand.New(rand.NewPCG(uint64(i), 1)), Log: zerolog.Nop(),
			Classes: []gossip.Class{{Prefix: "config/", MaxEntries: 1, MaxValueBytes: 64 << 10}},
		})
		qt.Assert(t, err, qt.IsNil)
		o.mu.Lock()
		o.members[name] = m
		o.mu.Unlock()
		m.Start()
	}
	time.Sleep(time.Minute)
	for _, m := range o.members {
		qt.Assert(t, m.View().Live(), qt.Equals, n)
	}
}

func (o *overlay) stop() {
	var stopping sync.WaitGroup
	for _, m := range o.members {
		stopping.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_ = m.Stop(ctx) // The test is over.
		})
	}
	stopping.Wait()
	o.running.Wait()
}

// Bounds on the traffic of the overlay per daemon, for any size of the fleet.
const (
	// A daemon has about six links, each with two heartbeats per second and side.
	maxFramesPerSecond = 13
	maxBytesPerSecond  = 220
	// A head is sent once over each link, and twice if both sides send it at the same time.
	maxHeadCopies = 4
	// One daemon in each of the four data centres watches the store and the host list.
	expectedWatchers = 4
)

func TestOverlayTrafficPerDaemonDoesNotGrowWithTheFleet(t *testing.T) {
	for _, daemons := range []int{6, 16, 32} {
		t.Run(fmt.Sprintf("%d daemons", daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := &overlay{members: make(map[string]*membership.Membership)}
				defer o.stop()
				o.start(t, daemons)
				c := qt.New(t)

				const idle = 20
				frames, bytes := o.frames.Load(), o.bytes.Load()
				time.Sleep(idle * time.Second)
				frames, bytes = o.frames.Load()-frames, o.bytes.Load()-bytes
				t.Logf("idle: %.1f frames and %.0f bytes sent a second and daemon",
					float64(frames)/idle/float64(daemons), float64(bytes)/idle/float64(daemons))
				c.Check(frames <= maxFramesPerSecond*idle*uint64(daemons), qt.IsTrue)
				c.Check(bytes <= maxBytesPerSecond*idle*uint64(daemons), qt.IsTrue)

				c.Assert(o.members[daemonName(0)].Table().Publish(headKey, 1, make([]byte, 3144)), qt.IsNil)
				time.Sleep(10 * time.Second)
				t.Logf("change: %.2f copies of the head sent a daemon", float64(o.headCopies.Load())/float64(daemons))
				c.Check(o.headCopies.Load() <= maxHeadCopies*uint64(daemons), qt.IsTrue)

				watchers := 0
				for _, m := range o.members {
					_, _, held := m.Table().Get(headKey)
					c.Check(held, qt.IsTrue)
					if m.IsWatcher() {
						watchers++
					}
				}
				t.Logf("%d watchers", watchers)
				c.Check(watchers, qt.Equals, expectedWatchers)
			})
		})
	}
}
