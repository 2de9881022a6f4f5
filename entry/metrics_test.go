package entry

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/bronzeturn/bronzeturn/follow"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

// failingStore returns the same error, which may be nil, from every call.
type failingStore struct{ err error }

func (s failingStore) List(context.Context, string, follow.ListOptions) (*follow.Page, error) {
	return nil, s.err
}

func (s failingStore) Watch(context.Context, string, uint64, time.Duration) (*follow.Changes, error) {
	return nil, s.err
}

func (s failingStore) Get(context.Context, string) (objectstore.Object, error) {
	return objectstore.Object{}, s.err
}

func (s failingStore) Create(context.Context, string, []byte) (objectstore.Object, error) {
	return objectstore.Object{}, s.err
}

func (s failingStore) Update(context.Context, string, []byte, uint64) (objectstore.Object, error) {
	return objectstore.Object{}, s.err
}

func (s failingStore) Delete(context.Context, string, uint64) error { return s.err }

func (s failingStore) SetStatus(context.Context, string, string, uint64, json.RawMessage) error {
	return s.err
}

func TestStoreCallsAreCountedByOutcome(t *testing.T) {
	for outcome, err := range map[string]error{
		"ok": nil, "not_found": objectstore.ErrNotFound, "history_gone": follow.ErrHistoryGone,
		"conflict": &objectstore.ConflictError{}, "rate_limited": &objectstore.RateLimitError{},
		"unavailable": &objectstore.UnavailableError{Cause: errors.New("reset")},
	} {
		t.Run(outcome, func(t *testing.T) {
			c := qt.New(t)
			s := newCountedStore(failingStore{err}, prometheus.NewRegistry())
			ctx := t.Context()
			_, got := s.List(ctx, "k", follow.ListOptions{Stale: true, Cause: follow.CauseStart})
			c.Check(got, qt.Equals, err)
			_, _ = s.Watch(ctx, "k", 1, time.Second)
			_, _ = s.Get(ctx, "k/n")
			_, _ = s.Create(ctx, "k/n", nil)
			_, _ = s.Update(ctx, "k/n", nil, 1)
			_ = s.Delete(ctx, "k/n", 1)
			c.Check(s.SetStatus(ctx, "k", "n", 1, nil), qt.Equals, err)
			for _, operation := range []string{"list", "watch", "get", "create", "update", "delete", "status"} {
				cause := "none"
				if operation == "list" {
					cause = "start"
				}
				c.Check(testutil.ToFloat64(s.calls.WithLabelValues(operation, cause, outcome)), qt.Equals, 1.0, qt.Commentf(operation))
			}
		})
	}
}
