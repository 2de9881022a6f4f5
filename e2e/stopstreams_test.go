package e2e

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

const (
	// stopStreamGrace is the grace period of daemons that stop while streams run.
	stopStreamGrace = 8 * time.Second
	// excusedSending and excusedWork are the times after the signal up to which a stream has to be sent, and
	// from which on its engine has to be still at work, for a stop to be allowed to cut it.
	excusedSending = 3 * time.Second
	excusedWork    = stopStreamGrace * 5 / 6
	// streamGap is the time between two events of a stream at an engine without other requests.
	streamGap = 50 * time.Millisecond
	// tokensPerEvent is the number of allowed tokens for each event of the streams that depend on them.
	tokensPerEvent = 10
	// streamEngines and streamSlots are the number of engines and of the requests that each runs at once.
	streamEngines = 3
	streamSlots   = 256
)

// streamRoutes are the paths of two routes for streams, with their time-outs.
var streamRoutes = []struct {
	target  string
	timeout time.Duration
}{
	{"/stream/x", 25 * time.Second},
	{"/brief/x", 5 * time.Second},
}

// streamStop is a stop of a daemon that callers request streams from.
type streamStop struct {
	seed uint64
	// engine has the lengths of the streams and the pace of the engines.
	engine emulator.EngineSpec
	// allowed returns the allowed tokens of a request.
	allowed func(random *rand.Rand) int
	// served is how long the daemon serves streams before the signal.
	served time.Duration
	// interval is the time between two requests, and burstInterval that from burstAfter after the signal on,
	// zero for no burst.
	interval, burstInterval, burstAfter time.Duration
	// mayFail is the number of streams that may get a 502 at the end of the stop, before their first event.
	mayFail int
}

// streamReply is the reply to a request for a stream.
type streamReply struct {
	entryReply
	timeout     time.Duration
	sent, ended time.Time
	// whole is set if all events came.
	whole bool
	// elsewhere is the reply of another daemon if this one refused the request.
	elsewhere *streamReply
}

// expired reports whether the deadline of the request was reached.
func (r *streamReply) expired() bool { return r.ended.Sub(r.sent) >= r.timeout }

// newStreamFleet starts two daemons with a configuration that has the routes for streams, and engines.
func (s *streamStop) newStreamFleet(t *testing.T) *entryFleet {
	bounds := defaultBounds
	bounds.GraceS = stopStreamGrace.Seconds()
	f := newEntryFleet(t, 0, 0, 0, bounds)
	config := emulator.Config(2).WithTimes("llm", 2*time.Second, streamRoutes[0].timeout)
	brief := config.Routes[len(config.Routes)-1]
	brief.Name, brief.PathPrefix, brief.TimeoutMS = "brief", "/brief/", int(streamRoutes[1].timeout.Milliseconds())
	config.Routes = append(config.Routes, brief)
	_, err := f.store.Put("config", "main", config)
	f.c.Assert(err, qt.IsNil)
	for i := range streamEngines {
		spec := s.engine
		spec.ID, spec.Service, spec.Zone, spec.Version = fmt.Sprintf("llm-%d", i), "llm", zoneOf(i), "v1"
		if spec.Slots == 0 {
			spec.Slots = streamSlots
		}
		f.startEngine(t, spec)
	}
	f.addDaemons(2)
	return f
}

// send sends a request for a stream with an id, which determines the length, and reads the reply.
func (s *streamStop) send(f *entryFleet, daemon int, id string, route int, tokens string) *streamReply {
	req, _ := f.newRequest(daemon, http.MethodPost, streamRoutes[route].target, "body", "Request-Id", id, emulator.TokensHeader, tokens)
	r := &streamReply{entryReply: entryReply{id: id}, timeout: streamRoutes[route].timeout, sent: time.Now()}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.status, r.body = resp.StatusCode, string(data)
	}
	r.err, r.ended = err, time.Now()
	r.whole = err == nil && r.status == http.StatusOK && r.body == expectedStream(id, s.engine.StreamEvents(id, tokens))
	return r
}

