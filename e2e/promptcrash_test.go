package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

// Bounds that operators require for a part of prompts that crashes engines.
const (
	// maxPartCrashes is the number of engines it may crash before it counts as detected. Until
	// detectionDelay after that, requests with it may reach engines without limit, and later
	// maxLateArrivals of them. Other requests are served as usual from recoveryDelay on.
	maxPartCrashes = 5
	recoveryDelay  = 2 * detectionDelay
	// minServedShare is the least share of their usual rate at which other requests must be
	// served at their first attempt.
	minServedShare = 0.5
)

// crashPart is the id of a prompt part that crashes engines.
const crashPart = "bad0"

// promptRequest is a request with a prompt of several parts.
type promptRequest struct {
	target, model, body, prompt string
}

func (f *entryFleet) postPrompt(daemon int, r promptRequest) entryReply {
	headers := []string{emulator.TokensHeader, "100,100", emulator.PromptHeader, r.prompt}
	if r.model != "" {
		headers = append(headers, emulator.ModelHeader, r.model)
	}
	return f.sendBody(daemon, http.MethodPost, r.target, r.body, headers...)
}

// soundPrompt returns the n-th request without the part that crashes engines.
func soundPrompt(n int) promptRequest {
	return promptRequest{
		target: "/stream/x", body: fmt.Sprint("sound ", n), prompt: fmt.Sprintf("a0:500,b%d:200,c%d:50", n%8, n),
	}
}

// promptWithCrashPart returns the n-th request with that part. It shares its caller and its other parts
// with sound requests. Every second one lets the daemon pick the model.
func promptWithCrashPart(n int) promptRequest {
	r := promptRequest{target: "/stream/x", body: fmt.Sprint("crash ", n), prompt: fmt.Sprintf("a0:500,%s:100,b%d:200,d%d:50", crashPart, n%8, n)}
	if n%2 == 1 {
		r.target, r.model = "/sized/x", "*"
	}
	return r
}

// newPromptCrashFleet starts n daemons and llm engines that crash under crashPart. The answers of
// the smaller model are doubted.
func newPromptCrashFleet(t *testing.T, n, llm int, untilClose bool) *entryFleet {
	f := newEntryFleet(t, 0, 2, 0, defaultBounds)
	t.Cleanup(f.record.Close)
	config := emulator.Config(2)
	sized := config.Routes[len(config.Routes)-1]
	sized.Name, sized.PathPrefix, sized.Sizes = "sized", "/sized/", []string{"m0", "m1"}
	config.Routes = append(config.Routes, sized)
	_, err := f.store.Put("config", "main", config)
	f.c.Assert(err, qt.IsNil)
	for i := range llm {
		e := f.startEngine(t, emulator.EngineSpec{
			ID: fmt.Sprintf("llm-%d", i), Service: "llm", Zone: zoneOf(i), Version: "v1", Slots: 32, Events: 20, EventGap: 20 * time.Millisecond,
			UntilClose: untilClose, Crashes: emulator.CrashSpec{
				PromptPart: crashPart, Delay: 40 * time.Millisecond, RestartAfter: 1500 * time.Millisecond, DeregisterAfter: 2 * time.Second,
			},
		})
		e.SetFaults(emulator.EngineFaults{Confidence: map[string]int{"m0": 5, "m1": 95}})
	}
	f.addDaemons(n)
	return f
}

// sendAtRate sends requests to the daemons in turn until stop is closed, and calls done for each.
func (f *entryFleet) sendAtRate(perSecond int, request func(n int) promptRequest, stop <-chan struct{}, done func(sent time.Time, r entryReply)) *sync.WaitGroup {
	return sendEvery(time.Second/time.Duration(perSecond), stop, func(n int) {
		sent := time.Now()
		done(sent, f.postPrompt(n%len(f.daemons), request(n)))
	})
}

// firstTries counts the requests that were served, each sent once.
type firstTries struct {
	mu           sync.Mutex
	sent, served []time.Time
}

func (l *firstTries) add(sent time.Time, r entryReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, sent)
	if r.err == nil && r.status == http.StatusOK && r.body == expectedStream(r.id, 20) {
		l.served = append(l.served, sent)
	}
}

// share returns the share served of the requests sent between two times.
func (l *firstTries) share(from, to time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	within := func(times []time.Time) (n float64) {
		for _, at := range times {
			if !at.Before(from) && at.Before(to) {
				n++
			}
		}
		return n
	}
	return within(l.served) / max(within(l.sent), 1)
}

// latePartArrivals counts the engines that crashed under crashPart, and how often requests with it
// reached engines later than detectionDelay after it had crashed maxPartCrashes of them.
func (f *entryFleet) latePartArrivals() (crashes, late int) {
	var times []time.Time
	for _, crash := range f.record.Crashes() {
		if emulator.HasSharedPart(crash.Prompt, crashPart) {
			times = append(times, crash.At)
		}
	}
	if len(times) < maxPartCrashes {
		return len(times), 0
	}
	after := times[maxPartCrashes-1].Add(detectionDelay)
	arrivals := f.record.Arrivals(func(a emulator.Arrival) bool {
		return emulator.HasSharedPart(a.Prompt, crashPart) && a.At.After(after)
	})
	return len(times), len(arrivals)
}

// checkPromptPartBounds sends requests that have only the part that crashes engines in common,
// beside sound ones, and checks the bounds.
func checkPromptPartBounds(t *testing.T, untilClose bool) {
	c := qt.New(t)
	f := newPromptCrashFleet(t, 4, 9, untilClose)
	stop := make(chan struct{})
	sound := &firstTries{}
	background := f.sendAtRate(60, soundPrompt, stop, sound.add)
	began := time.Now()
	time.Sleep(2 * time.Second)
	crashing := f.sendAtRate(5, promptWithCrashPart, stop, func(time.Time, entryReply) {})
	from := time.Now()
	time.Sleep(12 * time.Second)
	close(stop)
	crashing.Wait()
	background.Wait()
	to := time.Now()

	crashes, late := f.latePartArrivals()
	c.Assert(crashes > 0, qt.IsTrue)
	detected := f.record.Crashes()[min(maxPartCrashes, crashes)-1].At
	before, after := sound.share(began, from), sound.share(detected.Add(recoveryDelay), to)
	t.Logf("%d engines crashed, %d late arrivals; sound requests served at their first attempt: %.3f before, %.3f after", crashes, late, before, after)
	c.Check(late <= maxLateArrivals, qt.IsTrue, qt.Commentf("%d late arrivals at engines", late))
	c.Check(after >= minServedShare*before, qt.IsTrue, qt.Commentf("served at the first attempt: %.3f before, %.3f after", before, after))
}

// TestPromptPartThatCrashesEnginesIsQuarantined guards against requests of which no two are alike
// but for a part of their prompts that crashes every engine that writes an answer on it. In an
// incident 72 engines ended in half a minute, and half of the requests to the service failed.
func TestPromptPartThatCrashesEnginesIsQuarantined(t *testing.T) {
	checkPromptPartBounds(t, false)
}

// TestPromptPartIsQuarantinedIfAnswersEndWithTheirConnections guards against taking the end of an
// engine for the end of an answer: such an answer looks complete, and would clear the part.
func TestPromptPartIsQuarantinedIfAnswersEndWithTheirConnections(t *testing.T) {
	checkPromptPartBounds(t, true)
}
