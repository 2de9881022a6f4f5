package e2e

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/demo"
	"github.com/bronzeturn/bronzeturn/standin"
)

// patient is a deployment whose claims wait for a platform that gets no processor for seconds.
var patient = plan{daemons: 3, engines: 2, daemonArgs: []string{"--claim-patience", "30s"}}

// standStill stops the process for a while, as when it gets no processor.
func (p *process) standStill(c *qt.C, length time.Duration) {
	c.Assert(p.cmd.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	time.Sleep(length)
	c.Assert(p.cmd.Process.Signal(syscall.SIGCONT), qt.IsNil)
}

// TestDaemonThatStoodStillAnswersAtOnce guards against daemons that refuse the first requests
// after they got no processor for a second, though the store tells them within milliseconds
// that nothing newer exists.
func TestDaemonThatStoodStillAnswersAtOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 2)
	for round := range 2 * len(d.daemons) {
		one := d.daemons[round%len(d.daemons)]
		one.standStill(c, 1500*time.Millisecond)
		chat := demo.Chat{Key: key, Prompt: fmt.Sprintf("after a pause %d", round)}
		got := send(chat, one.callers)
		c.Check(got.Check(chat), qt.IsNil, qt.Commentf("%d %s", got.Status, got.Body))
	}
}

// TestDaemonThatStoodStillAnswersDuringAnOutage guards against daemons that refuse all work for
// seconds after they got no processor for one, while the store does not answer.
func TestDaemonThatStoodStillAnswersDuringAnOutage(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 2)
	before := demo.Chat{Key: key, Prompt: "before"}
	c.Assert(send(before, d.daemons[0].callers).Check(before), qt.IsNil)
	control(c, d.store, standin.Faults{Refuse: true})
	for i := range d.daemons {
		d.daemons[i].standStill(c, 1500*time.Millisecond)
		chat := demo.Chat{Key: key, Prompt: fmt.Sprintf("after a pause %d", i)}
		got := send(chat, d.daemons[i].callers)
		c.Check(got.Check(chat), qt.IsNil, qt.Commentf("%d %s", got.Status, got.Body))
	}
}

// TestClaimsWaitForAStoreThatStandsStill guards against refusals of requests that run once at
// most, and against second runs, when the store gets no processor for longer than one of its
// calls may take. The daemons' patience is set to outlast it.
func TestClaimsWaitForAStoreThatStandsStill(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deployPlan(c, patient)
	for round := range 3 {
		chat := demo.Chat{Key: key, Kind: "tag", IdempotencyKey: fmt.Sprint("tag-", round), Prompt: "crate 9"}
		results := make([]demo.Result, 9)
		var sending sync.WaitGroup
		sending.Go(func() { d.storeProcess.standStill(c, 3*time.Second) })
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
