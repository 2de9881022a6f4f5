package jsoncall_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/jsoncall"
	"github.com/bronzeturn/bronzeturn/standin"
)

// TestCutAnswersAreErrors checks that what arrived of an answer before a cut is never taken for a whole one,
// also if it has neither a length nor chunks.
func TestCutAnswersAreErrors(t *testing.T) {
	c := qt.New(t)
	server := &standin.RawServer{}
	listening := httptest.NewServer(server)
	defer listening.Close()
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	client := jsoncall.New(listening.URL, &http.Client{Transport: transport})
	const header, body = "ETag: \"2\"\r\n", `{"a":[1]}`
	framings := standin.Framings(header, body)
	cuts := append(standin.CutHeads(framings["length"]), standin.CutHeads(framings["chunks"])...)
	framings["neither"] = standin.WithoutFraming(header, body)
	for missing := range body {
		whole := framings["neither"]
		cuts = append(cuts, standin.RawAnswer{Bytes: whole[:len(whole)-1-missing], End: standin.EndAtOnce})
	}
	for _, cut := range cuts {
		server.Set(cut)
		var into struct{ A []int }
		changed, err := client.GetIfChanged(c.Context(), "/x", `"1"`, &into)
		var failed *jsoncall.Error
		c.Check(errors.As(err, &failed) && !changed, qt.IsTrue, qt.Commentf("%q, %s: %v", cut.Bytes, cut.End, err))
	}
	for name, whole := range framings {
		server.Set(standin.RawAnswer{Bytes: whole, End: standin.EndAtOnce})
		var into struct{ A []int }
		c.Check(client.Get(c.Context(), "/x", &into), qt.IsNil, qt.Commentf(name))
		c.Check(into.A, qt.DeepEquals, []int{1}, qt.Commentf(name))
	}
}
