package explain

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestQueueIsExplained guards against operators who cannot tell a caller why it was refused and
// when it should have returned.
func TestQueueIsExplained(t *testing.T) {
	for _, test := range []struct{ name, fields, want string }{
		{"uncontended", `"outcome":"answered"`, ""},
		{"refused elsewhere", `"outcome":"no_capacity","ran":"no"`, ""},
		{
			"served", `"outcome":"answered","waited_ms":120.4,"ahead":14`,
			"The request waited 120ms for its turn at the contended service desk while 14 other requests started, and was then served.",
		},
		{
			"refused at once", `"outcome":"no_capacity","waited_ms":0,"ahead":0,"refused_because":"backlog","told_ms":310`,
			"The request was refused because it could not have started in time behind the requests ahead of it; its caller was told to return after 310ms.",
		},
		{
			"refused by another rule", `"outcome":"no_capacity","refused_because":"other"`,
			"The request was refused because of \"other\".",
		},
		{
			"failed", `"outcome":"engine_failed","waited_ms":20,"ahead":1`,
			"The request waited 20ms for its turn at the contended service desk while 1 other request started, and ended with engine_failed.",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			lines, _, err := ReadLog(strings.NewReader(
				`{"time":"2026-01-01T10:00:00Z","host":"h","request":"r-1","service":"desk",` + test.fields + `,"message":"request ended"}` + "\n" +
					`{"time":"2026-01-01T10:00:01Z","host":"h","request":"r-2","service":"desk","waited_ms":1,"message":"request ended"}`))
			c.Assert(err, qt.IsNil)
			var want []string
			if test.want != "" {
				want = []string{test.want}
			}
			c.Check(QueueSentences(lines, "r-1"), qt.DeepEquals, want)
		})
	}
}
