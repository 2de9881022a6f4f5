package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// step is one action of a schedule.
type step struct {
	After  time.Duration
	Kind   int
	Daemon int
	Key    int
	Choice int
}

// Kinds of steps: the first four are calls, the others faults.
const (
	stepClaim = iota
	stepPin
	stepPinned
	stepBill
	stepCrash
	stepLinkFaults
	stepOwnerChange
	stepStoreFaults
	stepKinds
)

const (
	historyDaemons = 3
	historyKeys    = 4
)

// callWithFaults runs a call under f's faults. The result goes through a
// channel, since a delayed call may finish after the caller has returned.
func callWithFaults[T any](ctx context.Context, f *faultyStore, call func() (T, error)) (T, error) {
	type answer struct {
		v   T
		err error
	}
	got := make(chan answer, 1)
	if err := f.call(ctx, func() { v, err := call(); got <- answer{v, err} }); err != nil {
		var zero T
		return zero, err
	}
	a := <-got
	return a.v, a.err
}

// history records what the callers of the ledger observed.
type history struct {
	mu         sync.Mutex
	ran        map[int]int
	versions   map[int]map[string]bool
	billed     map[int]bool // Bill was called; the bill may be in the store
	stored     map[int]bool // acknowledged as DurabilityStore
	copied     map[int]bool // acknowledged as DurabilityCopied
	crashes    int
	violations []string
}

func (h *history) addViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// scheduleRun runs a schedule in virtual time and checks the history.
type scheduleRun struct {
	c       *cluster
	h       *history
	nodes   [historyDaemons]*node
	stores  [historyDaemons]*faultyStore
	rand    *rand.Rand
	started int
	t       *testing.T
}

func (r *scheduleRun) name(i int) string { return fmt.Sprintf("d%d", i) }

func (r *scheduleRun) startNode(i int) {
	r.started++
	seed := uint64(r.started)
	r.stores[i] = &faultyStore{Store: r.c.store, rand: rand.New(rand.NewPCG(seed, 7))}
	r.nodes[i] = r.c.start(r.t, r.name(i), func(cfg *Config) {
		cfg.Store = r.stores[i]
		cfg.Shards, cfg.Slots = 2, minSlots
		cfg.Rand = rand.New(rand.NewPCG(seed, 8))
	})
}

func (r *scheduleRun) do(s step, request int) {
	n := r.nodes[s.Daemon]
	switch s.Kind {
	case stepClaim:
		go r.claim(n, s.Key, s.Choice)
	case stepPin:
		go r.pin(n, s.Key)
	case stepPinned:
		go r.pinned(n, s.Key)
	case stepBill:
		go r.bill(n, request%historyKeys*10+s.Key)
	case stepCrash:
		r.h.mu.Lock()
		r.h.crashes++
		r.h.mu.Unlock()
		r.stores[s.Daemon].mu.Lock()
		r.stores[s.Daemon].crashed = true
		r.stores[s.Daemon].mu.Unlock()
		r.c.crash(n)
		r.startNode(s.Daemon)
	case stepLinkFaults:
		faults := []linkFault{{}, {cut: true}, {lose: true}, {delay: 300 * time.Millisecond}, {delay: 10 * time.Second}}
		fault := faults[s.Choice%len(faults)]
		r.c.setCall(func(from, to string) linkFault {
			if from == r.name(s.Daemon) || s.Choice%2 == 0 {
				return fault
			}
			return linkFault{}
		})
	case stepOwnerChange:
		r.c.setOwner(func(asking, key string) string {
			if s.Choice%3 == 0 {
				return asking // every daemon believes that it owns all shards
			}
			return r.name((int(key[len(key)-1]) + s.Choice) % historyDaemons)
		})
	case stepStoreFaults:
		r.stores[s.Daemon].mu.Lock()
		r.stores[s.Daemon].faultPercent = []int{0, 10, 40, 100}[s.Choice%4]
		r.stores[s.Daemon].mu.Unlock()
	}
}

func (r *scheduleRun) claim(n *node, key, choice int) {
	name := fmt.Sprint("k", key)
	res, err := n.Claim(context.Background(), claimRequest(name, "body"))
	if err != nil || !res.First {
		return
	}
	req := CompleteRequest{Organisation: "org", Key: name, Ticket: res.Ticket, State: StateNotRun}
	if choice%3 > 0 {
		r.h.mu.Lock()
		r.h.ran[key]++
		r.h.mu.Unlock()
		req.State = StateDone
		req.Outcome = NewOutcome(200, "", "v", []byte("ok"))
	}
	n.CompleteClaim(context.Background(), req)
}

