package explain

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const log1 = `{"level":"info","host":"h1","version":4,"time":"2026-02-01T22:57:40.000Z","message":"configuration in force"}
   3.1 h1 {"level":"warn","host":"h1","part":"gateway","request":"r1","engine":"e1","kind":"broken","ran":"unknown","because":"may_have_run","time":"2026-02-01T22:57:44.159Z","message":"attempt failed"}
{"level":"warn","host":"h1","part":"gateway","request":"r1","service":"s1","status":502,"time":"2026-02-01T22:57:44.160Z","message":"request ended"}
not a line
{"level":"info","host":"h1","part":"gateway","request":"r2","service":"s1","status":200,"time":"2026-02-01T22:57:44.170Z","message":"request ended"}
`

const log2 = `{"level":"info","host":"h2","engine":"e1","phase":"failing","time":"2026-02-01T22:57:43.500Z","message":"belief about an engine changed"}
{"level":"info","host":"h2","engine":"e2","phase":"failing","time":"2026-02-01T22:57:43.600Z","message":"belief about an engine changed"}
{"level":"info","host":"h2","version":4,"time":"2026-02-01T22:57:43.700Z","message":"configuration in force"}
{"level":"info","host":"h2","service":"s1","state":"running","time":"2026-02-01T22:57:30.000Z","message":"introduction ordered"}
`

func readBothLogs(c *qt.C) []Line {
	var all []Line
	for _, text := range []string{log1, log2} {
		lines, _, err := ReadLog(strings.NewReader(text))
		c.Assert(err, qt.IsNil)
		all = append(all, lines...)
	}
	return all
}

func messages(lines []Line) (all []string) {
	for _, l := range lines {
		all = append(all, l.Host+" "+l.Message)
	}
	return all
}

func TestRequestTimelineIncludesRelatedStateChanges(t *testing.T) {
	c := qt.New(t)
	got := RequestTimeline(readBothLogs(c), "r1")
	c.Check(messages(got), qt.DeepEquals, []string{
		"h1 configuration in force", "h2 belief about an engine changed", "h1 attempt failed", "h1 request ended",
	})
	c.Check(RequestTimeline(readBothLogs(c), "r9"), qt.HasLen, 0)
}

func TestRequestTimelineMatchesListsOfEngines(t *testing.T) {
	c := qt.New(t)
	lines, _, err := ReadLog(strings.NewReader(`{"host":"h1","engines":["e7","e1"],"time":"2026-02-01T22:57:43.000Z","message":"engine is cold"}
{"host":"h1","engines":["e8"],"time":"2026-02-01T22:57:43.100Z","message":"engine is cold"}
{"host":"h1","data_centre":"hall-1","engines":20,"time":"2026-02-01T22:57:43.200Z","message":"data centre evacuated, its engines get nothing new"}
{"host":"h1","request":"r1","engines":["e1"],"time":"2026-02-01T22:57:44.000Z","message":"request ended"}
`))
	c.Assert(err, qt.IsNil)
	c.Check(messages(RequestTimeline(lines, "r1")), qt.DeepEquals, []string{
		"h1 engine is cold", "h1 data centre evacuated, its engines get nothing new", "h1 request ended",
	})
	c.Check(Timeline(lines), qt.HasLen, 3)
}

func TestTimelineIsSortedAcrossHosts(t *testing.T) {
	c := qt.New(t)
	got := messages(Timeline(readBothLogs(c)))
	c.Check(got, qt.DeepEquals, []string{
		"h2 introduction ordered", "h1 configuration in force", "h2 belief about an engine changed",
		"h2 belief about an engine changed", "h2 configuration in force",
	})
}

func TestUnparsableLinesAreCounted(t *testing.T) {
	c := qt.New(t)
	lines, skipped, err := ReadLog(strings.NewReader(log1 + `{"time":"never"}` + "\n{\n"))
	c.Assert(err, qt.IsNil)
	c.Check(lines, qt.HasLen, 4)
	c.Check(skipped, qt.Equals, 3)
}

func FuzzRead(f *testing.F) {
	f.Add(log1)
	f.Fuzz(func(t *testing.T, text string) {
		lines, _, _ := ReadLog(strings.NewReader(text)) // Must not panic.
		_ = Timeline(lines)
		_ = RequestTimeline(lines, "r1")
	})
}
