package quarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/inventory"
)

// requests counts the requests that prompt has made, so that no two are alike.
var requests uint64

// prompt returns another request of an organisation with the given parts before its own last one.
func prompt(organisation string, parts ...string) Content {
	requests++
	return Content{Request: simHash(7, requests), Shared: SharedKeys("llm", organisation, parts)}
}

// addPromptCrash adds the crash of an engine that interrupted requests to the evidence.
func addPromptCrash(e *Evidence, engine string, at time.Time, interrupted ...Content) []Hash {
	return e.Add(Crash{Engine: inventory.Engine{ID: engine, Service: "llm", Version: "v1"}, Requests: interrupted, At: at}, at)
}

// complete records the completion of a request.
func complete(e *Evidence, at time.Time, c Content) {
	for key := range c.keys() {
		e.Completed(key, at)
	}
}

// covered reports whether a verdict is on a request.
func covered(e *Evidence, now time.Time, c Content) bool {
	for _, v := range e.Evaluate(now) {
		if v.covers(c) {
			return true
		}
	}
	return false
}

// TestRequestsWithAPartThatCrashesEnginesAreHeld guards against identifying requests as a whole
// only: no two are alike, and all crash engines by one part.
func TestRequestsWithAPartThatCrashesEnginesAreHeld(t *testing.T) {
	c := qt.New(t)
	e := NewEvidence()
	complete(e, at(0), prompt("a", "system", "x"))
	for i := range CrashThreshold {
		addPromptCrash(e, fmt.Sprint("e", i), at(1+float64(i)/5),
			prompt("a", "system", "bad", fmt.Sprint("x", i)), prompt("a", "system", fmt.Sprint("y", i)), prompt("a", "system"), prompt("b", fmt.Sprint("other", i)))
	}
	c.Check(covered(e, at(2), prompt("a", "system", "bad", "z")), qt.IsTrue)
	c.Check(covered(e, at(2), prompt("a", "bad")), qt.IsTrue)
	c.Check(covered(e, at(2), prompt("a", "system", "z")), qt.IsFalse)
	c.Check(covered(e, at(2), prompt("b", "other0")), qt.IsFalse)
}

// TestPartsThatAreAlwaysTogetherAreHeldTogether guards against holding what sound requests have in
// common with those that crash engines, before any request has completed: only requests with all of
// the parts that may matter are held, and the others tell which of them does.
func TestPartsThatAreAlwaysTogetherAreHeldTogether(t *testing.T) {
	c := qt.New(t)
	e := NewEvidence()
	for i := range CrashThreshold {
		addPromptCrash(e, fmt.Sprint("e", i), at(float64(i)/5),
			prompt("a", "system", "subject", "bad"), prompt("a", "system"), prompt("a", "system"), prompt("a", "system"), prompt("a", "system"))
	}
	c.Check(covered(e, at(1), prompt("a", "system", "subject", "bad")), qt.IsTrue)
	c.Check(covered(e, at(1), prompt("a", "system", "subject")), qt.IsFalse)
	c.Check(covered(e, at(1), prompt("a", "system", "bad")), qt.IsFalse)
	complete(e, at(1), prompt("a", "system", "subject"))
	c.Check(covered(e, at(1), prompt("a", "system", "subject")), qt.IsFalse)
	c.Check(covered(e, at(1), prompt("a", "bad")), qt.IsTrue)
}

// TestOrganisationCannotHaveRequestsOfAnotherHeld guards against an organisation that names parts
// of another one's prompts in requests that crash engines.
func TestOrganisationCannotHaveRequestsOfAnotherHeld(t *testing.T) {
	c := qt.New(t)
	e := NewEvidence()
	for i := range 10 {
		addPromptCrash(e, fmt.Sprint("e", i), at(float64(i)/5), prompt("a", fmt.Sprint(i), "bad"), prompt("a", "sound"), prompt("b", "sound"), prompt("b", "sound"))
	}
	c.Check(covered(e, at(3), prompt("a", "bad")), qt.IsTrue)
	c.Check(covered(e, at(3), prompt("b", "bad")), qt.IsFalse)
	addPromptCrash(e, "e10", at(3), prompt("b", "bad"), prompt("b", "sound"))
	c.Check(covered(e, at(4), prompt("a", "bad")), qt.IsTrue)
	c.Check(covered(e, at(4), prompt("b", "bad")), qt.IsTrue)
	c.Check(covered(e, at(4), prompt("d", "bad")), qt.IsTrue)
}

