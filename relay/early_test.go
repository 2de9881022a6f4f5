package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/standin"
)

// upload is the size of the uploads here.
const upload = 300 << 10

// sendThroughAnother sends an upload through another daemon, whose own path to the backend server is given, and
// returns the body of the answer.
func sendThroughAnother(c *qt.C, all []*daemon, path func() net.Conn, address string, body []byte) (string, error) {
	all[0].setPath(refused)
	if path != nil {
		all[1].setPath(func(context.Context, string, string) (net.Conn, error) { return path(), nil })
	}
	return exchange(c, attempt.NewUnpooledTransport(all[0].Dial), attempt.Request{Method: http.MethodPost, URL: "http://" + address, Body: body})
}

// TestResetBesideAnUploadThroughAnotherDaemon guards against passing on a reset as the end of an answer: the
// goroutine that forwards the request gets the error, the one that forwards the answer a plain end.
func TestResetBesideAnUploadThroughAnotherDaemon(t *testing.T) {
	c := qt.New(t)
	const address = "127.0.0.1:1"
	all := startDaemons(t, 2, address)
	for _, late := range []bool{false, true} {
		for _, accepts := range []int{200, 64 << 10, upload} {
			path := func() net.Conn {
				return &standin.EarlyConn{Answer: standin.WithoutFraming("", "part"), Accepts: accepts, Late: late}
			}
			body, err := sendThroughAnother(c, all, path, address, make([]byte, upload))
			c.Check(err, qt.IsNotNil, qt.Commentf("%d, %t: %q", accepts, late, body))
		}
	}
	last := "last bytes of the upload"
	for _, late := range []bool{false, true} {
		path := func() net.Conn {
			return &standin.EarlyConn{Answer: standin.WithoutFraming("", "whole"), Last: last, Late: late}
		}
		body, err := sendThroughAnother(c, all, path, address, append(make([]byte, upload), last...))
		c.Check(err, qt.IsNil, qt.Commentf("%t", late))
		c.Check(body, qt.Equals, "whole")
	}
}

// TestEarlyEndThroughAnotherDaemon guards against an end in order that comes while part of the request is still on
// its way through the other daemon, to which the whole has been sent.
func TestEarlyEndThroughAnotherDaemon(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, standin.WithoutFraming("", "part")) // The client may have disconnected.
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn) // Until the client closes the connection.
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	all := startDaemons(t, 2, address)
	// The other daemon holds up what it forwards, as if the backend server did not read.
	all[1].setPath(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := open(ctx, network, address)
		return &heldConn{Conn: conn, left: 200, closed: make(chan struct{})}, err
	})
	for range 5 {
		body, err := sendThroughAnother(c, all, nil, address, make([]byte, 20<<10))
		c.Check(err, qt.IsNotNil, qt.Commentf("%q", body))
	}
}

// heldConn holds up all writes after some bytes until it is closed.
type heldConn struct {
	net.Conn
	left   int
	closed chan struct{}
}

// Write implements net.Conn.
func (h *heldConn) Write(p []byte) (int, error) {
	n := min(len(p), h.left)
	h.left -= n
	n, err := h.Conn.Write(p[:n])
	if n < len(p) && err == nil {
		<-h.closed
		return n, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn.
func (h *heldConn) Close() error {
	select {
	case <-h.closed:
	default:
		close(h.closed)
	}
	return h.Conn.Close()
}
