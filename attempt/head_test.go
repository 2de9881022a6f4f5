package attempt_test

import (
	"net"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/standin"
)

// startRaw starts a server that sends answers byte by byte, and returns a function that sends it a request.
func startRaw(t *testing.T) func(answer string) (string, error) {
	server := &standin.RawServer{}
	listening := httptest.NewServer(server)
	t.Cleanup(listening.Close)
	transport := attempt.NewUnpooledTransport((&net.Dialer{}).DialContext)
	return func(answer string) (string, error) {
		server.Set(standin.RawAnswer{Bytes: answer, End: standin.EndAtOnce})
		return exchange(transport, attempt.Request{Method: "POST", URL: listening.URL, Body: []byte("x")})
	}
}

// checkNoAnswers checks that none of some answers counts as one.
func checkNoAnswers(t *testing.T, answers map[string]string) {
	send := startRaw(t)
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			body, err := send(answer)
			c.Assert(err, qt.IsNotNil, qt.Commentf("%q", body))
			c.Check(stageOf(c, err), qt.Equals, attempt.Sent)
		})
	}
}

// TestInvalidStatusIsNoAnswer guards against passing on a status that is none, or ending the connection of the
// caller over it.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	checkNoAnswers(t, standin.InvalidStatuses("Kind: s\r\n", "answer"))
}

// TestInvalidNameIsNoAnswer guards against an answer whose head is passed on without a line, or whose body
// ends elsewhere than the server meant, as net/http does not know the name of a field with a blank.
func TestInvalidNameIsNoAnswer(t *testing.T) {
	checkNoAnswers(t, standin.InvalidNames("Kind: s\r\n", "answer"))
}

// TestInvalidVersionIsNoAnswer guards against taking the framing of an answer for its body.
func TestInvalidVersionIsNoAnswer(t *testing.T) {
	checkNoAnswers(t, standin.InvalidVersions("Kind: s\r\n", "answer"))
}

// TestValidHeadsAreAnswers checks that only heads are refused that are none.
func TestValidHeadsAreAnswers(t *testing.T) {
	send := startRaw(t)
	answers := standin.Framings("Request-Id: r-1\r\n!#$%&'*+-.^_`|~09az: x y\x80\r\nEmpty:\r\n", "whole")
	answers["no reason"] = "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nwhole"
	answers["minor version"] = "HTTP/1.2 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	answers["status 599"] = "HTTP/1.1 599 Own\r\nContent-Length: 5\r\n\r\nwhole"
	answers["two interim heads"] = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + answers["length"]
	for name, answer := range answers {
		c := qt.New(t)
		body, err := send(answer)
		c.Check(err, qt.IsNil, qt.Commentf(name))
		c.Check(body, qt.Equals, "whole", qt.Commentf(name))
	}
	c := qt.New(t)
	head := "HTTP/1.1 000 x\r\nBad name: x\r\n\r\n"
	body, err := send(standin.WithoutFraming("", head))
	c.Check(err, qt.IsNil)
	c.Check(body, qt.Equals, head, qt.Commentf("bodies are not checked"))
}