// TestLossOfPowerHoldsNoCommonParts guards against refusing all requests to a service whose engines
// lose power together before any request has completed.
func TestLossOfPowerHoldsNoCommonParts(t *testing.T) {
	c := qt.New(t)
	e := NewEvidence()
	for i := range 9 {
		var interrupted []Content
		for range 10 {
			interrupted = append(interrupted, prompt("a", "system", "popular"), prompt("b", "other"))
		}
		addPromptCrash(e, fmt.Sprint("e", i), at(float64(i)/100), interrupted...)
	}
	c.Check(e.Evaluate(at(1)), qt.HasLen, 0)
	c.Check(e.Suspicion(prompt("a", "system", "popular")), qt.Equals, Suspicion{})
}

// TestCommonPartThatCrashesEnginesIsHeld guards against sparing a part because most requests have
// it: it may be the first one of a route's prompts.
func TestCommonPartThatCrashesEnginesIsHeld(t *testing.T) {
	c := qt.New(t)
	e := NewEvidence()
	for i := range wideThreshold {
		addPromptCrash(e, fmt.Sprint("e", i), at(float64(i)/5), prompt("a", "bad", fmt.Sprint("x", i)), prompt("a", "bad"), prompt("b", "bad"))
	}
	c.Check(covered(e, at(2), prompt("a", "bad", "z")), qt.IsTrue)
	c.Check(covered(e, at(2), prompt("a", "x0")), qt.IsFalse)
}

// TestSuspicionEndsWithTheVerdict guards against treating sound requests that were in progress at
// crashes as suspects once it is known which requests caused them.
func TestSuspicionEndsWithTheVerdict(t *testing.T) {
	c := qt.New(t)
	e := NewEvidence()
	sound := prompt("a", "system", "sound")
	addPromptCrash(e, "e0", at(0), prompt("a", "system", "bad"), sound)
	c.Check(e.Suspicion(sound).Crashes, qt.Equals, 1)
	addPromptCrash(e, "e1", at(0.2), prompt("a", "system", "bad"), sound, prompt("c"), prompt("c"), prompt("c"), prompt("c"), prompt("c"), prompt("c"), prompt("c"))
	crashing := e.Suspicion(prompt("a", "other", "bad"))
	c.Check(crashing.Crashes, qt.Equals, 2)
	c.Check(crashing.Key, qt.Equals, SharedKeys("llm", "a", []string{"bad"})[0])
	addPromptCrash(e, "e2", at(0.4), prompt("a", "system", "bad"), prompt("c"), prompt("c"), prompt("c"), prompt("c"))
	c.Check(covered(e, at(1), sound), qt.IsFalse)
	c.Check(e.Suspicion(sound), qt.Equals, Suspicion{})
	c.Check(e.Suspicion(prompt("a", "system", "bad")).Crashes, qt.Equals, 3) // Its retries are sent to one engine.
}

// TestForgettingAPartForgetsItsOtherKeys guards against requests that are held again by the same
// crashes as soon as an operator has cleared them.
func TestForgettingAPartForgetsItsOtherKeys(t *testing.T) {
	c := qt.New(t)
	e := NewEvidence()
	for i := range 2 * wideThreshold {
		addPromptCrash(e, fmt.Sprint("e", i), at(float64(i)/5), prompt("a", "system", "bad"), prompt("b", "system", "bad"), prompt("a", "system"))
	}
	for _, v := range e.Evaluate(at(3)) {
		e.ForgetCrashes(v.Hash)
	}
	c.Check(e.Suspects(), qt.Equals, 0)
	c.Check(covered(e, at(3), prompt("a", "system", "bad")), qt.IsFalse)
	c.Check(covered(e, at(3), prompt("b", "bad")), qt.IsFalse)
}

// TestOnlyTheCulpritIsHeld draws prompts that share parts with those that crash engines, and checks
// that after five crashes these are held, and none whose parts have completed in others.
func TestOnlyTheCulpritIsHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewEvidence()
		universe := []string{"p0", "p1", "p2", "p3", "p4", "p5"}
		parts := rapid.SliceOfNDistinct(rapid.SampledFrom(universe), 1, 3, rapid.ID[string])
		organisations := rapid.SampledFrom([]string{"a", "b"})
		position := rapid.IntRange(0, 2)
		culprit := func() Content {
			list := parts.Draw(t, "beside the culprit")
			at := min(position.Draw(t, "position"), len(list))
			list = append(list[:at:at], append([]string{"bad"}, list[at:]...)...)
			return prompt(organisations.Draw(t, "organisation"), list...)
		}
		sound := func() Content {
			return prompt(organisations.Draw(t, "organisation"), parts.Draw(t, "sound")...)
		}
		for _, organisation := range []string{"a", "b"} {
			complete(e, at(0), prompt(organisation, universe...))
		}
		now, crashes := 1.0, rapid.IntRange(wideThreshold, 12).Draw(t, "crashes")
		for i := range crashes {
			interrupted := []Content{culprit()}
			for range rapid.IntRange(0, 4).Draw(t, "others") {
				interrupted = append(interrupted, sound())
			}
			addPromptCrash(e, fmt.Sprint("e", i), at(now), interrupted...)
			now += rapid.Float64Range(0.11, 3).Draw(t, "pause")
		}
		for range 5 {
			if c := sound(); covered(e, at(now), c) {
				t.Fatalf("sound request held")
			}
		}
		both := 0
		for _, organisation := range []string{"a", "b"} {
			if covered(e, at(now), prompt(organisation, "p0", "bad")) {
				both++
			}
		}
		if both == 0 {
			t.Fatalf("no request with the culprit is held after %d crashes", crashes)
		}
	})
}

