package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/demo"
)

// TestConversationSettlesOnOneVersion lets two first requests of a conversation
// ask for different models at two daemons at the same time.
func TestConversationSettlesOnOneVersion(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 2)
	onCheap := ""
	for i := range 6 {
		conversation := fmt.Sprintf("talk-%d", i)
		version := d.begin(c, conversation)
		if version == cheap {
			onCheap = conversation
		}
		// All later requests, anywhere, run on it.
		for _, one := range d.daemons {
			chat := demo.Chat{Key: key, Conversation: conversation, Prompt: "go on"}
			got := send(chat, one.callers)
			c.Assert(got.Check(chat), qt.IsNil, qt.Commentf("%d %s", got.Status, got.Body))
			c.Assert(got.Header.Get(callerapi.HeaderVersion), qt.Equals, version)
		}
	}
	if onCheap == "" {
		onCheap = "talk-cheap"
		chat := demo.Chat{Key: key, Conversation: onCheap, Model: "small", Prompt: "begin"}
		c.Assert(send(chat, d.daemons[0].callers).Check(chat), qt.IsNil)
	}

	d.withdraw(c)
	d.inForceAt(c, 2, d.daemons[0], d.daemons[0].name, d.daemons[1].name, d.daemons[2].name)
	before := total(d.executions(c))
	for _, one := range d.daemons {
		got := send(demo.Chat{Key: key, Conversation: onCheap, Prompt: "and now"}, one.callers)
		c.Assert(got.Failure().Code, qt.Equals, "version_withdrawn", qt.Commentf("%d %s", got.Status, got.Body))
		c.Assert(got.Failure().Ran, qt.Equals, "no")
	}
	c.Assert(total(d.executions(c)), qt.Equals, before)
}

// begin sends two first requests at once and returns the version that the
// conversation has settled on. The one that asks for the other model is refused.
func (d *deployment) begin(c *qt.C, conversation string) string {
	models := []string{"small", "large"}
	results := make([]demo.Result, len(models))
	var sending sync.WaitGroup
	for i, model := range models {
		chat := demo.Chat{Key: key, Conversation: conversation, Model: model, Prompt: "begin"}
		sending.Go(func() { results[i] = send(chat, d.daemons[i].callers) })
	}
	sending.Wait()
	version := ""
	for _, got := range results {
		c.Assert(got.Err, qt.IsNil)
		if got.Status == http.StatusOK {
			c.Assert(version, qt.Equals, "", qt.Commentf("both versions answered"))
			version = got.Header.Get(callerapi.HeaderVersion)
			continue
		}
		c.Assert(got.Failure().Code, qt.Equals, "version_not_allowed", qt.Commentf("%s", got.Body))
		c.Assert(got.Failure().Ran, qt.Equals, "no")
	}
	c.Assert(version, qt.Not(qt.Equals), "")
	return version
}
