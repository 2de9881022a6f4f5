package bronzeturn_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/callerapi"
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

// editingConn is a connection to a backend server that edits the head of the answer to a request of a caller.
type editingConn struct {
	net.Conn
	edit func(head string) string
	// posted is set once a POST has been sent, head is that of the answer so far, rest what is to be read.
	posted atomic.Bool
	head   []byte
	rest   []byte
	passed bool
}

// Write implements net.Conn.
func (e *editingConn) Write(p []byte) (int, error) {
	if bytes.HasPrefix(p, []byte("POST ")) {
		e.posted.Store(true)
	}
	return e.Conn.Write(p)
}

// Read implements net.Conn.
func (e *editingConn) Read(p []byte) (int, error) {
	for !e.passed && len(e.rest) == 0 {
		n, err := e.Conn.Read(p)
		if err != nil || !e.posted.Load() {
			return n, err
		}
		e.head = append(e.head, p[:n]...)
		if head, body, whole := strings.Cut(string(e.head), "\r\n\r\n"); whole {
			e.rest = []byte(e.edit(head) + "\r\n\r\n" + body)
			e.passed = true
		}
	}
	if len(e.rest) == 0 {
		return e.Conn.Read(p)
	}
	n := copy(p, e.rest)
	e.rest = e.rest[n:]
	return n, nil
}

// invalidHeads edit heads so that they are none.
var invalidHeads = map[string]func(head string) string{
	"status 000": func(head string) string { return "HTTP/1.1 000 OK" + head[len("HTTP/1.1 200 OK"):] },
	"status 001": func(head string) string { return "HTTP/1.1 001 OK" + head[len("HTTP/1.1 200 OK"):] },
	"status +20": func(head string) string { return "HTTP/1.1 +20 OK" + head[len("HTTP/1.1 200 OK"):] },
	"status 999": func(head string) string { return "HTTP/1.1 999 OK" + head[len("HTTP/1.1 200 OK"):] },
	"HTTP/3.7":   func(head string) string { return "HTTP/3.7" + head[len("HTTP/1.1"):] },
	"blank":      func(head string) string { return head + "\r\nOther : x" },
	"control":    func(head string) string { return head + "\r\nOt\x01her: x" },
	"framing": func(head string) string {
		return strings.NewReplacer("Content-Length:", "Content-Length :", "Transfer-Encoding:", "Transfer-Encoding :").Replace(head)
	},
	"chunks in HTTP/1.0": func(head string) string {
		return "HTTP/1.0" + head[len("HTTP/1.1"):] + "\r\nTransfer-Encoding: chunked"
	},
}

// TestInvalidHeadsReachNoCaller checks that an answer whose head is none is not passed on by the chat edge, and that
// its callers are answered.
func TestInvalidHeadsReachNoCaller(t *testing.T) {
	for name, edit := range invalidHeads {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, address := startEdited(c, func(conn net.Conn) net.Conn { return &editingConn{Conn: conn, edit: edit} })
			for i := range 4 {
				chat := demo.Chat{Key: "key-dock-kiosks", Kind: "quick", Prompt: fmt.Sprintf("battery of bike %d?", i), Stream: i%2 == 0}
				got := chat.Send(c.Context(), http.DefaultClient, address)
				c.Check(got.Err, qt.IsNil)
				c.Check(got.Status >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("%d %s", got.Status, got.Body))
				status := callService(c, address, i)
				c.Check(status >= http.StatusInternalServerError && status < 600, qt.IsTrue, qt.Commentf("%d", status))
			}
		})
	}
}

// startEdited starts a daemon whose connections to backend servers are edited, and returns the address for callers.
func startEdited(c *qt.C, edit func(net.Conn) net.Conn) (p *demo.Platform, address string) {
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
			return edit(conn), nil
		}
	}})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(f.Stop(), qt.IsNil) })
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	c.Assert(f.WaitReady(ctx), qt.IsNil)
	return p, f.Daemons[0].CallerAddress()
}

// TestBytesBeyondAnAnswerBelongToNoRequest guards against a head that a backend server cuts on a connection
// that is kept: with the next answer behind it, the two pass for one that has the status of the first and the
// body of the second.
func TestBytesBeyondAnAnswerBelongToNoRequest(t *testing.T) {
	c := qt.New(t)
	p, address := startEdited(c, func(conn net.Conn) net.Conn { return &splicingConn{Conn: conn} })
	for _, engine := range p.Engines {
		engine.SetFaults(standin.Faults{Fail: true})
	}
	for _, service := range p.Services {
		service.SetFaults(standin.Faults{Fail: true})
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
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

// TestRefusalReachesCallersThatAreStillSending checks that a caller which reads its answer only after its upload gets
// a refusal that came meanwhile, and not the reset of its connection alone.
func TestRefusalReachesCallersThatAreStillSending(t *testing.T) {
	c := qt.New(t)
	_, address := startEdited(c, func(conn net.Conn) net.Conn { return conn })
	const size = 64 << 20
	for key, want := range map[string]int{"key-of-nobody": http.StatusUnauthorized, "key-oficina-central": http.StatusRequestEntityTooLarge} {
		for _, path := range []string{callerapi.PathChatCompletions, callerapi.PathServices + "ticket-desk/open"} {
			conn, err := net.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			c.Assert(conn.SetDeadline(time.Now().Add(waitLimit)), qt.IsNil)
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", path, key, size)
			for left := size; left > 0 && err == nil; left -= 64 << 10 {
				_, err = conn.Write(make([]byte, 64<<10)) // The daemon need not take the rest.
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil, qt.Commentf("%d at %s", want, path))
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			c.Check(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, want, qt.Commentf(path))
		}
	}
}