func TestSharedKeys(t *testing.T) {
	c := qt.New(t)
	keys := SharedKeys("llm", "a", []string{"x", "y", "x"})
	c.Check(keys, qt.HasLen, 4) // Each part in its organisation and for all.
	c.Check(keys[2:], qt.DeepEquals, []Hash{PartHash("llm", "x"), PartHash("llm", "y")})
	c.Check(SharedKeys("llm", "b", []string{"y"})[1], qt.Equals, keys[3])
	c.Check(SharedKeys("llm", "b", []string{"y"})[0] == keys[1], qt.IsFalse)
	c.Check(PartHash("other", "x") == PartHash("llm", "x"), qt.IsFalse)
	c.Check(SharedKeys("llm", "", []string{"x"}), qt.DeepEquals, []Hash{PartHash("llm", "x")})
	var long []string
	for i := range 1000 {
		long = append(long, fmt.Sprint(i))
	}
	c.Check(SharedKeys("llm", "a", long), qt.HasLen, 2*MaxSharedParts)
}

// TestReportsCarryParts guards against losing parts of prompts, or the order of requests, where a
// report is divided, and against reports of daemons that do not send parts.
func TestReportsCarryParts(t *testing.T) {
	c := qt.New(t)
	var crash Crash
	for i := range 3 * maxReportHashes {
		crash.Requests = append(crash.Requests, prompt("a", "system", fmt.Sprint(i%7)))
	}
	whole := &bronzeturnv1.CrashReport{Engines: []*bronzeturnv1.EndedEngine{encodeCrash(crash)}}
	var got []Content
	for _, part := range split(whole) {
		keys := 0
		for _, e := range part.GetEngines() {
			for _, content := range decodeCrash(e, at(0)).Requests {
				got = append(got, content)
				keys += content.size()
			}
		}
		c.Check(keys <= maxReportHashes, qt.IsTrue)
		c.Check(proto.Size(part) < maxTableReportBytes, qt.IsTrue)
	}
	c.Check(got, qt.DeepEquals, crash.Requests)
	old := encodeCrash(crash)
	old.Shared = nil
	c.Check(decodeCrash(old, at(0)).Requests, qt.HasLen, len(crash.Requests))
}

// crashUnderPart crashes engines under different requests with a part, each at another daemon.
func (f *testFleet) crashUnderPart(n int, part string) {
	for i := range n {
		e := inventory.Engine{ID: fmt.Sprint(part, i), Service: "llm", Version: "v1", Address: fmt.Sprint("10.0.0.2/", part, i)}
		f.mu.Lock()
		f.down[e.Address] = true
		f.mu.Unlock()
		d := f.daemons[i%len(f.daemons)]
		d.AnswerInterrupted(e, prompt(fmt.Sprint("org", i%2), "system", part), time.Now(), ignoreFailure)
		for range narrowShare {
			f.daemons[(i+1)%len(f.daemons)].AnswerInterrupted(e, prompt("org0", "system"), time.Now(), ignoreFailure)
		}
		time.Sleep(150 * time.Millisecond)
	}
}

// heldContent returns the number of daemons that hold a request.
func (f *testFleet) heldContent(c Content) (n int) {
	for _, d := range f.daemons {
		if d.Held(c) {
			n++
		}
	}
	return n
}

