package e2e

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/demo"
	"github.com/bronzeturn/bronzeturn/standin"
)

// endMark is the event that ends a complete stream.
const endMark = "data: [DONE]"

// TestTruncatedAnswerIsNeverReportedAsComplete guards against an answer that the engine cuts
// after a few tokens reaching the caller as a complete one, streamed or not.
func TestTruncatedAnswerIsNeverReportedAsComplete(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 1, 2)
	for _, address := range d.engineAddresses {
		setFaults(c, address, standin.Faults{BreakAfterTokens: 3})
	}
	for i := range 8 {
		chat := demo.Chat{Key: key, Prompt: fmt.Sprintf("cut %d", i), Stream: i%2 == 0}
		got := send(chat, d.daemons[0].callers)
		c.Check(got.Check(chat), qt.IsNotNil)
		if chat.Stream {
			// The daemon aborts the connection, so that a caller that does not check for
			// the end mark also sees an error.
			c.Check(got.Err, qt.IsNotNil, qt.Commentf("%s", got.Body))
			c.Check(bytes.Contains(got.Body, []byte("answer_broken")), qt.IsTrue, qt.Commentf("%s", got.Body))
		}
		c.Check(bytes.Contains(got.Body, []byte(endMark)), qt.IsFalse, qt.Commentf("%s", got.Body))
		if !chat.Stream {
			c.Check(got.Status, qt.Not(qt.Equals), http.StatusOK)
			c.Check(got.Failure().Ran, qt.Not(qt.Equals), "no", qt.Commentf("%s", got.Body))
		}
	}
	for _, address := range d.engineAddresses {
		setFaults(c, address, standin.Faults{})
	}
	complete := demo.Chat{Key: key, Prompt: "whole", Stream: true}
	eventually(c, "complete answers again", func() bool {
		got := send(complete, d.daemons[0].callers)
		return got.Check(complete) == nil && bytes.Contains(got.Body, []byte(endMark))
	})
}

// TestServiceCallWithALostAnswerRunsOnce repeats a call to a non-idempotent service at all
// daemons after its answer was lost, and then one that the service refused without running it.
func TestServiceCallWithALostAnswerRunsOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 3, 1)
	setFaults(c, d.service, standin.Faults{LoseAnswers: 1})
	for i := range 6 {
		got := callService(c, d.daemons[i%3].callers, "reorder-1")
		c.Check(got.Failure().Ran, qt.Equals, "unknown", qt.Commentf("%d %s", got.Status, got.Body))
	}
	c.Check(executionsAt(c, d.service), qt.Equals, 1)
	setFaults(c, d.service, standin.Faults{Refuse: true})
	refused := callService(c, d.daemons[0].callers, "reorder-2")
	c.Check(refused.Failure().Ran, qt.Equals, "no", qt.Commentf("%d %s", refused.Status, refused.Body))
	setFaults(c, d.service, standin.Faults{})
	eventually(c, "the refused call runs", func() bool {
		return callService(c, d.daemons[1].callers, "reorder-2").Status == http.StatusOK
	})
	c.Check(executionsAt(c, d.service), qt.Equals, 2)
}
