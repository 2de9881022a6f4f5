package rendezvous

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "100")
	os.Exit(m.Run())
}

func drawNames(t *rapid.T) []string {
	return rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 1, 20, rapid.ID).Draw(t, "names")
}

func TestOwnerIgnoresTheOrderOfNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := drawNames(t)
		key := rapid.String().Draw(t, "key")
		shuffled := rapid.Permutation(names).Draw(t, "shuffled")
		if Owner(key, names) != Owner(key, shuffled) {
			t.Fatalf("owner depends on order")
		}
	})
}

func TestRemovingANameMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := drawNames(t)
		gone := rapid.SampledFrom(names).Draw(t, "gone")
		rest := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == gone })
		for i := range 200 {
			key := fmt.Sprint("key-", i)
			before, after := Owner(key, names), Owner(key, rest)
			if before != gone && before != after {
				t.Fatalf("%s moved from %s to %s when %s went", key, before, after, gone)
			}
			if before == gone && len(rest) > 0 && after != Top(key, names, 2)[1] {
				t.Fatalf("%s did not move to the second in its ranking", key)
			}
		}
	})
}

func TestTopStartsWithTheOwnerWithoutDuplicates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := drawNames(t)
		n := rapid.IntRange(0, 25).Draw(t, "n")
		top := Top("key", names, n)
		if len(top) != min(n, len(names)) {
			t.Fatalf("%d of %d names for n=%d", len(top), len(names), n)
		}
		if n > 0 && top[0] != Owner("key", names) {
			t.Fatalf("first is not the owner")
		}
		slices.Sort(top)
		if len(slices.Compact(top)) != min(n, len(names)) {
			t.Fatalf("duplicates in %v", top)
		}
	})
}

func TestKeysAreDistributedEvenly(t *testing.T) {
	for _, n := range []int{6, 48, 410} {
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprintf("entry-%03d.example", i)
		}
		set := NewSet(names)
		const keysPerName = 500
		counts := make(map[string]int)
		for i := range n * keysPerName {
			counts[set.Owner(fmt.Sprint("shard/", i))]++
		}
		for _, name := range names {
			// The limits are five standard deviations of a binomial count with mean 500.
			qt.Check(t, counts[name] > 388 && counts[name] < 612, qt.IsTrue, qt.Commentf("%s of %d: %d", name, n, counts[name]))
		}
	}
}

func TestEmptySetHasNoOwner(t *testing.T) {
	qt.Check(t, Owner("key", nil), qt.Equals, "")
	qt.Check(t, Top("key", nil, 3), qt.HasLen, 0)
}

func TestOwnerDoesNotAllocate(t *testing.T) {
	set := NewSet([]string{"a", "b", "c"})
	qt.Check(t, testing.AllocsPerRun(100, func() { set.Owner("key") }), qt.Equals, 0.0)
}

func BenchmarkOwner410(b *testing.B) {
	names := make([]string, 410)
	for i := range names {
		names[i] = fmt.Sprint("entry-", i)
	}
	set := NewSet(names)
	for b.Loop() {
		set.Owner("organisation/key")
	}
}

// TestKeysAreProportionalToWeights checks the number of keys owned by names with different weights.
func TestKeysAreProportionalToWeights(t *testing.T) {
	weights := map[string]float64{"one": 1, "two": 2, "five": 5, "untold": 0}
	set := NewWeighted(weights)
	const keys = 20000
	owned := make(map[string]int)
	for i := range keys {
		owned[set.Owner(fmt.Sprint("key-", i))]++
	}
	for name, want := range map[string]float64{"one": 1, "two": 2, "five": 5, "untold": 1} {
		share := float64(owned[name]) / keys * 9
		if share < 0.9*want || share > 1.1*want {
			t.Errorf("%s owns %.2f shares, not %.0f", name, share, want)
		}
	}
}

func TestEqualWeightsRankLikeNoWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := drawNames(t)
		weight := rapid.Float64Range(0.001, 1000).Draw(t, "weight")
		weights := make(map[string]float64)
		for _, name := range names {
			weights[name] = weight
		}
		key := rapid.String().Draw(t, "key")
		if got, want := NewWeighted(weights).Top(key, 20), Top(key, names, 20); !slices.Equal(got, want) {
			t.Fatalf("%v, not %v", got, want)
		}
	})
}

func TestRemovingAWeightedNameMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := make(map[string]float64)
		for _, name := range drawNames(t) {
			weights[name] = rapid.Float64Range(0.1, 50).Draw(t, name)
		}
		before := NewWeighted(weights)
		gone := rapid.SampledFrom(before.names).Draw(t, "gone")
		delete(weights, gone)
		weights["another"] = 0 // Keeps the weights unequal.
		after := NewWeighted(weights)
		for i := range 100 {
			key := fmt.Sprint("key-", i)
			owner, now := before.Owner(key), after.Owner(key)
			if owner != gone && owner != now && now != "another" {
				t.Fatalf("%s moved from %s to %s when %s went", key, owner, now, gone)
			}
		}
	})
}
