package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// memNetwork connects nodes by in-memory links and counts the frames sent.
type memNetwork struct {
	mu         sync.Mutex
	nodes      map[string]*Node
	entries    int
	bytes      int
	heartbeats int
	largest    int
	// dropFromAcceptors drops the frames sent by the accepting side, so that only the dialling
	// side experiences silence.
	dropFromAcceptors bool
}

// memLink is one side of a link.
type memLink struct {
	network *memNetwork
	in      chan *bronzeturnv1.Frame
	out     chan *bronzeturnv1.Frame
	done    chan struct{}
	once    *sync.Once
	// acceptor is set on the side that did not dial.
	acceptor bool
}

var errClosed = errors.New("closed")

func (l *memLink) Send(frame *bronzeturnv1.Frame) error {
	if !l.network.count(frame, l.acceptor) {
		return nil
	}
	select {
	case l.out <- frame:
		return nil
	case <-l.done:
		return errClosed
	}
}

func (l *memLink) Receive() (*bronzeturnv1.Frame, error) {
	select {
	case frame := <-l.in:
		return frame, nil
	case <-l.done:
		return nil, errClosed
	}
}

func (l *memLink) Close() { l.once.Do(func() { close(l.done) }) }

// count counts a frame and reports whether it is delivered.
func (w *memNetwork) count(frame *bronzeturnv1.Frame, acceptor bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries += len(frame.GetEntries())
	w.bytes += proto.Size(frame)
	if frame.GetHeartbeat() != nil && frame.GetHello() == nil {
		w.heartbeats++
		w.largest = max(w.largest, proto.Size(frame))
	}
	return !w.dropFromAcceptors || !acceptor
}

func (w *memNetwork) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries, w.bytes, w.heartbeats, w.largest = 0, 0, 0, 0
}

// DialLink implements Dialer.
func (w *memNetwork) DialLink(_ context.Context, target Target) (Link, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	node := w.nodes[target.Name]
	if node == nil {
		return nil, errClosed
	}
	there, back := make(chan *bronzeturnv1.Frame, 100), make(chan *bronzeturnv1.Frame, 100)
	done, once := make(chan struct{}), &sync.Once{}
	go func() {
		_ = node.Accept(&memLink{network: w, in: there, out: back, done: done, once: once, acceptor: true})
	}()
	return &memLink{network: w, in: back, out: there, done: done, once: once}, nil
}

type lossRecorder struct {
	mu   sync.Mutex
	lost []error
}

func (l *lossRecorder) HeartbeatReceived(string, *bronzeturnv1.Heartbeat) {}

func (l *lossRecorder) LinkLost(_ Target, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = append(l.lost, err)
}

func (w *memNetwork) start(t *testing.T, name string, observer Observer) *Node {
	n, err := New(Options{
		Name:     name,
		Classes:  testClasses,
		Dialer:   w,
		Observer: observer,
		Status: func() *bronzeturnv1.Heartbeat {
			return &bronzeturnv1.Heartbeat{Incarnation: 1 << 41, ConfigGeneration: 1 << 30, NewsAgeMs: 1000, Load: 3, PeersKnown: 6, PeersHeard: 6}
		},
		Random: rand.New(rand.NewPCG(1, 1)),
		Log:    zerolog.Nop(),
	})
	qt.Assert(t, err, qt.IsNil)
	w.mu.Lock()
	w.nodes[name] = n
	w.mu.Unlock()
	n.Start()
	return n
}

// startLine starts nodes, each of which has a link to the previous one.
func startLine(t *testing.T, names ...string) (*memNetwork, []*Node) {
	w := &memNetwork{nodes: make(map[string]*Node)}
	var nodes []*Node
	for i, name := range names {
		n := w.start(t, name, &lossRecorder{})
		if i > 0 {
			n.SetTargets([]Target{{Name: names[i-1]}})
		}
		nodes = append(nodes, n)
	}
	time.Sleep(2 * time.Second)
	return w, nodes
}

func stopAll(t *testing.T, nodes []*Node) {
	for _, n := range nodes {
		qt.Check(t, n.Stop(), qt.IsNil)
	}
	time.Sleep(time.Second)
}

func TestChangeIsSentOncePerLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, nodes := startLine(t, "a", "b", "c", "d")
		w.reset()
		qt.Assert(t, nodes[0].Publish("kept/x", 5, []byte("v")), qt.IsNil)
		time.Sleep(200 * time.Millisecond)
		version, value, ok := nodes[3].Get("kept/x")
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, version, qt.Equals, uint64(5))
		qt.Check(t, string(value), qt.Equals, "v")
		w.mu.Lock()
		qt.Check(t, w.entries, qt.Equals, 3)
		w.mu.Unlock()
		stopAll(t, nodes)
	})
}

