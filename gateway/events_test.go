package gateway

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// readAll reads every event of a stream.
func readAll(stream string) (events []event, err error) {
	return readEvents(newEvents(strings.NewReader(stream)))
}

// readEvents reads every event.
func readEvents(s *events) (events []event, err error) {
	for {
		e, err := s.next()
		if err != nil {
			return events, err
		}
		events = append(events, e)
	}
}

func TestStreamIsSplitIntoCompleteEvents(t *testing.T) {
	c := qt.New(t)
	got, err := readAll("id: 1\ndata: a\n\nversions: 2\nid:2\r\ndata: b\r\n\r\n\n: comment\n\n")
	c.Check(errors.Is(err, io.EOF), qt.IsTrue)
	c.Assert(got, qt.HasLen, 3)
	c.Check(got[0].id, qt.Equals, "1")
	c.Check(got[1].id, qt.Equals, "2")
	c.Check(string(got[1].data), qt.Equals, "versions: 2\nid:2\r\ndata: b\r\n\r\n")
}

func TestUnfinishedEventIsDropped(t *testing.T) {
	c := qt.New(t)
	for _, cut := range []string{"i", "id: 2\n", "id: 2\ndata: b", "id: 2\ndata: b\n"} {
		got, err := readAll("id: 1\ndata: a\n\n" + cut)
		c.Check(errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue, qt.Commentf("%q: %v", cut, err))
		c.Check(got, qt.HasLen, 1)
	}
}

func TestTooLongEventIsRefused(t *testing.T) {
	_, err := readAll("data: " + strings.Repeat("x", maxEventBytes+1) + "\n\n")
	qt.Check(t, errors.Is(err, errEventTooLong), qt.IsTrue)
}

func TestEventIDsMustIncreaseByOne(t *testing.T) {
	c := qt.New(t)
	for _, step := range []struct {
		after, id string
		ok        bool
	}{{"", "5", true}, {"5", "6", true}, {"5", "7", false}, {"5", "5", false}, {"5", "", true}, {"x", "9", true}} {
		err := follows(step.after, event{id: step.id})
		c.Check(err == nil, qt.Equals, step.ok, qt.Commentf("%q after %q", step.id, step.after))
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n")
	f.Fuzz(func(t *testing.T, stream string) {
		got, _ := readAll(stream)
		joined := ""
		for _, e := range got {
			joined += string(e.data)
		}
		if !strings.HasPrefix(stream, joined) {
			t.Fatalf("%q is no beginning of %q", joined, stream)
		}
	})
}

// chunks reads from a text in chunks of drawn sizes.
type chunks struct {
	t    *rapid.T
	text string
}

func (c *chunks) Read(p []byte) (int, error) {
	if c.text == "" {
		return 0, io.EOF
	}
	n := copy(p, c.text[:min(rapid.SampledFrom([]int{1, 7, 100, 2048, 1 << 20}).Draw(c.t, "chunk"), len(c.text))])
	c.text = c.text[n:]
	return n, nil
}

// drawLine returns a line, with lengths around the size of the reader's buffer.
func drawLine(t *rapid.T) string {
	around := rapid.SampledFrom([]int{1, 20, 2048, 4096}).Draw(t, "around")
	return strings.Repeat("x", max(around+rapid.IntRange(-2, 2).Draw(t, "offset"), 1))
}

// TestEventsPassByteForByte compares what comes out of drawn streams with what goes in, whole and cut
// anywhere: lines of any length end with LF, CRLF or CR, and events with a blank line.
func TestEventsPassByteForByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
		var want []string
		for n := range rapid.IntRange(1, 5).Draw(t, "events") {
			text := fmt.Sprintf("id: %d%s", n+1, lineEnd)
			for range rapid.IntRange(0, 3).Draw(t, "lines") {
				text += "data: " + drawLine(t) + lineEnd
			}
			want = append(want, text+lineEnd)
		}
		whole := strings.Join(want, "")
		cut := rapid.IntRange(0, len(whole)).Draw(t, "cut")
		if rapid.Bool().Draw(t, "uncut") {
			cut = len(whole)
		}
		got, err := readEvents(newEvents(&chunks{t, whole[:cut]}))
		joined := ""
		for i, e := range got {
			joined += string(e.data)
			if strings.TrimRight(string(e.data), "\r\n") != strings.TrimRight(want[i], "\r\n") || e.id != strconv.Itoa(i+1) {
				t.Fatalf("event %d has id %q and %d bytes, want %d", i, e.id, len(e.data), len(want[i]))
			}
		}
		if !strings.HasPrefix(whole, joined) {
			t.Fatalf("%d events are no beginning of the stream", len(got))
		}
		complete := 0
		for end := 0; complete < len(want) && end+len(want[complete]) <= cut; complete++ {
			end += len(want[complete])
		}
		// A cut between CR and LF at the end of an event leaves it complete.
		if len(got) != complete && (lineEnd != "\r\n" || len(got) != complete+1 || whole[cut-1] != '\r') {
			t.Fatalf("%d of %d complete events", len(got), complete)
		}
		if ended := len(strings.TrimSpace(whole[len(joined):cut])) == 0; ended != errors.Is(err, io.EOF) || !ended && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("the stream ends with %v after %d of %d bytes", err, len(joined), cut)
		}
		if cut == len(whole) && joined != whole {
			t.Fatalf("%d of %d bytes came out", len(joined), len(whole))
		}
	})
}

// TestEventIsCompleteBeforeTheNextByte guards against an event that is held back until the next one
// begins, because its last CR could be followed by an LF.
func TestEventIsCompleteBeforeTheNextByte(t *testing.T) {
	c := qt.New(t)
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		r, w := io.Pipe()
		text := "id: 1" + lineEnd + "data: a" + lineEnd + lineEnd
		go func() { _, _ = io.WriteString(w, text) }() // The pipe stays open.
		e, err := newEvents(r).next()
		c.Check(err, qt.IsNil)
		c.Check(string(e.data), qt.Equals, text)
		_ = r.Close()
	}
}
