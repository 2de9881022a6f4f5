package provider

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestDecideFreshness(t *testing.T) {
	const bound = 10 * time.Second
	const old = time.Minute
	for _, tt := range []struct {
		name   string
		input  FreshnessInput
		ok     bool
		reason Reason
	}{
		{"no configuration", FreshnessInput{}, false, ReasonNone},
		{"confirmed recently", FreshnessInput{HasConfiguration: true, Age: bound, PeersKnown: 5}, true, ReasonConfirmed},
		{"store down for all", FreshnessInput{HasConfiguration: true, Age: old, PeersHeard: 3, PeersKnown: 5}, true, ReasonMajority},
		{"cut off from store and most peers", FreshnessInput{HasConfiguration: true, Age: old, PeersHeard: 2, PeersKnown: 5}, false, ReasonIsolated},
		{"cut off from everything", FreshnessInput{HasConfiguration: true, Age: old, PeersKnown: 5}, false, ReasonIsolated},
		{"half of an even fleet", FreshnessInput{HasConfiguration: true, Age: old, PeersHeard: 204, PeersKnown: 409}, false, ReasonIsolated},
		{"only daemon", FreshnessInput{HasConfiguration: true, Age: old}, true, ReasonMajority},
		{"newer head known for a short time", FreshnessInput{HasConfiguration: true, Age: old, Behind: time.Second}, true, ReasonCatchingUp},
		{"resumed, no direct confirmation", FreshnessInput{HasConfiguration: true, UnconfirmedSinceResume: 1, PeersHeard: 5, PeersKnown: 5}, false, ReasonResumed},
		{"resumed, most peers answered", FreshnessInput{HasConfiguration: true, Age: old, UnconfirmedSinceResume: 1, PeersHeard: 3, PeersKnown: 5, PeersAnswered: 3, PeersLive: 5}, true, ReasonMajority},
		{"resumed, confirmed before, most peers answered", FreshnessInput{HasConfiguration: true, Age: bound, UnconfirmedSinceResume: 1, PeersHeard: 3, PeersKnown: 5, PeersAnswered: 3, PeersLive: 5}, true, ReasonMajority},
		{"resumed, few peers answered", FreshnessInput{HasConfiguration: true, Age: old, UnconfirmedSinceResume: 1, PeersHeard: 5, PeersKnown: 5, PeersAnswered: 2, PeersLive: 5}, false, ReasonResumed},
		{"resumed, most of few live peers answered, most peers not heard", FreshnessInput{HasConfiguration: true, Age: old, UnconfirmedSinceResume: 1, PeersHeard: 1, PeersKnown: 5, PeersAnswered: 1, PeersLive: 1}, false, ReasonResumed},
		{"resumed, most peers answered, newer head known", FreshnessInput{HasConfiguration: true, UnconfirmedSinceResume: 1, Behind: 1, PeersHeard: 5, PeersKnown: 5, PeersAnswered: 5, PeersLive: 5}, false, ReasonResumed},
		{"resumed long ago, store down for all", FreshnessInput{HasConfiguration: true, UnconfirmedSinceResume: resumeGracePeriod, PeersHeard: 3, PeersKnown: 5}, true, ReasonMajority},
		{"resumed long ago, cut off", FreshnessInput{HasConfiguration: true, UnconfirmedSinceResume: resumeGracePeriod, PeersHeard: 2, PeersKnown: 5}, false, ReasonIsolated},
		{"resumed long ago, newer head known", FreshnessInput{HasConfiguration: true, UnconfirmedSinceResume: resumeGracePeriod, Behind: 1, PeersHeard: 5, PeersKnown: 5}, false, ReasonResumed},
		{"newer head unavailable for too long", FreshnessInput{HasConfiguration: true, Behind: bound + 1, PeersHeard: 5, PeersKnown: 5}, false, ReasonBehind},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ok, reason := DecideFreshness(tt.input, bound)
			qt.Assert(t, ok, qt.Equals, tt.ok)
			qt.Assert(t, reason, qt.Equals, tt.reason)
		})
	}
}

// TestNoTwoMajorities guards against a partition of which both sides accept new work
// without the store.
func TestNoTwoMajorities(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := rapid.IntRange(2, 500).Draw(rt, "daemons")
		one := rapid.IntRange(1, all-1).Draw(rt, "on one side")
		other := all - one
		if majority(one-1, all-1) && majority(other-1, all-1) {
			rt.Fatalf("%d and %d of %d both have a majority", one, other, all)
		}
	})
}
