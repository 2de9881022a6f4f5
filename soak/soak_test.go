package soak

import (
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
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
			Daemons: 3, PlainServices: 2, Engines: 3, Callers: 6, FaultLog: os.Stderr,
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, r.Violations, qt.HasLen, 0)
		qt.Check(t, r.Succeeded > 0, qt.IsTrue)
		qt.Check(t, r.Faults > 0, qt.IsTrue)
	}
}

// TestDaemonFrozenWhileItStopsIsWoken: a run once waited for ever for the end of a
// daemon that it had frozen after SIGTERM.
func TestDaemonFrozenWhileItStopsIsWoken(t *testing.T) {
	r := &run{
		Options: Options{Program: program, Folder: t.TempDir(), Seed: 311, Daemons: 1, PlainServices: 1, Engines: 1, FaultLog: os.Stderr},
		random:  rand.New(rand.NewPCG(311, 311)), store: emulator.NewStore(), record: &emulator.Record{}, version: 1, started: time.Now(),
	}
	defer r.close()
	qt.Assert(t, r.start(), qt.IsNil)
	r.checks = newChecks(r)
	d := r.daemons[0]
	end := r.restart(d, syscall.SIGTERM)
	d.signal(syscall.SIGSTOP)
	ended := make(chan struct{})
	go func() {
		end()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(readyWait):
		t.Fatal("the run waits for a daemon that is frozen")
	}
	qt.Check(t, r.checks.broken, qt.HasLen, 0)
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
