package e2e

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/demo"
	"github.com/bronzeturn/bronzeturn/standin"
)

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
