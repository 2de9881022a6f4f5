package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a relay does to the bytes that pass.
type mode int

const (
	// pass carries bytes unchanged, slow carries them late.
	pass mode = iota
	slow
	// silent takes bytes and carries none, in both directions; mute only those
	// towards the caller.
	silent
	mute
	modes
)

// slowTime is how late a slow relay carries bytes.
const slowTime = 60 * time.Millisecond

// relay is a TCP proxy on loopback that stands between two processes.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	now   mode
	conns map[net.Conn]struct{}
	done  bool
}

// newRelay starts a relay to a target.
func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go r.accept()
	return r, nil
}

// address is where the relay listens.
func (r *relay) address() string { return r.listener.Addr().String() }

// set changes what happens to the bytes.
func (r *relay) set(m mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now = m
}

// reset closes every open connection.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// close ends the relay.
func (r *relay) close() {
	r.mu.Lock()
	r.done = true
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
		go r.carry(c)
	}
}

// carry joins one connection with the target.
func (r *relay) carry(c net.Conn) {
	t, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	if !r.keep(c, t) {
		return
	}
	defer r.drop(c, t)
	ended := make(chan struct{}, 2)
	go r.copy(t, c, false, ended)
	go r.copy(c, t, true, ended)
	<-ended
}

// keep notes the connections, unless the relay has ended.
func (r *relay) keep(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		if r.done {
			_ = c.Close()
			continue
		}
		r.conns[c] = struct{}{}
	}
	return !r.done
}

func (r *relay) drop(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(r.conns, c)
	}
}

// copy carries bytes one way as the mode of the moment says.
func (r *relay) copy(to io.Writer, from io.Reader, back bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		now := r.now
		r.mu.Unlock()
		switch {
		case now == slow:
			time.Sleep(slowTime)
		case now == silent, now == mute && back:
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
