package gossip

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeturn/bronzeturn/backoff"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/peer"
)

// link runs one overlay stream. Its queue holds keys, not entries: each key is sent with the
// newest state at the time of sending, and the queue never holds more keys than the table.
type link struct {
	node   *Node
	stream Link
	// target is the dialled target, or nil for an inbound link.
	target *Target
	name   atomic.Pointer[string]
	// acceptsCompressed reports whether the neighbour's hello declared support for compressed
	// frames.
	acceptsCompressed atomic.Bool

	mu      sync.Mutex
	queue   []string
	queued  map[string]struct{}
	control []*bronzeturnv1.Frame
	// goodbyeRequested is set when the link must send a goodbye frame after its queue,
	// goodbyeSent once it has.
	goodbyeRequested bool
	goodbyeSent      bool

	wake    chan struct{}
	done    chan struct{}
	once    sync.Once
	cause   error
	silence *time.Timer
	// opened is when the link was opened.
	opened time.Time
	// lastReceived is when the last frame arrived, in nanoseconds since opened. It is based on
	// the monotonic clock, so that steps of the wall clock do not close links.
	lastReceived atomic.Int64
}

func newLink(n *Node, stream Link, target *Target) *link {
	return &link{
		node:   n,
		stream: stream,
		target: target,
		opened: time.Now(),
		queued: make(map[string]struct{}),
		wake:   make(chan struct{}, 1),
		done:   make(chan struct{}),
	}
}

// run runs a stream until it ends and returns the name of the neighbour, if known, and the
// cause of the end. The target is nil for a stream that the neighbour opened.
func (n *Node) run(stream Link, target *Target) (name string, err error) {
	l := newLink(n, stream, target)
	if err := n.attach(l); err != nil {
		if errors.Is(err, ErrTooManyLinks) && target == nil {
			n.sendReferral(stream)
		}
		stream.Close()
		return "", err
	}
	defer n.detach(l)
	for _, key := range n.options.GreetingKeys {
		l.enqueue(key)
	}
	l.silence = time.AfterFunc(SilenceTimeout, l.checkSilence)
	defer l.silence.Stop()
	written := make(chan struct{})
	started := n.spawn(func() error {
		defer close(written)
		err := l.write()
		if !errors.Is(err, io.EOF) {
			l.close(err)
		}
		// On io.EOF the cause is left to the reader, whose error distinguishes a failed
		// connection from a silent one.
		return nil
	})
	if !started {
		l.close(ErrStopped)
		return "", ErrStopped
	}
	l.close(l.read())
	<-written
	return l.peerName(), l.cause
}

// close ends the link. Only the cause of the first call is recorded.
func (l *link) close(cause error) {
	l.once.Do(func() {
		l.cause = cause
		close(l.done)
		l.stream.Close()
	})
}

// checkSilence closes the link if no frame has arrived for SilenceTimeout. Otherwise it
// schedules the next check on a heartbeat tick: resetting a timer for each frame would cost an
// additional wake-up for each link.
func (l *link) checkSilence() {
	remaining := SilenceTimeout - (time.Since(l.opened) - time.Duration(l.lastReceived.Load()))
	if remaining <= 0 {
		l.close(ErrSilent)
		return
	}
	l.silence.Reset(backoff.UntilLastTickWithin(HeartbeatInterval, remaining))
}

// peerName returns the neighbour's name, or "" before its hello was received.
func (l *link) peerName() string {
	if name := l.name.Load(); name != nil {
		return *name
	}
	return ""
}

// enqueue adds a key to the send queue.
func (l *link) enqueue(key string) {
	l.mu.Lock()
	if _, ok := l.queued[key]; !ok {
		l.queued[key] = struct{}{}
		l.queue = append(l.queue, key)
	}
	l.mu.Unlock()
	l.signal()
}

// dequeue removes a key from the send queue because the neighbour already holds its state.
func (l *link) dequeue(key string) {
	l.mu.Lock()
	delete(l.queued, key)
	l.mu.Unlock()
}

