package attempt_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"

	"github.com/bronzeturn/bronzeturn/attempt"
)

// dropSecond starts a server that answers the first request of each connection, and closes
// the connection after it has read the second. received counts the requests.
func dropSecond(c *qt.C) (address string, received *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { l.Close() })
	received = &atomic.Int32{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveOnce(conn, received)
		}
	}()
	return l.Addr().String(), received
}

func serveOnce(conn net.Conn, received *atomic.Int32) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for i := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		received.Add(1)
		if i == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

func newTransport(c *qt.C) *http.Transport {
	t := &http.Transport{}
	c.Cleanup(t.CloseIdleConnections)
	return t
}

// exchange sends a request and returns the body of the answer.
func exchange(transport http.RoundTripper, r attempt.Request) (string, error) {
	x, err := attempt.Send(context.Background(), transport, r)
	if err != nil {
		return "", err
	}
	defer x.Close()
	body, err := io.ReadAll(x)
	return string(body), err
}

func send(transport http.RoundTripper, r attempt.Request) error {
	_, err := exchange(transport, r)
	return err
}

func stageOf(c *qt.C, err error) attempt.Stage {
	var failed *attempt.Error
	c.Assert(errors.As(err, &failed), qt.IsTrue, qt.Commentf("%v", err))
	return failed.Stage
}

func TestRequestIsSentOnceWhenReusedConnectionBreaks(t *testing.T) {
	tests := []struct {
		name string
		r    attempt.Request
	}{
		{"post", attempt.Request{Method: "POST", Body: []byte("x")}},
		{"post without body", attempt.Request{Method: "POST"}},
		{"post with idempotency key", attempt.Request{
			Method: "POST", Body: []byte("x"), Header: http.Header{"Idempotency-Key": {"k"}},
		}},
		{"post with key and no body", attempt.Request{
			Method: "POST", Header: http.Header{"X-Idempotency-Key": {"k"}},
		}},
		{"get", attempt.Request{Method: "GET"}},
		{"default method", attempt.Request{}},
		{"delete", attempt.Request{Method: "DELETE"}},
		{"put", attempt.Request{Method: "PUT", Body: []byte("x")}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, received := dropSecond(c)
			transport := newTransport(c)
			test.r.URL = "http://" + address + "/"
			c.Assert(send(transport, test.r), qt.IsNil)
			err := send(transport, test.r)
			c.Assert(stageOf(c, err), qt.Equals, attempt.Sent)
			c.Assert(received.Load(), qt.Equals, int32(2))
		})
	}
}

// failingConn fails all writes without writing anything once broken is set.
type failingConn struct {
	net.Conn
	broken *atomic.Bool
}

func (f failingConn) Write(p []byte) (int, error) {
	if f.broken.Load() {
		return 0, errors.New("broken")
	}
	return f.Conn.Write(p)
}

func TestNothingWrittenIsNotSentAndNotRepeated(t *testing.T) {
	c := qt.New(t)
	var received, dials atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	var broken atomic.Bool
	transport := newTransport(c)
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return failingConn{Conn: conn, broken: &broken}, err
	}
	r := attempt.Request{Method: "POST", URL: server.URL, Body: []byte("x")}
	c.Assert(send(transport, r), qt.IsNil)
	broken.Store(true)
	c.Assert(stageOf(c, send(transport, r)), qt.Equals, attempt.NotSent)
	c.Assert(received.Load(), qt.Equals, int32(1))
	c.Assert(dials.Load(), qt.Equals, int32(1))
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := l.Addr().String()
	c.Assert(l.Close(), qt.IsNil)
	err = send(newTransport(c), attempt.Request{Method: "POST", URL: "http://" + address})
	c.Assert(stageOf(c, err), qt.Equals, attempt.NotSent)
}

// roundTripper is a transport that does not call the hooks of httptrace.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func TestRequestOverTransportWithoutTraceCountsAsSent(t *testing.T) {
	c := qt.New(t)
	transport := roundTripper(func(*http.Request) (*http.Response, error) { return nil, io.EOF })
	err := send(transport, attempt.Request{Method: "POST", URL: "http://127.0.0.1:1"})
	c.Assert(stageOf(c, err), qt.Equals, attempt.Sent)
}

func TestHeadersAndBodyArrive(t *testing.T) {
	c := qt.New(t)
	type seen struct {
		key      string
		body     string
		encoding []string
	}
	requests := make(chan seen, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		requests <- seen{r.Header.Get("Idempotency-Key"), string(body), r.TransferEncoding}
	}))
	defer server.Close()
	header := http.Header{"Idempotency-Key": {"k"}}
	r := attempt.Request{Method: "POST", URL: server.URL, Header: header, Body: []byte("x")}
	c.Assert(send(newTransport(c), r), qt.IsNil)
	c.Assert(<-requests, qt.CmpEquals(cmp.AllowUnexported(seen{})), seen{key: "k", body: "x"})
	c.Assert(header.Get("Idempotency-Key"), qt.Equals, "k")
	r.Method, r.Body = "GET", nil
	c.Assert(send(newTransport(c), r), qt.IsNil)
	c.Assert(<-requests, qt.CmpEquals(cmp.AllowUnexported(seen{})), seen{key: "k"})
}

func TestCancelBeforeConnectionIsNotSent(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	transport := newTransport(c)
	transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
		cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	_, err := attempt.Send(ctx, transport, attempt.Request{Method: "POST", URL: "http://127.0.0.1:1"})
	var failed *attempt.Error
	c.Assert(errors.As(err, &failed), qt.IsTrue)
	c.Assert(failed.Stage, qt.Equals, attempt.NotSent)
	c.Assert(failed.Reason, qt.Equals, attempt.Canceled)
}

func TestSilentPeer(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		stage  attempt.Stage
	}{
		{"before the answer", "", attempt.Sent},
		{"inside the answer", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", attempt.Answered},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, test.answer)
				_, _ = io.Copy(io.Discard, conn) // Until the client closes the connection.
			}()
			err = send(newTransport(c), attempt.Request{
				Method: "POST", URL: "http://" + l.Addr().String(), Body: []byte("x"),
				ProgressTimeout: 300 * time.Millisecond,
			})
			var failed *attempt.Error
			c.Assert(errors.As(err, &failed), qt.IsTrue)
			c.Assert(failed.Reason, qt.Equals, attempt.Silent)
			c.Assert(failed.Stage, qt.Equals, test.stage)
		})
	}
}
