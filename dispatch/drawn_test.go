package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// network draws faults of single calls.
type network struct {
	f  *testFleet
	mu sync.Mutex
	// rng is used by all calls, so that a seed does not determine which call has a fault.
	rng *rand.Rand
	// lost is the share of messages that are lost, late that of delayed ones, repeated that of
	// calls that arrive a second time later.
	lost, late, repeated float64
	delay                time.Duration
}

// draw reports whether a fault with the given share happens.
func (n *network) draw(share float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < share
}

func (n *network) some() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.rng.Int64N(int64(n.delay) + 1))
}

// message delays or loses a message. The sender of a lost one waits until its timeout, or gets
// an error at once.
func (n *network) message(ctx context.Context) error {
	if n.draw(n.lost) {
		if n.draw(0.5) {
			<-ctx.Done()
		}
		return errTestNetwork
	}
	if n.draw(n.late) {
		time.Sleep(n.some())
	}
	return nil
}

func (n *network) before(ctx context.Context, _, to string, m *bronzeturnv1.SyncRequest) error {
	if n.draw(n.repeated) {
		again := proto.CloneOf(m)
		n.f.mu.Lock()
		d := n.f.daemons[to]
		n.f.mu.Unlock()
		go func() {
			time.Sleep(n.some())
			_, _ = d.Sync(context.Background(), connect.NewRequest(again))
		}()
	}
	return n.message(ctx)
}

func (n *network) after(ctx context.Context, _, _ string, _ *bronzeturnv1.SyncResponse) error {
	return n.message(ctx)
}

// TestDrawnNetworkFaults guards against calls that are lost, late, repeated or reordered and
// lead to runs beyond the capacity, to requests without an answer, or to a standstill.
func TestDrawnNetworkFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		n := &network{
			rng: rand.New(rand.NewPCG(seed, 1)), delay: time.Duration(rapid.IntRange(0, 200).Draw(rt, "delay")) * time.Millisecond,
			lost: rapid.Float64Range(0, 0.5).Draw(rt, "lost"), late: rapid.Float64Range(0, 1).Draw(rt, "late"),
			repeated: rapid.Float64Range(0, 0.5).Draw(rt, "repeated"),
		}
		synctest.Test(t, func(t *testing.T) {
			f, stop := loadedFleet(t)
			n.f = f
			f.setFault(n.before)
			f.setAfter(n.after)
			share := f.served(2 * time.Second)
			f.setFault(nil)
			f.setAfter(nil)
			time.Sleep(2 * answerTimeout)
			most := f.mostRunning()
			f.resetMost()
			healed := f.served(time.Second)
			if f.mostRunning() > faultRoom {
				rt.Errorf("%d run after the faults", f.mostRunning())
			}
			stop()
			f.check(rt, most, faultRoom+faultDaemons)
			if share < 0.3 || healed < 0.9 {
				rt.Errorf("%.2f of the capacity during the faults, %.2f after them", share, healed)
			}
		})
	})
}

// TestDrawnCoordinators guards against runs beyond the bound, requests without an answer and
// daemons that stay without a coordinator when coordinators and daemons fail and return.
func TestDrawnCoordinators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type event struct {
			frozen, owner, confused string
			pause                   time.Duration
		}
		name := rapid.Map(rapid.IntRange(0, faultDaemons-1), func(i int) string { return fmt.Sprintf("d%d", i) })
		events := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
			return event{
				frozen: rapid.OneOf(rapid.Just(""), name).Draw(rt, "frozen"), owner: rapid.OneOf(rapid.Just(""), name).Draw(rt, "owner"),
				confused: rapid.OneOf(rapid.Just(""), name).Draw(rt, "confused"),
				pause:    time.Duration(rapid.IntRange(0, 700).Draw(rt, "pause")) * time.Millisecond,
			}
		}), 1, 8).Draw(rt, "events")
		synctest.Test(t, func(t *testing.T) {
			f, stop := loadedFleet(t)
			for _, e := range events {
				f.setFault(freeze(e.frozen))
				f.setOwner(func(daemon string) string {
					if daemon == e.confused {
						return daemon
					}
					return e.owner
				})
				time.Sleep(e.pause)
			}
			f.setFault(nil)
			f.setOwner(func(string) string { return "d0" })
			time.Sleep(2 * answerTimeout)
			most := f.mostRunning()
			f.resetMost()
			healed := f.served(time.Second)
			if f.mostRunning() > faultRoom {
				rt.Errorf("%d run after the faults", f.mostRunning())
			}
			stop()
			f.check(rt, most, faultRoom+faultDaemons)
			if healed < 0.9 {
				rt.Errorf("%.2f of the capacity after the faults", healed)
			}
		})
	})
}

// check compares the results of a test with the bounds.
func (f *testFleet) check(t *rapid.T, most, bound int) {
	if most > bound {
		t.Errorf("%d requests ran at a time, bound %d", most, bound)
	}
	if f.lateBy > waitGrace {
		t.Errorf("an Acquire took %v longer than MaxWait", f.lateBy)
	}
	if f.running != 0 {
		t.Errorf("%d requests have not ended", f.running)
	}
	for name, d := range f.daemons {
		if running, waiting, _ := d.service(testService).counts(); running != 0 || waiting != 0 {
			t.Errorf("%s counts %d running and %d waiting requests after the end", name, running, waiting)
		}
	}
}

func (f *testFleet) setAfter(after func(ctx context.Context, from, to string, r *bronzeturnv1.SyncResponse) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.after = after
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }
