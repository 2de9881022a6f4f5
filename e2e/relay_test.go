package e2e

import (
	"net"
	"sync"

	qt "github.com/frankban/quicktest"
)

// relay is a TCP proxy from its address to a target. It can silence the connections
// that are open.
type relay struct {
	address, target string

	mu    sync.Mutex
	conns []*relayedConn
}

// relayedConn is a connection through the relay. Once silent is closed, its bytes are
// neither read nor written, and both ends stay open.
type relayedConn struct {
	client, server net.Conn
	silent         chan struct{}
}

// startRelay starts a relay that is closed at the end of the test.
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
		client, err := listener.Accept()
		if err != nil {
			return // The test has ended.
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		conn := &relayedConn{client: client, server: server, silent: make(chan struct{})}
		r.mu.Lock()
		r.conns = append(r.conns, conn)
		r.mu.Unlock()
		go conn.copy(client, server)
		go conn.copy(server, client)
	}
}

// copy forwards bytes in one direction until an end closes or the connection goes silent.
func (p *relayedConn) copy(to, from net.Conn) {
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

// silenceConnections silences all connections accepted so far and returns their number.
// Connections accepted later work.
func (r *relay) silenceConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		select {
		case <-conn.silent:
		default:
			close(conn.silent)
		}
	}
	return len(r.conns)
}

func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		_ = conn.client.Close()
		_ = conn.server.Close()
	}
}
