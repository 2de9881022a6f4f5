// Command bronzeturn-soak runs the soak test of the entry daemon, with injected faults,
// for a range of seeds. It exits with 1 if a guarantee to callers was broken or a run could
// not be carried out.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"github.com/bronzeturn/bronzeturn/soak"
)

// options holds the command line.
type options struct {
	Program  string        `help:"Path of the daemon's binary." default:"target/bronzeturn-entry" type:"path"`
	Seed     uint64        `help:"First seed." default:"1"`
	Runs     int           `help:"Number of seeds." default:"1"`
	Duration time.Duration `help:"Length of the part of a run in which faults are injected." default:"20s"`
	Daemons  int           `help:"Number of daemons." default:"4"`
	Engines  int           `help:"Number of model engines." default:"4"`
	Plain    int           `help:"Number of engines of the plain service." default:"3"`
	Callers  int           `help:"Number of concurrent callers." default:"16"`
	Keep     string        `help:"Directory for settings and logs, with a subdirectory for each seed. Default: a temporary one, removed after a run in which nothing was broken." type:"path"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	kong.Parse(&o, kong.Description("Soak test: runs real daemons, injects faults from outside, and checks the guarantees to callers by what callers received and engines ran."))
	code := 0
	for seed := o.Seed; seed < o.Seed+uint64(o.Runs); seed++ {
		if !o.runSeed(seed) {
			code = 1
		}
	}
	return code
}

// runSeed runs one seed and reports whether no guarantee was broken.
func (o *options) runSeed(seed uint64) bool {
	folder, err := o.folder(seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	report, err := os.Create(filepath.Join(folder, "faults.log"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	defer func() { _ = report.Close() }() // Nothing is written after the run.
	r, err := soak.Run(context.Background(), soak.Options{
		Program: o.Program, Folder: folder, Seed: seed, Duration: o.Duration, Daemons: o.Daemons,
		Engines: o.Engines, PlainServices: o.Plain, Callers: o.Callers, FaultLog: report,
	})
	if err != nil {
		fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %d failures, %d requests: %d answered, %d refused, %d failed; %d guarantees broken\n",
		seed, r.Faults, r.Requests, r.Succeeded, r.Refused, r.Failed, len(r.Violations))
	for _, line := range r.Violations {
		fmt.Printf("  %s\n", line)
	}
	if len(r.Violations) > 0 {
		fmt.Printf("  logs in %s\n", folder)
		return false
	}
	if o.Keep == "" {
		_ = os.RemoveAll(folder)
	}
	return true
}

// folder creates the directory of one seed.
func (o *options) folder(seed uint64) (string, error) {
	if o.Keep == "" {
		return os.MkdirTemp("", fmt.Sprintf("bronzeturn-soak-%d-", seed))
	}
	path := filepath.Join(o.Keep, fmt.Sprint(seed))
	return path, os.MkdirAll(path, 0o700)
}
