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

// Sizes, loads and bounds of the demonstrations in docs/design/0015-load-scheduling.md.
const (
	// pressureDaemons and pressureEngines are the numbers of daemons and of engines. Each
	// engine has pressureSlots slots, pressureQueue places in its queue, and runs a request
	// for pressureWork at speed 1.
	pressureDaemons = 4
	pressureEngines = 4
	pressureSlots   = 4
	pressureQueue   = 12
	pressureWork    = 100 * time.Millisecond
	// pressureCapacity is the number of requests per second that the engines can run.
	pressureCapacity = 160.0
	// pressureTarget is the target time of the route, pressureDeadline the time at which
	// callers disconnect.
	pressureTarget   = 300 * time.Millisecond
	pressureDeadline = 1500 * time.Millisecond

	// minBusy and minAnswered are the shares of the slot time that must be used and of the
	// engines' runs that must reach their caller.
	minBusy     = 0.80
	minAnswered = 0.95
	// minOthers and minUrgent are the shares within pressureTarget of the requests of the
	// organisations beside the one that asks for too much, and of the urgent requests.
	minOthers = 0.95
	minUrgent = 0.97
	// minMixed is the share within mixedLimit of the requests at each daemon in front of
	// engines of different speeds.
	minMixed   = 0.90
	mixedLimit = 500 * time.Millisecond
	// maxReturns is how often refused callers return. minSucceeding is the share of their
	// tries that must succeed, maxRefusalTime the time that no refusal may take.
	maxReturns     = 4
	minSucceeding  = 1.0 / 3
	maxRefusalTime = 500 * time.Millisecond

	// pressureLength is how long callers arrive. mixedLength is longer, as the speeds of the
	// engines must be learnt first.
	pressureLength = 6 * time.Second
	mixedLength    = 8 * time.Second
)

// newPressureFleet starts daemons in front of engines with these speeds, which schedule the
// requests of the given tenants.
func newPressureFleet(t *testing.T, speeds []float64, tenants ...emulator.TenantDoc) *entryFleet {
	bounds := defaultBounds
	bounds.Contracts = []string{emulator.ContractPressure}
	f := newEntryFleet(t, 0, 0, 0, bounds)
	config := emulator.Config(2).WithTenants(tenants...).WithTimes("desk", pressureTarget, pressureDeadline)
	_, err := f.store.Put("config", "main", config)
	f.c.Assert(err, qt.IsNil)
	for i, speed := range speeds {
		f.startEngine(t, emulator.EngineSpec{
			ID: fmt.Sprintf("desk-%d", i), Service: "desk", Zone: zoneOf(i), Version: "v1",
			Slots: pressureSlots, Queue: pressureQueue, Work: pressureWork, Speed: speed,
		})
	}
	f.addDaemons(pressureDaemons)
	for i, d := range f.daemons {
		f.eventually("all daemons known", func() bool {
			list, err := emulator.Resolve(d.Directory)
			return err == nil && len(list) == pressureDaemons
		})
		f.eventually("requests served", func() bool {
			return f.send(i, http.MethodPost, "/safe/x", "Authorization", "Bearer "+tenants[0].APIKeys[0]).status == http.StatusOK
		})
	}
	return f
}

// tenant returns an organisation, whose requests have the priority of the route.
func tenant(name string) emulator.TenantDoc {
	return emulator.TenantDoc{Name: name, APIKeys: []string{keyOf(name)}}
}

// equalSpeeds are the speeds of the engines where they do not differ.
var equalSpeeds = []float64{1, 1, 1, 1}

// allDaemons are the daemons that callers pick from where they use all of them alike.
var allDaemons = []int{0, 1, 2, 3}

// checkShare checks that a share is at least a bound.
func (f *entryFleet) checkShare(what string, got, least float64) {
	f.c.Check(got >= least, qt.IsTrue, qt.Commentf("%s: %.3f, at least %.3f", what, got, least))
}

