package plainservice_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

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
