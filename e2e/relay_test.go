package e2e

import (
	"net"
	"sync"

	qt "github.com/frankban/quicktest"
)

// relay passes bytes between connections to its address and a target, until it
// makes those that are open go silent for good.
type relay struct {
	address, target string

	mu    sync.Mutex
	pairs []*relayPair
}

// relayPair is one connection through the relay. Once silent, its bytes are
// neither read nor written; both ends stay open.
type relayPair struct {
	near, far net.Conn
	silent    chan struct{}
}

// startRelay starts a relay that ends with the test.
func startRelay(c *qt.C, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	r := &relay{address: listener.Addr().String(), target: target}
	go r.serve(listener)
	c.Cleanup(func() {
		_ = listener.Close()
		r.close()
	})
	return r
}

func (r *relay) serve(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return // The test has ended.
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		pair := &relayPair{near: near, far: far, silent: make(chan struct{})}
		r.mu.Lock()
		r.pairs = append(r.pairs, pair)
		r.mu.Unlock()
		go pair.copy(near, far)
		go pair.copy(far, near)
	}
}

// copy passes bytes one way until an end closes or the pair goes silent.
func (p *relayPair) copy(to, from net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-p.silent:
			return
		default:
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// silence makes the connections that are open now go silent and returns how
// many there were.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, pair := range r.pairs {
		select {
		case <-pair.silent:
		default:
			close(pair.silent)
		}
	}
	return len(r.pairs)
}

func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, pair := range r.pairs {
		_ = pair.near.Close()
		_ = pair.far.Close()
	}
}
