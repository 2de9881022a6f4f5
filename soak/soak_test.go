package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// program is the daemon under test.
var program string

func TestMain(m *testing.M) { os.Exit(runAll(m)) }

// runAll builds the program and runs the tests.
func runAll(m *testing.M) int {
	folder, err := os.MkdirTemp("", "bronzeturn-soak-")
	if err != nil {
		return 1
	}
	defer os.RemoveAll(folder)
	program = filepath.Join(folder, "bronzeturn-entry")
	build := exec.Command("go", "build", "-o", program, "../cmd/bronzeturn-entry")
	build.Stderr = os.Stderr
	if build.Run() != nil {
		return 1
	}
	return m.Run()
}

// seeds are run in CI, among them every one that ever showed a fault.
var seeds = []uint64{1}

func TestPromisesHoldUnderFaults(t *testing.T) {
	for _, seed := range seeds {
		r, err := Run(t.Context(), Options{
			Program: program, Folder: t.TempDir(), Seed: seed, Duration: 6 * time.Second,
			Daemons: 3, Plain: 2, Engines: 3, Callers: 6, Report: os.Stderr,
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, r.Broken, qt.HasLen, 0)
		qt.Check(t, r.Good > 0, qt.IsTrue)
		qt.Check(t, r.Faults > 0, qt.IsTrue)
	}
}

// TestChecksNoticeBrokenPromises feeds answers that must not be.
func TestChecksNoticeBrokenPromises(t *testing.T) {
	c := qt.New(t)
	k := newChecks(&run{started: time.Now()})
	c.Check(k.check("a", "/safe/x", false, 200, "answer to b, 4 bytes", nil), qt.IsFalse)
	c.Check(k.broken, qt.HasLen, 1)
	k.check("a", "/stream/x", false, 200, "id: 2\n", nil)
	c.Check(k.broken, qt.HasLen, 2)
	k.check("a", "/safe/x", false, 404, "", nil)
	c.Check(k.broken, qt.HasLen, 3)
	c.Check(k.check("a", "/safe/x", false, 200, "answer to a, 4 bytes", nil), qt.IsTrue)
	c.Check(k.broken, qt.HasLen, 3)
}
