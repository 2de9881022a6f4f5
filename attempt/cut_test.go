package attempt_test

import (
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/standin"
)

// TestCutHeadIsNoAnswer checks that the head of an answer counts only up to its blank line: what was
// read before a cut must not pass for an answer with fewer headers.
func TestCutHeadIsNoAnswer(t *testing.T) {
	server := &standin.RawServer{}
	listening := httptest.NewServer(server)
	defer listening.Close()
	answers := standin.Framings("Request-Id: r-1\r\nKind: s\r\n", "body")
	answers["neither"] = standin.WithoutFraming("Request-Id: r-1\r\n", "body")
	for name, whole := range answers {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := attempt.Request{Method: "POST", URL: listening.URL, Body: []byte("x")}
			transport := newTransport(c)
			for _, cut := range standin.CutHeads(whole) {
				server.Set(cut)
				err := send(transport, r)
				c.Assert(err, qt.IsNotNil, qt.Commentf("%q, %s", cut.Bytes, cut.End))
				c.Assert(stageOf(c, err), qt.Equals, attempt.Sent, qt.Commentf("%q, %s", cut.Bytes, cut.End))
			}
			server.Set(standin.RawAnswer{Bytes: whole, End: standin.EndAtOnce})
			body, err := exchange(transport, r)
			c.Assert(err, qt.IsNil)
			c.Check(body, qt.Equals, "body")
		})
	}
}
