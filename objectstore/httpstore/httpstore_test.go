package httpstore_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/objectstore"
	"github.com/bronzeturn/bronzeturn/objectstore/httpstore"
	"github.com/bronzeturn/bronzeturn/standin"
)

var ctx = context.Background()

// start serves a stand-in of the object API and returns it with a client.
func start(c *qt.C, cfg standin.ObjectAPIConfig) (*standin.ObjectAPI, *httpstore.Store) {
	api := standin.NewObjectAPI(cfg)
	address, wait, err := standin.Start(c.Context(), api)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(wait(), qt.IsNil) })
	transport := &http.Transport{}
	c.Cleanup(transport.CloseIdleConnections)
	return api, httpstore.New("http://"+address, &http.Client{Transport: transport})
}

func TestObjectsRoundTrip(t *testing.T) {
	c := qt.New(t)
	_, s := start(c, standin.ObjectAPIConfig{})
	keys := []string{"config/head", "a//b", "a/../b", "/lead", "trail/", "ä b?c#d%2F", "x"}
	for _, key := range keys {
		created, err := s.Create(ctx, key, []byte("one"))
		c.Assert(err, qt.IsNil, qt.Commentf("%q", key))
		updated, err := s.Update(ctx, key, []byte{}, created.Revision)
		c.Assert(err, qt.IsNil)
		c.Assert(updated.Revision > created.Revision, qt.IsTrue)
		got, err := s.Get(ctx, key)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.DeepEquals, objectstore.Object{Key: key, Revision: updated.Revision, Value: []byte{}})
		c.Assert(s.Delete(ctx, key, got.Revision), qt.IsNil)
		_, err = s.Get(ctx, key)
		c.Assert(err, qt.ErrorIs, objectstore.ErrNotFound)
	}
}

func TestFailedPreconditionsAreConflicts(t *testing.T) {
	c := qt.New(t)
	_, s := start(c, standin.ObjectAPIConfig{})
	first, err := s.Create(ctx, "k", []byte("1"))
	c.Assert(err, qt.IsNil)
	second, err := s.Update(ctx, "k", []byte("2"), first.Revision)
	c.Assert(err, qt.IsNil)
	writes := map[string]struct {
		run  func() error
		want objectstore.ConflictError
	}{
		"create": {
			func() error { _, err := s.Create(ctx, "k", nil); return err },
			objectstore.ConflictError{Key: "k", Have: second.Revision},
		},
		"update": {
			func() error { _, err := s.Update(ctx, "k", nil, first.Revision); return err },
			objectstore.ConflictError{Key: "k", Want: first.Revision, Have: second.Revision},
		},
		"update of absent": {
			func() error { _, err := s.Update(ctx, "other", nil, first.Revision); return err },
			objectstore.ConflictError{Key: "other", Want: first.Revision},
		},
		"delete": {
			func() error { return s.Delete(ctx, "k", first.Revision) },
			objectstore.ConflictError{Key: "k", Want: first.Revision, Have: second.Revision},
		},
	}
	for name, write := range writes {
		var conflict *objectstore.ConflictError
		c.Assert(errors.As(write.run(), &conflict), qt.IsTrue, qt.Commentf(name))
		c.Assert(*conflict, qt.Equals, write.want, qt.Commentf(name))
	}
	got, err := s.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(string(got.Value), qt.Equals, "2")
}

func TestValueAboveSizeLimitIsRejected(t *testing.T) {
	c := qt.New(t)
	api, s := start(c, standin.ObjectAPIConfig{})
	_, err := s.Create(ctx, "k", make([]byte, objectstore.MaxValueBytes+1))
	c.Assert(err, qt.ErrorIs, objectstore.ErrTooLarge)
	w := httptest.NewRecorder()
	r := httptest.NewRequest("PUT", httpstore.PathObjects+"k", bytes.NewReader(make([]byte, objectstore.MaxValueBytes+1)))
	r.Header.Set("If-None-Match", "*")
	api.ServeHTTP(w, r)
	c.Assert(w.Code, qt.Equals, http.StatusRequestEntityTooLarge)
	_, err = s.Create(ctx, "k", make([]byte, objectstore.MaxValueBytes))
	c.Assert(err, qt.IsNil)
}

