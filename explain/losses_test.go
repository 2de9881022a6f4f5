package explain

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// endedLines holds the last log lines of seven requests, one of them without a route.
const endedLines = `
{"time":"2026-01-01T10:00:00.1Z","message":"request ended","route":"r","outcome":"answered","status":200,"target_ms":1000,"most_pause_ms":500,"first_ms":100,"pause_ms":20,"prompt_tokens":1000,"answer_tokens":10,"worth":2,"chance":0.9,"price":0.1,"attempts":1}
{"time":"2026-01-01T10:00:00.2Z","message":"request ended","route":"r","outcome":"answered","status":200,"target_ms":1000,"most_pause_ms":500,"first_ms":1100,"pause_ms":20,"prompt_tokens":9000,"answer_tokens":10,"worth":4,"chance":1,"price":0.5,"attempts":2}
{"time":"2026-01-01T10:00:02.1Z","message":"request ended","route":"r","outcome":"answered","status":200,"target_ms":1000,"most_pause_ms":500,"first_ms":100,"pause_ms":600,"prompt_tokens":1000,"answer_tokens":10,"worth":2,"chance":0.2,"price":0.1,"attempts":2,"resumed":1}
{"time":"2026-01-01T10:00:02.2Z","message":"request ended","route":"r","outcome":"answered","status":200,"target_ms":1000,"most_pause_ms":500,"first_ms":100,"pause_ms":6,"prompt_tokens":900,"answer_tokens":10,"worth":2,"chance":0.2,"price":0.1,"attempts":1}
{"time":"2026-01-01T10:00:02.3Z","message":"request ended","route":"plain","outcome":"no_capacity","ran":"no","status":503,"target_ms":300,"first_ms":0,"attempts":0}
{"time":"2026-01-01T10:00:02.4Z","message":"request ended","route":"plain","outcome":"engine_failed","ran":"unknown","status":502,"target_ms":300,"first_ms":0,"attempts":1}
{"time":"2026-01-01T10:00:02.5Z","message":"request ended","outcome":"not_found","ran":"no","status":404}
`

func TestLossesSumUpByRouteSizeAndTime(t *testing.T) {
	c := qt.New(t)
	lines, _, err := ReadLog(strings.NewReader(endedLines))
	c.Assert(err, qt.IsNil)
	byRoute, bySize, byTime := Losses(lines, 2*time.Second)
	c.Assert(byRoute, qt.HasLen, 2)
	c.Check(byRoute[0].Group, qt.Equals, "plain")
	c.Check(byRoute[0].ByCause, qt.DeepEquals, map[Cause]int{CauseRefused: 1, CauseFailed: 1})
	r := byRoute[1]
	c.Check(r.Requests, qt.Equals, 4)
	c.Check(r.ByCause, qt.DeepEquals, map[Cause]int{CauseNone: 1, CauseLateFirst: 1, CauseLatePause: 1, CauseLowConfidence: 1})
	c.Check(r.Worth, qt.Equals, 10.0)
	c.Check(r.ExpectedLoss > 3.39 && r.ExpectedLoss < 3.41, qt.IsTrue, qt.Commentf("%v", r.ExpectedLoss))
	c.Check(r.Resends, qt.Equals, 2)
	c.Check(r.Resumed, qt.Equals, 1)
	c.Assert(byTime, qt.HasLen, 2)
	c.Check(byTime[0].Requests, qt.Equals, 2)
	c.Check(byTime[1].Requests, qt.Equals, 4)
	last := bySize[len(bySize)-1]
	c.Check(last.Group, qt.Equals, "r, largest tenth")
	c.Check(last.ByCause, qt.DeepEquals, map[Cause]int{CauseLateFirst: 1})
}
