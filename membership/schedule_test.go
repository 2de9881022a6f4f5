package membership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// step is one event of a generated schedule.
type step struct {
	kind  string
	a, b  int
	pause time.Duration
}

var stepKinds = []string{
	"crash", "restart", "pause", "resume", "cut", "heal", "publish", "leave",
	"host-leaves", "host-removed", "host-added", "list-lags", "list-fails",
}

func drawSchedule(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:  rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			a:     rapid.IntRange(0, 5).Draw(t, "a"),
			b:     rapid.IntRange(0, 5).Draw(t, "b"),
			pause: time.Duration(rapid.IntRange(1, 4000).Draw(t, "pause_ms")) * time.Millisecond,
		}
	}), 5, 25).Draw(t, "schedule")
}

// fakeHostList is a host list that may return an older revision.
type fakeHostList struct {
	mu      sync.Mutex
	history []Hosts
	lag     int
	fails   bool
}

func newFakeHostList(n int) *fakeHostList {
	list := Hosts{Revision: 1}
	for i := range n {
		list.Hosts = append(list.Hosts, Host{Name: fmt.Sprintf("backend-%d", i), DataCentre: "x", Revision: 1})
	}
	return &fakeHostList{history: []Hosts{list}}
}

// Hosts implements HostList. It returns the revision that is lag revisions behind the newest.
func (f *fakeHostList) Hosts(_ context.Context, known uint64) (Hosts, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fails {
		return Hosts{}, false, errors.New("host list down")
	}
	list := f.history[max(0, len(f.history)-1-f.lag)]
	return list, list.Revision != known, nil
}

// edit appends a revision.
func (f *fakeHostList) edit(change func(hosts []Host, revision uint64) []Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.history[len(f.history)-1]
	revision := last.Revision + 1
	f.history = append(f.history, Hosts{Revision: revision, Hosts: change(slices.Clone(last.Hosts), revision)})
}

func (f *fakeHostList) set(lag int, fails bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag, f.fails = lag, fails
}

func (f *fakeHostList) newest() Hosts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history[len(f.history)-1]
}

func hostIndex(hosts []Host, name string) int {
	return slices.IndexFunc(hosts, func(h Host) bool { return h.Name == name })
}

// scheduleRun runs a schedule and collects the violations that it finds.
type scheduleRun struct {
	t       *testing.T
	net     *network
	list    *fakeHostList
	left    map[string]bool
	cuts    map[[2]string]bool
	version uint64
	random  *rand.Rand

	mu         sync.Mutex
	violations []string
}

func (w *scheduleRun) addViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *scheduleRun) name(i int) string { return fmt.Sprintf("entry-%d", i) }

// start starts a daemon and checks that the version of no key decreases in its table.
func (w *scheduleRun) start(i int) {
	centre := []string{"hall-centro", "hall-porto"}[i%2]
	m := w.net.start(w.t, w.name(i), centre, w.list, "entry-0", "entry-1", "entry-2")
	seen := make(map[string]uint64)
	m.Table().Subscribe("", func(key string, version uint64, _ []byte) {
		if version < seen[key] && version != 0 {
			w.addViolation("%s saw %s go back from %d to %d", w.name(i), key, seen[key], version)
		}
		seen[key] = max(seen[key], version)
	})
}

func (w *scheduleRun) up(name string) bool {
	w.net.mu.Lock()
	defer w.net.mu.Unlock()
	return !w.net.down[name]
}

func (w *scheduleRun) daemon(name string) *Membership {
	w.net.mu.Lock()
	defer w.net.mu.Unlock()
	return w.net.daemons[name]
}

func (w *scheduleRun) apply(s step) {
	a, b := w.name(s.a), w.name(s.b)
	backend := fmt.Sprintf("backend-%d", s.a)
	switch s.kind {
	case "crash":
		if w.up(a) {
			w.net.crash(a)
		}
	case "restart":
		if !w.up(a) {
			w.start(s.a)
			delete(w.left, a)
		}
	case "pause", "resume":
		w.net.setPaused(a, s.kind == "pause")
	case "cut":
		if a != b {
			w.cuts[[2]string{a, b}] = true
			w.net.setCut(a, b, true)
		}
	case "heal":
		w.net.setCut(a, b, false)
	case "publish":
		if w.up(a) {
			w.version++
			_ = w.daemon(a).Table().Publish(fmt.Sprint("test/", s.b), w.version, []byte(a))
		}
	case "leave":
		if w.up(a) && !w.left[a] {
			w.daemon(a).Leave()
			w.left[a] = true
		}
	default:
		w.applyHost(s.kind, backend, s.b)
	}
}

