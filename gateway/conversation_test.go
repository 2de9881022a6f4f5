package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRetryHasSameAffinityAsFirstRequest guards against retries going to other engines than
// the first requests. After the loss of all daemons, callers retry with new ids and the same
// prompts, whose last parts the engines still have cached.
func TestRetryHasSameAffinityAsFirstRequest(t *testing.T) {
	c := qt.New(t)
	affinity := func(m Meta) uint64 {
		q := &request{meta: m}
		q.setAffinity()
		return q.session
	}
	shared, own, other := Part{ID: "a", Tokens: 500}, Part{ID: "b", Tokens: 600}, Part{ID: "c", Tokens: 600}
	first := affinity(Meta{ID: "r-1", Parts: []Part{shared, own}})
	c.Check(affinity(Meta{ID: "r-2", Parts: []Part{shared, own}}), qt.Equals, first)
	c.Check(affinity(Meta{ID: "r-1", Parts: []Part{shared, other}}), qt.Not(qt.Equals), first)
	c.Check(affinity(Meta{ID: "r-1", Session: "s", Parts: []Part{shared, own}}), qt.Equals, affinity(Meta{ID: "r-2", Session: "s"}))
	c.Check(affinity(Meta{ID: "r-1"}), qt.Not(qt.Equals), affinity(Meta{ID: "r-2"}))
}
