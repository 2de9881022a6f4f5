package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
)

func newTestPublisher(store Store) *Publisher {
	return NewPublisher(PublisherOptions{Store: store, Random: rand.New(rand.NewPCG(1, 2))})
}

// variant returns the example with a price and an expected number of tokens that depend
// on n.
func variant(tb testing.TB, n int) (*bronzeturnv1.Register, *bronzeturnv1.Rules) {
	reg, rules := loadExample(tb, "andina")
	reg.Versions[0].PromptPriceMicros = int64(1000 + n)
	rules.Kinds[0].ExpectedCompletionTokens = int64(1000 + n)
	return reg, rules
}

func TestApplyStoresNewPartsAndReusesOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := memstore.New()
		p := newTestPublisher(store)
		reg, rules := variant(t, 0)
		first, err := p.Apply(t.Context(), Change{Register: reg, Rules: rules, AppliedBy: "ana"})
		c.Assert(err, qt.IsNil)
		c.Assert(first.Generation, qt.Equals, uint64(1))
		c.Assert(first.NewParts, qt.Equals, first.Parts)

		w := &bronzeturnv1.Withdrawal{Version: "nota@2", Reason: "wrong totals"}
		second, err := p.Apply(t.Context(), Change{Withdraw: w, AppliedBy: "bea"})
		c.Assert(err, qt.IsNil)
		c.Assert(second.Generation, qt.Equals, uint64(2))
		c.Assert(second.NewParts, qt.Equals, 1)

		stored, err := newTestPublisher(store).Read(t.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(stored.Head.GetAppliedBy(), qt.Equals, "bea")
		s, err := NewSnapshot(2, stored.Register, stored.Rules)
		c.Assert(err, qt.IsNil)
		got, ok := s.Withdrawal("nota@2")
		c.Assert(ok, qt.IsTrue)
		c.Assert(got.GetReason(), qt.Equals, "wrong totals")
		_, ok = s.Withdrawal("hoja@1")
		c.Assert(ok, qt.IsTrue)

		again, err := p.Apply(t.Context(), Change{Withdraw: w})
		c.Assert(err, qt.IsNil)
		c.Assert(again.Unchanged, qt.IsTrue)
		c.Assert(again.NewParts, qt.Equals, 0)
	})
}

func TestApplyRefusesWithoutWriting(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(tb testing.TB) Change
		path   string
	}{
		{"nothing", func(testing.TB) Change { return Change{} }, "change"},
		{"note too long", func(tb testing.TB) Change {
			reg, _ := variant(tb, 1)
			return Change{Register: reg, Note: string(make([]byte, 1000))}
		}, "change.note"},
		{"unknown version withdrawn", func(testing.TB) Change {
			return Change{Withdraw: &bronzeturnv1.Withdrawal{Version: "nobody"}}
		}, "rules.withdrawals[1].version"},
		{"register without a version that the rules name", func(tb testing.TB) Change {
			reg, _ := variant(tb, 1)
			reg.Versions[0].Name = "renamed"
			return Change{Register: reg}
		}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			store := memstore.New()
			p := newTestPublisher(store)
			reg, rules := variant(t, 0)
			_, err := p.Apply(t.Context(), Change{Register: reg, Rules: rules})
			c.Assert(err, qt.IsNil)
			before := store.Counts().Writes
			_, err = p.Apply(t.Context(), tt.change(t))
			var refused *ValidationError
			c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
			if tt.path != "" {
				c.Assert(refused.Problems[0].Path, qt.Equals, tt.path)
			}
			c.Assert(store.Counts().Writes, qt.Equals, before)
		})
	}
}

func TestConflictErrorNamesBothGenerations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newTestPublisher(memstore.New())
		reg, rules := variant(t, 0)
		_, err := p.Apply(t.Context(), Change{Register: reg, Rules: rules, AppliedBy: "ana"})
		c.Assert(err, qt.IsNil)
		base := uint64(0)
		_, err = p.Apply(t.Context(), Change{Rules: rules, Base: &base, AppliedBy: "bea"})
		var lost *ConflictError
		c.Assert(errors.As(err, &lost), qt.IsTrue)
		c.Assert([]any{lost.Base, lost.Have, lost.By}, qt.DeepEquals, []any{uint64(0), uint64(1), "ana"})
	})
}

