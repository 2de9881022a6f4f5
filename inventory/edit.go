package inventory

import (
	"maps"
	"slices"
)

// viewEdit collects changes to a view.
type viewEdit struct {
	view *View
	// changes maps keys to engines, nil for removed ones.
	changes map[string]*Engine
}

func newViewEdit(v *View) *viewEdit { return &viewEdit{view: v} }

// put inserts or replaces an engine.
func (e *viewEdit) put(engine *Engine) { e.set(engine.key, engine) }

// remove removes an engine, if present.
func (e *viewEdit) remove(engine *Engine) { e.set(engine.key, nil) }

func (e *viewEdit) set(key string, engine *Engine) {
	if e.changes == nil {
		e.changes = make(map[string]*Engine)
	}
	e.changes[key] = engine
}

// result returns the edited list of engines and whether it differs from the view's.
func (e *viewEdit) result() ([]*Engine, bool) {
	engines := e.view.Engines
	changed := slices.Sorted(maps.Keys(e.changes))
	changed = slices.DeleteFunc(changed, func(key string) bool {
		pos, known := find(engines, key)
		engine := e.changes[key]
		return known && engines[pos] == engine || !known && engine == nil
	})
	if len(changed) == 0 {
		return engines, false
	}
	list := make([]*Engine, 0, len(engines)+len(changed))
	for _, key := range changed {
		pos, known := find(engines, key)
		list = append(list, engines[:pos]...)
		if known {
			pos++
		}
		engines = engines[pos:]
		if engine := e.changes[key]; engine != nil {
			list = append(list, engine)
		}
	}
	return append(list, engines...), true
}
