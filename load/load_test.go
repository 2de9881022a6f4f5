package load

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestKindsAreDrawnByWeight(t *testing.T) {
	p := newKindPicker(map[string]int{"a": 1, "b": 0, "c": 3})
	random := rand.New(rand.NewPCG(1, 0))
	counts := make(map[string]int)
	for range 4000 {
		counts[p.pick(random)]++
	}
	qt.Check(t, counts["b"], qt.Equals, 0)
	qt.Check(t, counts["a"] > 900 && counts["a"] < 1100, qt.IsTrue, qt.Commentf("%v", counts))
}
