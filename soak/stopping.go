package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

const (
	// stopCallers is the number of callers that keep using their connections to a daemon that stops.
	stopCallers = 4
	// maxStopPause is the longest time between the stops of two daemons. The stops overlap.
	maxStopPause = 3 * time.Second
	// maxServed is the longest time for which callers use a daemon before it stops.
	maxServed = 2 * time.Second
	// withdrawalTime is the time in which the daemons learn which engines are gone.
	withdrawalTime = time.Second
	// stopEngines is the number of engines of each service that run the requests meanwhile, stopWork how
	// long each engine of the plain service takes for one.
	stopEngines = 2
	stopWork    = 900 * time.Millisecond
	stopSlots   = 128
	// stopGrace is the grace period of the stops. It is long enough for streams that are sent later than
	// excusedSending and take longer than those before.
	stopGrace = 8 * time.Second
	// excusedSending and excusedWork are the times after the signal up to which a stream has to be sent, and
	// from which on its engine has to be still at work, for a stop to be allowed to cut it.
	excusedSending = 3 * time.Second
	excusedWork    = stopGrace * 5 / 6
	// stopStreamInterval is the time between two streams that callers request from a daemon that stops,
	// stopStreamGap that between two events of a stream.
	stopStreamInterval = 50 * time.Millisecond
	stopStreamGap      = 50 * time.Millisecond
	// stopStreamMean and stopStreamMost are the mean and the longest time of the streams whose length is
	// drawn. The longest take longer than the grace period.
	stopStreamMean = 1200 * time.Millisecond
	stopStreamMost = 10 * time.Second
	// stopStreamTimeout is the time after which a caller cancels a stream, longer than any of them.
	stopStreamTimeout = 20 * time.Second
	// tokensPerEvent is the number of allowed tokens for each event of the streams of callers that state
	// them. They allow minTokens to maxTokens, and one in longEvery of them minLong to maxLong times as many.
	tokensPerEvent       = 10
	minTokens, maxTokens = 60, 140
	longEvery            = 10
	minLong, maxLong     = 5, 20
)

// stopStreams is the pace and the lengths of the streams of an engine in the stop phase.
func (r *run) stopStreams() emulator.EngineSpec {
	return emulator.EngineSpec{EventGap: stopStreamGap, Lengths: emulator.StreamLengths{
		TokensPerEvent: tokensPerEvent, Mean: float64(stopStreamMean / stopStreamGap), Most: int(stopStreamMost / stopStreamGap), Seed: r.Seed,
	}}
}

// slowDown replaces the engines by ones that take long enough for a stop to come in between. It waits for
// those that have crashed to restart, so that none of them returns.
func (r *run) slowDown() error {
	replaced := r.engines
	for i := range stopEngines {
		plain, streams := emulator.EngineSpec{Service: "desk", Work: stopWork}, r.stopStreams()
		streams.Service = "llm"
		for _, spec := range []emulator.EngineSpec{plain, streams} {
			spec.ID, spec.Zone = fmt.Sprintf("slow-%s-%d", spec.Service, i), fmt.Sprintf("hall-%d", i%3)
			spec.Version, spec.Slots = "v1", stopSlots
			e, err := emulator.StartEngine(r.store, r.record, spec)
			if err != nil {
				return err
			}
			r.engines = append(r.engines, e)
		}
	}
	time.Sleep(settleTime)
	for _, e := range slices.Concat(replaced, r.record.LiveEngines(replaced)) {
		e.Deregister()
	}
	return nil
}

// setGrace changes the grace period in the settings of all daemons.
func (r *run) setGrace(grace time.Duration) error {
	b := r.bounds()
	b.GraceS = grace.Seconds()
	for i, d := range r.daemons {
		if err := r.writeSettings(i, b); err != nil {
			return err
		}
		d.signal(syscall.SIGHUP)
	}
	return nil
}

// stopPhase stops and restarts all daemons in series, with stops that overlap, settings signals and
// changes of the configuration, while callers use each until its process is gone. It checks that no
// request which reached an engine remains without a whole answer, except for streams that a stop may cut.
// The faults must have ended.
func (c *checks) stopPhase() {
	r := c.run
	if err := r.setGrace(stopGrace); err != nil {
		c.reportViolation("the settings of the stop phase were not written: %v", err)
		return
	}
	if err := r.slowDown(); err != nil {
		c.reportViolation("the engines of the stop phase did not start: %v", err)
		return
	}
	time.Sleep(withdrawalTime)
	var stopping sync.WaitGroup
	for i, n := range r.random.Perm(len(r.daemons)) {
		s := &plannedStop{daemon: r.daemons[n], random: rand.New(rand.NewPCG(r.Seed, uint64(i)))}
		stopping.Go(func() { c.stopUnderLoad(s) })
		time.Sleep(time.Duration(r.random.Int64N(int64(maxStopPause))))
		r.randomDaemon().signal(syscall.SIGHUP)
		r.configVersion++
		_, _ = r.store.Put("config", "main", r.config()) // The emulated store accepts every document.
	}
	stopping.Wait()
}

// plannedStop is the stop of a daemon that callers use.
type plannedStop struct {
	daemon *daemon
	random *rand.Rand
	// signalled is the time of the signal, nil before.
	signalled atomic.Pointer[time.Time]
}

// allowsCut reports whether the stop may cut a stream that was sent at a time and had these runs.
func (s *plannedStop) allowsCut(sent time.Time, runs []emulator.Run) bool {
	signalled := s.signalled.Load()
	if signalled == nil || sent.After(signalled.Add(excusedSending)) {
		return false
	}
	last := signalled.Add(excusedWork)
	for _, run := range runs {
		if run.At.Before(last) && (run.Ended.After(last) || run.Ended.IsZero() && time.Now().After(last)) {
			return true
		}
	}
	return false
}

