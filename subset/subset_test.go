package subset

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Fleet at the target size.
const (
	targetDaemons = 410
	targetEngines = 5300
	targetSize    = 65
)

func newDaemons(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%d", i)
	}
	return names
}

// newEngines returns n engines in four data centres that serve the given number of
// groups of versions.
func newEngines(n, groups int) []*bronzeturnv1.Engine {
	engines := make([]*bronzeturnv1.Engine, n)
	for i := range engines {
		engines[i] = &bronzeturnv1.Engine{
			Name:       fmt.Sprintf("engine-%d", i),
			DataCentre: fmt.Sprintf("hall-%d", i%4),
			Versions:   []string{fmt.Sprintf("model-%d@1", i/4%groups), fmt.Sprintf("model-%d@2", i/4%groups)},
		}
	}
	return engines
}

// assignAll returns the names of the engines seen by each daemon, by daemon name.
func assignAll(daemons []string, engines []*bronzeturnv1.Engine, size int) map[string]map[string]bool {
	daemons = slices.Sorted(slices.Values(daemons))
	seen := make(map[string]map[string]bool)
	for _, d := range daemons {
		seen[d] = make(map[string]bool)
	}
	hashes := hashAll(daemons)
	for _, g := range groups(engines) {
		g.size = groupSize(len(g.engines), len(engines), len(daemons), size)
		for i, assigned := range assign(hashes, g) {
			for _, e := range assigned {
				seen[daemons[i]][g.engines[e].GetName()] = true
			}
		}
	}
	return seen
}

// spread is the minimum and maximum of a count.
type spread struct{ least, most int }

func (s *spread) add(n int) {
	s.least = min(s.least, n)
	s.most = max(s.most, n)
}

func newSpread() spread { return spread{least: 1 << 30} }

// evenness returns the spreads of the engines per daemon and the daemons per engine.
func evenness(seen map[string]map[string]bool, engines []*bronzeturnv1.Engine) (perDaemon, perEngine spread) {
	perDaemon, perEngine = newSpread(), newSpread()
	count := make(map[string]int)
	for _, names := range seen {
		perDaemon.add(len(names))
		for name := range names {
			count[name]++
		}
	}
	for _, e := range engines {
		perEngine.add(count[e.GetName()])
	}
	return perDaemon, perEngine
}

// churn returns the mean and the maximum number of engines newly seen by a daemon,
// over the daemons in both assignments.
func churn(before, after map[string]map[string]bool) (mean float64, most int) {
	total, daemons := 0, 0
	for daemon, names := range after {
		old, ok := before[daemon]
		if !ok {
			continue
		}
		added := 0
		for name := range names {
			if !old[name] {
				added++
			}
		}
		daemons++
		total += added
		most = max(most, added)
	}
	return float64(total) / float64(daemons), most
}

func TestEvennessAtTargetSize(t *testing.T) {
	for _, versionGroups := range []int{1, 12, 36} {
		t.Run(fmt.Sprintf("groups=%d", versionGroups), func(t *testing.T) {
			c := qt.New(t)
			engines := newEngines(targetEngines, versionGroups)
			seen := assignAll(newDaemons(targetDaemons), engines, targetSize)
			perDaemon, perEngine := evenness(seen, engines)
			c.Logf("engines per daemon %+v, daemons per engine %+v", perDaemon, perEngine)
			c.Assert(perDaemon.least, qt.Equals, perDaemon.most)
			c.Assert(perDaemon.most <= 72, qt.IsTrue)
			c.Assert(perEngine.least >= 4, qt.IsTrue)
			c.Assert(perEngine.most <= 7, qt.IsTrue)
		})
	}
}

func TestEveryDaemonSeesEveryVersionAndDataCentre(t *testing.T) {
	c := qt.New(t)
	engines := newEngines(targetEngines, 36)
	for _, names := range assignAll(newDaemons(targetDaemons), engines, targetSize) {
		versions, centres := make(map[string]int), make(map[string]int)
		for _, e := range engines {
			if names[e.GetName()] {
				versions[e.GetVersions()[0]]++
				centres[e.GetDataCentre()]++
			}
		}
		c.Assert(versions, qt.HasLen, 36)
		c.Assert(centres, qt.HasLen, 4)
		for version, n := range versions {
			c.Assert(n >= minPerGroup, qt.IsTrue, qt.Commentf(version))
		}
	}
}

