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

// TestConversationSettlesOnOneVersion sends the first two requests of a conversation to two
// daemons at the same time, each for another model. All later requests must run on the version
// that was chosen, and be refused once it is withdrawn.
func TestConversationSettlesOnOneVersion(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 2)
	onCheap := ""
	for i := range 6 {
		conversation := fmt.Sprintf("talk-%d", i)
		version := d.startConversation(c, conversation)
		if version == cheap {
			onCheap = conversation
		}
		// All later requests run on that version, at any daemon.
		for _, daemon := range d.daemons {
			chat := demo.Chat{Key: key, Conversation: conversation, Prompt: "go on"}
			got := send(chat, daemon.callers)
			c.Assert(got.Check(chat), qt.IsNil, qt.Commentf("%d %s", got.Status, got.Body))
			c.Assert(got.Header.Get(callerapi.HeaderVersion), qt.Equals, version)
		}
	}
	if onCheap == "" {
		onCheap = "talk-cheap"
		chat := demo.Chat{Key: key, Conversation: onCheap, Model: "small", Prompt: "begin"}
		c.Assert(send(chat, d.daemons[0].callers).Check(chat), qt.IsNil)
	}

	d.withdrawCheap(c)
	d.waitInForce(c, 2, d.daemons[0], d.daemons[0].name, d.daemons[1].name, d.daemons[2].name)
	before := total(d.executions(c))
	for _, daemon := range d.daemons {
		got := send(demo.Chat{Key: key, Conversation: onCheap, Prompt: "and now"}, daemon.callers)
		c.Assert(got.Failure().Code, qt.Equals, "version_withdrawn", qt.Commentf("%d %s", got.Status, got.Body))
		c.Assert(got.Failure().Ran, qt.Equals, "no")
	}
	c.Assert(total(d.executions(c)), qt.Equals, before)
}

// startConversation sends the first two requests of a conversation concurrently, each for
// another model, and returns the version that the conversation is bound to. The request for
// the other model must be refused.
func (d *deployment) startConversation(c *qt.C, conversation string) string {
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
