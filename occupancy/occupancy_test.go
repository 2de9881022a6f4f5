package occupancy

import (
	"context"
	"errors"
	"flag"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1/bronzeturnv1connect"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// TestStoreSumsTheLastReportOfEachDaemon compares the store with a plain map, for
// reports that arrive in any order.
func TestStoreSumsTheLastReportOfEachDaemon(t *testing.T) {
	type stored struct {
		sequence uint64
		load     Load
		at       time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		store := NewStore()
		last := map[string]stored{}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			daemon := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "daemon")
			r := stored{uint64(rapid.IntRange(1, 40).Draw(t, "sequence")), Load{Requests: int64(rapid.IntRange(0, 9).Draw(t, "requests")), Tokens: 7}, now}
			store.Record(daemon, r.sequence, 5, r.load, now)
			if r.sequence >= last[daemon].sequence {
				last[daemon] = r
			}
			if rapid.Bool().Draw(t, "expire") {
				store.Expire(now)
				for daemon, r := range last {
					if now.Sub(r.at) > reportTTL {
						delete(last, daemon)
					}
				}
			}
			want := Load{}
			for daemon, r := range last {
				if daemon != "a" && now.Sub(r.at) <= reportTTL {
					want.Requests += r.load.Requests
					want.Tokens += r.load.Tokens
				}
			}
			if got := store.LoadOfOthers("a", 5, now); got != want {
				t.Fatalf("%+v, want %+v", got, want)
			}
		}
	})
}

func TestDelaysDecay(t *testing.T) {
	c := qt.New(t)
	store := NewStore()
	store.Record("a", 1, 5, Load{Requests: 1, Delay: time.Second}, start)
	c.Check(store.LoadOfOthers("b", 5, start).Delay, qt.Equals, time.Second)
	c.Check(store.LoadOfOthers("b", 5, start.Add(delayTTL/2)).Delay, qt.Equals, 500*time.Millisecond)
	store.Record("c", 2, 5, Load{Delay: 100 * time.Millisecond}, start.Add(delayTTL/2))
	c.Check(store.LoadOfOthers("b", 5, start.Add(delayTTL/2)).Delay, qt.Equals, 500*time.Millisecond)
	c.Check(store.LoadOfOthers("b", 5, start.Add(delayTTL)).Delay, qt.Equals, time.Duration(0))
	store.Expire(start.Add(2 * reportTTL))
	c.Check(store.shard(5).engines, qt.HasLen, 0)
}

// ownLoad is a daemon's load, as set by a test.
type ownLoad struct {
	mu   sync.Mutex
	load map[string]Load
}

func (o *ownLoad) set(engine string, load Load) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.load[engine] = load
}

// clear removes all load.
func (o *ownLoad) clear() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.load)
}

func (o *ownLoad) at(engine string) (requests, tokens int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.load[engine].Requests, o.load[engine].Tokens
}

func (o *ownLoad) each(f func(engine string, requests, tokens int64)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for engine, load := range o.load {
		f(engine, load.Requests, load.Tokens)
	}
}

// directClient calls the server of a store without a network.
type directClient struct {
	store atomic.Pointer[Store]
	calls atomic.Int64
	err   error
	delay time.Duration
	// unsettled has the keeper not decide on slots and permits.
	unsettled bool
}

func newDirectClient() *directClient {
	d := &directClient{}
	d.store.Store(NewStore())
	return d
}

// Share implements bronzeturnv1connect.OccupancyServiceClient.
func (d *directClient) Share(ctx context.Context, r *connect.Request[bronzeturnv1.ShareRequest]) (*connect.Response[bronzeturnv1.ShareResponse], error) {
	d.calls.Add(1)
	if d.delay > 0 {
		select {
		case <-time.After(d.delay):
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
		}
	}
	if d.err != nil {
		return nil, d.err
	}
	return Server{Store: d.store.Load()}.Share(ctx, r)
}

// Reserve implements bronzeturnv1connect.OccupancyServiceClient.
func (d *directClient) Reserve(ctx context.Context, r *connect.Request[bronzeturnv1.ReserveRequest]) (*connect.Response[bronzeturnv1.ReserveResponse], error) {
	d.calls.Add(1)
	if d.err != nil {
		return nil, d.err
	}
	return Server{Store: d.store.Load(), MayGrant: func(string) bool { return !d.unsettled }}.Reserve(ctx, r)
}

// Permit implements bronzeturnv1connect.OccupancyServiceClient.
func (d *directClient) Permit(ctx context.Context, r *connect.Request[bronzeturnv1.PermitRequest]) (*connect.Response[bronzeturnv1.PermitResponse], error) {
	d.calls.Add(1)
	if d.err != nil {
		return nil, d.err
	}
	return Server{Store: d.store.Load(), MayGrant: func(string) bool { return !d.unsettled }}.Permit(ctx, r)
}

// newClient returns the client of a daemon whose engines all have the same keeper.
func newClient(name, keeper string, to *directClient) (*Client, *ownLoad) {
	o := &ownLoad{load: make(map[string]Load)}
	return New(Options{
		Self: name, Keeper: func(string) string { return keeper },
		Client:   func(string) bronzeturnv1connect.OccupancyServiceClient { return to },
		InFlight: o.at, EachInFlight: o.each, Store: to.store.Load(), Backups: func(string) []string { return nil },
		Reserves: func(string) bool { return false }, ReservesAny: func() bool { return false }, Settled: func(string) bool { return true }, Log: zerolog.Nop(), Registerer: prometheus.NewRegistry(),
	}), o
}

