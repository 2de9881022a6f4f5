package entry

import (
	"slices"
	"sync/atomic"

	"github.com/bronzeturn/bronzeturn/follow"
	"github.com/bronzeturn/bronzeturn/inventory"
)

// evacuated is the set of data centres whose engines receive no new requests until an operator
// ends the evacuation. Requests in progress there are completed. The zero value is ready to use.
// It is safe for concurrent use.
type evacuated struct{ names atomic.Pointer[[]string] }

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
	next := d.Documents.EvacuatedDataCentres(u.Snapshot)
	before := d.evacuated.list()
	d.evacuated.names.Store(&next)
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
	view := d.engines.View()
	d.introductions.enginesChanged(view)
	d.compileEngines(view)
}

// logEvacuation logs the start or the end of the evacuation of a data centre.
func (d *Daemon) logEvacuation(u follow.Update, dataCentre, text string) {
	d.log.Info().Str("data_centre", dataCentre).Int("engines", enginesIn(d.engines.View(), dataCentre)).
		Uint64("revision", u.Snapshot.Revision).Bool("from_daemon", u.FromPeer).Msg(text)
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
