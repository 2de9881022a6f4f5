package e2e

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/demo"
)

// longClaimPatience is a deployment whose claims wait long enough for a platform that gets no CPU
// time for seconds.
var longClaimPatience = deploymentSpec{daemons: 3, engines: 2, daemonArgs: []string{"--claim-patience", "30s"}}

// pauseFor stops the process for a while, as if it got no CPU time.
func (p *process) pauseFor(c *qt.C, length time.Duration) {
	c.Assert(p.cmd.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	time.Sleep(length)
	c.Assert(p.cmd.Process.Signal(syscall.SIGCONT), qt.IsNil)
}

// TestPausedDaemonAnswersOnResume guards against daemons that refuse the first requests after
// they got no CPU time for more than a second, although the store confirms within milliseconds
// that there is no newer configuration.
func TestPausedDaemonAnswersOnResume(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 2)
	for round := range 2 * len(d.daemons) {
		daemon := d.daemons[round%len(d.daemons)]
		daemon.pauseFor(c, 1500*time.Millisecond)
		chat := demo.Chat{Key: key, Prompt: fmt.Sprintf("after a pause %d", round)}
		got := send(chat, daemon.callers)
		c.Check(got.Check(chat), qt.IsNil, qt.Commentf("%d %s", got.Status, got.Body))
	}
}

// TestPausedDaemonAnswersDuringAStoreOutage guards against daemons that refuse all requests for
// seconds after they got no CPU time for more than a second, while the store is down.
func TestPausedDaemonAnswersDuringAStoreOutage(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deployInOutage(c)
	for i := range d.daemons {
		d.daemons[i].pauseFor(c, 1500*time.Millisecond)
		chat := demo.Chat{Key: key, Prompt: fmt.Sprintf("after a pause %d", i)}
		got := send(chat, d.daemons[i].callers)
		c.Check(got.Check(chat), qt.IsNil, qt.Commentf("%d %s", got.Status, got.Body))
	}
}

// TestClaimsWaitForAPausedStore guards against refusals and second runs of requests that must
// run at most once, when the store gets no CPU time for longer than the time-out of a call to
// it. The daemons' --claim-patience is longer than the pause.
func TestClaimsWaitForAPausedStore(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deployWith(c, longClaimPatience)
	for round := range 3 {
		chat := demo.Chat{Key: key, Kind: "tag", IdempotencyKey: fmt.Sprint("tag-", round), Prompt: "crate 9"}
		results := make([]demo.Result, 9)
		var sending sync.WaitGroup
		sending.Go(func() { d.storeProcess.pauseFor(c, 3*time.Second) })
		for i := range results {
			sending.Go(func() { results[i] = send(chat, d.daemons[i%3].callers) })
		}
		sending.Wait()
		for _, got := range results {
			c.Check(got.Check(chat), qt.IsNil, qt.Commentf("%d %s", got.Status, got.Body))
		}
		c.Check(total(d.executions(c)), qt.Equals, round+1)
	}
}
