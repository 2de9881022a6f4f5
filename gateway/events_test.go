package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// readAll reads every event of a stream.
func readAll(stream string) (events []event, err error) {
	s := newEvents(strings.NewReader(stream))
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
