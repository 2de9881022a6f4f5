package config

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

func exampleSnapshot(tb testing.TB, example string) *Snapshot {
	tb.Helper()
	reg, rules := loadExample(tb, example)
	s, err := NewSnapshot(7, reg, rules)
	qt.Assert(tb, err, qt.IsNil)
	return s
}

func TestSnapshotSeparatesOrganisations(t *testing.T) {
	c := qt.New(t)
	s := exampleSnapshot(t, "campina-verde")
	c.Assert(s.VersionAllowed("rider-app", "dock-quick@2"), qt.IsTrue)
	c.Assert(s.VersionAllowed("rider-app", "diag-small@4"), qt.IsTrue)
	c.Assert(s.VersionAllowed("rider-app", "diag-small@5"), qt.IsFalse)
	c.Assert(s.VersionAllowed("nobody", "diag-small@4"), qt.IsFalse)
	c.Assert(s.AllowedVersions("rider-app"), qt.DeepEquals, []string{"diag-small@4", "dock-quick@1", "dock-quick@2"})
	c.Assert(s.AllowedVersions("nobody"), qt.HasLen, 0)
	c.Assert(s.ServiceAllowed("rider-app", "lock-status"), qt.IsTrue)
	c.Assert(s.ServiceAllowed("rider-app", "ticket-desk"), qt.IsFalse)
	c.Assert(s.ServiceAllowed("nobody", "lock-status"), qt.IsFalse)
}

func TestSnapshotRefusesWrongKeys(t *testing.T) {
	c := qt.New(t)
	s := exampleSnapshot(t, "campina-verde")
	digest := s.Register().GetOrganisations()[0].GetKeySha256()[0]
	for _, key := range []string{"", "key-", "key-rider-app ", digest} {
		org, ok := s.Authenticate(key)
		c.Assert(ok, qt.IsFalse, qt.Commentf("%q", key))
		c.Assert(org, qt.IsNil)
	}
}

func TestSnapshotRefusesTheEmptyKeyEvenIfRegistered(t *testing.T) {
	reg, rules := loadExample(t, "andina")
	const digestOfNothing = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
	reg.Organisations[0].KeySha256 = []string{digestOfNothing}
	s, err := NewSnapshot(1, reg, rules)
	qt.Assert(t, err, qt.IsNil)
	_, ok := s.Authenticate("")
	qt.Assert(t, ok, qt.IsFalse)
}

func TestSnapshotIndexes(t *testing.T) {
	c := qt.New(t)
	s := exampleSnapshot(t, "campina-verde")
	c.Assert(s.Generation(), qt.Equals, uint64(7))
	kind, ok := s.Kind("")
	c.Assert(ok, qt.IsTrue)
	c.Assert(kind.GetName(), qt.Equals, DefaultKind)
	_, ok = s.Kind("unheard")
	c.Assert(ok, qt.IsFalse)
	w, ok := s.Withdrawal("dock-quick@1")
	c.Assert(ok, qt.IsTrue)
	c.Assert(w.GetReason(), qt.Not(qt.Equals), "")
	_, ok = s.Withdrawal("dock-quick@2")
	c.Assert(ok, qt.IsFalse)
	r, ok := s.Rollout("diag-small@5")
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.GetBaseline(), qt.Equals, "diag-small@4")
	var engines []string
	for _, engine := range s.Engines("dock-quick@2") {
		engines = append(engines, engine.GetName())
	}
	c.Assert(engines, qt.DeepEquals, []string{"dock-app-1", "dock-app-2", "dock-app-3"})
	c.Assert(s.VersionsOf("dock-quick"), qt.DeepEquals, []string{"dock-quick@1", "dock-quick@2"})
	limit, ok := s.Limit("battery-lab")
	c.Assert(ok, qt.IsTrue)
	c.Assert(limit.GetDailySpendMicros(), qt.Equals, int64(200000000))
	pool, ok := s.Pool("diag-llm")
	c.Assert(ok && pool.GetChecksFencing(), qt.IsTrue)
	service, ok := s.Service("ticket-desk")
	c.Assert(ok && !service.GetIdempotent(), qt.IsTrue)
}

func TestSnapshotSetsDefaultsAndCopiesItsInput(t *testing.T) {
	c := qt.New(t)
	reg, rules := loadExample(t, "andina")
	rules.Kinds[0].Priority, rules.Kinds[0].BelowTarget = 0, 0
	before := proto.CloneOf(rules)
	s, err := NewSnapshot(1, reg, rules)
	c.Assert(err, qt.IsNil)
	c.Assert(proto.Equal(rules, before), qt.IsTrue)
	kind, _ := s.Kind(DefaultKind)
	c.Assert(kind.GetPriority(), qt.Equals, bronzeturnv1.Priority_PRIORITY_NORMAL)
	c.Assert(kind.GetBelowTarget(), qt.Equals, bronzeturnv1.BelowTarget_BELOW_TARGET_BEST_AVAILABLE)
	rules.Kinds[0].Name = "changed"
	reg.Engines[0].Versions[0] = "changed"
	_, ok := s.Kind("changed")
	c.Assert(ok, qt.IsFalse)
	c.Assert(s.Engines("changed"), qt.HasLen, 0)
}

func TestSnapshotLookupsDoNotAllocate(t *testing.T) {
	s := exampleSnapshot(t, "campina-verde")
	n := testing.AllocsPerRun(100, func() {
		_, ok := s.Authenticate("key-rider-app")
		if !ok || !s.VersionAllowed("rider-app", "diag-small@4") || len(s.AllowedVersions("rider-app")) != 3 {
			t.Fatal("lookup failed")
		}
	})
	qt.Assert(t, n, qt.Equals, 0.0)
}