func (r *scheduleRun) sawVersion(key int, version string) {
	r.h.mu.Lock()
	defer r.h.mu.Unlock()
	if r.h.versions[key] == nil {
		r.h.versions[key] = make(map[string]bool)
	}
	r.h.versions[key][version] = true
}

func (r *scheduleRun) pin(n *node, key int) {
	res, err := n.PinVersion(context.Background(), PinRequest{"org", fmt.Sprint("c", key), "v-" + n.name})
	if err == nil {
		r.sawVersion(key, res.Version)
	}
}

func (r *scheduleRun) pinned(n *node, key int) {
	version, ok, err := n.PinnedVersion(context.Background(), "org", fmt.Sprint("c", key))
	if err == nil && ok {
		r.sawVersion(key, version)
	}
}

func (r *scheduleRun) bill(n *node, id int) {
	r.h.mu.Lock()
	r.h.billed[id] = true
	r.h.mu.Unlock()
	d, err := n.Bill(context.Background(), billNumber(id))
	if err != nil {
		return
	}
	r.h.mu.Lock()
	defer r.h.mu.Unlock()
	switch d {
	case DurabilityStore:
		r.h.stored[id] = true
	case DurabilityCopied:
		r.h.copied[id] = true
	}
}

// endFaults ends all faults and waits until the daemons have recovered.
func (r *scheduleRun) endFaults() {
	r.c.setCall(nil)
	r.c.setOwner(func(string, string) string { return r.name(0) })
	for _, s := range r.stores {
		s.mu.Lock()
		s.faultPercent = 0
		s.mu.Unlock()
	}
	time.Sleep(5 * time.Minute)
}

// check adds the violations that show when the history is compared with the
// store.
func (r *scheduleRun) check() {
	h := r.h
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, n := range h.ran {
		if n > 1 {
			h.addViolation("claim k%d ran %d times", key, n)
		}
	}
	for key, versions := range h.versions {
		if len(versions) > 1 {
			h.addViolation("conversation c%d had versions %v", key, versions)
		}
	}
	seen := billsInStore(r.t, r.c)
	for id := range h.billed {
		n := seen[fmt.Sprintf("r%d", id)]
		if n > 1 {
			h.addViolation("bill r%d is in the store %d times", id, n)
		}
		if n == 0 && (h.stored[id] || h.copied[id] && h.crashes < 2) {
			h.addViolation("bill r%d was acknowledged and is lost", id)
		}
	}
	totals, err := Totals(context.Background(), r.c.store)
	if err != nil {
		h.addViolation("totals: %v", err)
	}
	for _, t := range totals {
		if int(t.Bills) != len(seen) {
			h.addViolation("totals count %d bills, %d are in the store", t.Bills, len(seen))
		}
	}
}

func runSchedule(t *testing.T, steps []step, seed uint64) []string {
	h := &history{
		ran:      make(map[int]int),
		versions: make(map[int]map[string]bool),
		billed:   make(map[int]bool),
		stored:   make(map[int]bool),
		copied:   make(map[int]bool),
	}
	synctest.Test(t, func(t *testing.T) {
		r := &scheduleRun{c: newCluster(), h: h, t: t, rand: rand.New(rand.NewPCG(seed, 9))}
		for i := range r.nodes {
			for j := range r.nodes {
				if i != j {
					r.c.holders[r.name(i)] = append(r.c.holders[r.name(i)], r.name(j))
				}
			}
			r.startNode(i)
		}
		for i, s := range steps {
			time.Sleep(s.After)
			r.do(s, i)
		}
		r.endFaults()
		r.check()
		r.c.stop()
	})
	return h.violations
}

// Under crashes, link faults, store faults and disagreement about the preferred
// writer, a claimed request runs at most once, a conversation has one version,
// each bill is recorded once, and no acknowledged record is lost.
func TestHistoriesUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				After:  time.Duration(rapid.IntRange(0, 700).Draw(rt, "after")) * time.Millisecond,
				Kind:   rapid.IntRange(0, stepKinds-1).Draw(rt, "kind"),
				Daemon: rapid.IntRange(0, historyDaemons-1).Draw(rt, "daemon"),
				Key:    rapid.IntRange(0, historyKeys-1).Draw(rt, "key"),
				Choice: rapid.IntRange(0, 11).Draw(rt, "choice"),
			}
		}), 20, 120).Draw(rt, "steps")
		if bad := runSchedule(t, steps, 1); len(bad) > 0 {
			rt.Fatalf("%v", bad)
		}
	})
	qt.Assert(t, t.Failed(), qt.IsFalse)
}
