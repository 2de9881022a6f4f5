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

// TestBookAddsUpTheLastWordOfEachDaemon compares it with a plain list, for words that
// come late and in any order.
func TestBookAddsUpTheLastWordOfEachDaemon(t *testing.T) {
	type word struct {
		sequence uint64
		work     Load
		at       time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		b := NewStore()
		last := map[string]word{}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "words") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			daemon := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "daemon")
			w := word{uint64(rapid.IntRange(1, 40).Draw(t, "sequence")), Load{Requests: int64(rapid.IntRange(0, 9).Draw(t, "requests")), Tokens: 7}, now}
			b.Record(daemon, w.sequence, 5, w.work, now)
			if w.sequence >= last[daemon].sequence {
				last[daemon] = w
			}
			if rapid.Bool().Draw(t, "expire") {
				b.Expire(now)
				for daemon, w := range last {
					if now.Sub(w.at) > keepFor {
						delete(last, daemon)
					}
				}
			}
			want := Load{}
			for daemon, w := range last {
				if daemon != "a" && now.Sub(w.at) <= keepFor {
					want.Requests += w.work.Requests
					want.Tokens += w.work.Tokens
				}
			}
			if got := b.LoadOfOthers("a", 5, now); got != want {
				t.Fatalf("%+v, want %+v", got, want)
			}
		}
	})
}

func TestDelaysFade(t *testing.T) {
	c := qt.New(t)
	b := NewStore()
	b.Record("a", 1, 5, Load{Requests: 1, Delay: time.Second}, start)
	c.Check(b.LoadOfOthers("b", 5, start).Delay, qt.Equals, time.Second)
	c.Check(b.LoadOfOthers("b", 5, start.Add(lateFor/2)).Delay, qt.Equals, 500*time.Millisecond)
	b.Record("c", 2, 5, Load{Delay: 100 * time.Millisecond}, start.Add(lateFor/2))
	c.Check(b.LoadOfOthers("b", 5, start.Add(lateFor/2)).Delay, qt.Equals, 500*time.Millisecond)
	c.Check(b.LoadOfOthers("b", 5, start.Add(lateFor)).Delay, qt.Equals, time.Duration(0))
	b.Expire(start.Add(2 * keepFor))
	c.Check(b.shard(5).accounts, qt.HasLen, 0)
}

// own is a daemon's work that a test sets.
type own struct {
	mu   sync.Mutex
	work map[string]Load
}

func (o *own) set(engine string, w Load) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.work[engine] = w
}

// forget drops all work.
func (o *own) forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.work)
}

func (o *own) at(engine string) (requests, tokens int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.work[engine].Requests, o.work[engine].Tokens
}

func (o *own) each(f func(engine string, requests, tokens int64)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for engine, w := range o.work {
		f(engine, w.Requests, w.Tokens)
	}
}

// direct calls a book without a network.
type direct struct {
	book  atomic.Pointer[Store]
	calls atomic.Int64
	err   error
	delay time.Duration
}

func newDirect() *direct {
	d := &direct{}
	d.book.Store(NewStore())
	return d
}

// Share implements bronzeturnv1connect.OccupancyServiceClient.
func (d *direct) Share(ctx context.Context, r *connect.Request[bronzeturnv1.ShareRequest]) (*connect.Response[bronzeturnv1.ShareResponse], error) {
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
	return Server{d.book.Load()}.Share(ctx, r)
}

// newSharer returns the sharer of a daemon whose engines are all in the care of one
// keeper.
func newSharer(name, keeper string, to *direct) (*Client, *own) {
	o := &own{work: make(map[string]Load)}
	return New(Options{
		Self: name, Keeper: func(string) string { return keeper },
		Client:   func(string) bronzeturnv1connect.OccupancyServiceClient { return to },
		InFlight: o.at, EachInFlight: o.each, Store: to.book.Load(), Log: zerolog.Nop(), Registerer: prometheus.NewRegistry(),
	}), o
}