// raceStore calls rival, which publishes another change, between the read and the write
// of a head.
type raceStore struct {
	*memstore.Store
	rival func()
}

func (r *raceStore) Update(ctx context.Context, key string, value []byte, revision uint64) (objectstore.Object, error) {
	if rival := r.rival; rival != nil {
		r.rival = nil
		rival()
	}
	return r.Store.Update(ctx, key, value, revision)
}

func TestConcurrentChange(t *testing.T) {
	for _, tt := range []struct {
		name     string
		change   func(reg *bronzeturnv1.Register) Change
		conflict bool
	}{
		{"replacement of the register fails with a conflict", func(reg *bronzeturnv1.Register) Change {
			return Change{Register: reg}
		}, true},
		{"withdrawal is retried on the newer generation", func(*bronzeturnv1.Register) Change {
			return Change{Withdraw: &bronzeturnv1.Withdrawal{Version: "nota@2"}}
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := &raceStore{Store: memstore.New()}
				p := newTestPublisher(store)
				reg, rules := variant(t, 0)
				_, err := p.Apply(t.Context(), Change{Register: reg, Rules: rules})
				c.Assert(err, qt.IsNil)
				_, rivalRules := variant(t, 5)
				store.rival = func() {
					_, err := newTestPublisher(store.Store).Apply(t.Context(), Change{Rules: rivalRules, AppliedBy: "rival"})
					c.Assert(err, qt.IsNil)
				}
				newReg, _ := variant(t, 9)
				result, err := p.Apply(t.Context(), tt.change(newReg))
				stored, readErr := p.Read(t.Context())
				c.Assert(readErr, qt.IsNil)
				c.Assert(kindNamed(stored.Rules, DefaultKind).GetExpectedCompletionTokens(), qt.Equals, int64(1005))
				var lost *ConflictError
				c.Assert(errors.As(err, &lost), qt.Equals, tt.conflict)
				if tt.conflict {
					c.Assert([]any{lost.Base, lost.Have, lost.By}, qt.DeepEquals, []any{uint64(1), uint64(2), "rival"})
					return
				}
				c.Assert(result.Generation, qt.Equals, uint64(3))
				c.Assert(stored.Rules.GetWithdrawals(), qt.HasLen, 2)
			})
		})
	}
}

func kindNamed(rules *bronzeturnv1.Rules, name string) *bronzeturnv1.TaskKind {
	for _, kind := range rules.GetKinds() {
		if kind.GetName() == name {
			return kind
		}
	}
	return nil
}

// outcome is what Apply returned for a change.
type outcome struct {
	change Change
	result Result
	err    error
}

// TestConcurrentOperatorsWithFaultyStore runs several operators and a collector against a
// store that delays, refuses, loses and postpones calls, and checks the history of
// heads against what Apply returned.
func TestConcurrentOperatorsWithFaultyStore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		operators := rapid.IntRange(1, 4).Draw(rt, "operators")
		synctest.Test(t, func(t *testing.T) {
			store := newFaultyStore(seed)
			reported := runOperators(t, store, operators, seed)
			store.settle()
			checkHistory(t, store, reported)
		})
	})
}

func runOperators(t *testing.T, store *faultyStore, operators int, seed uint64) []outcome {
	var mu sync.Mutex
	var reported []outcome
	var group sync.WaitGroup
	for operator := range operators {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(operator)))
			p := NewPublisher(PublisherOptions{Store: store, Random: random})
			for step := range 4 {
				change := drawChange(t, random, operator, step)
				result, err := p.Apply(t.Context(), change)
				mu.Lock()
				reported = append(reported, outcome{change, result, err})
				mu.Unlock()
			}
		})
	}
	group.Go(func() {
		for range 6 {
			// A failed collection is retried in the next round.
			_, _ = CollectGarbage(t.Context(), store, rand.New(rand.NewPCG(seed, 99)), 0)
		}
	})
	group.Wait()
	return reported
}

