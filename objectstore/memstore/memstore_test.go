package memstore_test

import (
	"context"
	"errors"
	"flag"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bronzeturn/bronzeturn/objectstore"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var ctx = context.Background()

// model is a reference implementation of the store that scans all objects in
// every call.
type model struct {
	objects  map[string]objectstore.Object
	revision uint64
}

func (m *model) write(key string, value []byte, want uint64) bool {
	if m.objects[key].Revision != want {
		return false
	}
	m.revision++
	m.objects[key] = objectstore.Object{Key: key, Revision: m.revision, Value: value}
	return true
}

func (m *model) list(prefix, after string, limit int) []string {
	var keys []string
	for key := range m.objects {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
	}
	return keys
}

func (m *model) revisionsSince(prefix string, after uint64) []uint64 {
	var revisions []uint64
	for key, o := range m.objects {
		if strings.HasPrefix(key, prefix) && o.Revision > after {
			revisions = append(revisions, o.Revision)
		}
	}
	slices.Sort(revisions)
	return revisions
}

func TestStoreAgreesWithModel(t *testing.T) {
	keys := rapid.SampledFrom([]string{"a", "a/1", "a/2", "a/2/x", "b", "b/1", "c"})
	prefixes := rapid.SampledFrom([]string{"", "a", "a/", "b", "z"})
	rapid.Check(t, func(t *rapid.T) {
		s, m := memstore.New(), &model{objects: make(map[string]objectstore.Object)}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				key, value := keys.Draw(t, "key"), rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(t, "value")
				want := m.objects[key].Revision
				if rapid.Bool().Draw(t, "stale") {
					want = rapid.Uint64Range(0, m.revision+1).Draw(t, "want")
				}
				write := func() (objectstore.Object, error) { return s.Update(ctx, key, value, want) }
				if want == 0 {
					write = func() (objectstore.Object, error) { return s.Create(ctx, key, value) }
				}
				have := m.objects[key].Revision
				succeeds := m.write(key, value, want)
				checkWrite(t, write, succeeds, have)
			},
			"delete": func(t *rapid.T) {
				key := keys.Draw(t, "key")
				want := rapid.Uint64Range(0, m.revision+1).Draw(t, "want")
				succeeds := want != 0 && m.objects[key].Revision == want
				if err := s.Delete(ctx, key, want); want != 0 && (err == nil) != succeeds {
					t.Fatalf("delete: %v, want success %v", err, succeeds)
				}
				if succeeds {
					delete(m.objects, key)
				}
			},
			"list": func(t *rapid.T) {
				prefix, after := prefixes.Draw(t, "prefix"), keys.Draw(t, "after")
				limit := rapid.IntRange(0, 4).Draw(t, "limit")
				found, err := s.List(ctx, prefix, after, limit)
				if err != nil || !slices.Equal(keysOf(found), m.list(prefix, after, limit)) {
					t.Fatalf("list: %v %v", keysOf(found), err)
				}
			},
			"watch": func(t *rapid.T) {
				prefix, after := prefixes.Draw(t, "prefix"), rapid.Uint64Range(0, m.revision).Draw(t, "after")
				want := m.revisionsSince(prefix, after)
				if len(want) == 0 {
					return
				}
				found, err := s.Watch(ctx, prefix, after)
				if err != nil || !slices.Equal(revisionsOf(found), want) {
					t.Fatalf("watch: %v %v, want %v", revisionsOf(found), err, want)
				}
			},
		})
	})
}

func checkWrite(t *rapid.T, write func() (objectstore.Object, error), succeeds bool, have uint64) {
	_, err := write()
	var conflict *objectstore.ConflictError
	switch {
	case succeeds && err != nil:
		t.Fatalf("write failed: %v", err)
	case !succeeds && !errors.As(err, &conflict):
		t.Fatalf("write did not conflict: %v", err)
	case !succeeds && conflict.Have != have:
		t.Fatalf("conflict shows %d, want %d", conflict.Have, have)
	}
}

func keysOf(objects []objectstore.Object) []string {
	var keys []string
	for _, o := range objects {
		keys = append(keys, o.Key)
	}
	return keys
}

func revisionsOf(objects []objectstore.Object) []uint64 {
	var revisions []uint64
	for _, o := range objects {
		revisions = append(revisions, o.Revision)
	}
	return revisions
}

func TestWatchIsCorrectAfterCompaction(t *testing.T) {
	c := qt.New(t)
	s := memstore.New()
	var revision uint64
	for range 5000 { // Enough for the change log to be compacted.
		o, err := s.Update(ctx, "k", nil, revision)
		c.Assert(err, qt.IsNil)
		revision = o.Revision
	}
	found, err := s.Watch(ctx, "k", 0)
	c.Assert(err, qt.IsNil)
	c.Assert(revisionsOf(found), qt.DeepEquals, []uint64{revision})
}

func TestWatchTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		found, err := memstore.New().Watch(ctx, "k", 0)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, found, qt.HasLen, 0)
	})
}

func TestFaultsRefuseOrLoseTheAnswer(t *testing.T) {
	c := qt.New(t)
	s := memstore.New()
	effect := memstore.RefuseCall
	s.SetFault(func(context.Context, memstore.Op, string) memstore.FaultEffect { return effect })
	var gone *objectstore.UnavailableError
	_, err := s.Create(ctx, "refused", nil)
	c.Assert(errors.As(err, &gone), qt.IsTrue)
	effect = memstore.LoseAnswer
	_, err = s.Create(ctx, "lost", nil)
	c.Assert(errors.As(err, &gone), qt.IsTrue)
	effect = memstore.NoFault
	found, err := s.List(ctx, "", "", 0)
	c.Assert(err, qt.IsNil)
	c.Assert(keysOf(found), qt.DeepEquals, []string{"lost"})
}

func TestWatchWakesForItsPrefixOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		woken := make(chan []objectstore.Object, 1)
		go func() {
			found, _ := s.Watch(ctx, "config/", 0)
			woken <- found
		}()
		for _, key := range []string{"ledger/1", "ledger/2", "config/head", "ledger/3"} {
			synctest.Wait()
			_, err := s.Create(ctx, key, nil)
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Check(t, keysOf(<-woken), qt.DeepEquals, []string{"config/head"})
	})
}
