package entry

import (
	"slices"
	"sync/atomic"

	"github.com/bronzeturn/bronzeturn/follow"
	"github.com/bronzeturn/bronzeturn/inventory"
)

// evacuated are the data centres whose engines get nothing new until operators take
// them back. What is in progress there ends as it would. The zero value is ready to
// use; it is safe for concurrent use.
type evacuated struct{ names atomic.Pointer[[]string] }

// includes tells whether a data centre is evacuated.
func (e *evacuated) includes(dataCentre string) bool { return slices.Contains(e.list(), dataCentre) }

// list returns the evacuated data centres in order. It must not be changed.
func (e *evacuated) list() []string {
	names := e.names.Load()
	if names == nil {
		return nil
	}
	return *names
}

// evacuationsChanged puts the evacuations asked for in force, one call at a time.
func (d *Daemon) evacuationsChanged(u follow.Update) {
	next := d.Documents.Evacuated(u.Snapshot)
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
	d.introductions.sawEngines(view)
	d.compileEngines(view)
}

// logEvacuation writes the line of one data centre.
func (d *Daemon) logEvacuation(u follow.Update, dataCentre, text string) {
	d.log.Info().Str("data_centre", dataCentre).Int("engines", enginesIn(d.engines.View(), dataCentre)).
		Uint64("revision", u.Snapshot.Revision).Bool("from_daemon", u.FromPeer).Msg(text)
}

// enginesIn counts the engines of a data centre. None may mean that the name is wrong.
func enginesIn(v *inventory.View, dataCentre string) int {
	count := 0
	for _, e := range v.Engines {
		if e.DataCentre == dataCentre {
			count++
		}
	}
	return count
}
