package e2e

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/demo"
)

// kiosks may use the cheap version alone.
const kiosksKey = "key-kiosks"

func TestOrganisationRunsOnlyOnWhatItMayUse(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 2, 1)
	talk := demo.Chat{Key: key, Conversation: "talk", Model: "small", Prompt: "begin"}
	c.Assert(send(talk, d.daemons[0].callers).Check(talk), qt.IsNil)
	before := total(d.executions(c))
	refuse := func(chat demo.Chat, code string) {
		for _, one := range d.daemons {
			got := send(chat, one.callers)
			c.Check(got.Failure().Code, qt.Equals, code, qt.Commentf("%d %s", got.Status, got.Body))
			c.Check(got.Failure().Ran, qt.Equals, "no")
		}
		c.Check(total(d.executions(c)), qt.Equals, before)
	}
	refuse(demo.Chat{Key: kiosksKey, Model: strong, Prompt: "by version"}, "version_not_allowed")
	refuse(demo.Chat{Key: kiosksKey, Model: "large", Prompt: "by model"}, "version_not_allowed")
	refuse(demo.Chat{Key: "key-of-nobody", Prompt: "no key"}, "unauthenticated")

	// A right that is taken away ends also for conversations begun before.
	register := d.registerMessage()
	register.Organisations[0].AllowedModels = []string{"large"}
	writeMessage(c, d.register, register)
	d.apply(c)
	d.inForceAt(c, 2, d.daemons[0], d.daemons[0].name, d.daemons[1].name)
	talk.Model = ""
	refuse(talk, "version_not_allowed")
}
