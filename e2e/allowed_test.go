package e2e

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/demo"
)

// kiosksKey is the key of an organisation that may use the cheap version only.
const kiosksKey = "key-kiosks"

func TestRequestsOutsideTheAllowedVersionsAreRefused(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deploy(c, 2, 1)
	conversation := demo.Chat{Key: key, Conversation: "talk", Model: "small", Prompt: "begin"}
	c.Assert(send(conversation, d.daemons[0].callers).Check(conversation), qt.IsNil)
	before := total(d.executions(c))
	assertRefused := func(chat demo.Chat, code string) {
		for _, daemon := range d.daemons {
			got := send(chat, daemon.callers)
			c.Check(got.Failure().Code, qt.Equals, code, qt.Commentf("%d %s", got.Status, got.Body))
			c.Check(got.Failure().Ran, qt.Equals, "no")
		}
		c.Check(total(d.executions(c)), qt.Equals, before)
	}
	assertRefused(demo.Chat{Key: kiosksKey, Model: strong, Prompt: "by version"}, "version_not_allowed")
	assertRefused(demo.Chat{Key: kiosksKey, Model: "large", Prompt: "by model"}, "version_not_allowed")
	assertRefused(demo.Chat{Key: "key-of-nobody", Prompt: "no key"}, "unauthenticated")

	// Revoking a permission also applies to conversations that started before.
	register := d.registerMessage()
	register.Organisations[0].AllowedModels = []string{"large"}
	writeMessage(c, d.register, register)
	d.apply(c)
	d.waitInForce(c, 2, d.daemons[0], d.daemons[0].name, d.daemons[1].name)
	conversation.Model = ""
	assertRefused(conversation, "version_not_allowed")
}
