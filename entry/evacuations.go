package entry

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeturn/bronzeturn/follow"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/revision"
)

// evacuated is the set of data centres whose engines receive no new requests until an operator
// ends the evacuation. Requests in progress there are completed. The zero value is ready to use.
// It is safe for concurrent use.
type evacuated struct {
	names atomic.Pointer[[]string]

	mu sync.Mutex
	// requested are the evacuations in the store.
	requested []string
	// kept maps the data centres whose evacuation a restored store lacks to the time until
	// which it remains in force.
	kept map[string]time.Time
}

// keptEvacuationTTL is how long an evacuation that a restored store lacks remains in force if the
// operators do not request it again.
const keptEvacuationTTL = 10 * time.Second

// set replaces the evacuations in the store. If the store has been restored, those that it lacks
// remain in force for some time.
func (e *evacuated) set(requested []string, restored bool, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if restored {
		e.keep(e.list(), now)
	}
	e.requested = requested
	e.compute(now)
}

// keep keeps evacuations in force for some time. The caller holds mu.
func (e *evacuated) keep(names []string, now time.Time) {
	if e.kept == nil {
		e.kept = make(map[string]time.Time)
	}
	for _, name := range names {
		e.kept[name] = now.Add(keptEvacuationTTL)
	}
}

// Keep keeps evacuations in force for some time that another daemon knows of.
func (e *evacuated) Keep(names []string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keep(names, now)
	e.compute(now)
}

// compute updates the list of evacuated data centres. An evacuation that is in the store again is
// not kept any longer. The caller holds mu.
func (e *evacuated) compute(now time.Time) {
	maps.DeleteFunc(e.kept, func(name string, until time.Time) bool {
		return !now.Before(until) || slices.Contains(e.requested, name)
	})
	names := slices.Concat(e.requested, slices.Collect(maps.Keys(e.kept)))
	slices.Sort(names)
	e.names.Store(&names)
}

// keptNames returns the evacuations that are in force although the store lacks them.
func (e *evacuated) keptNames() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.kept))
}

// expire ends the evacuations that were kept for long enough, and reports whether there were any.
func (e *evacuated) expire(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := len(e.kept)
	if before == 0 {
		return false
	}
	e.compute(now)
	return len(e.kept) < before
}

// includes reports whether a data centre is evacuated.
func (e *evacuated) includes(dataCentre string) bool { return slices.Contains(e.list(), dataCentre) }

// list returns the evacuated data centres in sorted order. The caller must not modify the list.
func (e *evacuated) list() []string {
	names := e.names.Load()
	if names == nil {
		return nil
	}
	return *names
}

// evacuationsChanged puts the requested evacuations in force. Calls must not overlap.
func (d *Daemon) evacuationsChanged(u follow.Update) {
	before := d.evacuated.list()
	d.evacuated.set(d.Documents.EvacuatedDataCentres(u.Snapshot), u.Restored, time.Now())
	next := d.evacuated.list()
	for _, name := range next {
		if !slices.Contains(before, name) {
			d.logEvacuation(u, name, "data centre evacuated, its engines get nothing new")
		}
	}
	for _, name := range before {
		if !slices.Contains(next, name) {
			d.logEvacuation(u, name, "evacuation over, the data centre's engines take work again")
		}
	}
	d.recompileEngines()
}

// recompileEngines puts the engines in force again after a change of the data centres that are
// evacuated.
func (d *Daemon) recompileEngines() {
	view := d.engines.View()
	d.introductions.enginesChanged(view)
	d.compileEngines(view)
}

// logEvacuation logs the start or the end of the evacuation of a data centre.
func (d *Daemon) logEvacuation(u follow.Update, dataCentre, text string) {
	d.log.Info().Str("data_centre", dataCentre).Int("engines", enginesIn(d.engines.View(), dataCentre)).
		Uint64("revision", revision.Counter(u.Snapshot.Revision)).Bool("from_daemon", u.FromPeer).Msg(text)
}

// enginesIn returns the number of engines in a data centre. Zero may indicate a misspelt name.
func enginesIn(v *inventory.View, dataCentre string) int {
	count := 0
	for _, e := range v.Engines {
		if e.DataCentre == dataCentre {
			count++
		}
	}
	return count
}
