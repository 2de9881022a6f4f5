package quarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bronzeturn/bronzeturn/inventory"
)

// addCrash adds the crash of an engine to the evidence.
func addCrash(e *Evidence, engine string, at time.Time, requests ...Hash) []Hash {
	return e.Add(Crash{Engine: inventory.Engine{ID: engine, Service: "llm", Version: "v1"}, Requests: wholes(requests...), At: at}, at)
}

// wholes returns requests that have nothing in common with others.
func wholes(hashes ...Hash) (list []Content) {
	for _, h := range hashes {
		list = append(list, Content{Request: h})
	}
	return list
}

// verdictHashes returns the hashes of the verdicts, and of the tied ones among them.
func verdictHashes(e *Evidence, now time.Time) (all, tied []Hash) {
	for _, v := range e.Evaluate(now) {
		all = append(all, v.Hash)
		if v.Tied {
			tied = append(tied, v.Hash)
		}
	}
	return all, tied
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

var (
	crasher = Hash{0xc}
	a, b    = Hash{0xa}, Hash{0xb}
)

func TestRequestAtThreeCrashesGetsVerdict(t *testing.T) {
	c := qt.New(t)
	e := NewEvidence()
	addCrash(e, "e1", at(0), crasher, a, b)
	addCrash(e, "e2", at(0.05), crasher, a)
	addCrash(e, "e2", at(0.06), crasher) // Reported by a second daemon.
	all, _ := verdictHashes(e, at(1))
	c.Check(all, qt.HasLen, 0)
	addCrash(e, "e3", at(0.3), crasher)
	all, tied := verdictHashes(e, at(0.3))
	c.Check(all, qt.DeepEquals, []Hash{crasher})
	c.Check(tied, qt.HasLen, 0)
	c.Check(e.Explains("e1", func(c Content) bool { return c.Request == crasher }), qt.IsTrue)
}

// TestSimultaneousCrashesAreTied guards against verdicts on a request that several engines ran
// when they crashed at once: daemons that saw it complete report first, and after that
// something else may still have caused all of the crashes.
func TestSimultaneousCrashesAreTied(t *testing.T) {
	c := qt.New(t)
	e := NewEvidence()
	for i := range 4 {
		addCrash(e, fmt.Sprint("e", i), at(float64(i)/50), crasher)
	}
	all, _ := verdictHashes(e, at(0.1))
	c.Check(all, qt.HasLen, 0)
	all, tied := verdictHashes(e, at(0.2))
	c.Check(all, qt.DeepEquals, []Hash{crasher})
	c.Check(tied, qt.DeepEquals, []Hash{crasher})
	addCrash(e, "e9", at(1), crasher)
	_, tied = verdictHashes(e, at(1))
	c.Check(tied, qt.HasLen, 0)
}

func TestRequestsAtTheSameCrashesAreTiedUntilAnotherCrashDistinguishesThem(t *testing.T) {
	c := qt.New(t)
	e := NewEvidence()
	for i := range 3 {
		addCrash(e, fmt.Sprint("e", i), at(0), crasher, a)
	}
	all, tied := verdictHashes(e, at(1))
	c.Check(all, qt.DeepEquals, []Hash{a, crasher})
	c.Check(tied, qt.DeepEquals, []Hash{a, crasher})
	addCrash(e, "e4", at(1), crasher)
	all, tied = verdictHashes(e, at(2))
	c.Check(all, qt.DeepEquals, []Hash{crasher})
	c.Check(tied, qt.HasLen, 0)
}

// TestRequestExplainedByOthersIsNotHeld guards against verdicts on a harmless request that was
// in progress at one crash of each of three crashing requests.
func TestRequestExplainedByOthersIsNotHeld(t *testing.T) {
	c := qt.New(t)
	e := NewEvidence()
	for i := range 3 {
		for j := range 3 {
			requests := []Hash{{byte(i + 1)}}
			if j == 0 {
				requests = append(requests, a)
			}
			addCrash(e, fmt.Sprint("e", i, j), at(float64(j)), requests...)
		}
	}
	all, tied := verdictHashes(e, at(3))
	c.Check(all, qt.DeepEquals, []Hash{{1}, {2}, {3}})
	c.Check(tied, qt.HasLen, 0)
}

func TestCompletedRequestIsHarmless(t *testing.T) {
	c := qt.New(t)
	e := NewEvidence()
	for i := range 4 {
		addCrash(e, fmt.Sprint("e", i), at(0), a, b)
	}
	c.Check(e.Completed(a, at(0.1)), qt.Equals, 4)
	c.Check(e.Completed(Hash{0xd}, at(0.1)), qt.Equals, 0)
	e.CompletedByPeer(b, at(0.1), at(0.1))
	all, _ := verdictHashes(e, at(1))
	c.Check(all, qt.HasLen, 0)
	c.Check(e.Suspects(), qt.Equals, 0)
	// Crashes soon after do not count against it either, and other daemons are informed.
	c.Check(addCrash(e, "e9", at(30), a, b, crasher), qt.DeepEquals, []Hash{a, b})
	c.Check(e.Crashes(a), qt.Equals, 0)
	// After harmlessWindow, the engines may be of another version.
	c.Check(addCrash(e, "e10", at(120), a), qt.HasLen, 0)
	c.Check(e.Crashes(a), qt.Equals, 1)
}

func TestForgetDiscardsEvidence(t *testing.T) {
	c := qt.New(t)
	e := NewEvidence()
	for i := range 3 {
		addCrash(e, fmt.Sprint("e", i), at(0), crasher)
	}
	e.Forget(crasher)
	all, _ := verdictHashes(e, at(1))
	c.Check(all, qt.HasLen, 0)
	for i := range 3 {
		addCrash(e, fmt.Sprint("f", i), at(2), crasher)
	}
	all, _ = verdictHashes(e, at(3))
	c.Check(all, qt.DeepEquals, []Hash{crasher})
}

// TestPopularRequestsAreNotHeldForUnrelatedCrashes simulates a rack that loses power repeatedly
// while the same few requests of many callers run on all engines.
func TestPopularRequestsAreNotHeldForUnrelatedCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewEvidence()
		now := 0.0
		for round := range rapid.IntRange(1, 20).Draw(t, "rounds") {
			for i := range rapid.IntRange(1, 12).Draw(t, "engines") {
				addCrash(e, fmt.Sprint(round, "/", i), at(now), a, b)
			}
			// The remaining engines complete both within minSuspectAge.
			e.CompletedByPeer(a, at(now+0.1), at(now+0.1))
			e.Completed(b, at(now+0.1))
			now += rapid.Float64Range(0.2, 90).Draw(t, "pause")
			if all, _ := verdictHashes(e, at(now)); len(all) > 0 {
				t.Fatalf("verdicts on harmless requests: %v", all)
			}
		}
	})
}

func TestEvidenceIsBounded(t *testing.T) {
	c := qt.New(t)
	e := NewEvidence()
	for i := range 3 * maxCrashes {
		var requests []Hash
		for j := range 40 {
			requests = append(requests, Hash{byte(i), byte(i >> 8), byte(j)})
		}
		addCrash(e, fmt.Sprint(i), at(float64(i)/1000), requests...)
	}
	for i := range 3 * maxCompleted {
		e.Completed(Hash{byte(i), byte(i >> 8), byte(i >> 16), 1}, at(4))
	}
	c.Check(len(e.crashes) <= maxCrashes, qt.IsTrue)
	c.Check(e.Suspects(), qt.Equals, e.count)
	c.Check(e.count <= maxCrashKeys, qt.IsTrue)
	c.Check(len(e.completed) <= maxCompleted, qt.IsTrue)
	addCrash(e, "last", at(4+evidenceTTL.Seconds()+1))
	c.Check(len(e.crashes), qt.Equals, 1)
	c.Check(e.Suspects(), qt.Equals, 0)
}
