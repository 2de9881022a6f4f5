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

func TestDaemonStartsWhileTheStoreIsDown(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 2, 1)
	control(c, d.store, standin.Faults{Refuse: true})
	late := d.startDaemon(c, demo.DaemonName(2))
	late.waitReady(c)
	chat := demo.Chat{Key: key, Prompt: "new here"}
	got := send(chat, late.callers)
	c.Assert(got.Check(chat), qt.IsNil, qt.Commentf("%d %s", got.Status, got.Body))
	tag := demo.Chat{Key: key, Kind: "tag", IdempotencyKey: "early", Prompt: "crate"}
	refused := send(tag, late.callers).Failure()
	c.Assert(refused.Code, qt.Equals, "ledger_unavailable")
	c.Assert(refused.Ran, qt.Equals, "no")
	control(c, d.store, standin.Faults{})
	eventually(c, "tags accepted", func() bool { return send(tag, late.callers).Check(tag) == nil })
	eventually(c, "one bill each", func() bool { return len(d.bills(c)) == 2 })
}

func TestKilledInTheMiddleOfATagRunsItOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 2)
	for _, address := range d.engineAddresses {
		control(c, address, standin.Faults{RateFactor: 0.05})
	}
	tag := demo.Chat{Key: key, Kind: "tag", IdempotencyKey: "cut short", Prompt: "pallet 7"}
	var sending sync.WaitGroup
	sending.Go(func() { send(tag, d.daemons[0].callers) })
	eventually(c, "the tag at an engine", func() bool { return total(d.executions(c)) == 1 })
	d.daemons[0].kill()
	sending.Wait()
	for _, address := range d.engineAddresses {
		control(c, address, standin.Faults{})
	}
	eventually(c, "the claim past its deadline", func() bool {
		for _, one := range d.daemons[1:] {
			got := send(tag, one.callers)
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

func TestTwoOfThreeKilledLoseNoBillOfAnAnswer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 3)
	load := startLoad(d, 4)
	eventually(c, "load", func() bool { return load.answered() >= 60 })
	d.daemons[0].kill()
	before := load.answered()
	eventually(c, "load after the first kill", func() bool { return load.answered() >= before+20 })
	d.daemons[1].kill()
	before = load.answered()
	eventually(c, "load after the second kill", func() bool { return load.answered() >= before+20 })
	load.stop()
	assertBilledOnce(c, d, load.ids)
}

// load is a stream of checks and tags at all daemons.
type load struct {
	cancel  context.CancelFunc
	senders sync.WaitGroup

	mu sync.Mutex
	// ids are the requests that got a whole answer.
	ids []string
}

// startLoad lets so many senders work on each daemon.
func startLoad(d *deployment, senders int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	for i, one := range d.daemons {
		for s := range senders {
			l.senders.Go(func() { l.send(ctx, one.callers, fmt.Sprintf("%d-%d", i, s)) })
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
			l.ids = append(l.ids, got.Header.Get(callerapi.HeaderRequestID))
			l.mu.Unlock()
		} else if got.Err != nil {
			time.Sleep(20 * time.Millisecond) // The daemon is gone.
		}
	}
}

func (l *load) answered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ids)
}

func (l *load) stop() {
	l.cancel()
	l.senders.Wait()
}

// bills counts the itemised bills in the store by request.
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

// assertBilledOnce waits until each answered request has a bill, and asserts
// that none has two and that none has a bill without having run.
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
