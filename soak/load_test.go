package soak

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

// TestLoadViolationsAreReported checks each rule of the load phase with results just within and
// just beyond its bound.
func TestLoadViolationsAreReported(t *testing.T) {
	for _, test := range []struct {
		name string
		// answered, refused, failed and gaveUp are the numbers of requests that ran and got
		// status 200, 503, 502 and no answer.
		answered, refused, failed, gaveUp int
		want                              []string
	}{
		{"all answered", 100, 0, 0, 0, nil},
		{"few callers gone", 95, 0, 0, 5, nil},
		{"many callers gone", 94, 0, 0, 6, []string{"94 of 100 runs reached their caller, at least 0.95 must"}},
		{"failed", 99, 0, 1, 0, []string{"1 responses with status 502"}},
		{"refused after the run", 99, 1, 0, 0, []string{"1 requests were answered as not run, but ran"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := &loadResult{statuses: map[string]int{"refused at once": 503}}
			runs := []emulator.Run{{RequestID: "before the load phase", Aborted: true}}
			for _, part := range []struct{ status, n int }{{200, test.answered}, {503, test.refused}, {502, test.failed}, {0, test.gaveUp}} {
				for i := range part.n {
					id := fmt.Sprintf("%d-%d", part.status, i)
					l.add(id, part.status)
					runs = append(runs, emulator.Run{RequestID: id, Aborted: part.status == 0})
				}
			}
			qt.Check(t, l.violations(runs), qt.DeepEquals, test.want)
		})
	}
}

// TestRepeatedRunReachesItsCallerOnce guards against counting both runs of a repeated request as
// runs that reached the caller.
func TestRepeatedRunReachesItsCallerOnce(t *testing.T) {
	l := &loadResult{statuses: map[string]int{"a": 200}}
	l.violations([]emulator.Run{{RequestID: "a"}, {RequestID: "a"}})
	qt.Check(t, l.runs, qt.Equals, 2)
	qt.Check(t, l.answered, qt.Equals, 1)
}

// TestLoadPhaseLeavesOtherSeedsUnchanged guards against changes of the runs of seeds that have
// exposed defects.
func TestLoadPhaseLeavesOtherSeedsUnchanged(t *testing.T) {
	for _, seed := range []uint64{1, 47207} {
		r := &run{Options: Options{Seed: seed}, configVersion: 1}
		qt.Check(t, r.config(), qt.DeepEquals, emulator.Config(1))
		qt.Check(t, r.bounds(), qt.DeepEquals, bounds)
	}
	r := &run{Options: Options{Seed: loadEvery}, configVersion: 1}
	qt.Check(t, r.config().Tenants, qt.HasLen, 2+smallOrganisations)
	qt.Check(t, r.bounds().Contracts, qt.DeepEquals, []string{emulator.ContractPressure})
}
