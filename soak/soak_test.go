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

// program is the path of the executable of the daemon under test.
var program string

func TestMain(m *testing.M) { os.Exit(runAll(m)) }

// runAll builds the daemon and runs the tests.
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

// seeds are the seeds that CI runs, including every seed that has exposed a defect. 4 has a load
// phase.
var seeds = []uint64{1, 4, 47207}

func TestGuaranteesHoldUnderFaults(t *testing.T) {
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

// TestDaemonFrozenWhileStoppingIsResumed guards against a run that waits for ever for
// the exit of a daemon that was frozen with SIGSTOP after it got SIGTERM.
func TestDaemonFrozenWhileStoppingIsResumed(t *testing.T) {
	r := &run{
		Options: Options{Program: program, Folder: t.TempDir(), Seed: 311, Daemons: 1, PlainServices: 1, Engines: 1, FaultLog: os.Stderr},
		random:  rand.New(rand.NewPCG(311, 311)), store: emulator.NewStore(), record: &emulator.Record{}, configVersion: 1, started: time.Now(),
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
	case <-time.After(readyTimeout):
		t.Fatal("the run waits for the exit of a frozen daemon")
	}
	qt.Check(t, r.checks.violations, qt.HasLen, 0)
}

// TestChecksReportViolations checks that answers which violate a guarantee are
// reported.
func TestChecksReportViolations(t *testing.T) {
	c := qt.New(t)
	k := newChecks(&run{started: time.Now()})
	c.Check(k.checkAnswer("a", "/safe/x", false, 200, "answer to b, 4 bytes", nil), qt.IsFalse)
	c.Check(k.violations, qt.HasLen, 1)
	k.checkAnswer("a", "/stream/x", false, 200, "id: 2\n", nil)
	c.Check(k.violations, qt.HasLen, 2)
	k.checkAnswer("a", "/safe/x", false, 404, "", nil)
	c.Check(k.violations, qt.HasLen, 3)
	c.Check(k.checkAnswer("a", "/safe/x", false, 200, "answer to a, 4 bytes", nil), qt.IsTrue)
	c.Check(k.violations, qt.HasLen, 3)
}