// enqueueControl queues anti-entropy frames. Frames beyond maxControlFrames are dropped; a
// later exchange compensates for them.
func (l *link) enqueueControl(frames ...*bronzeturnv1.Frame) {
	l.mu.Lock()
	room := maxControlFrames - len(l.control)
	l.control = append(l.control, frames[:max(0, min(room, len(frames)))]...)
	l.mu.Unlock()
	l.signal()
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// requestGoodbye makes the link send a goodbye frame once its queue is empty.
func (l *link) requestGoodbye() {
	l.mu.Lock()
	l.goodbyeRequested = true
	l.mu.Unlock()
	l.signal()
}

// write sends heartbeats and queued entries and frames until the link ends.
func (l *link) write() error {
	hello := &bronzeturnv1.Frame{
		Hello:     &bronzeturnv1.Hello{Name: l.node.options.Name, Compressed: true},
		Heartbeat: l.node.heartbeat(true),
	}
	if l.target == nil && l.node.entryRateExhausted() {
		// The table cannot be sent soon. The neighbour gets it from others.
		hello.Entries = l.node.referral()
	}
	if err := l.send(hello); err != nil {
		return err
	}
	timer := time.NewTimer(backoff.UntilTick(HeartbeatInterval))
	defer timer.Stop()
	var flush <-chan time.Time
	for heartbeats := 1; ; {
		select {
		case <-l.done:
			return nil
		case <-timer.C:
			timer.Reset(backoff.UntilTick(HeartbeatInterval))
			frame := &bronzeturnv1.Frame{Heartbeat: l.node.heartbeat(heartbeats%heartbeatsPerDigest == 0)}
			heartbeats++
			if err := l.send(frame); err != nil {
				return err
			}
		case <-l.wake:
			if flush == nil {
				flush = time.After(batchDelay)
			}
		case <-flush:
			flush = nil
			wait, err := l.flush()
			if err != nil {
				return err
			}
			if wait > 0 {
				flush = time.After(wait)
			}
		}
	}
}

// flush sends the queued control frames and one batch of entries. It returns the delay before
// the next flush, or zero if the queue is empty.
func (l *link) flush() (time.Duration, error) {
	for _, frame := range l.takeControl() {
		if err := l.send(frame); err != nil {
			return 0, err
		}
	}
	if l.node.limiter.Tokens() < 1 {
		return rateRetry, nil
	}
	frame, size := l.takeBatch()
	if size == 0 {
		return 0, l.sendGoodbye()
	}
	l.node.limiter.ReserveN(time.Now(), min(size, entryBurst))
	l.node.metrics.entryBytes.Add(float64(size))
	if err := l.send(frame); err != nil {
		return 0, err
	}
	return batchDelay, nil
}

// sendGoodbye sends the goodbye frame if it was requested and has not been sent.
func (l *link) sendGoodbye() error {
	l.mu.Lock()
	due := l.goodbyeRequested && !l.goodbyeSent
	l.goodbyeSent = l.goodbyeSent || due
	l.mu.Unlock()
	if !due {
		return nil
	}
	return l.send(&bronzeturnv1.Frame{Goodbye: true})
}

// send sends a frame, compressed if the neighbour supports it and compression makes a large
// frame smaller.
func (l *link) send(frame *bronzeturnv1.Frame) error {
	if l.acceptsCompressed.Load() {
		compressed, err := peer.Compress(frame)
		if err != nil {
			return err
		}
		if compressed != nil {
			frame = &bronzeturnv1.Frame{Compressed: compressed}
		}
	}
	return l.stream.Send(frame)
}

// receive returns the neighbour's next frame, decompressed if necessary.
func (l *link) receive() (*bronzeturnv1.Frame, error) {
	frame, err := l.stream.Receive()
	if err != nil || len(frame.GetCompressed()) == 0 {
		return frame, err
	}
	content := &bronzeturnv1.Frame{}
	if err := peer.Decompress(frame.GetCompressed(), content); err != nil {
		return nil, err
	}
	return content, nil
}

func (l *link) takeControl() []*bronzeturnv1.Frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	frames := l.control
	l.control = nil
	return frames
}

// takeBatch removes keys from the queue and returns a frame with their entries and its size in
// bytes.
func (l *link) takeBatch() (frame *bronzeturnv1.Frame, size int) {
	frame = &bronzeturnv1.Frame{}
	now := time.Now()
	for size < batchBytes {
		key, ok := l.next()
		if !ok {
			break
		}
		// The key is removed from the queue before its state is read, so that a later change
		// queues it again.
		e := l.node.table.get(key)
		if e == nil {
			continue
		}
		m := l.node.table.message(e, now)
		frame.Entries = append(frame.Entries, m)
		size += proto.Size(m)
	}
	return frame, size
}

// next removes the first key from the queue.
func (l *link) next() (key string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) > 0 {
		key, l.queue = l.queue[0], l.queue[1:]
		if _, ok := l.queued[key]; ok {
			delete(l.queued, key)
			return key, true
		}
	}
	l.queue = nil
	return "", false
}
