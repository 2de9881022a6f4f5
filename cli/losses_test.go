package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestLossesPrintsTablesByRouteSizeAndTime(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "entry.log")
	line := `{"time":"2026-01-01T10:00:00Z","message":"request ended","route":"r-1","outcome":"answered","status":200,` +
		`"target_ms":1000,"first_ms":1500,"prompt_tokens":900,"answer_tokens":10,"worth":2,"chance":0.5,"price":0.25,"attempts":2}` + "\n"
	c.Assert(os.WriteFile(file, []byte(line), 0o600), qt.IsNil)
	got := run(t, "losses", file)
	c.Assert(got.code, qt.Equals, ExitOK, qt.Commentf("%s", got.stderr))
	out := got.stdout
	var row []string
	for text := range strings.Lines(out) {
		if fields := strings.Fields(text); len(fields) > 0 && fields[0] == "r-1" {
			row = fields
		}
	}
	c.Check(row, qt.DeepEquals, []string{"r-1", "1", "0", "0", "0", "1", "0", "0", "1", "0", "2.0", "1.0", "0.2"})
	c.Check(strings.Contains(out, "r-1, largest tenth"), qt.IsTrue)
	c.Check(strings.Contains(out, "10:00:00"), qt.IsTrue)
}
