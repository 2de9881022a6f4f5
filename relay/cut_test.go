package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/standin"
)

// TestCutHeadThroughAnotherDaemonIsNoAnswer checks that the end of a connection within the head of an answer
// reaches the daemon that waits for it.
func TestCutHeadThroughAnotherDaemonIsNoAnswer(t *testing.T) {
	c := qt.New(t)
	server := &standin.RawServer{}
	listening := httptest.NewServer(server)
	defer listening.Close()
	all := startDaemons(t, 2, listening.Listener.Addr().String())
	all[0].setPath(refused)
	transport := attempt.NewUnpooledTransport(all[0].Dial)
	send := func(a standin.RawAnswer) (string, error) {
		server.Set(a)
		return exchange(c, transport, attempt.Request{Method: "POST", URL: listening.URL, Body: []byte("x")})
	}
	framings := standin.Framings("", "body")
	for _, whole := range []string{framings["length"], framings["chunks"]} {
		for _, cut := range standin.CutHeads(whole) {
			_, err := send(cut)
			c.Check(err, qt.IsNotNil, qt.Commentf("%q, %s", cut.Bytes, cut.End))
		}
		body, err := send(standin.RawAnswer{Bytes: whole, End: standin.EndAtOnce})
		c.Check(err, qt.IsNil)
		c.Check(body, qt.Equals, "body")
	}
}

// exchange sends a request and returns the body of the answer.
func exchange(c *qt.C, transport http.RoundTripper, r attempt.Request) (string, error) {
	x, err := attempt.Send(c.Context(), transport, r)
	if err != nil {
		return "", err
	}
	defer x.Close()
	body, err := io.ReadAll(x)
	return string(body), err
}
