package httpstore_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
	"github.com/bronzeturn/bronzeturn/objectstore/httpstore"
	"github.com/bronzeturn/bronzeturn/standin"
)

// TestCutAnswersAreNone checks that what arrived of an answer before a cut is never taken for an object or
// a list. Neither a value nor a list has an end of its own: parts of both are valid.
func TestCutAnswersAreNone(t *testing.T) {
	page, err := proto.Marshal(&bronzeturnv1.StoredObjects{Objects: []*bronzeturnv1.StoredObject{
		{Key: "a", Revision: 1, Value: []byte("1")}, {Key: "b", Revision: 2, Value: []byte("2")},
	}})
	qt.Assert(t, err, qt.IsNil)
	calls := map[string]struct {
		body string
		run  func(ctx context.Context, s *httpstore.Store) error
	}{
		"get": {"value", func(ctx context.Context, s *httpstore.Store) error {
			_, err := s.Get(ctx, "a")
			return err
		}},
		"list": {string(page), func(ctx context.Context, s *httpstore.Store) error {
			_, err := s.List(ctx, "", "", 0)
			return err
		}},
		"watch": {string(page), func(ctx context.Context, s *httpstore.Store) error {
			_, err := s.Watch(ctx, "", 0)
			return err
		}},
	}
	const header = "ETag: \"1\"\r\n"
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := &standin.RawServer{}
			listening := httptest.NewServer(server)
			defer listening.Close()
			transport := &http.Transport{DisableKeepAlives: true}
			defer transport.CloseIdleConnections()
			store := httpstore.New(listening.URL, &http.Client{Transport: transport})
			framings := standin.Framings(header, call.body)
			cuts := append(standin.CutHeads(framings["length"]), standin.CutHeads(framings["chunks"])...)
			for missing := range call.body {
				for _, whole := range []string{framings["length"], standin.WithoutFraming(header, call.body)} {
					cuts = append(cuts, standin.RawAnswer{Bytes: whole[:len(whole)-1-missing], End: standin.EndAtOnce})
				}
			}
			for _, cut := range cuts {
				server.Set(cut)
				err := call.run(c.Context(), store)
				var failed *objectstore.UnavailableError
				c.Check(errors.As(err, &failed), qt.IsTrue, qt.Commentf("%q, %s: %v", cut.Bytes, cut.End, err))
			}
			for name, whole := range framings {
				server.Set(standin.RawAnswer{Bytes: whole, End: standin.EndAtOnce})
				c.Check(call.run(c.Context(), store), qt.IsNil, qt.Commentf(name))
			}
		})
	}
}
