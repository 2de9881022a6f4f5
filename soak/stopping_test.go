package soak

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

// TestStopAllowsOnlyEarlyStreamsOfBusyEnginesToBeCut guards against a stop phase that excuses streams which a
// stop must complete.
func TestStopAllowsOnlyEarlyStreamsOfBusyEnginesToBeCut(t *testing.T) {
	signalled := time.Now().Add(-stopGrace)
	for _, test := range []struct {
		name               string
		signalled          bool
		sent, began, ended time.Duration
		running, want      bool
	}{
		{"early, engine at work", true, excusedSending, excusedSending, stopGrace, false, true},
		{"early, run goes on", true, -time.Second, -time.Second, 0, true, true},
		{"early, engine done", true, excusedSending, excusedSending, excusedWork, false, false},
		{"early, late run", true, excusedSending, excusedWork, stopGrace, false, false},
		{"late", true, excusedSending + time.Millisecond, excusedSending, stopGrace, false, false},
		{"before the signal", false, 0, 0, stopGrace, false, false},
	} {
		s := &plannedStop{}
		if test.signalled {
			s.signalled.Store(&signalled)
		}
		run := emulator.Run{At: signalled.Add(test.began)}
		if !test.running {
			run.Ended = signalled.Add(test.ended)
		}
		qt.Check(t, s.allowsCut(signalled.Add(test.sent), []emulator.Run{run}), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
	s := &plannedStop{}
	s.signalled.Store(&signalled)
	qt.Check(t, s.allowsCut(signalled, nil), qt.IsFalse)
}