// replies requests streams from the first daemon, stops it, and goes on until its process is gone. What it
// refuses is sent to the second one. It returns the time of the signal and the replies.
func (s *streamStop) replies(f *entryFleet) (signalled time.Time, all []*streamReply) {
	var mu sync.Mutex
	var sending sync.WaitGroup
	p, random, interval := f.running[0], rand.New(rand.NewPCG(s.seed, 0)), s.interval
	signal, next := time.After(s.served), time.NewTicker(interval)
	defer next.Stop()
	var burst <-chan time.Time
	for i, running := 0, true; running; {
		select {
		case <-signal:
			signalled = time.Now()
			f.c.Assert(p.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
			if s.burstInterval > 0 {
				burst = time.After(s.burstAfter)
			}
		case <-burst:
			next.Reset(s.burstInterval)
		case <-p.ended:
			running = false
		case <-next.C:
			route, tokens := i%len(streamRoutes), fmt.Sprintf("100,%d", s.allowed(random))
			i++
			id := fmt.Sprintf("stream-%d", i)
			sending.Go(func() {
				r := s.send(f, 0, id, route, tokens)
				if r.status == http.StatusServiceUnavailable {
					r.elsewhere = s.send(f, 1, id+"-elsewhere", route, tokens)
				}
				mu.Lock()
				defer mu.Unlock()
				all = append(all, r)
			})
		}
	}
	sending.Wait()
	return signalled, all
}

// check stops a daemon and checks that no stream is cut but those that a stop may cut, and that what it
// refuses has not run and is served by another daemon.
func (s *streamStop) check(t *testing.T) {
	f := s.newStreamFleet(t)
	signalled, all := s.replies(f)
	var before, late, whole, expired, excused, refused, failed, unread, cut int
	for _, r := range all {
		runs := f.record.Runs(r.id)
		if r.sent.Before(signalled) {
			before++
		}
		about := qt.Commentf("%s, sent %v after the signal, ended after %v: status %d, %d bytes, %v",
			r.id, r.sent.Sub(signalled), r.ended.Sub(r.sent), r.status, len(r.body), r.err)
		switch {
		case r.whole:
			whole++
			if r.sent.After(signalled) {
				late++
			}
		case r.expired():
			expired++
		case r.status == http.StatusServiceUnavailable:
			refused++
			f.c.Check(r.sent.After(signalled), qt.IsTrue, about)
			f.c.Check(runs, qt.HasLen, 0, about)
			o := r.elsewhere
			f.c.Check(o.whole || o.expired(), qt.IsTrue, qt.Commentf("%s: another daemon: status %d, %v", r.id, o.status, o.err))
		case r.err == nil && r.status != http.StatusOK:
			failed++
			f.c.Check(r.sent.After(signalled), qt.IsTrue, about)
		case len(runs) == 0:
			unread++ // The connection was closed before the request was read.
			f.c.Check(r.err, qt.IsNotNil, about)
			f.c.Check(r.sent.After(signalled), qt.IsTrue, about)
		case r.sent.Before(signalled.Add(excusedSending)) && worksAt(runs, signalled.Add(excusedWork)):
			excused++
		default:
			cut++
			t.Log(about)
		}
	}
	t.Logf("%d sent before the signal, %d after: %d whole, %d of them sent after, %d past their deadline, %d excused, %d refused, %d failed, %d unread, %d cut",
		before, len(all)-before, whole, late, expired, excused, refused, failed, unread, cut)
	f.c.Check(before > 0 && late > 0, qt.IsTrue)
	f.c.Check(failed <= s.mayFail, qt.IsTrue)
	f.c.Check(cut, qt.Equals, 0)
	f.c.Check(f.running[0].waitExit(f.c), qt.Equals, 0)
}

// worksAt reports whether one of the runs was in progress at a time.
func worksAt(runs []emulator.Run, at time.Time) bool {
	for _, run := range runs {
		if run.At.Before(at) && (run.Ended.IsZero() || run.Ended.After(at)) {
			return true
		}
	}
	return false
}

// eventsIn returns the number of events of a stream that takes a time.
func eventsIn(d time.Duration) int { return int(d / streamGap) }

// sameTokens returns the same number of allowed tokens for each request.
func sameTokens(*rand.Rand) int { return 100 }

// TestStopCutsNoStreamLongerThanThoseBefore guards against streams that a stopping daemon accepts because
// those before were shorter, and cuts at the end of its grace period.
func TestStopCutsNoStreamLongerThanThoseBefore(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		mean, most, served time.Duration
		seed               uint64
	}{
		{1200 * time.Millisecond, 12 * time.Second, time.Second, 593},
		{1200 * time.Millisecond, 12 * time.Second, time.Second, 5685},
		{500 * time.Millisecond, 5 * time.Second, 5 * time.Second, 1738},
	} {
		t.Run(fmt.Sprintf("mean %v, seed %d", test.mean, test.seed), func(t *testing.T) {
			t.Parallel()
			s := streamStop{seed: test.seed, allowed: sameTokens, served: test.served, interval: sendInterval}
			s.engine.EventGap = streamGap
			s.engine.Lengths = emulator.StreamLengths{Mean: float64(eventsIn(test.mean)), Most: eventsIn(test.most), Seed: test.seed}
			s.check(t)
		})
	}
}

// TestStopCutsNoStreamWithMoreAllowedTokens guards against streams that a stopping daemon accepts although
// they may be ten times as long as those before, and cuts at the end of its grace period.
func TestStopCutsNoStreamWithMoreAllowedTokens(t *testing.T) {
	t.Parallel()
	s := streamStop{seed: 198, served: time.Second, interval: sendInterval}
	s.engine.EventGap = streamGap
	s.engine.Lengths = emulator.StreamLengths{TokensPerEvent: tokensPerEvent}
	s.allowed = func(random *rand.Rand) int {
		tokens := 60 + random.IntN(80)
		if random.IntN(10) == 0 {
			tokens *= 10
		}
		return tokens
	}
	s.check(t)
}

// TestStopCutsNoStreamThatABurstSlowsDown guards against streams that a stopping daemon accepts at the pace
// of those before, and cuts at the end of its grace period because a burst has made the engines slower.
func TestStopCutsNoStreamThatABurstSlowsDown(t *testing.T) {
	t.Parallel()
	s := streamStop{seed: 1, allowed: sameTokens, served: 5 * time.Second, interval: sendInterval, burstInterval: sendInterval * 2 / 5, burstAfter: excusedSending}
	s.engine.Events, s.engine.EventGap, s.engine.GapPerRequest = 30, 20*time.Millisecond, 2*time.Millisecond
	s.check(t)
}

// TestStopCutsNoStreamThatQueuesAtItsEngine guards against streams that a stopping daemon accepts by the times
// of those before a burst, and cuts at the end of its grace period because they had to wait for a slot.
func TestStopCutsNoStreamThatQueuesAtItsEngine(t *testing.T) {
	t.Parallel()
	s := streamStop{seed: 1, allowed: sameTokens, served: 7 * time.Second, interval: 100 * time.Millisecond, burstInterval: 17 * time.Millisecond, burstAfter: excusedSending, mayFail: 20}
	s.engine = emulator.EngineSpec{Events: 12, EventGap: streamGap, Slots: 4, Queue: 64}
	s.check(t)
}
