package scheduler

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the size of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "150")
	_ = flag.Set("rapid.steps", "150")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