// checkEngines logs and checks what holds in all cases: no lack of capacity appears as a failure
// of an engine, nearly all runs reach their caller, and what is refused has not run.
func (l *loadRun) checkEngines() engineFigures {
	f, c := l.engineFigures(), l.fleet.c
	c.Logf("engines: %v", f)
	total := l.figures(pressureTarget, func(loadTry) bool { return true })
	c.Check(total.statuses[http.StatusBadGateway], qt.Equals, 0, qt.Commentf("responses with status 502"))
	l.fleet.checkShare("runs that reached their caller", share(f.answered, f.runs), minAnswered)
	c.Check(f.refusedButRan, qt.Equals, 0, qt.Commentf("refused requests that ran"))
	return f
}

// of selects the requests of an organisation.
func of(organisation string) func(loadTry) bool {
	return func(t loadTry) bool { return t.organisation == organisation }
}

// logOrganisations logs the figures of each organisation.
func (l *loadRun) logOrganisations() {
	for _, s := range l.sources {
		l.fleet.c.Logf("%s: %v", s.organisation, l.figures(pressureTarget, of(s.organisation)))
	}
}

// The organisation that asks for more than all engines can run, and its rate.
const (
	bigOrganisation = "big"
	bigPerSecond    = 400
)

// The number of other organisations and the rate of each.
const (
	otherOrganisations = 5
	otherPerSecond     = 16
)

// checkOthersAreServed sends the load of one organisation that asks for 2.5 times the capacity
// and of five that ask for a tenth of it each. during is run beside the load.
func checkOthersAreServed(t *testing.T, bigDaemons []int, during func(f *entryFleet)) {
	tenants := []emulator.TenantDoc{tenant(bigOrganisation)}
	sources := []loadSource{{organisation: bigOrganisation, perSecond: bigPerSecond, daemons: bigDaemons}}
	for i := range otherOrganisations {
		name := fmt.Sprintf("other-%d", i)
		tenants = append(tenants, tenant(name))
		sources = append(sources, loadSource{organisation: name, perSecond: otherPerSecond, daemons: allDaemons})
	}
	f := newPressureFleet(t, equalSpeeds, tenants...)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		during(f)
	}()
	l := f.runLoad(loadSpec{sources: sources, length: pressureLength, deadline: pressureDeadline})
	<-ended
	l.logOrganisations()
	isOther := func(t loadTry) bool { return t.organisation != bigOrganisation }
	others := l.figures(pressureTarget, isOther)
	f.c.Logf("others: %v", others)
	f.c.Logf("others after the first second: %v", l.figures(pressureTarget, func(t loadTry) bool {
		return isOther(t) && t.asked.Sub(l.started) >= time.Second
	}))
	f.checkShare("others within the target", share(others.inTime, others.asked), minOthers)
	f.checkShare("slots busy", l.checkEngines().busy, minBusy)
}

// TestOneOrganisationDoesNotDisplaceOthers guards against an organisation that takes the capacity
// of the others by asking for more than there is: at all daemons, at two of them, and while a
// daemon is killed.
func TestOneOrganisationDoesNotDisplaceOthers(t *testing.T) {
	t.Run("all daemons", func(t *testing.T) { checkOthersAreServed(t, allDaemons, func(*entryFleet) {}) })
	t.Run("two daemons", func(t *testing.T) { checkOthersAreServed(t, []int{0, 1}, func(*entryFleet) {}) })
	t.Run("daemon killed", func(t *testing.T) {
		checkOthersAreServed(t, allDaemons, func(f *entryFleet) {
			time.Sleep(pressureLength / 3)
			f.running[0].kill()
		})
	})
}

// TestUrgentWorkIsServedFirst guards against urgent requests that are late because of less urgent
// ones, and against slots that idle for their sake.
func TestUrgentWorkIsServedFirst(t *testing.T) {
	const urgent, lessUrgent = "urgent", "less-urgent"
	ranks := []int{0, 3}
	first, last := tenant(urgent), tenant(lessUrgent)
	first.Priority, last.Priority = &ranks[0], &ranks[1]
	f := newPressureFleet(t, equalSpeeds, first, last)
	l := f.runLoad(loadSpec{length: pressureLength, deadline: pressureDeadline, sources: []loadSource{
		{organisation: urgent, perSecond: pressureCapacity / 2, daemons: allDaemons},
		{organisation: lessUrgent, perSecond: 2.5 * pressureCapacity, daemons: allDaemons},
	}})
	l.logOrganisations()
	got := l.figures(pressureTarget, of(urgent))
	f.checkShare("urgent requests within the target", share(got.inTime, got.asked), minUrgent)
	f.checkShare("slots busy", l.checkEngines().busy, minBusy)
}

