package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/demo"
	"github.com/bronzeturn/bronzeturn/ledger"
	"github.com/bronzeturn/bronzeturn/objectstore/httpstore"
	"github.com/bronzeturn/bronzeturn/standin"
)

// TestDaemonStartsWhileTheStoreIsDown expects a daemon that starts during a store outage to
// answer requests, and to refuse only those that need a claim in the ledger.
func TestDaemonStartsWhileTheStoreIsDown(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 2, 1)
	setFaults(c, d.store, standin.Faults{Refuse: true})
	started := d.startDaemon(c, demo.DaemonName(2))
	started.waitReady(c)
	chat := demo.Chat{Key: key, Prompt: "new here"}
	got := send(chat, started.callers)
	c.Assert(got.Check(chat), qt.IsNil, qt.Commentf("%d %s", got.Status, got.Body))
	tag := demo.Chat{Key: key, Kind: "tag", IdempotencyKey: "early", Prompt: "crate"}
	refused := send(tag, started.callers).Failure()
	c.Assert(refused.Code, qt.Equals, "ledger_unavailable")
	c.Assert(refused.Ran, qt.Equals, "no")
	setFaults(c, d.store, standin.Faults{})
	eventually(c, "tags accepted", func() bool { return send(tag, started.callers).Check(tag) == nil })
	eventually(c, "one bill each", func() bool { return len(d.bills(c)) == 2 })
}

// TestRequestOfAKilledDaemonRunsOnce kills a daemon while it runs a request that must run at
// most once. The other daemons must report its outcome as unknown and not run it again.
func TestRequestOfAKilledDaemonRunsOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 2)
	for _, address := range d.engineAddresses {
		setFaults(c, address, standin.Faults{RateFactor: 0.05})
	}
	tag := demo.Chat{Key: key, Kind: "tag", IdempotencyKey: "cut short", Prompt: "pallet 7"}
	var sending sync.WaitGroup
	sending.Go(func() { send(tag, d.daemons[0].callers) })
	eventually(c, "tag request at an engine", func() bool { return total(d.executions(c)) == 1 })
	d.daemons[0].kill()
	sending.Wait()
	for _, address := range d.engineAddresses {
		setFaults(c, address, standin.Faults{})
	}
	eventually(c, "claim expired", func() bool {
		for _, daemon := range d.daemons[1:] {
			got := send(tag, daemon.callers)
			c.Assert(got.Err, qt.IsNil)
			c.Assert(got.Failure().Ran, qt.Equals, "unknown", qt.Commentf("%d %s", got.Status, got.Body))
			if got.Failure().Code != "outcome_unknown" {
				return false
			}
		}
		return true
	})
	c.Assert(total(d.executions(c)), qt.Equals, 1)
}

func TestAnsweredRequestsAreBilledAfterTwoOfThreeDaemonsAreKilled(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 3)
	load := startLoad(d, 4)
	eventually(c, "load", func() bool { return load.answeredCount() >= 60 })
	d.daemons[0].kill()
	before := load.answeredCount()
	eventually(c, "load after the first kill", func() bool { return load.answeredCount() >= before+20 })
	d.daemons[1].kill()
	before = load.answeredCount()
	eventually(c, "load after the second kill", func() bool { return load.answeredCount() >= before+20 })
	load.stop()
	assertBilledOnce(c, d, load.answeredIDs)
}

// load sends idempotent and non-idempotent requests to all daemons without pause.
type load struct {
	cancel  context.CancelFunc
	senders sync.WaitGroup

	mu sync.Mutex
	// answeredIDs are the ids of the requests that got a complete answer.
	answeredIDs []string
}

// startLoad starts the given number of senders for each daemon.
func startLoad(d *deployment, senders int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	for i, daemon := range d.daemons {
		for s := range senders {
			l.senders.Go(func() { l.send(ctx, daemon.callers, fmt.Sprintf("%d-%d", i, s)) })
		}
	}
	return l
}

func (l *load) send(ctx context.Context, address, name string) {
	for i := 0; ctx.Err() == nil; i++ {
		chat := demo.Chat{Key: key, Prompt: fmt.Sprintf("load %s %d", name, i), Stream: i%2 == 0}
		if i%4 == 3 {
			chat.Kind, chat.IdempotencyKey, chat.Stream = "tag", chat.Prompt, false
		}
		got := send(chat, address)
		if got.Check(chat) == nil {
			l.mu.Lock()
			l.answeredIDs = append(l.answeredIDs, got.Header.Get(callerapi.HeaderRequestID))
			l.mu.Unlock()
		} else if got.Err != nil {
			time.Sleep(20 * time.Millisecond) // The daemon was killed.
		}
	}
}

func (l *load) answeredCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answeredIDs)
}

func (l *load) stop() {
	l.cancel()
	l.senders.Wait()
}

// bills returns the number of itemised bills in the store by request id.
func (d *deployment) bills(c *qt.C) map[string]int {
	counts := make(map[string]int)
	store := httpstore.New("http://"+d.store, &http.Client{})
	err := ledger.EachBill(context.Background(), store, func(b ledger.Bill) error {
		counts[b.RequestID]++
		return nil
	})
	c.Assert(err, qt.IsNil)
	return counts
}

// assertBilledOnce waits until each answered request has a bill, and checks that no request
// has two bills, or a bill without having run.
func assertBilledOnce(c *qt.C, d *deployment, answered []string) {
	eventually(c, "a bill for each answer", func() bool {
		bills := d.bills(c)
		for _, id := range answered {
			if bills[id] == 0 {
				return false
			}
		}
		return true
	})
	ran := d.executions(c)
	for id, count := range d.bills(c) {
		c.Check(count, qt.Equals, 1, qt.Commentf("bills of %s", id))
		c.Check(ran[id] > 0, qt.IsTrue, qt.Commentf("bill of %s, which did not run", id))
	}
}