func TestLoadIsReportedAtOnceAndAgainToANewKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		to := newDirectClient()
		a, load := newClient("a", "keeper", to)
		b, _ := newClient("b", "keeper", to)
		load.set("e", Load{Requests: 2, Tokens: 30})
		ctx, cancel := context.WithCancel(t.Context())
		a.RequestSent(ctx, "e")
		synctest.Wait()
		c.Check(b.QueryLoads(ctx, []string{"e", "other"}), qt.DeepEquals, []EngineLoad{
			{Engine: "e", Load: Load{Requests: 2, Tokens: 30}}, {Engine: "other"},
		})
		c.Check(a.QueryLoads(ctx, []string{"e"}), qt.DeepEquals, []EngineLoad{{Engine: "e"}}, qt.Commentf("own load is not counted"))
		done := make(chan error, 1)
		go func() { done <- a.Run(ctx) }()
		to.store.Store(NewStore()) // simulates a new keeper
		time.Sleep(refreshInterval + 2*reportInterval)
		c.Check(b.QueryLoads(ctx, []string{"e"})[0].Load.Requests, qt.Equals, int64(2))
		load.set("e", Load{})
		a.LoadChanged("e")
		time.Sleep(2 * reportInterval)
		c.Check(b.QueryLoads(ctx, []string{"e"})[0].Load, qt.Equals, Load{})
		before := to.calls.Load()
		load.clear()
		time.Sleep(10 * refreshInterval)
		c.Check(to.calls.Load(), qt.Equals, before, qt.Commentf("an idle daemon reports nothing"))
		cancel()
		c.Check(<-done, qt.IsNil)
	})
}

func TestKeeperThatDoesNotAnswerIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		to := newDirectClient()
		to.delay = time.Minute
		a, _ := newClient("a", "keeper", to)
		began := time.Now()
		for range maxFailures + 100 {
			c.Check(a.QueryLoads(t.Context(), []string{"e"}), qt.HasLen, 0)
		}
		c.Check(time.Since(began), qt.Equals, maxFailures*queryTimeout, qt.Commentf("a keeper that does not answer is avoided"))
		time.Sleep(2 * avoidFor)
		to.delay, to.err = 0, connect.NewError(connect.CodeUnavailable, errors.New("gone"))
		c.Check(a.QueryLoads(t.Context(), []string{"e"}), qt.HasLen, 0)
		c.Check(to.calls.Load(), qt.Equals, int64(maxFailures+1))
		count := func(outcome string) float64 { return testutil.ToFloat64(a.metrics.calls.WithLabelValues(outcome)) }
		c.Check(count(outcomeFailed), qt.Equals, maxFailures+1.0)
		c.Check(count(outcomeLeftOut), qt.Equals, 100.0)
		time.Sleep(2 * avoidFor)
		to.err = nil
		c.Check(a.QueryLoads(t.Context(), []string{"e"}), qt.HasLen, 1)
		c.Check(count(outcomeAnswered), qt.Equals, 1.0)
		c.Check(a.failing, qt.HasLen, 0)
		none := New(Options{Self: "a", Keeper: func(string) string { return "" }, Reserves: func(string) bool { return false }, Store: NewStore(), Registerer: prometheus.NewRegistry()})
		none.RequestSent(t.Context(), "e")
		none.DelayObserved("e", time.Second)
		c.Check(none.QueryLoads(t.Context(), []string{"e"}), qt.HasLen, 0)
	})
}

func TestOwnStoreIsQueriedWithoutACall(t *testing.T) {
	c := qt.New(t)
	to := newDirectClient()
	a, load := newClient("a", "a", to)
	load.set("e", Load{Requests: 1, Tokens: 5})
	a.RequestSent(t.Context(), "e")
	c.Check(to.store.Load().LoadOfOthers("b", hash("e"), time.Now()), qt.Equals, Load{Requests: 1, Tokens: 5})
	to.store.Load().Record("b", 1, hash("e"), Load{Requests: 4}, time.Now())
	c.Check(a.QueryLoads(t.Context(), []string{"e"})[0].Load.Requests, qt.Equals, int64(4))
	c.Check(to.calls.Load(), qt.Equals, int64(0))
}

func TestServerOverHTTP(t *testing.T) {
	c := qt.New(t)
	store := NewStore()
	_, handler := bronzeturnv1connect.NewOccupancyServiceHandler(Server{Store: store})
	server := httptest.NewServer(handler)
	defer server.Close()
	client := bronzeturnv1connect.NewOccupancyServiceClient(server.Client(), server.URL)
	store.Record("b", 1, 7, Load{Requests: 3, Tokens: 9, Delay: time.Second}, time.Now())
	answer, err := client.Share(t.Context(), connect.NewRequest(&bronzeturnv1.ShareRequest{
		Daemon: "a", Sequence: 1, Own: []*bronzeturnv1.EngineLoad{{Engine: 7, Requests: 1}}, Asked: []uint32{7, 8},
	}))
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Msg.GetOthers(), qt.HasLen, 2)
	c.Check(answer.Msg.GetOthers()[0].GetRequests(), qt.Equals, uint32(3))
	c.Check(store.LoadOfOthers("b", 7, time.Now()).Requests, qt.Equals, int64(1))
}