func TestWorkIsKnownToTheOthersAtOnceAndAgainToANewKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		to := newDirect()
		a, work := newSharer("a", "keeper", to)
		b, _ := newSharer("b", "keeper", to)
		work.set("e", Load{Requests: 2, Tokens: 30})
		ctx, cancel := context.WithCancel(t.Context())
		a.RequestSent(ctx, "e")
		synctest.Wait()
		c.Check(b.QueryLoads(ctx, []string{"e", "other"}), qt.DeepEquals, []EngineLoad{
			{Engine: "e", Load: Load{Requests: 2, Tokens: 30}}, {Engine: "other"},
		})
		c.Check(a.QueryLoads(ctx, []string{"e"}), qt.DeepEquals, []EngineLoad{{Engine: "e"}}, qt.Commentf("own work is not counted"))
		done := make(chan error, 1)
		go func() { done <- a.Run(ctx) }()
		to.book.Store(NewStore()) // as of a keeper that has just taken over
		time.Sleep(refreshInterval + 2*tellInterval)
		c.Check(b.QueryLoads(ctx, []string{"e"})[0].Load.Requests, qt.Equals, int64(2))
		work.set("e", Load{})
		a.LoadChanged("e")
		time.Sleep(2 * tellInterval)
		c.Check(b.QueryLoads(ctx, []string{"e"})[0].Load, qt.Equals, Load{})
		before := to.calls.Load()
		work.forget()
		time.Sleep(10 * refreshInterval)
		c.Check(to.calls.Load(), qt.Equals, before, qt.Commentf("an idle daemon tells nothing"))
		cancel()
		c.Check(<-done, qt.IsNil)
	})
}

func TestKeeperThatDoesNotAnswerCostsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		to := newDirect()
		to.delay = time.Minute
		a, _ := newSharer("a", "keeper", to)
		began := time.Now()
		for range silentAfter + 100 {
			c.Check(a.QueryLoads(t.Context(), []string{"e"}), qt.HasLen, 0)
		}
		c.Check(time.Since(began), qt.Equals, silentAfter*askTimeout, qt.Commentf("a silent keeper is left alone"))
		time.Sleep(2 * avoidFor)
		to.delay, to.err = 0, connect.NewError(connect.CodeUnavailable, errors.New("gone"))
		c.Check(a.QueryLoads(t.Context(), []string{"e"}), qt.HasLen, 0)
		c.Check(to.calls.Load(), qt.Equals, int64(silentAfter+1))
		count := func(outcome string) float64 { return testutil.ToFloat64(a.metrics.calls.WithLabelValues(outcome)) }
		c.Check(count(outcomeFailed), qt.Equals, silentAfter+1.0)
		c.Check(count(outcomeLeft), qt.Equals, 100.0)
		time.Sleep(2 * avoidFor)
		to.err = nil
		c.Check(a.QueryLoads(t.Context(), []string{"e"}), qt.HasLen, 1)
		c.Check(count(outcomeAnswered), qt.Equals, 1.0)
		c.Check(a.failing, qt.HasLen, 0)
		none := New(Options{Self: "a", Keeper: func(string) string { return "" }, Store: NewStore(), Registerer: prometheus.NewRegistry()})
		none.RequestSent(t.Context(), "e")
		none.DelayObserved("e", time.Second)
		c.Check(none.QueryLoads(t.Context(), []string{"e"}), qt.HasLen, 0)
	})
}

func TestOwnBookIsAskedWithoutACall(t *testing.T) {
	c := qt.New(t)
	to := newDirect()
	a, work := newSharer("a", "a", to)
	work.set("e", Load{Requests: 1, Tokens: 5})
	a.RequestSent(t.Context(), "e")
	c.Check(to.book.Load().LoadOfOthers("b", hash("e"), time.Now()), qt.Equals, Load{Requests: 1, Tokens: 5})
	to.book.Load().Record("b", 1, hash("e"), Load{Requests: 4}, time.Now())
	c.Check(a.QueryLoads(t.Context(), []string{"e"})[0].Load.Requests, qt.Equals, int64(4))
	c.Check(to.calls.Load(), qt.Equals, int64(0))
}

func TestOverTheWire(t *testing.T) {
	c := qt.New(t)
	book := NewStore()
	_, handler := bronzeturnv1connect.NewOccupancyServiceHandler(Server{book})
	server := httptest.NewServer(handler)
	defer server.Close()
	client := bronzeturnv1connect.NewOccupancyServiceClient(server.Client(), server.URL)
	book.Record("b", 1, 7, Load{Requests: 3, Tokens: 9, Delay: time.Second}, time.Now())
	answer, err := client.Share(t.Context(), connect.NewRequest(&bronzeturnv1.ShareRequest{
		Daemon: "a", Sequence: 1, Own: []*bronzeturnv1.EngineLoad{{Engine: 7, Requests: 1}}, Asked: []uint32{7, 8},
	}))
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Msg.GetOthers(), qt.HasLen, 2)
	c.Check(answer.Msg.GetOthers()[0].GetRequests(), qt.Equals, uint32(3))
	c.Check(book.LoadOfOthers("b", 7, time.Now()).Requests, qt.Equals, int64(1))
}
