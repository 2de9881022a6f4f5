package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/demo"
	"github.com/bronzeturn/bronzeturn/standin"
)

// withdraw takes the cheap version out of service.
func (d *deployment) withdraw(c *qt.C) {
	out, code := command("withdraw", cheap, "--reason", "turned bad", "--store", "http://"+d.store)
	c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
}

// inForceAt waits until the named daemons tell that the generation is in force.
func (d *deployment) inForceAt(c *qt.C, generation uint64, asked *daemon, names ...string) {
	eventually(c, "generation in force", func() bool {
		found := 0
		for _, one := range statusOf(c, asked).GetDaemons() {
			for _, name := range names {
				if one.GetName() == name && one.GetGenerationInForce() >= generation {
					found++
				}
			}
		}
		return found == len(names)
	})
}

func TestFrozenDaemonDoesNotUseAVersionWithdrawnMeanwhile(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 2)
	frozen, others := d.daemons[2], d.daemons[:2]
	// The kernel takes the connections of the frozen daemon, so the requests are
	// there the moment that it goes on.
	const requests = 40
	results := make([]demo.Result, requests)
	var sending sync.WaitGroup
	freezeDuring(c, frozen, others, func() {
		d.withdraw(c)
		d.inForceAt(c, 2, others[0], others[0].name, others[1].name)
		for i := range results {
			chat := demo.Chat{Key: key, Prompt: fmt.Sprintf("waiting %d", i)}
			if i%2 == 0 {
				chat.Model = cheap
			}
			sending.Go(func() { results[i] = send(chat, frozen.callers) })
		}
	})
	sending.Wait()
	for _, got := range results {
		c.Check(got.Header.Get(callerapi.HeaderVersion), qt.Not(qt.Equals), cheap, qt.Commentf("%d %s", got.Status, got.Body))
	}
	c.Check(d.executions(c), qt.HasLen, answered(results))
}

// TestFrozenDaemonResumesInAnOutageWithoutTheVersion lets the store go down
// between the withdrawal and the end of the freeze, so that peers alone can tell.
func TestFrozenDaemonResumesInAnOutageWithoutTheVersion(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 2)
	frozen, others := d.daemons[2], d.daemons[:2]
	waiting := make(chan demo.Result, 1)
	freezeDuring(c, frozen, others, func() {
		d.withdraw(c)
		d.inForceAt(c, 2, others[0], others[0].name, others[1].name)
		control(c, d.store, standin.Faults{Refuse: true})
		go func() { waiting <- send(demo.Chat{Key: key, Model: cheap, Prompt: "waiting"}, frozen.callers) }()
	})
	eventually(c, "work taken again", func() bool {
		chat := demo.Chat{Key: key, Prompt: "again"}
		got := send(chat, frozen.callers)
		c.Check(got.Header.Get(callerapi.HeaderVersion), qt.Not(qt.Equals), cheap)
		return got.Check(chat) == nil
	})
	first := <-waiting
	c.Check(first.Failure().Ran, qt.Equals, "no", qt.Commentf("%d %s", first.Status, first.Body))
	named := send(demo.Chat{Key: key, Model: cheap, Prompt: "named"}, frozen.callers)
	c.Check(named.Failure().Code, qt.Equals, "version_withdrawn", qt.Commentf("%d %s", named.Status, named.Body))
}

// answered counts the requests that got an answer.
func answered(results []demo.Result) int {
	count := 0
	for _, got := range results {
		if got.Err == nil && got.Failure().Code == "" {
			count++
		}
	}
	return count
}

// TestRequestThatWaitsThroughAFreezeDoesNotUseAWithdrawnVersion: the decision on
// the version is from before the withdrawal, the dispatch would be after it.
func TestRequestThatWaitsThroughAFreezeDoesNotUseAWithdrawnVersion(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 1)
	frozen, others := d.daemons[2], d.daemons[:2]
	waiting := d.startWaiting(c, frozen)
	freezeDuring(c, frozen, others, func() {
		d.withdraw(c)
		d.inForceAt(c, 2, others[0], others[0].name, others[1].name)
		control(c, d.engineAddresses[0], standin.Faults{})
	})
	waiting.assertNotRun(c, d)
}

// TestRequestInTheQueueDoesNotUseAVersionWithdrawnMeanwhile: the version was
// chosen before the withdrawal, and the place in the queue comes after it.
func TestRequestInTheQueueDoesNotUseAVersionWithdrawnMeanwhile(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 1, 1)
	waiting := d.startWaiting(c, d.daemons[0])
	d.withdraw(c)
	d.inForceAt(c, 2, d.daemons[0], d.daemons[0].name)
	control(c, d.engineAddresses[0], standin.Faults{})
	waiting.assertNotRun(c, d)
}

// waitingRequests are accepted by a daemon whose only engine is full.
type waitingRequests struct {
	sending sync.WaitGroup
	results [2]demo.Result
}

// startWaiting fills the engine with slow answers and sends further requests.
// They return when the daemon has accepted them.
func (d *deployment) startWaiting(c *qt.C, one *daemon) *waitingRequests {
	control(c, d.engineAddresses[0], standin.Faults{RateFactor: 0.02})
	w := &waitingRequests{}
	for i := range engineSlots {
		w.sending.Go(func() { send(demo.Chat{Key: key, Prompt: fmt.Sprintf("long %d", i)}, one.callers) })
	}
	eventually(c, "all slots taken", func() bool { return len(d.executions(c)) == engineSlots })
	accepted := make(chan struct{}, len(w.results))
	for i := range w.results {
		chat := demo.Chat{Key: key, Prompt: fmt.Sprintf("waiting %d", i)}
		w.sending.Go(func() { w.results[i] = sendTold(chat, one.callers, accepted) })
	}
	for range w.results {
		<-accepted
	}
	return w
}

// assertNotRun waits for the answers and asserts that the requests were refused
// as not run, and did not run.
func (w *waitingRequests) assertNotRun(c *qt.C, d *deployment) {
	w.sending.Wait()
	for _, got := range w.results {
		c.Assert(got.Err, qt.IsNil)
		c.Check(got.Failure().Ran, qt.Equals, "no", qt.Commentf("%d %s", got.Status, got.Body))
	}
	c.Check(total(d.executions(c)), qt.Equals, engineSlots)
}

// sendTold sends a request and tells when the daemon has accepted it, which is
// when it asks for the body.
func sendTold(chat demo.Chat, address string, accepted chan<- struct{}) demo.Result {
	transport := &http.Transport{DisableKeepAlives: true, ExpectContinueTimeout: waitLimit}
	client := &http.Client{Transport: transport, Timeout: waitLimit}
	trace := &httptrace.ClientTrace{Got100Continue: func() { accepted <- struct{}{} }}
	req, err := chat.NewRequest(httptrace.WithClientTrace(context.Background(), trace), address)
	if err != nil {
		return demo.Result{Err: err}
	}
	req.Header.Set("Expect", "100-continue")
	resp, err := client.Do(req)
	if err != nil {
		return demo.Result{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return demo.Result{Status: resp.StatusCode, Header: resp.Header, Body: body, Err: err}
}

// freezeDuring stops a daemon, lets something happen until the others suspect
// it, and lets it go on.
func freezeDuring(c *qt.C, frozen *daemon, others []*daemon, happen func()) {
	c.Assert(frozen.cmd.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	happen()
	eventually(c, "frozen daemon suspected", func() bool {
		return !slices.Contains(entriesOf(c, others[0]), frozen.callers)
	})
	c.Assert(frozen.cmd.Process.Signal(syscall.SIGCONT), qt.IsNil)
}
