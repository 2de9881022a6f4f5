package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

// changeInForceWithin is the time within which a change that the store has acknowledged must be in
// force on all daemons.
const changeInForceWithin = 2 * time.Second

// newKey replaces the key of the emulated deployment.
const newKey = "key-2"

// putConfig writes a version of the configuration with the given key.
func (f *entryFleet) putConfig(version int, key string) {
	doc := emulator.Config(version)
	doc.Tenants[0].APIKeys = []string{key}
	_, err := f.store.Put("config", "main", doc)
	f.c.Assert(err, qt.IsNil)
}

// status returns the status of a request with a key to a daemon.
func (f *entryFleet) status(daemon int, key string) int {
	return f.send(daemon, http.MethodGet, "/safe/x", "Authorization", "Bearer "+key).status
}

// checkKey checks that all daemons accept one key and not the other.
func (f *entryFleet) checkKey(accepted, refused, when string) {
	for i := range f.daemons {
		f.c.Check(f.status(i, refused), qt.Equals, http.StatusUnauthorized, qt.Commentf("%s at daemon %d, %s", refused, i, when))
		f.c.Check(f.status(i, accepted), qt.Equals, http.StatusOK, qt.Commentf("%s at daemon %d, %s", accepted, i, when))
	}
}

// runsAt returns the number of runs at an engine while n requests are sent to each daemon.
func (f *entryFleet) runsAt(engine string, n int) (count int) {
	before := len(f.record.Runs(""))
	for range n {
		for i := range f.daemons {
			f.send(i, http.MethodPost, "/once/x", "Authorization", "Bearer "+newKey)
			f.send(i, http.MethodPost, "/once/x")
		}
	}
	for _, run := range f.record.Runs("")[before:] {
		if run.Engine == engine {
			count++
		}
	}
	return count
}

// writeWithoutEffect writes objects that no daemon reads, to increase the store's revision.
func (f *entryFleet) writeWithoutEffect(n int) {
	for i := range n {
		_, err := f.store.Put("others", fmt.Sprintf("o-%d", i), i)
		f.c.Assert(err, qt.IsNil)
	}
}

// restoreWithin is the time in which the daemons find out that the store has been restored.
const restoreWithin = 500 * time.Millisecond

// TestChangesAfterARestoreAreInForce guards against ignoring what the store acknowledges after it
// has come back from a copy with a lower revision.
func TestChangesAfterARestoreAreInForce(t *testing.T) {
	f := newEntryFleet(t, 3, 3, 1, defaultBounds)
	f.store.Save()
	f.writeWithoutEffect(20)
	f.putConfig(7, newKey)
	for i := range f.daemons {
		f.eventually("new key in force", func() bool { return f.status(i, newKey) == http.StatusOK })
	}
	f.store.Restore()
	calls := f.store.Calls()
	time.Sleep(restoreWithin)
	f.c.Check(f.store.Calls()-calls < 60, qt.IsTrue, qt.Commentf("%d calls of the store in %v", f.store.Calls()-calls, restoreWithin))

	f.c.Assert(f.engines[0].Register("draining"), qt.IsNil)
	f.putConfig(9, emulator.Key)
	time.Sleep(changeInForceWithin)
	f.checkKey(emulator.Key, newKey, "while the revision is below that before")
	f.c.Check(f.runsAt("desk-0", 6), qt.Equals, 0, qt.Commentf("the engine leaves"))
	f.writeWithoutEffect(30)
	time.Sleep(changeInForceWithin)
	f.checkKey(emulator.Key, newKey, "when the revision has passed that before")
	f.c.Check(f.runsAt("desk-0", 6), qt.Equals, 0, qt.Commentf("the engine leaves"))
}

// TestRestoreRevertsNothingThatWasConfirmed guards against putting the older state of a restored
// store in force: a key that was taken away, an engine that leaves or is gone, an evacuation.
func TestRestoreRevertsNothingThatWasConfirmed(t *testing.T) {
	f := newEntryFleet(t, 3, 6, 1, defaultBounds)
	f.store.Save()
	f.putConfig(5, newKey)
	f.c.Assert(f.engines[0].Register("draining"), qt.IsNil)
	f.engines[3].Deregister()
	f.c.Assert(f.store.Evacuate(zoneOf(1)), qt.IsNil)
	time.Sleep(changeInForceWithin)
	f.checkKey(newKey, emulator.Key, "before")

	check := func(when string) {
		f.checkKey(newKey, emulator.Key, when)
		for _, engine := range []string{"desk-0", "desk-1", "desk-3", "desk-4"} {
			f.c.Check(f.runsAt(engine, 3), qt.Equals, 0, qt.Commentf("%s, %s", engine, when))
		}
	}
	f.store.Restore()
	time.Sleep(restoreWithin)
	check("after the restore")
	f.running[2].kill()
	f.running[2] = f.startDaemon(2)
	f.waitReady(2)
	check("with a daemon that has started since")

	f.putConfig(6, newKey)
	f.c.Assert(f.engines[0].Register("draining"), qt.IsNil)
	f.engines[3].Deregister()
	f.c.Assert(f.store.Evacuate(zoneOf(1)), qt.IsNil)
	time.Sleep(changeInForceWithin)
	check("when it has been written again")
	f.store.EndEvacuation(zoneOf(1))
	f.eventually("requests in the data centre again", func() bool { return f.runsAt("desk-1", 3) > 0 })
}

// TestEngineThatTheRestoredStoreLacksStaysInUse guards against losing the engines that registered
// after the copy was made until they have registered again.
func TestEngineThatTheRestoredStoreLacksStaysInUse(t *testing.T) {
	f := newEntryFleet(t, 3, 1, 1, defaultBounds)
	f.store.Save()
	added := f.startEngine(t, emulator.EngineSpec{ID: "desk-new", Service: "desk", Zone: zoneOf(1), Version: "v1", Slots: 6})
	f.c.Assert(f.engines[0].Register("draining"), qt.IsNil)
	f.eventually("requests at the new engine only", func() bool { return f.runsAt("desk-new", 2) == 6 })
	f.store.Restore()
	time.Sleep(restoreWithin)
	f.c.Check(f.runsAt("desk-new", 4), qt.Equals, 12)
	f.c.Assert(added.Register("ready"), qt.IsNil)
	time.Sleep(5 * time.Second)
	f.c.Check(f.runsAt("desk-new", 4), qt.Equals, 12)
}
