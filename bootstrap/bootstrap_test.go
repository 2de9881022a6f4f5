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

// daemon records what its registrar found.
type daemon struct {
	name  string
	mu    sync.Mutex
	found map[string]bool
	stop  context.CancelFunc
}

// start runs a registrar for a daemon to which the named ones are live.
func start(store *memstore.Store, number int, live func(string) bool) *daemon {
	d := &daemon{name: fmt.Sprintf("entry-%d", number), found: make(map[string]bool)}
	r := New(Options{
		Store: store,
		Self:  &bronzeturnv1.Seed{Name: d.name, PeerAddress: d.name + ":1"},
		Found: func(addresses []string) {
			d.mu.Lock()
			defer d.mu.Unlock()
			for _, address := range addresses {
				d.found[address] = true
			}
		},
		Live:   live,
		Random: rand.New(rand.NewPCG(uint64(number), 1)),
		Log:    zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	go func() { _ = r.Run(ctx) }()
	return d
}

func (d *daemon) has(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.found[address]
}

// flaky refuses and loses some of the first calls.
func flaky(calls int64) memstore.FaultHook {
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
			store.SetFault(flaky(calls))
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
			// Of any two, at least the later one knows the other.
			for i, one := range all {
				for _, other := range all[i+1:] {
					c.Check(one.has(other.name+":1") || other.has(one.name+":1"), qt.IsTrue)
				}
			}
			late.stop()
		})
	}
}

func TestReplacedDaemonsLeaveTheListToLiveOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := memstore.New()
		survivor := start(store, 1000, func(string) bool { return false })
		time.Sleep(time.Minute)
		// More daemons than the list holds start and die at once.
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

func TestSparedDaemonMakesNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := memstore.New()
		joined := atomic.Bool{}
		ctx, cancel := context.WithCancel(t.Context())
		registrar := func(number int) *Registrar {
			return New(Options{
				Store: store, Self: &bronzeturnv1.Seed{Name: fmt.Sprint(number)}, Found: func([]string) {},
				Live: func(string) bool { return true }, Spared: joined.Load,
				Random: rand.New(rand.NewPCG(uint64(number), 1)), Log: zerolog.Nop(),
			})
		}
		done := make(chan error, 2)
		go func() { done <- registrar(1).Run(ctx) }()
		time.Sleep(2 * joinTime)
		c.Check(store.Counts().Writes, qt.Equals, uint64(1), qt.Commentf("one that has not joined registers"))
		joined.Store(true)
		go func() { done <- registrar(2).Run(ctx) }()
		reads := store.Counts().Reads
		time.Sleep(2 * joinTime)
		c.Check(store.Counts().Writes, qt.Equals, uint64(1))
		c.Check(store.Counts().Reads, qt.Equals, reads)
		cancel()
		c.Check(<-done, qt.IsNil)
		c.Check(<-done, qt.IsNil)
	})
}

// TestLargeFleetThatStartsTogetherMakesFewCalls starts daemons together that come to know
// the others in one to three seconds. Those that know too few after a second look again,
// so that few beyond those whose place it is register; one that has found nobody reads at
// once.
func TestLargeFleetThatStartsTogetherMakesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fleet, listed = 295, 8
		c := qt.New(t)
		store := memstore.New()
		ctx, cancel := context.WithCancel(t.Context())
		began := time.Now()
		registrar := func(number int, knows time.Duration, finds bool) *Registrar {
			return New(Options{
				Store: store, Self: &bronzeturnv1.Seed{Name: fmt.Sprint(number)}, Found: func([]string) {},
				Live:   func(string) bool { return true },
				Spared: func() bool { return number >= listed && time.Since(began) >= knows },
				Joined: func() bool { return finds },
				Random: rand.New(rand.NewPCG(uint64(number), 1)), Log: zerolog.Nop(),
			})
		}
		done := make(chan error, fleet+1)
		for n := range fleet {
			knows := time.Duration(1+2*n/fleet) * time.Second
			go func() { done <- registrar(n, knows, true).Run(ctx) }()
		}
		go func() { done <- registrar(fleet, time.Hour, false).Run(ctx) }()
		time.Sleep(joinTime + time.Millisecond)
		c.Check(store.Counts().Reads, qt.Equals, uint64(1), qt.Commentf("the one that knows nobody"))
		c.Check(store.Counts().Writes, qt.Equals, uint64(0))
		time.Sleep(settleTime + time.Second)
		counts := store.Counts()
		// Without the second look, all 147 that know the others late register.
		c.Check(counts.Reads+counts.Writes < 2*fleet/2, qt.IsTrue, qt.Commentf("%d reads, %d writes", counts.Reads, counts.Writes))
		cancel()
		for range fleet + 1 {
			c.Check(<-done, qt.IsNil)
		}
	})
}

// TestFleetThatFindsNobodyForAMomentMakesFewCalls starts daemons together whose first
// connections take a little longer than the wait for them: each reads once, and none but
// those whose place it is writes.
func TestFleetThatFindsNobodyForAMomentMakesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fleet, listed = 295, 8
		c := qt.New(t)
		store := memstore.New()
		ctx, cancel := context.WithCancel(t.Context())
		began := time.Now()
		found := func() bool { return time.Since(began) >= joinTime+200*time.Millisecond }
		done := make(chan error, fleet)
		for n := range fleet {
			r := New(Options{
				Store: store, Self: &bronzeturnv1.Seed{Name: fmt.Sprint(n)}, Found: func([]string) {},
				Live:   func(string) bool { return true },
				Spared: func() bool { return n >= listed && found() }, Joined: found,
				Random: rand.New(rand.NewPCG(uint64(n), 1)), Log: zerolog.Nop(),
			})
			go func() { done <- r.Run(ctx) }()
		}
		time.Sleep(joinTime + settleTime + time.Second)
		counts := store.Counts()
		// One read each, and for those that write, or draw a pause of under 0.2 s, some.
		c.Check(counts.Reads+counts.Writes < 2*fleet, qt.IsTrue, qt.Commentf("%d reads, %d writes", counts.Reads, counts.Writes))
		c.Check(counts.Writes < 60, qt.IsTrue, qt.Commentf("%d writes", counts.Writes))
		cancel()
		for range fleet {
			c.Check(<-done, qt.IsNil)
		}
	})
}
