package engine_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/engine"
	"github.com/bronzeturn/bronzeturn/standin"
)

// TestCutAnswersAreNotComplete checks that what arrived of an answer or a load report before a cut is never
// taken for a whole one, also if it has neither a length nor chunks.
func TestCutAnswersAreNotComplete(t *testing.T) {
	chat := func(stream bool) func(ctx context.Context, c *qt.C, address string) error {
		return func(ctx context.Context, c *qt.C, address string) error {
			s, err := newClient(c).Open(ctx, request(address, stream, 1))
			if err != nil {
				return err
			}
			defer s.Close()
			_, _, err = answerText(s)
			return err
		}
	}
	tests := map[string]struct {
		body string
		run  func(ctx context.Context, c *qt.C, address string) error
	}{
		"whole":  {`{"choices":[]}`, chat(false)},
		"stream": {oneToken + "data: [DONE]\n\n", chat(true)},
		"report": {`{"free_slots":1}`, func(ctx context.Context, c *qt.C, address string) error {
			_, err := newControlClient(c).Load(ctx, address)
			return err
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := &standin.RawServer{}
			listening := httptest.NewServer(server)
			defer listening.Close()
			address := strings.TrimPrefix(listening.URL, "http://")
			framings := standin.Framings("", test.body)
			cuts := append(standin.CutHeads(framings["length"]), standin.CutHeads(framings["chunks"])...)
			framings["neither"] = standin.WithoutFraming("", test.body)
			for missing := range test.body {
				whole := framings["neither"]
				cuts = append(cuts, standin.RawAnswer{Bytes: whole[:len(whole)-1-missing], End: standin.EndAtOnce})
			}
			for _, cut := range cuts {
				server.Set(cut)
				err := test.run(c.Context(), c, address)
				var failed *engine.Error
				c.Check(errors.As(err, &failed), qt.IsTrue, qt.Commentf("%q, %s: %v", cut.Bytes, cut.End, err))
			}
			for name, whole := range framings {
				server.Set(standin.RawAnswer{Bytes: whole, End: standin.EndAtOnce})
				c.Check(test.run(c.Context(), c, address), qt.IsNil, qt.Commentf(name))
			}
		})
	}
}
