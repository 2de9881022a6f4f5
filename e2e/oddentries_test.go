package e2e

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

// TestOddEntriesDoNotHideOthers guards against one entry among those of the store that can't be read and
// keeps daemons from following the others, or from starting.
func TestOddEntriesDoNotHideOthers(t *testing.T) {
	for _, kind := range []string{"servers", "config", "rollouts", "evacuations", "quarantine"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f := newEntryFleet(t, 2, 2, 1, defaultBounds)
			for name, spec := range emulator.OddSpecs {
				if kind == "evacuations" && name == "null" {
					continue // An evacuation counts whatever its content is.
				}
				_, err := f.store.PutRaw(kind, "odd "+name, spec)
				f.c.Assert(err, qt.IsNil)
			}
			f.replaceDesk(t, "desk-new")
			for i, p := range f.running {
				p.kill()
				f.checkLoggedOnce(p)
				f.running[i] = f.startDaemon(i)
			}
			for i := range f.running {
				f.waitReady(i)
			}
			f.replaceDesk(t, "desk-newer")
			for i, p := range f.running {
				select {
				case <-p.ended:
					f.c.Fatalf("daemon %d ended:\n%s", i, p.output())
				default:
					f.checkLoggedOnce(p)
				}
			}
		})
	}
}

// replaceDesk starts an engine in place of all others of the service desk, and checks that each daemon
// comes to send its requests there.
func (f *entryFleet) replaceDesk(t *testing.T, id string) {
	f.startEngine(t, emulator.EngineSpec{ID: id, Service: "desk", Zone: zoneOf(2), Version: "v1", Slots: 6})
	for _, e := range f.engines {
		if e.Spec.Service == "desk" && e.Spec.ID != id {
			e.Deregister()
		}
	}
	for i := range f.daemons {
		f.eventually(fmt.Sprintf("daemon %d uses %s only", i, id), func() bool {
			before := len(f.record.Runs(""))
			for range 6 {
				f.c.Check(f.send(i, http.MethodGet, "/safe/x").status, qt.Equals, http.StatusOK)
			}
			for _, run := range f.record.Runs("")[before:] {
				if run.Engine != id {
					return false
				}
			}
			return true
		})
	}
}

// checkLoggedOnce checks that no odd entry has more than one error line in a daemon's log.
func (f *entryFleet) checkLoggedOnce(p *process) {
	for name := range emulator.OddSpecs {
		lines := 0
		for line := range strings.Lines(p.output()) {
			if strings.Contains(line, `"level":"error"`) && strings.Contains(line, `odd `+name+`"`) {
				lines++
			}
		}
		f.c.Check(lines <= 1, qt.IsTrue, qt.Commentf("%d lines for %q", lines, name))
	}
}

// TestFleetFormsBesideAnOddListOfDaemons guards against a list of daemons in the store that can't be read
// and keeps daemons which know no others from finding each other.
func TestFleetFormsBesideAnOddListOfDaemons(t *testing.T) {
	for _, name := range []string{"deep arrays", "number", "null"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newEntryFleet(t, 0, 1, 1, defaultBounds)
			_, err := f.store.PutRaw("members", "seeds", emulator.OddSpecs[name])
			f.c.Assert(err, qt.IsNil)
			for i := range 2 {
				d, err := emulator.NewDaemon(fmt.Sprintf("entry-%d", i), zoneOf(i))
				f.c.Assert(err, qt.IsNil)
				f.daemons = append(f.daemons, d)
				path := filepath.Join(f.folder, d.Name+".yaml")
				f.c.Assert(d.WriteSettings(path, f.address, nil, f.bounds), qt.IsNil)
				f.running = append(f.running, startProcess(f.c, d.Name, "bronzeturn-entry", "--settings", path))
			}
			f.eventually("both daemons named", func() bool {
				list, err := emulator.Resolve(f.daemons[0].Directory)
				return err == nil && len(list) == 2
			})
		})
	}
}