func TestChurnAtTargetSize(t *testing.T) {
	daemons := newDaemons(targetDaemons)
	rack := func(e []*bronzeturnv1.Engine) []*bronzeturnv1.Engine {
		return slices.Delete(slices.Clone(e), 1000, 1040)
	}
	one := func(e []*bronzeturnv1.Engine) []*bronzeturnv1.Engine {
		return slices.Delete(slices.Clone(e), 1000, 1001)
	}
	same := func(e []*bronzeturnv1.Engine) []*bronzeturnv1.Engine { return e }
	tests := []struct {
		name    string
		daemons []string
		engines func([]*bronzeturnv1.Engine) []*bronzeturnv1.Engine
		mean    float64 // bound on the mean number of engines newly seen
	}{
		{"a daemon leaves", slices.Delete(slices.Clone(daemons), 200, 201), same, 1},
		{"a daemon joins", append(newDaemons(targetDaemons), "entry-new"), same, 1},
		{"an engine is removed", daemons, one, 0.5},
		{"a rack of 40 engines is removed", daemons, rack, 4},
		{"ten daemons leave", slices.Delete(slices.Clone(daemons), 200, 210), same, 8},
	}
	for _, versionGroups := range []int{1, 36} {
		engines := newEngines(targetEngines, versionGroups)
		before := assignAll(daemons, engines, targetSize)
		for _, test := range tests {
			t.Run(fmt.Sprintf("%s, groups=%d", test.name, versionGroups), func(t *testing.T) {
				c := qt.New(t)
				mean, most := churn(before, assignAll(test.daemons, test.engines(engines), targetSize))
				c.Logf("newly seen engines per daemon: mean %.2f, most %d", mean, most)
				c.Assert(mean <= test.mean, qt.IsTrue, qt.Commentf("%.2f", mean))
			})
		}
	}
}

func TestChoose(t *testing.T) {
	c := qt.New(t)
	c.Assert(Choose("entry-1", newDaemons(6), newEngines(12, 2), targetSize).All(), qt.IsTrue)

	daemons, engines := newDaemons(40), newEngines(600, 6)
	all := assignAll(daemons, engines, targetSize)
	got := Choose("entry-7", daemons, engines, targetSize)
	for _, e := range engines {
		c.Assert(got.Contains(e), qt.Equals, all["entry-7"][e.GetName()])
	}
	c.Assert(got.Len(), qt.Equals, len(all["entry-7"]))

	// The order of the lists does not matter, nor whether self is listed.
	slices.Reverse(daemons)
	slices.Reverse(engines)
	again := Choose("entry-7", daemons, engines, targetSize)
	c.Assert(again.names, qt.DeepEquals, got.names)
	c.Assert(Choose("entry-7", slices.DeleteFunc(daemons, func(d string) bool { return d == "entry-7" }), engines, targetSize).names, qt.DeepEquals, got.names)
}

func TestSelectorFollowsItsInputs(t *testing.T) {
	c := qt.New(t)
	var s Selector
	check := func(daemons []string, engines []*bronzeturnv1.Engine, size int) {
		c.Helper()
		c.Assert(s.Choose("entry-7", daemons, engines, size).names, qt.DeepEquals, Choose("entry-7", daemons, engines, size).names)
	}
	daemons, engines := newDaemons(40), newEngines(600, 6)
	check(daemons, engines, targetSize)
	key := s.key
	check(daemons, newEngines(600, 6), targetSize)
	c.Assert(s.key, qt.Equals, key, qt.Commentf("the same lists in another configuration"))
	check(daemons, engines, targetSize+10)
	check(daemons[:39], engines, targetSize)
	check(daemons, engines[:599], targetSize)
	check(daemons, newEngines(600, 5), targetSize)
}

func TestFewDaemonsReachEveryEngine(t *testing.T) {
	c := qt.New(t)
	engines := newEngines(300, 3)
	for n := 1; n <= 6; n++ {
		_, perEngine := evenness(assignAll(newDaemons(n), engines, targetSize), engines)
		c.Assert(perEngine.least >= 1, qt.IsTrue, qt.Commentf("%d daemons", n))
	}
}

func BenchmarkSelectorUnchanged(b *testing.B) {
	var s Selector
	daemons, engines := newDaemons(targetDaemons), newEngines(targetEngines, 36)
	for b.Loop() {
		s.Choose("entry-7", daemons, engines, targetSize)
	}
}

func BenchmarkChoose(b *testing.B) {
	daemons := newDaemons(targetDaemons)
	for _, versionGroups := range []int{1, 36} {
		b.Run(fmt.Sprintf("groups=%d", versionGroups), func(b *testing.B) {
			engines := newEngines(targetEngines, versionGroups)
			b.ReportAllocs()
			for b.Loop() {
				Choose("entry-7", daemons, engines, targetSize)
			}
		})
	}
}
