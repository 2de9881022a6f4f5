package overload

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// roundTripper answers every request with a body.
type roundTripper func() io.ReadCloser

// RoundTrip implements http.RoundTripper.
func (f roundTripper) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: f()}, nil
}

// endlessReader never ends.
type endlessReader struct{}

// Read implements io.Reader.
func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// TestAnswersOfOutsideSystemsShareABound guards against answers that are bounded one by one only.
func TestAnswersOfOutsideSystemsShareABound(t *testing.T) {
	c := qt.New(t)
	const memory = 100 << 20
	endless := BoundAnswers(roundTripper(func() io.ReadCloser { return io.NopCloser(endlessReader{}) }), memory)
	var full *FullError
	var open []*http.Response
	read := int64(0)
	for range 4 {
		resp, err := endless.RoundTrip(nil)
		c.Assert(err, qt.IsNil)
		data, err := io.ReadAll(resp.Body)
		c.Assert(errors.As(err, &full), qt.IsTrue)
		read += int64(len(data))
		open = append(open, resp)
	}
	c.Check(float64(outsideCopies*read) <= outsideShare*memory+4*outsideCopies*smallBytes, qt.IsTrue, qt.Commentf("%d bytes", read))
	for _, resp := range open {
		c.Assert(resp.Body.Close(), qt.IsNil)
	}
	answer := bytes.Repeat([]byte("x"), 2<<20)
	whole := BoundAnswers(roundTripper(func() io.ReadCloser { return io.NopCloser(bytes.NewReader(answer)) }), memory)
	for range 20 {
		resp, err := whole.RoundTrip(nil)
		c.Assert(err, qt.IsNil)
		data, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		c.Check(len(data), qt.Equals, len(answer))
		c.Assert(resp.Body.Close(), qt.IsNil)
	}
}