// TestEnginesOfDifferentSpeedsServeUnevenDemand guards against requests that wait at slow engines,
// or at the daemon that gets most of the demand, while fast engines have free slots.
func TestEnginesOfDifferentSpeedsServeUnevenDemand(t *testing.T) {
	f := newPressureFleet(t, []float64{0.4, 0.4, 1, 1, 2, 2}, tenant("org-1"))
	capacity := f.measuredCapacity()
	f.c.Logf("capacity: %.1f requests per second", capacity)
	// Two thirds of the callers use the first daemon.
	uneven := []int{0, 0, 0, 0, 0, 0, 1, 2, 3}
	l := f.runLoad(loadSpec{length: mixedLength, deadline: pressureDeadline, sources: []loadSource{
		{organisation: "org-1", perSecond: 0.95 * capacity, daemons: uneven},
	}})
	for i, d := range f.daemons {
		got := l.figures(mixedLimit, func(t loadTry) bool { return t.daemon == i })
		f.c.Logf("%s: %v", d.Name, got)
		f.checkShare("requests in time at "+d.Name, share(got.inTime, got.asked), minMixed)
	}
	l.checkEngines()
}

// measuredCapacity returns the number of requests per second that the engines can run on this
// machine now. Timers of a busy machine expire late: at 1.05 times the set run time, 95 in 100 of
// the nominal capacity is all that there is, and no order of the requests can serve them in time.
func (f *entryFleet) measuredCapacity() float64 {
	const runs = 5
	var mu sync.Mutex
	var all sync.WaitGroup
	capacity := 0.0
	for _, e := range f.engines {
		for range e.Spec.Slots {
			all.Go(func() {
				started := time.Now()
				for range runs {
					time.Sleep(e.Spec.RunTime())
				}
				mu.Lock()
				defer mu.Unlock()
				capacity += runs / time.Since(started).Seconds()
			})
		}
	}
	all.Wait()
	return capacity
}

// TestRefusedCallersReturnInTime guards against callers who return at the time they were given
// and are refused again, and against refusals that leave a caller no time to return.
func TestRefusedCallersReturnInTime(t *testing.T) {
	f := newPressureFleet(t, equalSpeeds, tenant("org-1"))
	l := f.runLoad(loadSpec{length: pressureLength, deadline: pressureDeadline, returns: maxReturns, sources: []loadSource{
		{organisation: "org-1", perSecond: 2 * pressureCapacity, daemons: allDaemons},
	}})
	all := l.figures(pressureTarget, func(loadTry) bool { return true })
	fresh := l.figures(pressureTarget, func(t loadTry) bool { return t.number == 0 })
	appointed := l.figures(pressureTarget, func(t loadTry) bool { return t.number > 0 && t.appointed })
	f.c.Logf("all tries: %v", all)
	f.c.Logf("new callers: %v", fresh)
	f.c.Logf("returning callers with an appointment: %v", appointed)
	f.c.Logf("other returning callers: %v", l.figures(pressureTarget, func(t loadTry) bool { return t.number > 0 && !t.appointed }))
	f.c.Check(appointed.asked > 0, qt.IsTrue, qt.Commentf("no caller got an appointment"))
	f.checkShare("returning callers with an appointment served", share(appointed.served(), appointed.asked), share(fresh.served(), fresh.asked))
	f.checkShare("tries that succeeded", share(all.served(), all.asked), minSucceeding)
	f.c.Check(all.slowestRefusal < maxRefusalTime, qt.IsTrue, qt.Commentf("a refusal took %v", all.slowestRefusal))
	l.checkEngines()
}
