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

// Kinds of steps. The first four are calls, the rest faults.
const (
	stepClaim = iota
	stepPin
	stepPinned
	stepBill
	stepCrash
	stepLinks
	stepOwners
	stepStore
	stepKinds
)

const (
	historyDaemons = 3
	historyKeys    = 4
)

// lossy runs a call whose result must not be touched after the caller left.
func lossy[T any](ctx context.Context, f *faultyStore, call func() (T, error)) (T, error) {
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

// history is what the callers of the ledger saw.
type history struct {
	mu         sync.Mutex
	ran        map[int]int
	versions   map[int]map[string]bool
	billed     map[int]bool // bill called, it may be in the store
	stored     map[int]bool // bill acknowledged as in the store
	copied     map[int]bool // bill acknowledged as copied
	crashes    int
	violations []string
}

func (h *history) note(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// run carries a schedule out in virtual time and returns what is wrong with
// the history.
type run struct {
	c       *cluster
	h       *history
	nodes   [historyDaemons]*node
	stores  [historyDaemons]*faultyStore
	rand    *rand.Rand
	started int
	t       *testing.T
}

func (r *run) name(i int) string { return fmt.Sprintf("d%d", i) }

func (r *run) startNode(i int) {
	r.started++
	seed := uint64(r.started)
	r.stores[i] = &faultyStore{Store: r.c.store, rand: rand.New(rand.NewPCG(seed, 7))}
	r.nodes[i] = r.c.start(r.t, r.name(i), func(cfg *Config) {
		cfg.Store = r.stores[i]
		cfg.Shards, cfg.Slots = 2, minSlots
		cfg.Rand = rand.New(rand.NewPCG(seed, 8))
	})
}

func (r *run) do(s step, request int) {
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
		r.stores[s.Daemon].gone = true
		r.stores[s.Daemon].mu.Unlock()
		r.c.crash(n)
		r.startNode(s.Daemon)
	case stepLinks:
		fates := []linkFate{{}, {cut: true}, {lose: true}, {delay: 300 * time.Millisecond}, {delay: 10 * time.Second}}
		fate := fates[s.Choice%len(fates)]
		r.c.setCall(func(from, to string) linkFate {
			if from == r.name(s.Daemon) || s.Choice%2 == 0 {
				return fate
			}
			return linkFate{}
		})
	case stepOwners:
		r.c.setOwner(func(asking, key string) string {
			if s.Choice%3 == 0 {
				return asking // all own everything
			}
			return r.name((int(key[len(key)-1]) + s.Choice) % historyDaemons)
		})
	case stepStore:
		r.stores[s.Daemon].mu.Lock()
		r.stores[s.Daemon].fault = []int{0, 10, 40, 100}[s.Choice%4]
		r.stores[s.Daemon].mu.Unlock()
	}
}

func (r *run) claim(n *node, key, choice int) {
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

func (r *run) sawVersion(key int, version string) {
	r.h.mu.Lock()
	defer r.h.mu.Unlock()
	if r.h.versions[key] == nil {
		r.h.versions[key] = make(map[string]bool)
	}
	r.h.versions[key][version] = true
}

func (r *run) pin(n *node, key int) {
	res, err := n.PinVersion(context.Background(), PinRequest{"org", fmt.Sprint("c", key), "v-" + n.name})
	if err == nil {
		r.sawVersion(key, res.Version)
	}
}

func (r *run) pinned(n *node, key int) {
	version, ok, err := n.PinnedVersion(context.Background(), "org", fmt.Sprint("c", key))
	if err == nil && ok {
		r.sawVersion(key, version)
	}
}

func (r *run) bill(n *node, id int) {
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

// heal ends all faults and lets the daemons finish.
func (r *run) heal() {
	r.c.setCall(nil)
	r.c.setOwner(func(string, string) string { return r.name(0) })
	for _, s := range r.stores {
		s.mu.Lock()
		s.fault = 0
		s.mu.Unlock()
	}
	time.Sleep(5 * time.Minute)
}

// check compares the history with the store.
func (r *run) check() {
	h := r.h
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, n := range h.ran {
		if n > 1 {
			h.note("claim k%d ran %d times", key, n)
		}
	}
	for key, versions := range h.versions {
		if len(versions) > 1 {
			h.note("conversation c%d had versions %v", key, versions)
		}
	}
	seen := billsInStore(r.t, r.c)
	for id := range h.billed {
		n := seen[fmt.Sprintf("r%d", id)]
		if n > 1 {
			h.note("bill r%d is in the store %d times", id, n)
		}
		if n == 0 && (h.stored[id] || h.copied[id] && h.crashes < 2) {
			h.note("bill r%d was acknowledged and is lost", id)
		}
	}
	totals, err := Totals(context.Background(), r.c.store)
	if err != nil {
		h.note("totals: %v", err)
	}
	for _, t := range totals {
		if int(t.Bills) != len(seen) {
			h.note("totals count %d bills, %d are in the store", t.Bills, len(seen))
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
		r := &run{c: newCluster(), h: h, t: t, rand: rand.New(rand.NewPCG(seed, 9))}
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
		r.heal()
		r.check()
		r.c.stop()
	})
	return h.violations
}

// Whatever crashes, pauses, cuts, delays, reordered and lost answers and
// disagreement about the preferred writer do, a claimed request runs at most
// once, a conversation has one version, a bill is recorded once, and nothing
// that was acknowledged is lost.
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
