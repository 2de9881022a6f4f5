package e2e

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

// brittleFleet is a large fleet before the few engines of a service that turn brittle under load.
type brittleFleet struct {
	*entryFleet
	engines, slots, tolerated int
	// work is how long each request runs, perSecond the rate at which callers arrive.
	work      time.Duration
	perSecond float64
}

// Times of the load of a brittleFleet. Until noQueueAfter after the engines state that they are
// brittle, they queue requests and tolerate any number of refusals.
const (
	beforeBrittle = 3 * time.Second
	noQueueAfter  = 4 * time.Second
	withoutQueue  = 12 * time.Second
	// callerDeadline is long enough that no request is sent to another engine because one is slow.
	callerDeadline = 1500 * time.Millisecond
)

// newBrittleFleet starts the fleet. The queues of the engines hold many requests at first.
func newBrittleFleet(t *testing.T, daemons, engines, slots, tolerated int) *brittleFleet {
	const queue, work = 58, 300 * time.Millisecond
	f := &brittleFleet{entryFleet: newEntryFleet(t, 0, 0, 0, defaultBounds), engines: engines, slots: slots, tolerated: tolerated, work: work, perSecond: 140}
	for i := range engines {
		f.startEngine(t, emulator.EngineSpec{
			ID: "desk-" + string(rune('a'+i)), Service: "desk", Zone: zoneOf(i), Version: "v1", Slots: slots, Queue: queue, Work: work,
			Crashes: emulator.CrashSpec{RestartAfter: 3 * time.Second},
		})
	}
	t.Cleanup(f.record.Close)
	f.addDaemons(daemons)
	return f
}

// run sends the load and calls during, if not nil, once the engines queue nothing any more. It
// returns when that was and the load.
func (f *brittleFleet) run(during func()) (noQueue time.Time, load *loadRun) {
	f.configureCallers()
	daemons := make([]int, len(f.daemons))
	for i := range daemons {
		daemons[i] = i
	}
	var changes sync.WaitGroup
	changes.Go(func() {
		time.Sleep(beforeBrittle)
		f.setFaults(emulator.EngineFaults{Brittle: f.tolerated, Sturdy: true})
		time.Sleep(noQueueAfter)
		noQueue = time.Now()
		f.setFaults(emulator.EngineFaults{Brittle: f.tolerated, NoQueue: true})
		if during != nil {
			during()
		}
	})
	load = f.runLoad(loadSpec{
		sources: []loadSource{{organisation: "org-1", perSecond: f.perSecond, daemons: daemons}},
		length:  beforeBrittle + noQueueAfter + withoutQueue, deadline: callerDeadline,
	})
	changes.Wait()
	return noQueue, load
}

// configureCallers configures the organisation of the callers and their times, and waits until the
// configuration is in force at all daemons.
func (f *entryFleet) configureCallers() {
	_, err := f.store.Put("config", "main", emulator.Config(2).WithTenants(emulator.TenantDoc{Name: "org-1", APIKeys: []string{keyOf("org-1")}}).
		WithTimes("desk", callerDeadline, callerDeadline))
	f.c.Assert(err, qt.IsNil)
	f.eventually("configuration in force", func() bool {
		return !slices.ContainsFunc(f.daemons, func(d emulator.Daemon) bool { return !f.serves(d) })
	})
}

// serves reports whether a daemon knows the key of the callers.
func (f *entryFleet) serves(d emulator.Daemon) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.Front+"/safe/x", http.NoBody)
	f.c.Assert(err, qt.IsNil)
	req.Host, req.Close = emulator.Host, true
	req.Header.Set("Request-Id", "probe-"+d.Name)
	req.Header.Set("Authorization", "Bearer "+keyOf("org-1"))
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode != http.StatusUnauthorized
}

// setFaults sets the faults of all engines.
func (f *brittleFleet) setFaults(faults emulator.EngineFaults) {
	for _, e := range f.entryFleet.engines {
		e.SetFaults(faults)
	}
}

// check checks how often engines have crashed, and how many requests were answered since a time, of
// those that the slots can run.
func (f *brittleFleet) check(noQueue time.Time, load *loadRun) {
	falls := f.record.Falls("desk")
	allowed := toleratedFalls + toleratedFallShare*float64(f.engines)
	f.c.Check(float64(len(falls)) <= allowed, qt.IsTrue, qt.Commentf("%d brittle engines crashed, allowed %.1f", len(falls), allowed))
	served := 0
	for _, t := range load.tries {
		if end := t.asked.Add(t.took); t.status == http.StatusOK && end.After(noQueue) && end.Before(noQueue.Add(withoutQueue)) {
			served++
		}
	}
	could := float64(f.engines*f.slots) * withoutQueue.Seconds() / f.work.Seconds()
	f.c.Check(float64(served) >= minBrittleShare*could, qt.IsTrue, qt.Commentf("%d requests were served, the slots could run %.0f", served, could))
	f.c.Logf("falls %d of %.1f allowed; %d of %.0f requests served", len(falls), allowed, served, could)
}

// TestLargeFleetKeepsBrittleEnginesUpAndBusy guards against a fleet of more daemons than the
// engines have slots that crashes brittle engines when their queues go away, or leaves them idle.
func TestLargeFleetKeepsBrittleEnginesUpAndBusy(t *testing.T) {
	f := newBrittleFleet(t, 65, 4, 6, 3)
	noQueue, load := f.run(nil)
	f.check(noQueue, load)
}

// TestBrittleEnginesStayUpWhileDaemonsAreKilled guards against crashes of brittle engines when half
// of the daemons, which hold much of their slots, are killed together and start again.
func TestBrittleEnginesStayUpWhileDaemonsAreKilled(t *testing.T) {
	f := newBrittleFleet(t, 65, 4, 6, 3)
	noQueue, load := f.run(func() {
		time.Sleep(3 * time.Second)
		for i := 0; i < len(f.daemons); i += 2 {
			_ = f.running[i].cmd.Process.Kill()
		}
		time.Sleep(2 * time.Second)
		for i := 0; i < len(f.daemons); i += 2 {
			<-f.running[i].ended
			f.running[i] = f.startDaemon(i)
		}
	})
	f.check(noQueue, load)
}