func (w *scheduleRun) applyHost(kind, backend string, lag int) {
	switch kind {
	case "host-leaves":
		w.list.edit(func(hosts []Host, revision uint64) []Host {
			if i := hostIndex(hosts, backend); i >= 0 {
				hosts[i].Leaving, hosts[i].Revision = true, revision
			}
			return hosts
		})
	case "host-removed":
		w.list.edit(func(hosts []Host, _ uint64) []Host {
			return slices.DeleteFunc(hosts, func(h Host) bool { return h.Name == backend })
		})
	case "host-added":
		w.list.edit(func(hosts []Host, revision uint64) []Host {
			if hostIndex(hosts, backend) >= 0 {
				return hosts
			}
			return append(hosts, Host{Name: backend, DataCentre: "x", Revision: revision})
		})
	case "list-lags":
		w.list.set(lag, false)
	case "list-fails":
		w.list.set(0, true)
	}
}

// checkAlways checks the invariants that must hold at any time.
func (w *scheduleRun) checkAlways() {
	for i := range 6 {
		m := w.daemon(w.name(i))
		if m == nil || !w.up(w.name(i)) {
			continue
		}
		addresses, ttl := m.Entries("hall-centro", w.random)
		if ttl < minEntriesTTL || ttl > maxEntriesTTL {
			w.addViolation("entry addresses may be cached for %v", ttl)
		}
		for _, address := range addresses {
			member, _ := m.View().Member(address)
			if member.State != Live {
				w.addViolation("%s names %s, which is %v", w.name(i), address, member.State)
			}
			if address == w.name(i) && w.left[address] {
				w.addViolation("%s names itself while leaving", address)
			}
		}
	}
}

// settle ends all failures and waits until the fleet has converged.
func (w *scheduleRun) settle() {
	for cut := range w.cuts {
		w.net.setCut(cut[0], cut[1], false)
	}
	for i := range 6 {
		w.net.setPaused(w.name(i), false)
	}
	w.list.set(0, false)
	time.Sleep(refutedRetryAfter + 30*time.Second)
}

// checkSettled checks that all running daemons agree with each other and with the host list.
func (w *scheduleRun) checkSettled() {
	var first *Membership
	running, live := 0, 0
	for i := range 6 {
		if w.up(w.name(i)) {
			running++
			if !w.left[w.name(i)] {
				live++
			}
		}
	}
	newest := w.list.newest()
	for i := range 6 {
		name := w.name(i)
		if !w.up(name) {
			continue
		}
		m := w.daemon(name)
		if first == nil {
			first = m
		}
		if m.Table().Digest() != first.Table().Digest() {
			w.addViolation("%s and %s hold different tables", name, first.options.Self.Name)
		}
		if m.View().Live() != live {
			w.addViolation("%s sees %d live of %d: %+v", name, m.View().Live(), live, m.View().Members)
		}
		if live > 0 {
			w.checkHosts(m, newest)
		}
	}
}

func (w *scheduleRun) checkHosts(m *Membership, newest Hosts) {
	for i := range 6 {
		name := fmt.Sprint("backend-", i)
		listed := hostIndex(newest.Hosts, name)
		want := listed < 0 || newest.Hosts[listed].Leaving
		if got := m.BackendLeaving(name); got != want {
			w.addViolation("%s says leaving=%v of %s, the list %v", m.options.Self.Name, got, name, want)
		}
	}
}

func runSchedule(t *testing.T, steps []step) []string {
	var violations []string
	synctest.Test(t, func(t *testing.T) {
		w := &scheduleRun{
			t:      t,
			net:    newNetwork(20 * time.Millisecond),
			list:   newFakeHostList(6),
			left:   make(map[string]bool),
			cuts:   make(map[[2]string]bool),
			random: rand.New(rand.NewPCG(5, 6)),
		}
		for i := range 6 {
			w.start(i)
		}
		time.Sleep(joinTime)
		for _, s := range steps {
			w.apply(s)
			time.Sleep(s.pause)
			w.checkAlways()
		}
		w.settle()
		w.checkSettled()
		w.net.stopAll()
		violations = w.violations
	})
	return violations
}

func TestFleetConvergesAfterAnySchedule(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		if violations := runSchedule(t, drawSchedule(r)); len(violations) > 0 {
			r.Fatalf("%d violations, the first: %v", len(violations), violations[0])
		}
	})
}
