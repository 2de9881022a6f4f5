package quality_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/quality"
)

// network is a fake of the flooded table, of the owners and of calls between
// daemons.
type network struct {
	mu          sync.Mutex
	owner       string
	daemons     map[string]*member
	subscribers []func(string, uint64, []byte)
	// requestBytes is the total size of the request bodies.
	requestBytes atomic.Int64
}

type member struct {
	network  *network
	name     string
	store    *quality.Store
	exchange *quality.Exchange
	merged   atomic.Int64
	down     atomic.Bool
}

func newNetwork(names ...string) *network {
	n := &network{owner: names[0], daemons: make(map[string]*member)}
	for i, name := range names {
		m := &member{network: n, name: name, store: newStore(false)}
		m.exchange = quality.NewExchange(quality.ExchangeOptions{
			Name: name, Incarnation: uint64(i), Store: m.store, Table: n, Owners: m, Dialer: n,
			OnMerged: func(c quality.Counts, _ time.Time) { m.merged.Add(int64(c.Weight)) },
			Log:      zerolog.Nop(),
		})
		n.daemons[name] = m
	}
	for _, m := range n.daemons {
		m.exchange.Start()
	}
	return n
}

func (n *network) Publish(key string, version uint64, value []byte) error {
	n.mu.Lock()
	subscribers := n.subscribers
	n.mu.Unlock()
	for _, f := range subscribers {
		f(key, version, value)
	}
	return nil
}

func (n *network) Subscribe(_ string, f func(string, uint64, []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.subscribers = append(n.subscribers, f)
}

func (m *member) Owner(string) (string, bool) {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	return m.network.owner, m.network.owner == m.name
}

func (n *network) Dial(name string) (connect.HTTPClient, string, bool) {
	m, ok := n.daemons[name]
	return m, "http://" + name, ok
}

// Do calls the handler of the daemon.
func (m *member) Do(r *http.Request) (*http.Response, error) {
	if m.down.Load() {
		return nil, connectError{}
	}
	m.network.requestBytes.Add(r.ContentLength)
	path, handler := m.exchange.Handler()
	if !strings.HasPrefix(r.URL.Path, path) {
		return nil, http.ErrNotSupported
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

type connectError struct{}

func (connectError) Error() string       { return "connection refused" }
func (connectError) ConnectFailed() bool { return true }

func (m *member) rate(t testing.TB, organisation string, score float64, n int) {
	t.Helper()
	for range n {
		err := m.exchange.AddRating(quality.Rating{Organisation: organisation, Version: "v", Kind: "quick", Score: score, At: time.Now()})
		qt.Assert(t, err, qt.IsNil)
	}
}

func (m *member) estimate() quality.Estimate { return m.store.Estimate("v", "quick", time.Now()) }

func TestExchangeSpreadsRatingsAndSurvivesTheAggregator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("a", "b", "c")
		time.Sleep(quality.DefaultSettleTime)
		for _, m := range n.daemons {
			for _, organisation := range []string{"o1", "o2", "o3"} {
				m.rate(t, organisation, 0.5, 20)
			}
		}
		time.Sleep(2 * quality.DefaultReportInterval)
		qt.Assert(t, n.daemons["a"].merged.Load(), qt.Equals, int64(180))
		time.Sleep(quality.DefaultPublishInterval)
		for name, m := range n.daemons {
			near(t, m.estimate().Weight, 120, 1) // without the most influential one
			near(t, m.estimate().Mean, (120*0.5+quality.DefaultPriorWeight*prior)/(120+quality.DefaultPriorWeight), 0.01)
			qt.Assert(t, name == "a" || m.merged.Load() == 0, qt.IsTrue)
		}

		n.daemons["a"].down.Store(true)
		n.daemons["c"].rate(t, "o1", 0.5, 20)
		time.Sleep(2 * quality.DefaultReportInterval) // "a" refuses connections; "c" keeps the report
		n.mu.Lock()
		n.owner = "b"
		n.mu.Unlock()
		n.daemons["c"].rate(t, "o2", 0.5, 20)
		time.Sleep(quality.DefaultPublishInterval + 2*quality.DefaultReportInterval)
		for _, name := range []string{"b", "c"} {
			near(t, n.daemons[name].estimate().Weight, 140, 1)
		}
		for _, m := range n.daemons {
			qt.Assert(t, m.exchange.Stop(), qt.IsNil)
		}
	})
}

func TestReportsAreSmallAndStopWhenNothingIsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("a", "b")
		time.Sleep(quality.DefaultSettleTime)
		n.daemons["b"].rate(t, "organisation-with-a-name", 1, 5)
		time.Sleep(time.Minute)
		sent := n.requestBytes.Load()
		t.Logf("%d bytes for one report", sent)
		qt.Assert(t, sent > 0 && sent < 100, qt.IsTrue)
		time.Sleep(time.Hour)
		qt.Assert(t, n.requestBytes.Load(), qt.Equals, sent)
		for _, m := range n.daemons {
			qt.Assert(t, m.exchange.Stop(), qt.IsNil)
		}
	})
}

func TestReportIsCheckedByTheAggregator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("a", "b")
		count := &bronzeturnv1.RatingCounts{Organisation: "o", Kind: "quick", Sum: 1, Weight: 1}
		report := func(name string, c *bronzeturnv1.RatingCounts) connect.Code {
			_, err := n.daemons[name].exchange.Report(context.Background(), connect.NewRequest(&bronzeturnv1.ReportRequest{
				Version: "v", Origin: "x", Sequence: 1, Counts: []*bronzeturnv1.RatingCounts{c},
			}))
			if err == nil {
				return 0
			}
			return connect.CodeOf(err)
		}
		qt.Check(t, report("a", count), qt.Equals, connect.CodeFailedPrecondition, qt.Commentf("during SettleTime"))
		time.Sleep(quality.DefaultSettleTime)
		qt.Check(t, report("a", count), qt.Equals, connect.Code(0))
		qt.Check(t, report("b", count), qt.Equals, connect.CodeFailedPrecondition, qt.Commentf("not the aggregator"))
		qt.Check(t, report("a", &bronzeturnv1.RatingCounts{Sum: 9, Weight: 1}), qt.Equals, connect.CodeInvalidArgument)
		for _, m := range n.daemons {
			qt.Assert(t, m.exchange.Stop(), qt.IsNil)
		}
	})
}
