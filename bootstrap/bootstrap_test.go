package bootstrap

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
)

// daemon records the addresses that its registrar found.
type daemon struct {
	name  string
	mu    sync.Mutex
	found map[string]bool
	stop  context.CancelFunc
	*Registrar
}

// start runs a registrar whose IsLive function is live.
func start(store *memstore.Store, number int, live func(string) bool) *daemon {
	d := &daemon{name: fmt.Sprintf("entry-%d", number), found: make(map[string]bool)}
	r := New(Options{
		Store: store,
		Self:  &bronzeturnv1.Seed{Name: d.name, PeerAddress: d.name + ":1"},
		OnAddresses: func(addresses []string) {
			d.mu.Lock()
			defer d.mu.Unlock()
			for _, address := range addresses {
				d.found[address] = true
			}
		},
		IsLive: live,
		Random: rand.New(rand.NewPCG(uint64(number), 1)),
		Log:    zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	d.stop, d.Registrar = cancel, r
	go func() { _ = r.Run(ctx) }()
	return d
}

func (d *daemon) has(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.found[address]
}

// failFirstCalls refuses or loses some of the first calls.
func failFirstCalls(calls int64) memstore.FaultHook {
	var count atomic.Int64
	return func(context.Context, memstore.Op, string) memstore.FaultEffect {
		n := count.Add(1)
		switch {
		case n > calls:
			return memstore.NoFault
		case n%3 == 0:
			return memstore.LoseAnswer
		case n%2 == 0:
			return memstore.RefuseCall
		default:
			return memstore.NoFault
		}
	}
}

func TestDaemonsThatStartTogetherFindEachOther(t *testing.T) {
	for _, calls := range []int64{0, 60} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			store := memstore.New()
			store.SetFault(failFirstCalls(calls))
			var all []*daemon
			for i := range 6 {
				all = append(all, start(store, i, func(string) bool { return true }))
			}
			time.Sleep(time.Minute)
			late := start(store, 6, func(string) bool { return true })
			time.Sleep(time.Minute)
			for _, d := range all {
				c.Check(late.has(d.name+":1"), qt.IsTrue, qt.Commentf("%d faulty calls, %s", calls, d.name))
				d.stop()
			}
			// Of any two daemons, the one that registered later has read the address of the other.
			for i, one := range all {
				for _, other := range all[i+1:] {
					c.Check(one.has(other.name+":1") || other.has(one.name+":1"), qt.IsTrue)
				}
			}
			late.stop()
		})
	}
}

func TestDeadDaemonsAreReplacedInTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := memstore.New()
		survivor := start(store, 1000, func(string) bool { return false })
		time.Sleep(time.Minute)
		// More daemons than fit into the list start and stop soon after.
		for i := range maxSeeds + 4 {
			d := start(store, i, func(string) bool { return true })
			time.Sleep(time.Second)
			d.stop()
		}
		time.Sleep(2 * reviewInterval)
		late := start(store, 2000, func(string) bool { return true })
		time.Sleep(time.Minute)
		c.Check(late.has("entry-1000:1"), qt.IsTrue)
		writes := store.Counts().Writes
		time.Sleep(10 * reviewInterval)
		c.Check(store.Counts().Writes-writes <= 1, qt.IsTrue, qt.Commentf("%d writes", store.Counts().Writes-writes))
		survivor.stop()
		late.stop()
	})
}

func TestDaemonThatSkipsRegistrationMakesNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := memstore.New()
		joined := atomic.Bool{}
		ctx, cancel := context.WithCancel(t.Context())
		registrar := func(number int) *Registrar {
			return New(Options{
				Store: store, Self: &bronzeturnv1.Seed{Name: fmt.Sprint(number)}, OnAddresses: func([]string) {},
				IsLive: func(string) bool { return true }, SkipRegistration: joined.Load,
				Random: rand.New(rand.NewPCG(uint64(number), 1)), Log: zerolog.Nop(),
			})
		}
		done := make(chan error, 2)
		go func() { done <- registrar(1).Run(ctx) }()
		time.Sleep(2 * joinWait)
		c.Check(store.Counts().Writes, qt.Equals, uint64(1), qt.Commentf("a daemon that has not joined registers"))
		joined.Store(true)
		go func() { done <- registrar(2).Run(ctx) }()
		reads := store.Counts().Reads
		time.Sleep(2 * joinWait)
		c.Check(store.Counts().Writes, qt.Equals, uint64(1))
		c.Check(store.Counts().Reads, qt.Equals, reads)
		cancel()
		c.Check(<-done, qt.IsNil)
		c.Check(<-done, qt.IsNil)
	})
}

