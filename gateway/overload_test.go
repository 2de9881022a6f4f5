package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/dispatch"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
	"github.com/bronzeturn/bronzeturn/scheduler"
)

// limitedEngine returns an engine with slots and a queue, which refuses what fits in neither.
func limitedEngine(slots, queue int, work time.Duration) testEngine {
	places, running := make(chan struct{}, slots+queue), make(chan struct{}, slots)
	return func(n int, w http.ResponseWriter, r *http.Request) {
		select {
		case places <- struct{}{}:
		default:
			isFull(n, w, r)
			return
		}
		defer func() { <-places }()
		running <- struct{}{}
		defer func() { <-running }()
		time.Sleep(work)
		answers(n, w, r)
	}
}

// TestOverloadIsRefusedInTime guards against requests of an overloaded service that fail, wait
// until their deadline or are refused without a time to return, with the real dispatcher of a
// single daemon. Callers demand about three times the capacity.
func TestOverloadIsRefusedInTime(t *testing.T) {
	const (
		engines, slots, queue = 2, 2, 6
		work                  = 40 * time.Millisecond
		callers, each         = 24, 25
		pause                 = 40 * time.Millisecond // of a caller after each request
	)
	b := newBench(t, &fakeDispatcher{}, limitedEngine(slots, queue, work), limitedEngine(slots, queue, work))
	create, err := dispatch.NewScheduler(scheduler.Options{})
	b.c.Assert(err, qt.IsNil)
	var list []dispatch.Engine
	for _, key := range b.keys {
		list = append(list, dispatch.Engine{Key: key, Slots: slots})
	}
	d := dispatch.New(dispatch.Options{
		Self: "a", Coordinator: func(string) string { return "a" }, Client: func(string) bronzeturnv1connect.DispatchServiceClient { return nil },
		Live: func() int { return 1 }, Engines: func(string) []dispatch.Engine { return list }, Announce: func(string) {},
		NewScheduler: create, Log: zerolog.Nop(), Registerer: prometheus.NewRegistry(),
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- d.Run(ctx) }()
	defer func() { stop(); b.c.Check(<-ended, qt.IsNil) }()
	b.gateway.Dispatcher = d
	b.gateway.Log = zerolog.Nop()
	var served, refused, untold, other atomic.Int32
	var contended atomic.Bool
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for n := range each {
				w := b.send(context.Background(), fmt.Sprintf("/safe/%d/%d", caller, n))
				switch {
				case w.Code == http.StatusOK:
					served.Add(1)
				case w.Code != http.StatusServiceUnavailable:
					other.Add(1)
				case w.Header().Get(testRetryAfter) == "":
					untold.Add(1)
				default:
					refused.Add(1)
				}
				if d.Contended("desk") {
					contended.Store(true)
				}
				time.Sleep(pause)
			}
		})
	}
	began := time.Now()
	wg.Wait()
	t.Logf("%d served, %d refused in %s", served.Load(), refused.Load(), time.Since(began).Round(time.Millisecond))
	b.c.Check(contended.Load(), qt.IsTrue)
	b.c.Check(other.Load(), qt.Equals, int32(0))
	b.c.Check(untold.Load(), qt.Equals, int32(0))
	b.c.Check(refused.Load() > 0, qt.IsTrue)
	b.c.Check(served.Load() > 0, qt.IsTrue)
}
