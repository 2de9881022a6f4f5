package plainservice_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/plainservice"
	"github.com/bronzeturn/bronzeturn/standin"
)

var ctx = context.Background()

func start(c *qt.C) (*standin.PlainService, string, *plainservice.Client) {
	s := standin.NewPlainService(standin.PlainServiceConfig{Name: "dock-app"})
	address, wait, err := standin.Start(c.Context(), s)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(wait(), qt.IsNil) })
	return s, address, newClient(c)
}

func newClient(c *qt.C) *plainservice.Client {
	transport := &http.Transport{}
	c.Cleanup(transport.CloseIdleConnections)
	return plainservice.New(transport)
}

func call(address string) plainservice.Call {
	return plainservice.Call{
		Address: address, Method: "POST", Path: "/reorder?x=1", Body: []byte("pallets"),
		Header: http.Header{"X-Request-Id": {"r1"}, "Idempotency-Key": {"k"}},
	}
}

func TestCallReturnsItsAnswer(t *testing.T) {
	c := qt.New(t)
	_, address, client := start(c)
	response, err := client.Call(ctx, call(address))
	c.Assert(err, qt.IsNil)
	c.Assert(response.Status, qt.Equals, http.StatusOK)
	var answer standin.ServiceAnswer
	c.Assert(json.Unmarshal(response.Body, &answer), qt.IsNil)
	sum := sha256.Sum256([]byte("pallets"))
	c.Assert(answer, qt.Equals, standin.ServiceAnswer{
		Service: "dock-app", Method: "POST", Path: "/reorder?x=1", RequestID: "r1",
		BodySHA256: hex.EncodeToString(sum[:]), Execution: 1,
	})
}

func failureOf(c *qt.C, client *plainservice.Client, call plainservice.Call) *plainservice.Error {
	_, err := client.Call(ctx, call)
	var failed *plainservice.Error
	c.Assert(errors.As(err, &failed), qt.IsTrue, qt.Commentf("%v", err))
	return failed
}

func TestFaultsGiveTypedErrors(t *testing.T) {
	tests := []struct {
		name  string
		fault standin.Faults
		kind  plainservice.Kind
		ran   failure.Ran
		times int
	}{
		{"refused", standin.Faults{Refuse: true}, plainservice.KindRefused, failure.RanNo, 0},
		{"lost answer", standin.Faults{LoseAnswers: 1}, plainservice.KindBroken, failure.RanUnknown, 1},
		{"silent connection", standin.Faults{SilenceConnections: true}, plainservice.KindSilent, failure.RanUnknown, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s, address, client := start(c)
			first := call(address)
			first.Header = nil
			_, err := client.Call(ctx, first) // Leaves an idle connection.
			c.Assert(err, qt.IsNil)
			s.SetFaults(test.fault)
			second := call(address)
			if test.fault.SilenceConnections {
				second.ProgressTimeout = 50 * time.Millisecond
			}
			failed := failureOf(c, client, second)
			c.Assert(failed.Kind, qt.Equals, test.kind)
			c.Assert(failed.Ran, qt.Equals, test.ran)
			c.Assert(s.Executions()["r1"], qt.Equals, test.times)
		})
	}
}

func TestUnreachableServiceDidNotRun(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	failed := failureOf(c, newClient(c), call(l.Addr().String()))
	c.Assert(failed.Kind, qt.Equals, plainservice.KindUnreachable)
	c.Assert(failed.Ran, qt.Equals, failure.RanNo)
	bad := call(l.Addr().String())
	bad.Path = "@other/"
	c.Assert(failureOf(c, newClient(c), bad).Ran, qt.Equals, failure.RanNo)
}

func TestTruncatedAnswerIsBroken(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "half")
	}))
	defer server.Close()
	failed := failureOf(c, newClient(c), call(strings.TrimPrefix(server.URL, "http://")))
	c.Assert(failed.Kind, qt.Equals, plainservice.KindBroken)
	c.Assert(failed.Ran, qt.Equals, failure.RanYes)
}

func TestErrorStatusOfTheServiceIsAnAnswer(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no such crate", http.StatusNotFound)
	}))
	defer server.Close()
	response, err := newClient(c).Call(ctx, call(strings.TrimPrefix(server.URL, "http://")))
	c.Assert(err, qt.IsNil)
	c.Assert(response.Status, qt.Equals, http.StatusNotFound)
}

func TestHopByHopHeadersAreRemoved(t *testing.T) {
	c := qt.New(t)
	headers := make(chan http.Header, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		headers <- r.Header
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("Kept", "yes")
	}))
	defer server.Close()
	request := call(strings.TrimPrefix(server.URL, "http://"))
	request.Header = http.Header{
		"Connection": {"close, Private"}, "Private": {"x"}, "Te": {"trailers"}, "Upgrade": {"h2c"}, "Kept": {"yes"},
	}
	response, err := newClient(c).Call(ctx, request)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Header.Get("Kept"), qt.Equals, "yes")
	c.Assert(response.Header.Get("Keep-Alive"), qt.Equals, "")
	seen := <-headers
	c.Assert(seen.Get("Kept"), qt.Equals, "yes")
	for _, name := range []string{"Connection", "Private", "Te", "Upgrade"} {
		c.Assert(seen.Get(name), qt.Equals, "", qt.Commentf(name))
	}
	c.Assert(request.Header.Get("Private"), qt.Equals, "x")
}
