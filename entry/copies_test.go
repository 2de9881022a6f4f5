package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/follow"
	"github.com/bronzeturn/bronzeturn/inventory"
)

// testDocuments decodes the entries of engines, and fails unless the spec is "good".
type testDocuments struct{ Documents }

var errInvalidEntry = errors.New("bad entry")

func (testDocuments) Engine(item follow.Item) (inventory.Registration, error) {
	if string(item.Spec) != "good" {
		return inventory.Registration{}, errInvalidEntry
	}
	return inventory.Registration{Engine: inventory.Engine{ID: item.Name, Service: "s"}}, nil
}

// TestInvalidRegistrationRemovesTheEngine guards against an entry that cannot be decoded: the engine
// must be removed, the other engines must stay, and each revision must be logged once.
func TestInvalidRegistrationRemovesTheEngine(t *testing.T) {
	c := qt.New(t)
	var lines bytes.Buffer
	d := &Daemon{log: zerolog.New(&lines), registry: prometheus.NewRegistry()}
	d.slowStarts = newSlowStarts(d)
	d.quarantine = newQuarantine(d)
	d.Documents = testDocuments{}
	d.engines = inventory.New(time.Second, func(_, _ *inventory.View) {})
	follower := follow.New(follow.Options{
		Kind: "engines", Apply: d.registrationsChanged, Announce: func(uint64) {}, Log: zerolog.Nop(),
	})
	listed := func(revision uint64, spec string) {
		follower.ApplySnapshot(follow.NewSnapshot(revision, slices.Values([]follow.Item{
			{Name: "a", Revision: revision, Spec: []byte(spec)},
			{Name: "b", Revision: 1, Spec: []byte("good")},
		})))
	}
	ids := func() (all []string) {
		for _, e := range d.engines.View().Engines {
			all = append(all, e.ID)
		}
		return all
	}
	listed(1, "good")
	c.Check(ids(), qt.DeepEquals, []string{"a", "b"})
	listed(2, "torn")
	listed(2, "torn")
	c.Check(ids(), qt.DeepEquals, []string{"b"})
	c.Check(strings.Count(lines.String(), "names no engine"), qt.Equals, 1)
	var line struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
		Error    string `json:"error"`
	}
	c.Assert(json.Unmarshal(lines.Bytes(), &line), qt.IsNil)
	c.Check(line.Key, qt.Equals, "a")
	c.Check(line.Revision, qt.Equals, uint64(2))
	c.Check(line.Error, qt.Equals, errInvalidEntry.Error())
	listed(3, "torn")
	c.Check(strings.Count(lines.String(), "names no engine"), qt.Equals, 2)
	listed(4, "good")
	c.Check(ids(), qt.DeepEquals, []string{"a", "b"})
}