func TestChangesOfOneKeyAreCoalesced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, nodes := startLine(t, "a", "b")
		w.reset()
		for version := range uint64(1000) {
			qt.Assert(t, nodes[0].Publish("kept/x", version+1, []byte("v")), qt.IsNil)
		}
		time.Sleep(200 * time.Millisecond)
		version, _, _ := nodes[1].Get("kept/x")
		qt.Check(t, version, qt.Equals, uint64(1000))
		w.mu.Lock()
		qt.Check(t, w.entries, qt.Equals, 1)
		w.mu.Unlock()
		stopAll(t, nodes)
	})
}

func TestHeartbeatsAreFewAndSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, nodes := startLine(t, "a", "b")
		// Start and end between two heartbeats, so that the count does not depend on the order
		// of simultaneous events.
		time.Sleep(HeartbeatInterval / 2)
		w.reset()
		time.Sleep(10 * time.Second)
		w.mu.Lock()
		// Each side of the link sends two a second.
		qt.Check(t, w.heartbeats, qt.Equals, 40)
		qt.Check(t, w.largest <= 48, qt.IsTrue, qt.Commentf("%d bytes", w.largest))
		w.mu.Unlock()
		stopAll(t, nodes)
	})
}

func TestMissedEntriesAreRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startLine(t, "a", "b", "c")
		// Bypass the links, as if a frame had been lost together with its link.
		_, err := nodes[0].table.put("kept/lost", 3, []byte("v"), 0, time.Now())
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(5 * time.Second)
		version, _, _ := nodes[2].Get("kept/lost")
		qt.Check(t, version, qt.Equals, uint64(3))
		stopAll(t, nodes)
	})
}

func TestSilentLinkIsClosedAndOpenedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &memNetwork{nodes: make(map[string]*Node)}
		observer := &lossRecorder{}
		a, b := w.start(t, "a", observer), w.start(t, "b", &lossRecorder{})
		a.SetTargets([]Target{{Name: "b"}})
		time.Sleep(time.Second)
		qt.Check(t, a.Links(), qt.DeepEquals, []string{"b"})

		w.mu.Lock()
		w.dropFromAcceptors = true
		w.mu.Unlock()
		time.Sleep(SilenceTimeout + HeartbeatInterval)
		qt.Check(t, a.Links(), qt.HasLen, 0)
		observer.mu.Lock()
		qt.Check(t, errors.Is(observer.lost[0], ErrSilent), qt.IsTrue)
		observer.mu.Unlock()

		w.mu.Lock()
		w.dropFromAcceptors = false
		w.mu.Unlock()
		time.Sleep(SilenceTimeout + 2*redialMax)
		qt.Check(t, a.Links(), qt.DeepEquals, []string{"b"})
		stopAll(t, []*Node{a, b})
	})
}

func TestDuplicateLinkIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startLine(t, "a", "b")
		nodes[0].SetTargets([]Target{{Address: "b", Name: "b"}})
		time.Sleep(5 * time.Second)
		qt.Check(t, nodes[0].Links(), qt.HasLen, 1)
		qt.Check(t, nodes[1].Links(), qt.HasLen, 1)
		stopAll(t, nodes)
	})
}

func TestSubscribersReceiveHeldAndExpiredEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &memNetwork{nodes: make(map[string]*Node)}
		a := w.start(t, "a", &lossRecorder{})
		qt.Assert(t, a.Publish("aged/x", 9, []byte("v")), qt.IsNil)
		var seen []uint64
		a.Subscribe("aged/", func(_ string, version uint64, _ []byte) { seen = append(seen, version) })
		time.Sleep(time.Minute)
		qt.Check(t, a.Publish("aged/x", 8, []byte("older")), qt.IsNil)
		time.Sleep(time.Hour)
		qt.Check(t, a.Stop(), qt.IsNil)
		qt.Check(t, seen, qt.DeepEquals, []uint64{9, 0})
	})
}

func TestDrainDeliversPendingEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startLine(t, "a", "b")
		qt.Assert(t, nodes[0].Publish("kept/last", 1, []byte("v")), qt.IsNil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		qt.Check(t, nodes[0].Drain(ctx), qt.IsNil)
		_, _, ok := nodes[1].Get("kept/last")
		qt.Check(t, ok, qt.IsTrue)
		stopAll(t, nodes)
	})
}

func TestInvalidOptionsAreRefused(t *testing.T) {
	_, err := New(Options{})
	var wrong *OptionError
	qt.Check(t, errors.As(err, &wrong), qt.IsTrue)
}
