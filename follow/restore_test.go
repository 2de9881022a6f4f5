package follow

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/revision"
)

// restorable is a store that can come back from a copy.
type restorable struct {
	*store
	savedItems    map[string]Item
	savedRevision uint64
}

func newRestorable() *restorable { return &restorable{store: newStore()} }

func (s *restorable) save() {
	s.set(func(st *store) { s.savedItems, s.savedRevision = maps.Clone(st.items), st.revision })
}

// restore puts the copy in place of all objects, in the next era.
func (s *restorable) restore() {
	s.set(func(st *store) {
		era := revision.Era(st.revision) + 1
		st.revision = revision.In(era, revision.Counter(s.savedRevision))
		st.items = make(map[string]Item)
		for name, item := range s.savedItems {
			item.Revision = revision.In(era, revision.Counter(item.Revision))
			st.items[name] = item
		}
		st.log = nil
		close(st.changed)
		st.changed = make(chan struct{})
	})
}

// Watch implements Source. The history of an earlier era is gone.
func (s *restorable) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (*Changes, error) {
	changes, err := s.store.Watch(ctx, kind, after, wait)
	if _, _, now := s.counts(); err == nil && revision.Era(now) != revision.Era(after) {
		return nil, ErrHistoryGone
	}
	return changes, err
}

// TestCopiesFollowARestoredStore guards against copies that ignore a restored store until its
// revision has passed theirs, miss what is written until then, or list its objects in a loop.
func TestCopiesFollowARestoredStore(t *testing.T) {
	run(t, func(c *qt.C, ctx context.Context) {
		s := newRestorable()
		s.put("kept", "1")
		s.put("changed", "1")
		s.save()
		watcher := newDaemon(ctx, s, true, nil)
		child := newDaemon(ctx, s, false, watcher)
		grandchild := newDaemon(ctx, s, false, child)
		time.Sleep(time.Second)
		for i := range 20 {
			s.put("changed", fmt.Sprint("lost ", i))
		}
		s.put("lost", "1")
		time.Sleep(time.Second)
		c.Assert(grandchild.spec("lost"), qt.Equals, "1")
		s.restore()
		lists, _, _ := s.counts()
		time.Sleep(time.Second)
		s.put("changed", "2")
		time.Sleep(3 * time.Second)
		for _, d := range []*daemon{watcher, child, grandchild} {
			c.Check(d.spec("changed"), qt.Equals, "2")
			c.Check(d.spec("lost"), qt.Equals, "")
			c.Check(d.spec("kept"), qt.Equals, "1")
			restored := 0
			for _, u := range d.updates {
				if u.Restored {
					restored++
					for _, item := range u.Changes.Changed {
						c.Check(item.Name, qt.Equals, "changed", qt.Commentf("other objects are as they were"))
					}
				}
			}
			c.Check(restored, qt.Equals, 1)
		}
		after, _, _ := s.counts()
		c.Check(after-lists <= 4, qt.IsTrue, qt.Commentf("%d lists", after-lists))
	})
}

// TestListOfTwoErasIsReadAgain guards against a copy of which some objects were read before the
// store was restored and some afterwards.
func TestListOfTwoErasIsReadAgain(t *testing.T) {
	run(t, func(c *qt.C, ctx context.Context) {
		s := newRestorable()
		for i := range 30 {
			s.put(fmt.Sprintf("o-%02d", i), "1")
		}
		s.save()
		for i := range 30 {
			s.put(fmt.Sprintf("o-%02d", i), "lost")
		}
		s.set(func(st *store) { st.pageSize, st.pageDelay = 10, 100*time.Millisecond })
		d := newDaemon(ctx, s, true, nil)
		time.Sleep(150 * time.Millisecond)
		s.restore()
		time.Sleep(2 * time.Second)
		for i := range 30 {
			c.Check(d.spec(fmt.Sprintf("o-%02d", i)), qt.Equals, "1")
		}
		c.Check(revision.Era(d.Snapshot().Revision), qt.Equals, uint64(1))
	})
}

// TestPeerOfAnEarlierEraChangesNothing guards against a daemon that takes back the state of a
// daemon that has not learned yet that the store has been restored.
func TestPeerOfAnEarlierEraChangesNothing(t *testing.T) {
	run(t, func(c *qt.C, ctx context.Context) {
		s := newRestorable()
		s.put("a", "1")
		s.save()
		late := newDaemon(ctx, s, true, nil)
		time.Sleep(time.Second)
		s.put("a", "lost")
		time.Sleep(time.Second)
		frozen := late.Snapshot()
		s.restore()
		s.put("a", "2")
		d := newDaemon(ctx, s, false, late)
		time.Sleep(50 * time.Millisecond)
		c.Check(d.spec("a"), qt.Equals, "2")
		d.applySnapshot(frozen, true, false)
		d.applyChanges(&Changes{Revision: frozen.Revision, Changed: []Item{{Name: "a", Revision: frozen.Revision, Spec: []byte("lost")}}}, true, false)
		c.Check(d.spec("a"), qt.Equals, "2")
		time.Sleep(3 * time.Second)
		c.Check(d.spec("a"), qt.Equals, "2")
	})
}
