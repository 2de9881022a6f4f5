package entry

import (
	"runtime"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/follow"
)

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestMemoryPerEngineIsBounded guards against growth of the memory per engine, store entry
// included: every daemon keeps all engines, and 10,000 of them must fit into 12 MB so that
// small hosts have memory left for requests.
func TestMemoryPerEngineIsBounded(t *testing.T) {
	const engines, maxBytes = 10_000, 800
	c := qt.New(t)
	d := newChangingDaemon(t)
	follower := follow.New(follow.Options{Kind: "engines", Apply: d.registrationsChanged, Announce: func(uint64) {}, Log: zerolog.Nop()})
	before := heapBytes()
	follower.ApplySnapshot(follow.NewSnapshot(1, slices.Values(engineEntries(engines))))
	perEngine := (heapBytes() - before) / engines
	c.Check(perEngine < maxBytes, qt.IsTrue, qt.Commentf("%d bytes per engine", perEngine))
	runtime.KeepAlive(follower)
	runtime.KeepAlive(d)
}

// TestAllocationsPerChangeAreBounded guards against rebuilding the list, the view and the
// tables from all engines when a single one changes: the number of allocations must not
// grow with the fleet.
func TestAllocationsPerChangeAreBounded(t *testing.T) {
	const maxAllocations = 400
	for _, engines := range []int{1_000, 10_000} {
		d := newChangingDaemon(t)
		follower := follow.New(follow.Options{Kind: "engines", Apply: d.registrationsChanged, Announce: func(uint64) {}, Log: zerolog.Nop()})
		all := engineEntries(engines)
		follower.ApplySnapshot(follow.NewSnapshot(1, slices.Values(all)))
		revision := uint64(1)
		allocations := testing.AllocsPerRun(3, func() {
			revision++
			item := all[engines/2]
			item.Revision = revision
			if revision%2 == 0 {
				follower.ApplyChanges(&follow.Changes{Revision: revision, Removed: []string{item.Name}})
			} else {
				follower.ApplyChanges(&follow.Changes{Revision: revision, Changed: []follow.Item{item}})
			}
		})
		qt.New(t).Check(allocations < maxAllocations, qt.IsTrue, qt.Commentf("%v allocations with %d engines", allocations, engines))
	}
}

// TestMemoryOfRegistrationsIsBounded guards against storing the content of changes in the
// history in addition to the copy: all engines register within seconds of a fleet's start.
func TestMemoryOfRegistrationsIsBounded(t *testing.T) {
	const engines, batch, maxBytes = 10_000, 250, 800
	c := qt.New(t)
	d := newChangingDaemon(t)
	follower := follow.New(follow.Options{Kind: "engines", Apply: d.registrationsChanged, Announce: func(uint64) {}, Log: zerolog.Nop()})
	follower.ApplySnapshot(follow.NewSnapshot(1, slices.Values([]follow.Item(nil))))
	before := heapBytes()
	for chunk := range slices.Chunk(engineEntries(engines), batch) {
		revision := follower.Snapshot().Revision + batch
		for i := range chunk {
			chunk[i].Revision = revision
		}
		follower.ApplyChanges(&follow.Changes{Revision: revision, Changed: chunk})
	}
	perEngine := (heapBytes() - before) / engines
	c.Check(perEngine < maxBytes, qt.IsTrue, qt.Commentf("%d bytes per engine", perEngine))
	runtime.KeepAlive(follower)
	runtime.KeepAlive(d)
}
