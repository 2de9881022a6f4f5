package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

const (
	// stopCallers is the number of callers that keep using their connections to a daemon that stops.
	stopCallers = 4
	// maxStopPause is the longest time between the stops of two daemons. The stops overlap.
	maxStopPause = 3 * time.Second
	// stopEngines is the number of engines that run the requests to the plain service meanwhile, stopWork
	// how long each takes for one.
	stopEngines = 2
	stopWork    = 900 * time.Millisecond
	stopSlots   = 64
)

// slowDown replaces the engines of the plain service by ones that take long enough for a stop to come in
// between.
func (r *run) slowDown() error {
	replaced := r.engines
	for i := range stopEngines {
		e, err := emulator.StartEngine(r.store, r.record, emulator.EngineSpec{
			ID: fmt.Sprintf("slow-%d", i), Service: "desk", Zone: fmt.Sprintf("hall-%d", i%3), Version: "v1", Slots: stopSlots, Work: stopWork,
		})
		if err != nil {
			return err
		}
		r.engines = append(r.engines, e)
	}
	for _, e := range replaced {
		if e.Spec.Service == "desk" {
			e.Deregister()
		}
	}
	return nil
}

// stopPhase stops and restarts all daemons in series, with stops that overlap, settings signals and
// changes of the configuration, while callers use each until its process is gone. It checks that no
// request which reached an engine remains without an answer. The faults must have ended.
func (c *checks) stopPhase() {
	r := c.run
	if err := r.slowDown(); err != nil {
		c.reportViolation("the engines of the stop phase did not start: %v", err)
		return
	}
	time.Sleep(settleTime)
	var stopping sync.WaitGroup
	for i, n := range r.random.Perm(len(r.daemons)) {
		d, random := r.daemons[n], rand.New(rand.NewPCG(r.Seed, uint64(i)))
		stopping.Go(func() { c.stopUnderLoad(d, random) })
		time.Sleep(time.Duration(r.random.Int64N(int64(maxStopPause))))
		r.randomDaemon().signal(syscall.SIGHUP)
		r.configVersion++
		_, _ = r.store.Put("config", "main", r.config()) // The emulated store accepts every document.
	}
	stopping.Wait()
}

// stopUnderLoad stops a daemon and starts it again once its process is gone. Until then, callers send
// requests to it.
func (c *checks) stopUnderLoad(d *daemon, random *rand.Rand) {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	var calling sync.WaitGroup
	for range stopCallers {
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		calling.Go(func() {
			connections := &http.Transport{}
			defer connections.CloseIdleConnections()
			for {
				select {
				case <-ended:
					return
				default:
				}
				c.sendLate(connections, d, targets[own.IntN(len(targets))])
				time.Sleep(time.Duration(own.IntN(40)) * time.Millisecond)
			}
		})
	}
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