func TestListPagesThroughAllObjects(t *testing.T) {
	c := qt.New(t)
	api, s := start(c, standin.ObjectAPIConfig{})
	const count = 2300 // More than fits into two pages.
	for i := range count {
		_, err := api.Store().Create(ctx, fmt.Sprintf("p/%04d", i), []byte("v"))
		c.Assert(err, qt.IsNil)
	}
	_, err := api.Store().Create(ctx, "q", nil)
	c.Assert(err, qt.IsNil)
	for _, test := range []struct{ limit, want int }{{0, count}, {1500, 1500}, {1000, 1000}, {3000, count}, {7, 7}} {
		found, err := s.List(ctx, "p/", "", test.limit)
		c.Assert(err, qt.IsNil)
		c.Assert(found, qt.HasLen, test.want)
		c.Assert(found[test.want-1].Key, qt.Equals, fmt.Sprintf("p/%04d", test.want-1))
	}
	found, err := s.List(ctx, "p/", "p/2298", 0)
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.HasLen, 1)
	seen, err := s.Watch(ctx, "p/", 0)
	c.Assert(err, qt.IsNil)
	c.Assert(seen, qt.HasLen, count)
	c.Assert(seen[count-1].Key, qt.Equals, "p/2299")
}

func TestWatchReturnsOnChangeAndTimesOutWithoutOne(t *testing.T) {
	c := qt.New(t)
	_, s := start(c, standin.ObjectAPIConfig{WatchWait: 20 * time.Millisecond})
	found, err := s.Watch(ctx, "k", 0)
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.HasLen, 0)

	_, s = start(c, standin.ObjectAPIConfig{})
	woken := make(chan []objectstore.Object, 1)
	go func() {
		found, _ := s.Watch(ctx, "k", 0)
		woken <- found
	}()
	_, err = s.Create(ctx, "other", nil)
	c.Assert(err, qt.IsNil)
	object, err := s.Create(ctx, "k", []byte("v"))
	c.Assert(err, qt.IsNil)
	c.Assert(<-woken, qt.DeepEquals, []objectstore.Object{object})
}

func TestLostAnswerIsUnavailableAndTookEffect(t *testing.T) {
	c := qt.New(t)
	api, s := start(c, standin.ObjectAPIConfig{})
	first, err := s.Create(ctx, "k", []byte("1"))
	c.Assert(err, qt.IsNil)
	api.SetFaults(standin.Faults{LoseAnswers: 1})
	_, err = s.Update(ctx, "k", []byte("2"), first.Revision)
	var lost *objectstore.UnavailableError
	c.Assert(errors.As(err, &lost), qt.IsTrue)
	c.Assert(lost.Op, qt.Equals, "update")
	got, err := s.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(string(got.Value), qt.Equals, "2")
	c.Assert(api.Calls().Writes, qt.Equals, uint64(2)) // The client did not retry the write whose answer was lost.
}

func TestRefusalAndFailureAreUnavailable(t *testing.T) {
	for _, fault := range []standin.Faults{{Refuse: true}, {Fail: true}} {
		c := qt.New(t)
		api, s := start(c, standin.ObjectAPIConfig{})
		api.SetFaults(fault)
		_, err := s.Get(ctx, "k")
		var refused *objectstore.UnavailableError
		c.Assert(errors.As(err, &refused), qt.IsTrue)
		var status *httpstore.StatusError
		c.Assert(errors.As(err, &status), qt.IsTrue)
	}
}

func TestRateLimits(t *testing.T) {
	c := qt.New(t)
	_, s := start(c, standin.ObjectAPIConfig{ReadsPerSecond: 0.001, WritesPerSecond: 0.001})
	_, err := s.Create(ctx, "k", nil)
	c.Assert(err, qt.IsNil)
	_, err = s.Create(ctx, "l", nil)
	var limited *objectstore.RateLimitError
	c.Assert(errors.As(err, &limited), qt.IsTrue)
	c.Assert(limited.RetryAfter > 500*time.Second, qt.IsTrue)
	found, err := s.Watch(ctx, "k", 0) // Uses up the read limit.
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.HasLen, 1)
	_, err = s.Get(ctx, "k")
	c.Assert(errors.As(err, &limited), qt.IsTrue)
}

func TestSilentConnectionEndsWithTheContextAndNewOnesWork(t *testing.T) {
	c := qt.New(t)
	api, s := start(c, standin.ObjectAPIConfig{})
	_, err := s.Create(ctx, "k", nil)
	c.Assert(err, qt.IsNil)
	api.SetFaults(standin.Faults{SilenceConnections: true})
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = s.Get(short, "k")
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	_, err = s.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
}

func TestRetryAfterIsBounded(t *testing.T) {
	c := qt.New(t)
	tests := map[string]time.Duration{
		"0.25": 250 * time.Millisecond, "3": 3 * time.Second, "": time.Second, "soon": time.Second,
		"-1": time.Second, "NaN": time.Second, "Inf": time.Hour, "1e30": time.Hour,
	}
	for text, want := range tests {
		c.Check(httpstore.RetryAfter(http.Header{"Retry-After": {text}}), qt.Equals, want, qt.Commentf(text))
	}
}
