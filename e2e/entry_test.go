package e2e

import (
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

// entryFleet is a fleet of entry daemons with an emulated platform.
type entryFleet struct {
	c       *qt.C
	store   *emulator.Store
	address string
	record  *emulator.Record
	engines []*emulator.Engine
	daemons []emulator.Daemon
	running []*process
	bounds  emulator.Bounds
	folder  string

	mu   sync.Mutex
	next int
}

// defaultBounds are the bounds of a small deployment.
var defaultBounds = emulator.Bounds{
	GraceS: 4, RetryRatio: 0.9, RetryWindowS: 10, RetrySlack: 50, ExposureShare: 0.15, SessionS: 5, TTLMaxS: 5,
	ColdOverage: 1.5, ColdSlack: 5,
}

// newEntryFleet starts the platform, engines of the services desk and llm, and n daemons, and
// waits until the daemons are ready.
func newEntryFleet(t *testing.T, n, desk, llm int, bounds emulator.Bounds) *entryFleet {
	f := &entryFleet{c: qt.New(t), store: emulator.NewStore(), record: &emulator.Record{}, bounds: bounds, folder: t.TempDir()}
	var err error
	f.address, err = f.store.Start()
	f.c.Assert(err, qt.IsNil)
	t.Cleanup(f.store.Close)
	_, err = f.store.Put("config", "main", emulator.Config(1))
	f.c.Assert(err, qt.IsNil)
	for i := range desk {
		f.startEngine(t, emulator.EngineSpec{ID: fmt.Sprintf("desk-%d", i), Service: "desk", Zone: zoneOf(i), Version: "v1", Slots: 6})
	}
	for i := range llm {
		f.startEngine(t, emulator.EngineSpec{ID: fmt.Sprintf("llm-%d", i), Service: "llm", Zone: zoneOf(i), Version: "v1", Slots: 32, Events: 20, EventGap: 20 * time.Millisecond})
	}
	f.addDaemons(n)
	return f
}

// addDaemons starts n daemons and waits until they are ready.
func (f *entryFleet) addDaemons(n int) {
	first := len(f.daemons)
	for i := first; i < first+n; i++ {
		d, err := emulator.NewDaemon(fmt.Sprintf("entry-%d", i), zoneOf(i))
		f.c.Assert(err, qt.IsNil)
		f.daemons = append(f.daemons, d)
	}
	for i := first; i < first+n; i++ {
		f.running = append(f.running, f.startDaemon(i))
	}
	for i := first; i < first+n; i++ {
		f.waitReady(i)
	}
}

func zoneOf(i int) string { return fmt.Sprintf("hall-%d", i%3) }

// startEngine starts an engine that runs until the end of the test.
func (f *entryFleet) startEngine(t *testing.T, spec emulator.EngineSpec) *emulator.Engine {
	e, err := emulator.StartEngine(f.store, f.record, spec)
	f.c.Assert(err, qt.IsNil)
	t.Cleanup(e.Crash)
	f.engines = append(f.engines, e)
	return e
}

// startDaemon writes the settings file of a daemon and starts it.
func (f *entryFleet) startDaemon(i int) *process {
	var seeds []string
	for _, d := range f.daemons[:min(3, len(f.daemons))] {
		seeds = append(seeds, d.Control)
	}
	path := filepath.Join(f.folder, f.daemons[i].Name+".yaml")
	f.c.Assert(f.daemons[i].WriteSettings(path, f.address, seeds, f.bounds), qt.IsNil)
	return startProcess(f.c, f.daemons[i].Name, "bronzeturn-entry", "--settings", path)
}

// eventually waits until a condition holds.
func (f *entryFleet) eventually(what string, holds func() bool) {
	deadline := time.Now().Add(waitLimit)
	for !holds() {
		if time.Now().After(deadline) {
			f.c.Fatalf("not within %v: %s", waitLimit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *entryFleet) waitReady(i int) {
	f.eventually("daemon ready", func() bool { return emulator.IsReady(f.daemons[i].Ready) })
}

// entryReply is the answer to a request, as its caller received it.
type entryReply struct {
	id, body string
	status   int
	err      error
}

// send sends a request to a daemon on a new connection.
func (f *entryFleet) send(daemon int, method, target string, headers ...string) entryReply {
	return f.sendBody(daemon, method, target, "body", headers...)
}

// sendBody sends a request with a body to a daemon on a new connection. Headers are pairs of
// name and value.
func (f *entryFleet) sendBody(daemon int, method, target, body string, headers ...string) entryReply {
	req, id := f.newRequest(daemon, method, target, body, headers...)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return entryReply{id: id, err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return entryReply{id: id, body: string(data), status: resp.StatusCode, err: err}
}

// newRequest returns a request to a daemon that closes its connection, and its id.
func (f *entryFleet) newRequest(daemon int, method, target, body string, headers ...string) (*http.Request, string) {
	f.mu.Lock()
	f.next++
	id := fmt.Sprintf("e-%d", f.next)
	f.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+f.daemons[daemon].Front+target, strings.NewReader(body))
	f.c.Check(err, qt.IsNil)
	req.Host, req.Close = emulator.Host, true
	req.Header.Set("Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+emulator.Key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return req, id
}

// postStream sends a request for a stream.
func (f *entryFleet) postStream(daemon int) entryReply {
	return f.send(daemon, http.MethodPost, "/stream/x", emulator.TokensHeader, "100,100")
}

// postStreamBody sends a request with a body for a stream.
func (f *entryFleet) postStreamBody(daemon int, body string) entryReply {
	return f.sendBody(daemon, http.MethodPost, "/stream/x", body, emulator.TokensHeader, "100,100")
}

// expectedStream returns the complete stream that answers a request.
func expectedStream(id string, events int) string {
	var all strings.Builder
	for n := 1; n <= events; n++ {
		all.WriteString(emulator.EventText(id, n))
	}
	return all.String()
}

func TestEntryFleetServesEveryKind(t *testing.T) {
	f := newEntryFleet(t, 3, 2, 2, defaultBounds)
	for i := range f.daemons {
		once := f.send(i, http.MethodPost, "/once/x")
		f.c.Check(once.body, qt.Equals, emulator.AnswerBody(once.id, []byte("body")))
		f.c.Check(f.send(i, http.MethodGet, "/safe/x").status, qt.Equals, http.StatusOK)
		s := f.postStream(i)
		f.c.Check(s.err, qt.IsNil)
		f.c.Check(s.body, qt.Equals, expectedStream(s.id, 20))
	}
	f.eventually("all addresses named", func() bool {
		list, err := emulator.Resolve(f.daemons[0].Directory)
		return err == nil && len(list) == 3
	})
}

// TestEntryFleetOfAnotherSize runs a single daemon with bounds other than the default ones.
func TestEntryFleetOfAnotherSize(t *testing.T) {
	f := newEntryFleet(t, 1, 1, 1, emulator.Bounds{GraceS: 2, RetryRatio: 0.1, RetryWindowS: 3, RetrySlack: 2, ExposureShare: 0.04, SessionS: 1, TTLMaxS: 0.4})
	f.c.Check(f.send(0, http.MethodPost, "/once/x").status, qt.Equals, http.StatusOK)
	s := f.postStream(0)
	f.c.Check(s.body, qt.Equals, expectedStream(s.id, 20))
}

func TestConfigurationComesIntoForceAndStays(t *testing.T) {
	f := newEntryFleet(t, 3, 1, 1, defaultBounds)
	next := emulator.Config(2)
	next.Tenants[0].APIKeys = []string{"key-2"}
	_, err := f.store.Put("config", "main", next)
	f.c.Assert(err, qt.IsNil)
	for i := range f.daemons {
		f.eventually("new key in force", func() bool {
			return f.send(i, http.MethodGet, "/safe/x", "Authorization", "Bearer key-2").status == http.StatusOK
		})
		f.c.Check(f.send(i, http.MethodGet, "/safe/x").status, qt.Equals, http.StatusUnauthorized)
	}
	// An invalid configuration is refused as a whole.
	_, err = f.store.Put("config", "main", emulator.ConfigDoc{Version: 3, Routes: []emulator.RouteDoc{{PathPrefix: "none"}}})
	f.c.Assert(err, qt.IsNil)
	f.running[0].waitLine(f.c, "refusal of the configuration", func(line string) bool { return strings.Contains(line, "configuration refused") })
	f.c.Check(f.send(0, http.MethodGet, "/safe/x", "Authorization", "Bearer key-2").status, qt.Equals, http.StatusOK)
}

// countRunsIn sends n requests to each daemon and counts those that ran in a data centre.
func (f *entryFleet) countRunsIn(zone string, n int) (count int) {
	before := len(f.record.Runs(""))
	for range n {
		for i := range f.daemons {
			f.c.Check(f.send(i, http.MethodPost, "/once/x").status, qt.Equals, http.StatusOK)
		}
	}
	zones := make(map[string]string)
	for _, e := range f.engines {
		zones[e.Spec.ID] = e.Spec.Zone
	}
	for _, run := range f.record.Runs("")[before:] {
		if zones[run.Engine] == zone {
			count++
		}
	}
	return count
}

// TestEvacuatedDataCentreGetsNoNewRequests evacuates a data centre, restarts a daemon while the
// store is down, and ends the evacuation.
func TestEvacuatedDataCentreGetsNoNewRequests(t *testing.T) {
	f := newEntryFleet(t, 3, 6, 1, defaultBounds)
	zone := zoneOf(1)
	f.c.Check(f.countRunsIn(zone, 6) > 0, qt.IsTrue)
	f.c.Assert(f.store.Evacuate(zone), qt.IsNil)
	f.eventually("no new requests in the data centre", func() bool { return f.countRunsIn(zone, 4) == 0 })
	f.c.Check(f.countRunsIn(zone, 6), qt.Equals, 0)

	f.store.SetFaults(emulator.StoreFaults{Refuse: true})
	f.running[2].kill()
	f.running[2] = f.startDaemon(2)
	f.waitReady(2)
	f.c.Check(f.countRunsIn(zone, 6), qt.Equals, 0, qt.Commentf("a daemon that starts in an outage knows of the evacuation"))
	f.store.SetFaults(emulator.StoreFaults{})

	f.store.EndEvacuation(zone)
	f.eventually("requests in the data centre again", func() bool { return f.countRunsIn(zone, 4) > 0 })
}

// TestColdEngineStaysWithinItsRequestBound guards against overload of an engine that has just
// started: all daemons see it idle at the same time, next to a busy engine.
func TestColdEngineStaysWithinItsRequestBound(t *testing.T) {
	f := newEntryFleet(t, 3, 1, 1, defaultBounds)
	time.Sleep(2500 * time.Millisecond) // Time for the daemons to learn about the fleet.
	cold := f.startEngine(t, emulator.EngineSpec{ID: "desk-cold", Service: "desk", Zone: zoneOf(0), Version: "v1", Slots: 6, ColdFor: 2 * time.Second})
	var senders sync.WaitGroup
	for i := range 9 {
		senders.Go(func() {
			for time.Now().Before(cold.ColdUntil().Add(time.Second)) {
				f.send(i%3, http.MethodPost, "/once/x")
			}
		})
	}
	senders.Wait()
	var whileCold, onceWarm []time.Time
	for _, run := range f.record.Runs("") {
		switch {
		case run.Engine != cold.Spec.ID:
		case run.At.Before(cold.ColdUntil()):
			whileCold = append(whileCold, run.At)
		default:
			onceWarm = append(onceWarm, run.At)
		}
	}
	f.c.Check(len(whileCold) <= 2*defaultBounds.MaxColdRequests(), qt.IsTrue, qt.Commentf("%d requests in two seconds", len(whileCold)))
	f.c.Check(len(onceWarm) > 2*defaultBounds.MaxColdRequests(), qt.IsTrue, qt.Commentf("%d requests in a second when it was warm", len(onceWarm)))
}

// TestDrainingAndVanishedEnginesGetNoNewRequests expects requests only at the engine that is
// neither draining nor gone from the registrations.
func TestDrainingAndVanishedEnginesGetNoNewRequests(t *testing.T) {
	f := newEntryFleet(t, 3, 3, 1, defaultBounds)
	f.c.Assert(f.engines[0].Register("draining"), qt.IsNil)
	f.engines[1].Deregister()
	f.eventually("both engines skipped", func() bool {
		before := len(f.record.Runs(""))
		for i := range 9 {
			f.send(i%3, http.MethodPost, "/once/x")
		}
		for _, run := range f.record.Runs("")[before:] {
			if run.Engine != "desk-2" {
				return false
			}
		}
		return true
	})
}

// TestStoreOutageDoesNotInterruptService restarts a daemon while the store is down. The daemon
// must get the configuration from the other daemons.
func TestStoreOutageDoesNotInterruptService(t *testing.T) {
	f := newEntryFleet(t, 3, 1, 1, defaultBounds)
	f.store.SetFaults(emulator.StoreFaults{Refuse: true})
	f.c.Check(f.send(1, http.MethodPost, "/once/x").status, qt.Equals, http.StatusOK)
	f.running[0].kill()
	f.running[0] = f.startDaemon(0)
	f.waitReady(0)
	f.c.Check(f.send(0, http.MethodPost, "/once/x").status, qt.Equals, http.StatusOK)
	f.store.SetFaults(emulator.StoreFaults{})
	_, err := f.store.Put("config", "main", map[string]any{"version": 9, "routes": []any{}})
	f.c.Assert(err, qt.IsNil)
	for i := range f.daemons {
		f.eventually("configuration change after the outage", func() bool {
			return f.send(i, http.MethodPost, "/once/x").status == http.StatusNotFound
		})
	}
}

// TestGracefulStopCompletesStreams stops a daemon by SIGTERM while streams are running.
func TestGracefulStopCompletesStreams(t *testing.T) {
	f := newEntryFleet(t, 2, 1, 2, defaultBounds)
	replies := make(chan entryReply, 10)
	for range 10 {
		go func() { replies <- f.postStream(0) }()
	}
	f.eventually("streams running", func() bool { return len(f.record.Runs("")) >= 10 })
	f.c.Assert(f.running[0].cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	f.eventually("not ready", func() bool { return !emulator.IsReady(f.daemons[0].Ready) })
	late := f.send(0, http.MethodPost, "/once/x")
	f.c.Check(late.status, qt.Equals, http.StatusOK)
	for range 10 {
		r := <-replies
		f.c.Check(r.err, qt.IsNil)
		f.c.Check(r.body, qt.Equals, expectedStream(r.id, 20))
	}
	f.c.Check(f.running[0].waitExit(f.c), qt.Equals, 0)
	list, err := emulator.Resolve(f.daemons[1].Directory)
	f.c.Assert(err, qt.IsNil)
	f.c.Check(list, qt.DeepEquals, []string{f.daemons[1].Front})
}

// TestSettingsAreReloaded changes the settings file without a signal, and then to an invalid
// one with SIGHUP.
func TestSettingsAreReloaded(t *testing.T) {
	f := newEntryFleet(t, 1, 1, 1, defaultBounds)
	path := filepath.Join(f.folder, f.daemons[0].Name+".yaml")
	f.bounds.GraceS = 3
	f.c.Assert(f.daemons[0].WriteSettings(path, f.address, nil, f.bounds), qt.IsNil)
	f.running[0].waitLine(f.c, "reload", func(line string) bool { return strings.Contains(line, `"stop_grace_ms":3000`) })
	f.bounds.GraceS = 0
	f.c.Assert(f.daemons[0].WriteSettings(path, f.address, nil, f.bounds), qt.IsNil)
	f.c.Assert(f.running[0].cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	f.running[0].waitLine(f.c, "refusal", func(line string) bool { return strings.Contains(line, "settings refused") })
	f.c.Check(f.send(0, http.MethodPost, "/once/x").status, qt.Equals, http.StatusOK)
}

// introduceDeskVersion starts engines of a new version of the service desk and orders its
// introduction. It sends requests until the introduction has a final state, and returns the state.
func (f *entryFleet) introduceDeskVersion(t *testing.T, faults emulator.EngineFaults) string {
	for i := range 2 {
		e := f.startEngine(t, emulator.EngineSpec{ID: fmt.Sprintf("new-%d", i), Service: "desk", Zone: zoneOf(i), Version: "v2", Slots: 6})
		e.SetFaults(faults)
	}
	_, err := f.store.Put("rollouts", "desk", emulator.OrderDoc{Service: "desk", Target: "v2", DurationS: 8})
	f.c.Assert(err, qt.IsNil)
	state := ""
	f.eventually("final state", func() bool {
		for i := range 12 {
			f.send(i%len(f.daemons), http.MethodPost, "/once/x")
		}
		o, ok := f.store.Get("rollouts", "desk")
		state = string(o.Status)
		return ok && (strings.Contains(state, "done") || strings.Contains(state, "rolled"))
	})
	return state
}

// runsOnNewVersion sends requests and counts those that ran on the new version.
func (f *entryFleet) runsOnNewVersion(requests int) int {
	before := len(f.record.Runs(""))
	for i := range requests {
		f.send(i%len(f.daemons), http.MethodPost, "/once/x")
	}
	n := 0
	for _, run := range f.record.Runs("")[before:] {
		if strings.HasPrefix(run.Engine, "new-") {
			n++
		}
	}
	return n
}

func TestGoodVersionReplacesTheOldOne(t *testing.T) {
	f := newEntryFleet(t, 3, 2, 1, defaultBounds)
	state := f.introduceDeskVersion(t, emulator.EngineFaults{})
	f.c.Check(state, qt.Equals, `{"state":"done","target":"v2"}`)
	f.eventually("all on the new version", func() bool { return f.runsOnNewVersion(12) == 12 })
}

func TestBadVersionIsRolledBack(t *testing.T) {
	f := newEntryFleet(t, 3, 2, 1, defaultBounds)
	state := f.introduceDeskVersion(t, emulator.EngineFaults{Fail: true})
	f.c.Check(strings.Contains(state, "rolled"), qt.IsTrue)
	f.eventually("none on the new version", func() bool { return f.runsOnNewVersion(12) == 0 })
	bad := 0
	for _, run := range f.record.Runs("") {
		if strings.HasPrefix(run.Engine, "new-") {
			bad++
		}
	}
	f.c.Check(bad < 50, qt.IsTrue, qt.Commentf("%d requests ran on the bad version", bad))
}

// TestNoRequestRunsOnceAllKeysAreTakenAway guards against a configuration without a key that lets
// everybody in.
func TestNoRequestRunsOnceAllKeysAreTakenAway(t *testing.T) {
	f := newEntryFleet(t, 2, 1, 1, defaultBounds)
	f.c.Assert(f.send(0, http.MethodPost, "/once/x").status, qt.Equals, http.StatusOK)
	_, err := f.store.Put("config", "main", emulator.Config(2).WithTenants(emulator.TenantDoc{Name: "org-1"}, emulator.TenantDoc{Name: "org-2", APIKeys: []string{}}))
	f.c.Assert(err, qt.IsNil)
	for i := range f.daemons {
		f.eventually("no key in force", func() bool { return f.send(i, http.MethodPost, "/once/x").status == http.StatusUnauthorized })
		f.refusesAllKeys(i, http.StatusUnauthorized)
	}
}

// refusesAllKeys checks that a daemon refuses requests of every kind, with and without a key, with one of
// the statuses.
func (f *entryFleet) refusesAllKeys(daemon int, statuses ...int) {
	for _, key := range []string{"Bearer " + emulator.Key, "Bearer unknown", "Bearer ", ""} {
		for _, target := range []string{"/once/x", "/safe/x", "/stream/x"} {
			r := f.send(daemon, http.MethodPost, target, "Authorization", key, emulator.TokensHeader, "100,100")
			f.c.Check(slices.Contains(statuses, r.status), qt.IsTrue, qt.Commentf("daemon %d, %s with %q: status %d", daemon, target, key, r.status))
			f.c.Check(f.record.Runs(r.id), qt.HasLen, 0)
		}
	}
}

// TestNoRequestRunsOnceTheLastOrganisationIsRemoved guards against an empty list of organisations
// that lets everybody in, also at daemons that get the configuration from another daemon.
func TestNoRequestRunsOnceTheLastOrganisationIsRemoved(t *testing.T) {
	for name, tenants := range map[string][]emulator.TenantDoc{"empty": {}, "null": nil} {
		t.Run(name, func(t *testing.T) {
			f := newEntryFleet(t, 3, 1, 1, defaultBounds)
			f.c.Assert(f.send(0, http.MethodPost, "/once/x").status, qt.Equals, http.StatusOK)
			_, err := f.store.Put("config", "main", emulator.Config(2).WithTenants(tenants...))
			f.c.Assert(err, qt.IsNil)
			for i := range f.daemons {
				f.running[i].waitLine(f.c, "version 2 in force", func(line string) bool {
					return strings.Contains(line, "configuration in force") && strings.Contains(line, `"version":2`)
				})
				f.refusesAllKeys(i, http.StatusUnauthorized)
			}
			f.store.SetFaults(emulator.StoreFaults{Refuse: true})
			f.running[2].kill()
			f.running[2] = f.startDaemon(2)
			f.waitReady(2)
			// In an outage it may doubt its copy, and then promises that nothing has run.
			f.refusesAllKeys(2, http.StatusUnauthorized, http.StatusServiceUnavailable)
		})
	}
}

// TestEmptyKeyOfAnOrganisationLetsNobodyIn guards against an empty key in the list of an organisation
// that lets in requests without any.
func TestEmptyKeyOfAnOrganisationLetsNobodyIn(t *testing.T) {
	f := newEntryFleet(t, 1, 1, 1, defaultBounds)
	_, err := f.store.Put("config", "main", emulator.Config(2).WithTenants(emulator.TenantDoc{Name: "org-1", APIKeys: []string{"", "key-2"}}))
	f.c.Assert(err, qt.IsNil)
	f.eventually("new key in force", func() bool {
		return f.send(0, http.MethodGet, "/safe/x", "Authorization", "Bearer key-2").status == http.StatusOK
	})
	f.refusesAllKeys(0, http.StatusUnauthorized)
}
