package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a relay treats the bytes that it receives.
type mode int

const (
	// passThrough forwards bytes at once, delayed after relayDelay.
	passThrough mode = iota
	delayed
	// dropAll receives and discards the bytes of both directions, dropReplies
	// only those from the target. The connections stay open.
	dropAll
	dropReplies
	// modeCount is the number of modes.
	modeCount
)

// relayDelay is the time by which a relay in delayed mode delays bytes.
const relayDelay = 60 * time.Millisecond

// relay is a TCP proxy on the loopback interface, for faults on the network between
// two processes.
type relay struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	current mode
	conns   map[net.Conn]struct{}
	closed  bool
}

// newRelay starts a relay to the target address.
func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go r.accept()
	return r, nil
}

// address returns the address on which the relay listens.
func (r *relay) address() string { return r.listener.Addr().String() }

// set sets the mode, also for open connections.
func (r *relay) set(m mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = m
}

// reset closes every open connection.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// close stops the relay.
func (r *relay) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.reset()
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.proxy(c)
	}
}

// proxy connects to the target and forwards bytes in both directions until one of
// the connections ends.
func (r *relay) proxy(c net.Conn) {
	t, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	if !r.track(c, t) {
		return
	}
	defer r.closeAndUntrack(c, t)
	ended := make(chan struct{}, 2)
	go r.forward(t, c, false, ended)
	go r.forward(c, t, true, ended)
	<-ended
}

// track records open connections. If the relay is closed, it closes them and returns
// false.
func (r *relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		if r.closed {
			_ = c.Close()
			continue
		}
		r.conns[c] = struct{}{}
	}
	return !r.closed
}

// closeAndUntrack closes connections and removes them from the record.
func (r *relay) closeAndUntrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(r.conns, c)
	}
}

// forward copies bytes in one direction, subject to the current mode. back is true
// for the direction from the target.
func (r *relay) forward(to io.Writer, from io.Reader, back bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		now := r.current
		r.mu.Unlock()
		switch {
		case now == delayed:
			time.Sleep(relayDelay)
		case now == dropAll, now == dropReplies && back:
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