// TestLargeFleetThatStartsTogetherMakesFewCalls guards against registrations by most daemons of a
// fleet that starts together. The daemons learn of each other within one to three seconds;
// those that know too few after joinWait must wait again. A daemon that has found no other
// must read the object immediately after joinWait.
func TestLargeFleetThatStartsTogetherMakesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fleet, listed = 295, 8
		c := qt.New(t)
		store := memstore.New()
		ctx, cancel := context.WithCancel(t.Context())
		began := time.Now()
		registrar := func(number int, knows time.Duration, finds bool) *Registrar {
			return New(Options{
				Store: store, Self: &bronzeturnv1.Seed{Name: fmt.Sprint(number)}, OnAddresses: func([]string) {},
				IsLive:           func(string) bool { return true },
				SkipRegistration: func() bool { return number >= listed && time.Since(began) >= knows },
				HasJoined:        func() bool { return finds },
				Random:           rand.New(rand.NewPCG(uint64(number), 1)), Log: zerolog.Nop(),
			})
		}
		done := make(chan error, fleet+1)
		for n := range fleet {
			knows := time.Duration(1+2*n/fleet) * time.Second
			go func() { done <- registrar(n, knows, true).Run(ctx) }()
		}
		go func() { done <- registrar(fleet, time.Hour, false).Run(ctx) }()
		time.Sleep(joinWait + time.Millisecond)
		c.Check(store.Counts().Reads, qt.Equals, uint64(1), qt.Commentf("the daemon that knows no other"))
		c.Check(store.Counts().Writes, qt.Equals, uint64(0))
		time.Sleep(maxSettleWait + time.Second)
		counts := store.Counts()
		// Without the second wait, all 147 daemons that learn of the others late register.
		c.Check(counts.Reads+counts.Writes < 2*fleet/2, qt.IsTrue, qt.Commentf("%d reads, %d writes", counts.Reads, counts.Writes))
		cancel()
		for range fleet + 1 {
			c.Check(<-done, qt.IsNil)
		}
	})
}

// TestFleetThatConnectsLateMakesFewCalls guards against registrations by most daemons of a fleet
// that starts together and whose first connections take slightly longer than joinWait. Each
// daemon must read once, and few must write besides those that are to be listed.
func TestFleetThatConnectsLateMakesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fleet, listed = 295, 8
		c := qt.New(t)
		store := memstore.New()
		ctx, cancel := context.WithCancel(t.Context())
		began := time.Now()
		found := func() bool { return time.Since(began) >= joinWait+200*time.Millisecond }
		done := make(chan error, fleet)
		for n := range fleet {
			r := New(Options{
				Store: store, Self: &bronzeturnv1.Seed{Name: fmt.Sprint(n)}, OnAddresses: func([]string) {},
				IsLive:           func(string) bool { return true },
				SkipRegistration: func() bool { return n >= listed && found() }, HasJoined: found,
				Random: rand.New(rand.NewPCG(uint64(n), 1)), Log: zerolog.Nop(),
			})
			go func() { done <- r.Run(ctx) }()
		}
		time.Sleep(joinWait + maxSettleWait + time.Second)
		counts := store.Counts()
		// One read per daemon, and further calls of those that are to be listed or whose
		// second wait is shorter than 0.2 s.
		c.Check(counts.Reads+counts.Writes < 2*fleet, qt.IsTrue, qt.Commentf("%d reads, %d writes", counts.Reads, counts.Writes))
		c.Check(counts.Writes < 60, qt.IsTrue, qt.Commentf("%d writes", counts.Writes))
		cancel()
		for range fleet {
			c.Check(<-done, qt.IsNil)
		}
	})
}

// TestDaemonsRegisterAgainAfterARestore guards against daemons that start and find nobody, because
// a restored store has lost the registrations.
func TestDaemonsRegisterAgainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := memstore.New()
		live := func(string) bool { return true }
		daemons := []*daemon{start(store, 1, live), start(store, 2, live)}
		time.Sleep(time.Minute)
		object, err := store.Get(t.Context(), Key)
		c.Assert(err, qt.IsNil)
		c.Assert(store.Delete(t.Context(), Key, object.Revision), qt.IsNil)
		for _, d := range daemons {
			d.StoreRestored()
		}
		time.Sleep(time.Minute)
		added := start(store, 3, live)
		time.Sleep(time.Minute)
		c.Check(added.has("entry-1:1") && added.has("entry-2:1"), qt.IsTrue)
		for _, d := range append(daemons, added) {
			d.stop()
		}
	})
}
