package bronzeturn_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/demo"
	"github.com/bronzeturn/bronzeturn/examples"
	"github.com/bronzeturn/bronzeturn/standin"
)

// halfHead is what a backend server sends beyond its first answer: the head of another one, cut within a
// line.
const halfHead = "HTTP/1.1 200 OK\r\nDate: Mon"

// splicingConn is a connection to a backend server that sends halfHead before each answer but the first.
type splicingConn struct {
	net.Conn
	// answered is set while the last answer has begun, repeated if a request has followed it.
	answered, repeated atomic.Bool
	rest               []byte
}

// Read implements net.Conn.
func (s *splicingConn) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		n, err := s.Conn.Read(p)
		if n == 0 || !s.repeated.Swap(false) {
			s.answered.Store(n > 0)
			return n, err
		}
		s.rest = append([]byte(halfHead), p[:n]...)
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	s.answered.Store(true)
	return n, nil
}

// Write implements net.Conn.
func (s *splicingConn) Write(p []byte) (int, error) {
	if s.answered.Swap(false) {
		s.repeated.Store(true)
	}
	return s.Conn.Write(p)
}

// TestBytesBeyondAnAnswerBelongToNoRequest guards against a head that a backend server cuts on a connection
// that is kept: with the next answer behind it, the two pass for one that has the status of the first and the
// body of the second.
func TestBytesBeyondAnAnswerBelongToNoRequest(t *testing.T) {
	c := qt.New(t)
	p, err := demo.StartPlatform(examples.CampinaVerde, 1)
	c.Assert(err, qt.IsNil)
	c.Cleanup(p.Stop)
	c.Assert(p.Publish(context.Background()), qt.IsNil)
	backends := backendAddresses(p)
	f, err := demo.StartFleet(p, demo.FleetOptions{Daemons: 1, Log: io.Discard, Dial: func(int) func(ctx context.Context, network, address string) (net.Conn, error) {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
			if err != nil || !backends[address] {
				return conn, err
			}
			return &splicingConn{Conn: conn}, nil
		}
	}})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(f.Stop(), qt.IsNil) })
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	c.Assert(f.WaitReady(ctx), qt.IsNil)

	for _, engine := range p.Engines {
		engine.SetFaults(standin.Faults{Fail: true})
	}
	for _, service := range p.Services {
		service.SetFaults(standin.Faults{Fail: true})
	}
	address := f.Daemons[0].CallerAddress()
	const requests = 20
	chats, calls := 0, 0
	for i := range requests {
		chat := demo.Chat{Key: "key-dock-kiosks", Kind: "quick", Prompt: fmt.Sprintf("battery of bike %d?", i)}
		if got := chat.Send(ctx, http.DefaultClient, address); got.Status == http.StatusOK {
			chats++
		}
		if callService(c, address, i) == http.StatusOK {
			calls++
		}
	}
	c.Check(chats, qt.Equals, 0, qt.Commentf("of %d chats that failed got a success", requests))
	c.Check(calls, qt.Equals, 0, qt.Commentf("of %d calls that failed got a success", requests))
}