func drawChange(tb testing.TB, random *rand.Rand, operator, step int) Change {
	change := Change{Note: fmt.Sprintf("operator %d step %d", operator, step)}
	reg, rules := variant(tb, 10*operator+step)
	switch {
	case step == 0:
		change.Register, change.Rules = reg, rules
	case random.IntN(3) == 0:
		change.Register = reg
	case random.IntN(2) == 0:
		change.Rules = rules
	default:
		change.Withdraw = &bronzeturnv1.Withdrawal{Version: "nota@2", Reason: change.Note}
	}
	return change
}

// checkHistory asserts that every generation is the one before with exactly one change
// applied, and that what Apply returned for each change matches the history.
func checkHistory(t *testing.T, store *faultyStore, reported []outcome) {
	c := qt.New(t)
	byNote := make(map[string]Change)
	for _, o := range reported {
		byNote[o.change.Note] = o.change
	}
	inForce := make(map[string]uint64)
	var reg *bronzeturnv1.Register
	var rules *bronzeturnv1.Rules
	for i, value := range store.history() {
		head, err := DecodeHead(value)
		c.Assert(err, qt.IsNil)
		c.Assert(head.GetGeneration(), qt.Equals, uint64(i+1))
		change, ok := byNote[head.GetNote()]
		c.Assert(ok, qt.IsTrue)
		_, twice := inForce[head.GetNote()]
		c.Assert(twice, qt.IsFalse, qt.Commentf("%s twice in force", head.GetNote()))
		inForce[head.GetNote()] = head.GetGeneration()
		reg, rules = change.apply(reg, rules)
		c.Assert(contentOf(c, head, store.parts), qt.DeepEquals, splitContent(c, reg, rules))
	}
	stored, err := newTestPublisher(store).Read(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(stored.Head.GetGeneration(), qt.Equals, uint64(len(store.history())))
	for _, o := range reported {
		checkReported(c, o, inForce)
	}
}

// contentOf returns the digests of the parts of the head with their base generations set
// to zero.
func contentOf(c *qt.C, head *bronzeturnv1.Head, values map[Digest][]byte) []Digest {
	parts, err := PartsOf(head, values)
	c.Assert(err, qt.IsNil)
	var digests []Digest
	for _, part := range parts {
		content, err := withBaseGeneration(part, 0)
		c.Assert(err, qt.IsNil)
		digests = append(digests, content.Digest)
	}
	return digests
}

func splitContent(c *qt.C, reg *bronzeturnv1.Register, rules *bronzeturnv1.Rules) []Digest {
	parts, err := SplitIntoParts(reg, rules)
	c.Assert(err, qt.IsNil)
	var digests []Digest
	for _, part := range parts {
		digests = append(digests, part.Digest)
	}
	return digests
}

func checkReported(c *qt.C, o outcome, inForce map[string]uint64) {
	generation, ok := inForce[o.change.Note]
	var unknown *OutcomeError
	switch {
	case o.err == nil:
		c.Assert(generation, qt.Equals, o.result.Generation, qt.Commentf("%s", o.change.Note))
	case errors.As(o.err, &unknown):
	default:
		c.Assert(ok, qt.IsFalse, qt.Commentf("%s: reported as %v, but in force", o.change.Note, o.err))
	}
}

func TestCollectGarbageKeepsReferencedAndRecentParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := memstore.New()
		p := newTestPublisher(store)
		random := rand.New(rand.NewPCG(1, 3))
		for n := range 6 {
			reg, rules := variant(t, n)
			_, err := p.Apply(t.Context(), Change{Register: reg, Rules: rules})
			c.Assert(err, qt.IsNil)
		}
		deleted, err := CollectGarbage(t.Context(), store, random, 4)
		c.Assert(err, qt.IsNil)
		c.Assert(deleted, qt.Equals, 4)
		deleted, err = CollectGarbage(t.Context(), store, random, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(deleted, qt.Equals, 6)
		_, err = newTestPublisher(store).Read(t.Context())
		c.Assert(err, qt.IsNil)
	})
}
