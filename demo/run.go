package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/bronzeturn/bronzeturn/ledger"
)

// Size and duration of the demo.
const (
	demoDaemons = 3
	// trafficTime is the default duration of the steady traffic of a deployment.
	trafficTime = 4 * time.Second
	// readyTimeout limits the start of a fleet.
	readyTimeout = 20 * time.Second
	// billsTimeout limits the reading of the ledger.
	billsTimeout = 10 * time.Second
	// logFileMode restricts the log file to its owner.
	logFileMode = 0o600
)

// demoArguments are additional arguments of the demo's daemons. Every answer is
// rated, so that the selection of versions adapts within seconds.
var demoArguments = []string{"--rating-sample-share", "1"}

// Options configure Run.
type Options struct {
	// JSON selects a JSON document as output instead of tables.
	JSON bool
	// LogFile is the path of the file for the log lines of the daemons. If it is
	// empty, they are discarded.
	LogFile string
	// Traffic is the duration of the steady traffic of each deployment. Zero means
	// 4 s.
	Traffic time.Duration
}

// FaultError reports violations of the guarantees that the demo checks.
type FaultError struct{ Faults []string }

// Error implements error.
func (e *FaultError) Error() string { return strings.Join(e.Faults, "; ") }

// Run runs the scenario of every example deployment in this process and writes a
// report to out. It returns a *FaultError if a guarantee was violated.
func Run(ctx context.Context, out io.Writer, o Options) error {
	if o.Traffic == 0 {
		o.Traffic = trafficTime
	}
	log, closeLog, err := openLog(o.LogFile)
	if err != nil {
		return err
	}
	defer closeLog()
	start := time.Now()
	var report Report
	for _, s := range scenarios() {
		d, err := runDeployment(ctx, s, log, o.Traffic)
		if err != nil {
			return fmt.Errorf("deployment %s: %w", s.example, err)
		}
		report.Deployments = append(report.Deployments, d)
	}
	report.Seconds = time.Since(start).Seconds()
	if err := report.write(out, o.JSON); err != nil {
		return err
	}
	return report.faultError()
}

// faultError returns a *FaultError with the faults of all deployments, or nil if
// there are none.
func (r Report) faultError() error {
	var faults []string
	for _, d := range r.Deployments {
		for _, fault := range d.Faults {
			faults = append(faults, d.Deployment+": "+fault)
		}
	}
	if len(faults) > 0 {
		return &FaultError{Faults: faults}
	}
	return nil
}

// openLog opens the log file and returns a function that closes it. Without a path,
// log lines are discarded.
func openLog(path string) (io.Writer, func(), error) {
	if path == "" {
		return io.Discard, func() {}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, logFileMode)
	if err != nil {
		return nil, nil, fmt.Errorf("open log file: %w", err)
	}
	return file, func() { _ = file.Close() }, nil
}

// runDeployment starts a deployment, runs its scenario, stops it and returns its
// report.
func runDeployment(ctx context.Context, s scenario, log io.Writer, duration time.Duration) (DeploymentReport, error) {
	p, err := StartPlatform(s.example, demoDaemons)
	if err != nil {
		return DeploymentReport{}, err
	}
	defer p.Stop()
	if err := p.Publish(ctx); err != nil {
		return DeploymentReport{}, fmt.Errorf("publish configuration: %w", err)
	}
	t, err := playScenario(ctx, s, p, log, duration)
	if err != nil {
		return DeploymentReport{}, err
	}
	// The daemons have stopped gracefully and have written all bills to the store.
	ctx, cancel := context.WithTimeout(ctx, billsTimeout)
	defer cancel()
	totals, err := ledger.Totals(ctx, p.Store.Store())
	if err != nil {
		return DeploymentReport{}, fmt.Errorf("read bills: %w", err)
	}
	r, err := newReporter(p)
	if err != nil {
		return DeploymentReport{}, err
	}
	return r.report(s, t, totals), nil
}

// playScenario starts a fleet, runs the scenario on it and stops it.
func playScenario(ctx context.Context, s scenario, p *Platform, log io.Writer, duration time.Duration) (t *outcomes, err error) {
	fleet, err := StartFleet(p, FleetOptions{Daemons: demoDaemons, Log: log, Arguments: demoArguments})
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, fleet.Stop()) }()
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := fleet.WaitReady(ready); err != nil {
		return nil, err
	}
	generator, err := newTrafficGenerator(s, p, fleet)
	if err != nil {
		return nil, err
	}
	defer generator.close()
	generator.run(ctx, duration)
	return generator.outcomes, ctx.Err()
}
