package config

import (
	"os"
	"path/filepath"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// loadExample returns the register and the rules of an example, which the caller may
// modify.
func loadExample(tb testing.TB, example string) (*bronzeturnv1.Register, *bronzeturnv1.Rules) {
	tb.Helper()
	loaded, ok := examples.Load(example)
	if !ok {
		loaded, _ = examples.LoadOrStore(example, readExample(tb, example))
	}
	e := loaded.(decoded)
	return proto.CloneOf(e.register), proto.CloneOf(e.rules)
}

// examples caches decoded examples by name.
var examples sync.Map

type decoded struct {
	register *bronzeturnv1.Register
	rules    *bronzeturnv1.Rules
}

func readExample(tb testing.TB, example string) decoded {
	file := func(name string) (string, []byte) {
		path := filepath.Join("..", "examples", example, name)
		data, err := os.ReadFile(path)
		qt.Assert(tb, err, qt.IsNil)
		return path, data
	}
	path, data := file("register.yaml")
	reg, err := DecodeRegister(path, data)
	qt.Assert(tb, err, qt.IsNil)
	path, data = file("rules.yaml")
	rules, err := DecodeRules(path, data)
	qt.Assert(tb, err, qt.IsNil)
	return decoded{reg, rules}
}

func TestExamplesAreComplete(t *testing.T) {
	for _, tt := range []struct {
		name          string
		pools         map[string]int
		kinds         []string
		nonIdempotent string
	}{
		{"campina-verde", map[string]int{"diag-llm": 9, "dock-app": 3}, []string{"quick", "tag", "report", "explain"}, "tag"},
		{"andina", map[string]int{"modelo-pool": 9, "ruta-api": 3}, []string{"sheet", "price", "settlement", "reorder", "crate-tag"}, "reorder"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			reg, rules := loadExample(t, tt.name)
			s, err := NewSnapshot(1, reg, rules)
			c.Assert(err, qt.IsNil)
			for pool, n := range tt.pools {
				c.Assert(s.PoolEngines(pool), qt.HasLen, n)
			}
			c.Assert(reg.GetOrganisations(), qt.HasLen, 10)
			for _, org := range reg.GetOrganisations() {
				got, ok := s.Authenticate("key-" + org.GetName())
				c.Assert(ok, qt.IsTrue)
				c.Assert(got.GetName(), qt.Equals, org.GetName())
			}
			for _, name := range tt.kinds {
				kind, ok := s.Kind(name)
				c.Assert(ok, qt.IsTrue, qt.Commentf("%s", name))
				c.Assert(kind.GetIdempotent(), qt.Equals, name != tt.nonIdempotent)
				c.Assert(reachable(s, kind), qt.IsTrue, qt.Commentf("%s", name))
			}
		})
	}
}

// reachable reports whether a version that is not withdrawn is expected to reach the
// quality target of the kind and is served in at least two data centres.
func reachable(s *Snapshot, kind *bronzeturnv1.TaskKind) bool {
	for _, version := range s.Register().GetVersions() {
		if _, withdrawn := s.Withdrawal(version.GetName()); withdrawn {
			continue
		}
		centres := make(map[string]bool)
		for _, engine := range s.Engines(version.GetName()) {
			centres[engine.GetDataCentre()] = true
		}
		for _, prior := range version.GetPriorQualityByKind() {
			if prior.GetKind() == kind.GetName() && prior.GetQuality() >= kind.GetQualityTarget() && len(centres) > 1 {
				return true
			}
		}
	}
	return false
}
