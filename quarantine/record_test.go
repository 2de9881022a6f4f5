package quarantine

import (
	"errors"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Record{
			Verdict: Verdict{
				Hash: Hash(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "hash")), Service: rapid.StringMatching("[a-z]*").Draw(t, "service"),
				Versions: rapid.SliceOfN(rapid.StringMatching("[a-z]+"), 1, 3).Draw(t, "versions"),
				Engines:  rapid.SliceOfN(rapid.StringMatching("[a-z]+"), 1, 9).Draw(t, "engines"),
				First:    time.UnixMilli(rapid.Int64Range(1, 1<<40).Draw(t, "first")), Last: time.UnixMilli(rapid.Int64Range(1, 1<<40).Draw(t, "last")),
				Tied: rapid.Bool().Draw(t, "tied"),
			},
			RetriesLeft: rapid.IntRange(0, maxRetries).Draw(t, "left"), Daemon: "d", Revision: 7,
		}
		if rapid.Bool().Draw(t, "retried") {
			r.Retried = time.UnixMilli(rapid.Int64Range(1, 1<<40).Draw(t, "at"))
		}
		data, err := r.encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeRecord(r.Hash.String(), 7, data)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, r) {
			t.Fatalf("%+v read as %+v", r, got)
		}
	})
}

// TestRecordUnderAnotherNameIsRejected guards against holding back a request on the strength of
// a record that does not identify it reliably.
func TestRecordUnderAnotherNameIsRejected(t *testing.T) {
	c := qt.New(t)
	r := Record{Verdict: Verdict{Hash: crasher}}
	data, err := r.encode()
	c.Assert(err, qt.IsNil)
	for name, value := range map[string][]byte{
		a.String():             data,
		"none":                 data,
		crasher.String():       []byte("no message"),
		crasher.String() + "0": data,
	} {
		_, err := DecodeRecord(name, 1, value)
		var recordErr *RecordError
		c.Check(errors.As(err, &recordErr), qt.IsTrue, qt.Commentf(name))
	}
}
