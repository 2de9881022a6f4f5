package explain

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// loadLines holds the requests of two organisations at daemons of two data centres. One caller
// returns after a refusal and is served, another one does not return.
const loadLines = `
{"time":"2026-01-01T10:00:00.0Z","host":"a-1","message":"daemon started","data_centre":"a"}
{"time":"2026-01-01T10:00:00.0Z","host":"b-1","message":"daemon started","data_centre":"b"}
{"time":"2026-01-01T10:00:00.1Z","host":"a-1","message":"request ended","route":"r","organisation":"x","priority":0,"hash":"1","outcome":"no_capacity","ran":"no","status":503}
{"time":"2026-01-01T10:00:00.2Z","host":"a-1","message":"request ended","route":"r","organisation":"x","priority":0,"hash":"2","outcome":"no_capacity","ran":"no","status":503}
{"time":"2026-01-01T10:00:00.6Z","host":"b-1","message":"request ended","route":"r","organisation":"x","priority":0,"hash":"1","outcome":"answered","status":200,"waited_ms":30}
{"time":"2026-01-01T10:00:00.7Z","host":"b-1","message":"request ended","route":"r","organisation":"y","priority":2,"hash":"3","outcome":"answered","status":200}
`

// TestLoadIsSummedUpByWhoSentIt guards against a table that hides which organisation pays for
// the load of another one.
func TestLoadIsSummedUpByWhoSentIt(t *testing.T) {
	c := qt.New(t)
	lines, _, err := ReadLog(strings.NewReader(loadLines))
	c.Assert(err, qt.IsNil)
	got := SumUpLoad(lines)
	c.Check(got.ByOrganisation, qt.DeepEquals, []Share{
		{Group: "x", Requests: 3, ByCause: map[Cause]int{CauseRefused: 2, CauseNone: 1}, Waited: 1, WaitP95: 30 * time.Millisecond},
		{Group: "y", Requests: 1, ByCause: map[Cause]int{CauseNone: 1}},
	})
	c.Check(got.ByPriority[0].Group, qt.Equals, "0")
	c.Check(got.ByDataCentre[0], qt.DeepEquals, Share{Group: "a", Requests: 2, ByCause: map[Cause]int{CauseRefused: 2}})
	c.Check(got.Returns, qt.Equals, Returns{Refused: 2, Returned: 1, Served: 1})
}