// TestDaemonsHoldAPartTogether checks that daemons combine what each of them saw of a part, that
// sends of other requests with it are cancelled, that the verdict outlives all daemons, that a new
// version is retried a bounded number of times, and that an operator can clear it.
func TestDaemonsHoldAPartTogether(t *testing.T) {
	runFleet(t, 4, func(f *testFleet) {
		f.daemons[2].Completed(prompt("org0", "system"), time.Now())
		f.daemons[2].Completed(prompt("org1", "system"), time.Now())
		waiting, send := f.daemons[3].Sending(f.t.Context(), prompt("org2", "bad"))
		defer send.Done()
		sound, soundSend := f.daemons[3].Sending(f.t.Context(), prompt("org0", "system", "sound"))
		defer soundSend.Done()
		f.crashUnderPart(CrashThreshold, "bad")
		time.Sleep(time.Second)
		bad, harmless := prompt("org3", "new", "bad"), prompt("org0", "system", "new")
		f.c.Check(f.heldContent(bad), qt.Equals, 4)
		f.c.Check(f.heldContent(harmless), qt.Equals, 0)
		f.c.Check(context.Cause(waiting), qt.Equals, ErrQuarantined)
		f.c.Check(sound.Err(), qt.IsNil)

		time.Sleep(2 * time.Second)
		f.c.Assert(f.records(), qt.HasLen, 1)
		f.stopAll()
		f.mu.Lock()
		f.daemons, f.flooded, f.versions = nil, nil, []string{"v2"}
		f.mu.Unlock()
		for i := range 3 {
			f.add(fmt.Sprint("new", i))
		}
		time.Sleep(time.Second)
		f.c.Check(f.heldContent(bad), qt.Equals, 3)
		f.c.Check(f.heldContent(harmless), qt.Equals, 0)
		granted := 0
		for range 20 {
			for _, d := range f.daemons {
				if ok, isRetry := d.Admit(f.t.Context(), prompt("org0", "bad")); ok && isRetry {
					granted++
				}
			}
			time.Sleep(minRetryInterval)
		}
		f.c.Check(granted, qt.Equals, maxRetries)

		f.c.Check(f.daemons[0].Clear(f.daemons[1].Entries()[0].Hash), qt.IsTrue)
		time.Sleep(2 * time.Second)
		f.c.Check(f.heldContent(bad), qt.Equals, 0)
		f.c.Check(f.records(), qt.HasLen, 0)
	})
}

// TestEachDaemonAnnouncesACommonPartOnce guards against an announcement by each daemon for each
// crash that a part which most requests have is harmless.
func TestEachDaemonAnnouncesACommonPartOnce(t *testing.T) {
	const daemons = 30
	runFleet(t, daemons, func(f *testFleet) {
		for _, d := range f.daemons {
			d.Completed(prompt("org0", "system"), time.Now())
		}
		f.crashUnderPart(1, "first")
		time.Sleep(time.Second)
		f.mu.Lock()
		before := f.messages
		f.mu.Unlock()
		for i := range 10 {
			f.crashUnderPart(1, fmt.Sprint("other", i))
		}
		time.Sleep(time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		reports := (f.messages - before) / (daemons - 1)
		f.c.Check(reports <= 30, qt.IsTrue, qt.Commentf("%d reports for 10 crashes, each seen by two daemons", reports))
	})
}

// TestRarePartIsHeldWhenFewRequestsAreInProgress guards against sparing a part because half of the
// few interrupted requests had it. Attempts of one request follow each other within milliseconds.
func TestRarePartIsHeldWhenFewRequestsAreInProgress(t *testing.T) {
	c := qt.New(t)
	e := NewEvidence()
	complete(e, at(0), prompt("a", "system"))
	one, two := prompt("a", "system", "bad"), prompt("a", "system", "bad")
	for i, crash := range []struct {
		at      float64
		request Content
	}{{1.362, one}, {1.400, one}, {1.440, one}, {1.609, two}, {1.650, two}} {
		addPromptCrash(e, fmt.Sprint("e", i), at(crash.at), crash.request, prompt("a", "system"))
	}
	c.Check(covered(e, at(1.7), prompt("a", "system", "bad")), qt.IsTrue)
	c.Check(covered(e, at(1.7), prompt("a", "system")), qt.IsFalse)
}

// TestSeveralPartsAtOnce guards against missing one of two parts that crash engines at the same time, one
// of them in the first place of the prompts, and against holding what requests with either share.
func TestSeveralPartsAtOnce(t *testing.T) {
	c := qt.New(t)
	e := NewEvidence()
	complete(e, at(0), prompt("a", "system", "x", "y"))
	for i := range 2 * CrashThreshold {
		crashing := prompt("a", "bad0", "x")
		if i%2 == 1 {
			crashing = prompt("a", "system", "y", "bad1")
		}
		addPromptCrash(e, fmt.Sprint("e", i), at(1+float64(i)/5), crashing, prompt("a", "system", "x"), prompt("a", "system", "y"))
	}
	c.Check(covered(e, at(3), prompt("a", "bad0")), qt.IsTrue)
	c.Check(covered(e, at(3), prompt("a", "system", "bad1")), qt.IsTrue)
	c.Check(covered(e, at(3), prompt("a", "system", "x", "y")), qt.IsFalse)
}
