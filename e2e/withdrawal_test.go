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

// withdrawCheap withdraws the cheap version with the command-line tool.
func (d *deployment) withdrawCheap(c *qt.C) {
	out, code := runCLI("withdraw", cheap, "--reason", "turned bad", "--store", "http://"+d.store)
	c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
}

// waitInForce waits until the status at the asked daemon shows the generation, or a newer one,
// in force at the named daemons.
func (d *deployment) waitInForce(c *qt.C, generation uint64, asked *daemon, names ...string) {
	eventually(c, "generation in force", func() bool {
		found := 0
		for _, daemon := range statusOf(c, asked).GetDaemons() {
			for _, name := range names {
				if daemon.GetName() == name && daemon.GetGenerationInForce() >= generation {
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
	// The kernel accepts connections for the frozen daemon, so that the requests are
	// already queued when it resumes.
	const requests = 40
	results := make([]demo.Result, requests)
	var sending sync.WaitGroup
	whileFrozen(c, frozen, others, func() {
		d.withdrawCheap(c)
		d.waitInForce(c, 2, others[0], others[0].name, others[1].name)
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
	c.Check(d.executions(c), qt.HasLen, countAnswered(results))
}

// TestFrozenDaemonResumesInAnOutageWithoutTheVersion takes the store down between the
// withdrawal and the end of the freeze, so that the daemon can learn of the withdrawal only
// from its peers.
func TestFrozenDaemonResumesInAnOutageWithoutTheVersion(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 2)
	frozen, others := d.daemons[2], d.daemons[:2]
	waiting := make(chan demo.Result, 1)
	whileFrozen(c, frozen, others, func() {
		d.withdrawCheap(c)
		d.waitInForce(c, 2, others[0], others[0].name, others[1].name)
		setFaults(c, d.store, standin.Faults{Refuse: true})
		go func() { waiting <- send(demo.Chat{Key: key, Model: cheap, Prompt: "waiting"}, frozen.callers) }()
	})
	eventually(c, "requests served again", func() bool {
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

// countAnswered returns the number of requests that were answered without a failure.
func countAnswered(results []demo.Result) int {
	count := 0
	for _, got := range results {
		if got.Err == nil && got.Failure().Code == "" {
			count++
		}
	}
	return count
}

// TestRequestThatWaitsThroughAFreezeDoesNotUseAWithdrawnVersion guards against the dispatch of
// requests whose version was chosen before the withdrawal, and that wait for an engine while
// their daemon is frozen.
func TestRequestThatWaitsThroughAFreezeDoesNotUseAWithdrawnVersion(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 1)
	frozen, others := d.daemons[2], d.daemons[:2]
	waiting := d.queueRequests(c, frozen)
	whileFrozen(c, frozen, others, func() {
		d.withdrawCheap(c)
		d.waitInForce(c, 2, others[0], others[0].name, others[1].name)
		setFaults(c, d.engineAddresses[0], standin.Faults{})
	})
	waiting.assertNotRun(c, d)
}

// TestRequestInTheQueueDoesNotUseAVersionWithdrawnMeanwhile guards against the dispatch of
// requests whose version was chosen before the withdrawal, and that leave the queue after it.
func TestRequestInTheQueueDoesNotUseAVersionWithdrawnMeanwhile(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 1, 1)
	waiting := d.queueRequests(c, d.daemons[0])
	d.withdrawCheap(c)
	d.waitInForce(c, 2, d.daemons[0], d.daemons[0].name)
	setFaults(c, d.engineAddresses[0], standin.Faults{})
	waiting.assertNotRun(c, d)
}

// queuedRequests are requests accepted by a daemon whose only engine has no free slot.
type queuedRequests struct {
	sending sync.WaitGroup
	results [2]demo.Result
}

// queueRequests fills the engine with slow answers and sends further requests to a daemon. It
// returns once the daemon has accepted them.
func (d *deployment) queueRequests(c *qt.C, daemon *daemon) *queuedRequests {
	setFaults(c, d.engineAddresses[0], standin.Faults{RateFactor: 0.02})
	w := &queuedRequests{}
	for i := range engineSlots {
		w.sending.Go(func() { send(demo.Chat{Key: key, Prompt: fmt.Sprintf("long %d", i)}, daemon.callers) })
	}
	eventually(c, "all slots taken", func() bool { return len(d.executions(c)) == engineSlots })
	accepted := make(chan struct{}, len(w.results))
	for i := range w.results {
		chat := demo.Chat{Key: key, Prompt: fmt.Sprintf("waiting %d", i)}
		w.sending.Go(func() { w.results[i] = sendAndSignalAccept(chat, daemon.callers, accepted) })
	}
	for range w.results {
		<-accepted
	}
	return w
}

// assertNotRun waits for the answers and checks that the queued requests were refused as not
// run, and did not run.
func (w *queuedRequests) assertNotRun(c *qt.C, d *deployment) {
	w.sending.Wait()
	for _, got := range w.results {
		c.Assert(got.Err, qt.IsNil)
		c.Check(got.Failure().Ran, qt.Equals, "no", qt.Commentf("%d %s", got.Status, got.Body))
	}
	c.Check(total(d.executions(c)), qt.Equals, engineSlots)
}

// sendAndSignalAccept sends a request with Expect: 100-continue, and sends to accepted when
// the daemon asks for the body: by then it has accepted the request.
func sendAndSignalAccept(chat demo.Chat, address string, accepted chan<- struct{}) demo.Result {
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

// whileFrozen stops a daemon, calls during, waits until the first of the others no longer
// lists the daemon, and resumes it.
func whileFrozen(c *qt.C, frozen *daemon, others []*daemon, during func()) {
	c.Assert(frozen.cmd.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	during()
	eventually(c, "frozen daemon suspected", func() bool {
		return !slices.Contains(entriesOf(c, others[0]), frozen.callers)
	})
	c.Assert(frozen.cmd.Process.Signal(syscall.SIGCONT), qt.IsNil)
}
