package standin

import (
	"context"
	"flag"
	"os"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "50"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// slotRequest is a request that has asked for a slot.
type slotRequest struct {
	priority int
	order    int
	cancel   context.CancelFunc
	got      chan error
}

// TestSlotsAreGrantedByPriorityAndNeverLost checks after every step that exactly
// the requests that a simple model selects hold slots.
func TestSlotsAreGrantedByPriorityAndNeverLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 60).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			s := &slots{free: 2}
			var holding, waiting []*slotRequest
			grant := func() {
				for len(holding) < 2 && len(waiting) > 0 {
					best := 0
					for i, w := range waiting {
						if w.priority > waiting[best].priority {
							best = i
						}
					}
					holding = append(holding, waiting[best])
					waiting = append(waiting[:best], waiting[best+1:]...)
				}
			}
			for i, step := range steps {
				switch {
				case step < 5: // A request of priority 0 to 4 arrives.
					waiting = append(waiting, requestSlot(t, s, step, i))
				case step < 8 && len(holding) > 0: // The request that has held a slot for longest ends.
					holding = holding[1:]
					s.release()
				case len(waiting) > 0: // A waiting request is cancelled.
					at := i % len(waiting)
					waiting[at].cancel()
					qt.Assert(t, <-waiting[at].got, qt.ErrorIs, context.Canceled)
					waiting = append(waiting[:at], waiting[at+1:]...)
				}
				grant()
				synctest.Wait()
				checkSlots(t, s, holding, waiting)
			}
			for _, w := range waiting {
				w.cancel()
			}
		})
	})
}

func requestSlot(t *testing.T, s *slots, priority, order int) *slotRequest {
	ctx, cancel := context.WithCancel(t.Context())
	c := &slotRequest{priority: priority, order: order, cancel: cancel, got: make(chan error, 1)}
	go func() { c.got <- s.acquire(ctx, priority) }()
	synctest.Wait()
	return c
}

func checkSlots(t *testing.T, s *slots, holding, waiting []*slotRequest) {
	free, queued := s.state()
	qt.Assert(t, free, qt.Equals, 2-len(holding))
	qt.Assert(t, queued, qt.Equals, len(waiting))
	for _, h := range holding {
		if h.got == nil {
			continue
		}
		select {
		case err := <-h.got:
			qt.Assert(t, err, qt.IsNil)
			h.got = nil
		default:
			t.Fatalf("request %d of priority %d got no slot", h.order, h.priority)
		}
	}
}