// stopUnderLoad stops a daemon and starts it again once its process is gone. Until then, callers send
// requests to it.
func (c *checks) stopUnderLoad(s *plannedStop) {
	d := s.daemon
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	var calling sync.WaitGroup
	for range stopCallers {
		own := rand.New(rand.NewPCG(s.random.Uint64(), 0))
		calling.Go(func() {
			connections := &http.Transport{}
			defer connections.CloseIdleConnections()
			for {
				select {
				case <-ended:
					return
				default:
				}
				c.sendLate(connections, d, plainTargets[own.IntN(len(plainTargets))])
				time.Sleep(time.Duration(own.IntN(40)) * time.Millisecond)
			}
		})
	}
	own := rand.New(rand.NewPCG(s.random.Uint64(), 0))
	calling.Go(func() { c.sendStreams(s, own, ended) })
	time.Sleep(time.Duration(s.random.Int64N(int64(maxServed))))
	now := time.Now()
	s.signalled.Store(&now)
	start := c.run.restart(d, syscall.SIGTERM)
	calling.Wait()
	if start != nil {
		start()
	}
}

// sendLate sends a request to a daemon that stops, and checks that it gets a whole answer if it has
// reached an engine.
func (c *checks) sendLate(connections http.RoundTripper, d *daemon, target string) {
	id := c.newID(d)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := c.request(ctx, d, id, target, "body")
	if err != nil {
		return
	}
	atMostOnce := strings.HasPrefix(target, "/once")
	if atMostOnce {
		c.recordAtMostOnce(id)
	}
	resp, err := connections.RoundTrip(req)
	if err != nil {
		c.count(&c.failed)
		if ctx.Err() == nil && len(c.run.record.Runs(id)) > 0 {
			c.reportViolation("%s: %s has reached an engine and got no answer while %s stopped: %v", id, target, d.Name, err)
		}
		return
	}
	defer func() { _ = resp.Body.Close() }() // An error changes nothing once the body is read or reading it has failed.
	body, err := io.ReadAll(resp.Body)
	if err != nil && ctx.Err() == nil {
		c.reportViolation("%s: the answer to %s was cut while %s stopped: %v", id, target, d.Name, err)
	}
	c.checkAnswer(id, target, atMostOnce, resp.StatusCode, string(body), err)
}

// sendStreams requests streams from a daemon that stops, over connections that stay open, until its process
// is gone. All callers of a daemon state their allowed tokens, which then determine the lengths, or none does.
func (c *checks) sendStreams(s *plannedStop, random *rand.Rand, ended <-chan struct{}) {
	connections := &http.Transport{MaxIdleConnsPerHost: int(stopStreamMost / stopStreamInterval)}
	defer connections.CloseIdleConnections()
	var sending sync.WaitGroup
	defer sending.Wait()
	ticker := time.NewTicker(stopStreamInterval)
	defer ticker.Stop()
	stated := random.IntN(2) == 0
	for n := 0; ; n++ {
		tokens := "100"
		if stated {
			tokens = fmt.Sprintf("100,%d", allowedTokens(random))
		}
		// The id determines the length if the tokens do not, and must not depend on the timing.
		id := fmt.Sprintf("s%d-%s-%d", c.run.Seed, s.daemon.Name, n)
		select {
		case <-ended:
			return
		case <-ticker.C:
			sending.Go(func() { c.sendStream(s, connections, id, tokens) })
		}
	}
}

// allowedTokens returns a random number of allowed tokens.
func allowedTokens(random *rand.Rand) int {
	tokens := minTokens + random.IntN(maxTokens-minTokens)
	if random.IntN(longEvery) == 0 {
		tokens *= minLong + random.IntN(maxLong-minLong)
	}
	return tokens
}

// sendStream requests a stream from a daemon that stops, and checks that it is complete if it has reached an
// engine and the stop may not cut it.
func (c *checks) sendStream(s *plannedStop, connections http.RoundTripper, id, tokens string) {
	c.addRequest(id, s.daemon)
	ctx, cancel := context.WithTimeout(context.Background(), stopStreamTimeout)
	defer cancel()
	req, err := c.request(ctx, s.daemon, id, "/stream/x", "body")
	if err != nil {
		return
	}
	req.Header.Set(emulator.TokensHeader, tokens)
	sent := time.Now()
	status, body := 0, ""
	resp, err := connections.RoundTrip(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close() // An error changes nothing once the body is read or reading it has failed.
		status, body = resp.StatusCode, string(data)
	}
	if runs := c.run.record.Runs(id); err != nil && len(runs) > 0 && !s.allowsCut(sent, runs) {
		c.reportViolation("%s: a stream with tokens %s, sent %v after the signal to %s, was cut %v after it: %v",
			id, tokens, s.sinceSignal(sent), s.daemon.Name, s.sinceSignal(time.Now()), err)
	}
	if status == http.StatusServiceUnavailable {
		c.recordNotRun(id)
	}
	if resp == nil {
		c.count(&c.failed)
		return
	}
	c.checkBody(id, streamBody(id, c.run.stopStreams().StreamEvents(id, tokens)), false, status, body, err)
}

// sinceSignal returns the time from the signal to a time, zero if there was no signal yet.
func (s *plannedStop) sinceSignal(at time.Time) time.Duration {
	signalled := s.signalled.Load()
	if signalled == nil {
		return 0
	}
	return at.Sub(*signalled).Round(time.Millisecond)
}
