package membership

import (
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestThreeDaemonsOverLoopback(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	a := startDaemon(t, "a", "hall-centro", nil)
	b := startDaemon(t, "b", "hall-porto", nil, a.address)
	d := startDaemon(t, "d", "hall-serra", nil, a.address)
	all := []*daemon{a, b, d}
	for _, m := range all {
		waitView(t, m, "all three are live", func(v *View) bool { return v.Live() == 3 })
	}

	c.Assert(b.Table().Publish("test/key", 7, []byte("value")), qt.IsNil)
	for _, m := range all {
		waitEntry(t, m, "test/key", 7)
	}

	owners := 0
	for _, m := range all {
		name, self := m.Owner("shard/1")
		first, _ := a.Owner("shard/1")
		c.Check(name, qt.Equals, first)
		if self {
			owners++
		}
		c.Check(m.IsWatcher(), qt.IsTrue)
	}
	c.Check(owners, qt.Equals, 1)

	random := rand.New(rand.NewPCG(1, 1))
	addresses, ttl := d.Entries("hall-porto", random)
	c.Check(addresses[0], qt.Equals, "caller-b")
	c.Check(addresses, qt.HasLen, 3)
	c.Check(ttl > 0, qt.IsTrue)

	b.Leave()
	for _, m := range all {
		waitView(t, m, "b leaves", func(v *View) bool {
			member, _ := v.Member("b")
			return member.State == Leaving && member.Reason == ReasonAnnounced
		})
		addresses, _ := m.Entries("hall-porto", random)
		c.Check(slices.Contains(addresses, "caller-b"), qt.IsFalse)
	}
	b.stop()
	for _, m := range []*daemon{a, d} {
		waitView(t, m, "b is gone", func(v *View) bool { return len(v.Members) == 2 })
	}
}
