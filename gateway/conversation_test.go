package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRepeatBelongsWhereTheFirstOneDid is the load after all daemons were lost: callers
// come back with other ids and the same prompts, whose own parts the engines still hold.
func TestRepeatBelongsWhereTheFirstOneDid(t *testing.T) {
	c := qt.New(t)
	identified := func(m Meta) uint64 {
		q := &request{meta: m}
		q.identify()
		return q.session
	}
	shared, own, other := Part{ID: "a", Tokens: 500}, Part{ID: "b", Tokens: 600}, Part{ID: "c", Tokens: 600}
	first := identified(Meta{ID: "r-1", Parts: []Part{shared, own}})
	c.Check(identified(Meta{ID: "r-2", Parts: []Part{shared, own}}), qt.Equals, first)
	c.Check(identified(Meta{ID: "r-1", Parts: []Part{shared, other}}), qt.Not(qt.Equals), first)
	c.Check(identified(Meta{ID: "r-1", Session: "s", Parts: []Part{shared, own}}), qt.Equals, identified(Meta{ID: "r-2", Session: "s"}))
	c.Check(identified(Meta{ID: "r-1"}), qt.Not(qt.Equals), identified(Meta{ID: "r-2"}))
}
