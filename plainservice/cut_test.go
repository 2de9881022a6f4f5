package plainservice_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/plainservice"
	"github.com/bronzeturn/bronzeturn/standin"
)

// TestCutAnswersAreBroken checks that what arrived of an answer before a cut is never taken for a whole one.
func TestCutAnswersAreBroken(t *testing.T) {
	c := qt.New(t)
	server := &standin.RawServer{}
	listening := httptest.NewServer(server)
	defer listening.Close()
	client, sent := newClient(c), call(strings.TrimPrefix(listening.URL, "http://"))
	for name, whole := range standin.Framings("", "whole") {
		cuts := standin.CutHeads(whole)
		if name == "length" {
			for missing := range len("whole") {
				cuts = append(cuts, standin.RawAnswer{Bytes: whole[:len(whole)-1-missing], End: standin.EndAtOnce})
			}
		}
		for _, cut := range cuts {
			server.Set(cut)
			c.Check(failureOf(c, client, sent).Kind, qt.Equals, plainservice.KindBroken, qt.Commentf("%q, %s", cut.Bytes, cut.End))
		}
		server.Set(standin.RawAnswer{Bytes: whole, End: standin.EndAtOnce})
		response, err := client.Call(ctx, sent)
		c.Assert(err, qt.IsNil)
		c.Check(string(response.Body), qt.Equals, "whole")
	}
}

// TestResetBesideAnUploadIsBroken checks that part of an answer is never taken for a whole one if the service
// resets the connection while the call is still being written.
func TestResetBesideAnUploadIsBroken(t *testing.T) {
	c := qt.New(t)
	for _, late := range []bool{false, true} {
		conn := &standin.EarlyConn{Answer: standin.WithoutFraming("", "part"), Accepts: 64 << 10, Late: late}
		dial := func(context.Context, string, string) (net.Conn, error) { return conn, nil }
		sent := call("127.0.0.1:1")
		sent.Method, sent.Body = http.MethodPost, make([]byte, 300<<10)
		failed := failureOf(c, plainservice.New(attempt.NewUnpooledTransport(dial)), sent)
		c.Check(failed.Kind, qt.Equals, plainservice.KindBroken)
		c.Check(failed.Ran, qt.Not(qt.Equals), failure.RanNo)
	}
}
