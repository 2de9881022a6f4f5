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

// Extent of the demo.
const (
	demoDaemons = 3
	// trafficTime is how long the steady traffic of a deployment flows.
	trafficTime = 4 * time.Second
	// readyTimeout bounds the start of a deployment.
	readyTimeout = 20 * time.Second
	// billsTimeout bounds the reading of the ledger.
	billsTimeout = 10 * time.Second
	// logFileMode lets only the user read the log.
	logFileMode = 0o600
)

// demoArguments are settings of the demo's daemons: every answer is rated, so
// that the choice of versions learns within seconds.
var demoArguments = []string{"--rating-sample-share", "1"}

// Options configure Run.
type Options struct {
	// JSON writes one JSON document instead of tables for people.
	JSON bool
	// LogFile takes the log lines of the daemons. Empty: they are dropped.
	LogFile string
	// Traffic is how long the steady traffic of each deployment flows. Zero: 4 s.
	Traffic time.Duration
}

// FaultError reports promises that did not hold during the demo.
type FaultError struct{ Faults []string }

// Error implements error.
func (e *FaultError) Error() string { return strings.Join(e.Faults, "; ") }

// Run plays the traffic of every example deployment in this process, writes a
// report to out and returns a *FaultError if a promise did not hold.
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

// faultError returns a *FaultError when there are faults.
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

// openLog opens the file for the daemons' log lines.
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

// runDeployment starts a deployment, plays its scenario and stops it.
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
	// The fleet has stopped gracefully, so that every bill is in the store and
	// none can follow.
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

// playScenario runs a fleet for the time of the scenario.
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
