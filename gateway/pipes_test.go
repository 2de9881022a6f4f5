package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
)

// pipes is a network within the process, so that tests can run in virtual time.
type pipes map[string]*pipeListener

// pipeListener listens at an address of a pipes network.
type pipeListener struct {
	address string
	arrived chan net.Conn
	// open ends when the listener is closed, by close.
	open  context.Context
	close context.CancelFunc
}

// serve starts a server at an address. It ends with the test.
func (p pipes) serve(t *testing.T, address string, h http.Handler) {
	l := &pipeListener{address: address, arrived: make(chan net.Conn)}
	l.open, l.close = context.WithCancel(context.Background())
	p[address] = l
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: h}}
	server.Start()
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
}

// dial connects to a server.
func (p pipes) dial(ctx context.Context, _, address string) (net.Conn, error) {
	l, ok := p[address]
	if !ok {
		return nil, syscall.ECONNREFUSED
	}
	client, server := net.Pipe()
	select {
	case l.arrived <- server:
		return client, nil
	case <-l.open.Done():
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.arrived:
		return conn, nil
	case <-l.open.Done():
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.close()
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.address) }

// pipeAddr implements net.Addr.
type pipeAddr string

func (pipeAddr) Network() string  { return "pipe" }
func (a pipeAddr) String() string { return string(a) }
