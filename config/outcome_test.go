package config

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
)

// lostAnswerStore loses the answer to one update. Once after is set, the next update is
// applied, after is called and cleared, and the update is reported as unanswered.
type lostAnswerStore struct {
	*memstore.Store
	after func()
}

func (l *lostAnswerStore) Update(ctx context.Context, key string, value []byte, revision uint64) (objectstore.Object, error) {
	obj, err := l.Store.Update(ctx, key, value, revision)
	after := l.after
	if after == nil {
		return obj, err
	}
	l.after = nil
	after()
	return objectstore.Object{}, &objectstore.UnavailableError{Op: "update", Key: key, Cause: errNoAnswer}
}

func TestLostAnswerToHeadWrite(t *testing.T) {
	withdrawal := &bronzeturnv1.Withdrawal{Version: "nota@2"}
	for _, tt := range []struct {
		name  string
		after func(c *qt.C, store *memstore.Store)
		check func(c *qt.C, result Result, err error)
	}{
		{"is resolved by the nonce", func(*qt.C, *memstore.Store) {}, func(c *qt.C, result Result, err error) {
			c.Assert(err, qt.IsNil)
			c.Assert(result.Generation, qt.Equals, uint64(2))
			c.Assert(result.Superseded, qt.IsFalse)
		}},
		{"is resolved after another change replaced the head", func(c *qt.C, store *memstore.Store) {
			reg, _ := variant(c, 3)
			_, err := newTestPublisher(store).Apply(context.Background(), Change{Register: reg})
			c.Assert(err, qt.IsNil)
		}, func(c *qt.C, result Result, err error) {
			c.Assert(err, qt.IsNil)
			c.Assert(result.Generation, qt.Equals, uint64(2))
			c.Assert(result.Superseded, qt.IsTrue)
		}},
		{"stays unknown while the head cannot be read", func(_ *qt.C, store *memstore.Store) {
			store.SetFault(func(_ context.Context, op memstore.Op, _ string) memstore.FaultEffect {
				if op == memstore.OpGet {
					return memstore.RefuseCall
				}
				return memstore.NoFault
			})
		}, func(c *qt.C, _ Result, err error) {
			var unknown *OutcomeError
			c.Assert(errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(unknown.Generation, qt.Equals, uint64(2))
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := &lostAnswerStore{Store: memstore.New()}
				p := newTestPublisher(store)
				reg, rules := variant(t, 0)
				_, err := p.Apply(t.Context(), Change{Register: reg, Rules: rules})
				c.Assert(err, qt.IsNil)
				store.after = func() { tt.after(c, store.Store) }
				result, err := p.Apply(t.Context(), Change{Withdraw: withdrawal})
				tt.check(c, result, err)
			})
		})
	}
}

func TestUnreachableStoreIsNotAnUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		store.SetFault(func(context.Context, memstore.Op, string) memstore.FaultEffect { return memstore.RefuseCall })
		reg, rules := variant(t, 0)
		_, err := newTestPublisher(store).Apply(t.Context(), Change{Register: reg, Rules: rules})
		var unavailable *objectstore.UnavailableError
		var unknown *OutcomeError
		qt.Assert(t, errors.As(err, &unavailable), qt.IsTrue)
		qt.Assert(t, errors.As(err, &unknown), qt.IsFalse)
	})
}
