// Package fleetbench measures the control-plane cost of a fleet of daemons: how
// long a configuration change takes to be in force on all daemons, object API
// calls, traffic, CPU time and memory, both idle and while the configuration
// changes. It runs the real daemons, in this process or as separate processes,
// against stand-ins of the external systems over loopback. Every run has a
// bounded duration. docs/CAPACITY.md reports its figures.
package fleetbench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
)

// Options configure a run of the benchmark.
type Options struct {
	Daemons int
	Size    Size
	// Binary is the path of bronzeturnd. Empty runs the daemons in this process.
	Binary string
	// Settle is the pause between readiness of all daemons and the first measurement.
	Settle time.Duration
	// Idle is the duration of the measurement without changes.
	Idle time.Duration
	// Changes is the number of sequential changes: each starts after the one before
	// is in force.
	Changes int
	// Rate is the number of changes per second made during RateTime, whether or not
	// earlier ones are in force.
	Rate     float64
	RateTime time.Duration
	// Loss is the number of daemons terminated at the same time at the end of the
	// run: killed if they are processes, stopped gracefully otherwise.
	Loss int
	// CPUProfile is the path of a file for the CPU profile of the idle phase: of
	// this process, in which the label "part" distinguishes daemons and stand-ins, or
	// of the first daemon's process.
	CPUProfile string
	// Output receives the report.
	Output io.Writer
}

// Bounds on a run.
const (
	maxDaemons       = 400
	maxChanges       = 1000
	maxPhaseDuration = 10 * time.Minute
	readyTimeout     = 2 * time.Minute
	// changePause is the pause between two sequential changes.
	changePause = 200 * time.Millisecond
	// inForceTimeout bounds the wait until a change is in force on all daemons.
	inForceTimeout = time.Minute
)

// ErrOptions reports Options with a value out of bounds.
var ErrOptions = errors.New("option out of bounds")

func (o Options) validate() error {
	switch {
	case o.Daemons < 1 || o.Daemons > maxDaemons:
		return fmt.Errorf("%w: %d daemons, 1 to %d are possible", ErrOptions, o.Daemons, maxDaemons)
	case o.Changes < 0 || o.Changes > maxChanges:
		return fmt.Errorf("%w: %d changes, up to %d are possible", ErrOptions, o.Changes, maxChanges)
	case max(o.Settle, o.Idle, o.RateTime) > maxPhaseDuration:
		return fmt.Errorf("%w: a phase may last up to %s", ErrOptions, maxPhaseDuration)
	case o.Loss < 0 || o.Loss >= o.Daemons:
		return fmt.Errorf("%w: %d of %d daemons cannot be lost", ErrOptions, o.Loss, o.Daemons)
	}
	return o.Size.validate()
}

// bench is the state of a run.
type bench struct {
	options   Options
	platform  *platform
	fleet     fleet
	progress  *progress
	publisher *publisher
}

// Run runs the benchmark and writes its report to Options.Output.
func Run(ctx context.Context, o Options) (err error) {
	if err := o.validate(); err != nil {
		return err
	}
	b := &bench{options: o, progress: newProgress(o.Daemons)}
	if b.platform, err = startPlatform(o.Size, o.Daemons); err != nil {
		return err
	}
	defer b.platform.stop()
	b.publisher = newPublisher(b.platform)
	if _, err := b.publisher.publishInitial(ctx); err != nil {
		return err
	}
	defer func() {
		if b.fleet != nil {
			err = errors.Join(err, b.fleet.stop())
		}
	}()
	if err := b.startFleet(ctx); err != nil {
		return err
	}
	return b.runPhases(ctx)
}

// startFleet starts the daemons and waits until each knows all others and has the first
// generation in force.
func (b *bench) startFleet(ctx context.Context) error {
	b.printf("daemons %d, engines %d, organisations %d, versions %d, load average %s\n",
		b.options.Daemons, b.options.Size.Engines, b.options.Size.Organisations, b.options.Size.Versions, loadAverage())
	begun := time.Now()
	var err error
	if b.options.Binary == "" {
		b.fleet, err = startInProcess(b.platform, b.options.Daemons, b.progress)
	} else {
		b.fleet, err = startProcesses(ctx, b.platform, b.options, b.progress)
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	all := indexes(b.options.Daemons)
	if err := b.waitLive(ctx, all, b.options.Daemons); err != nil {
		return err
	}
	if _, err := b.progress.wait(ctx, b.progress.expect(1)); err != nil {
		return err
	}
	b.printf("all ready after %s\n", time.Since(begun).Round(time.Millisecond))
	return backoff.Sleep(ctx, b.options.Settle)
}

// runPhases runs the measurements one after the other.
func (b *bench) runPhases(ctx context.Context) error {
	for _, phase := range []func(context.Context) error{b.measureIdle, b.measureSequentialChanges, b.measureChangesAtRate, b.measureLoss} {
		if err := phase(ctx); err != nil {
			return err
		}
	}
	b.printf("load average at the end %s\n", loadAverage())
	return nil
}

// measureIdle measures the fleet without changes.
func (b *bench) measureIdle(ctx context.Context) error {
	if b.options.Idle == 0 {
		return nil
	}
	finish, err := b.profile(ctx)
	if err != nil {
		return err
	}
	err = b.measurePhase(ctx, "idle", func(ctx context.Context) error { return backoff.Sleep(ctx, b.options.Idle) })
	return errors.Join(err, finish())
}

// measurePhase measures the resources that the fleet uses while f runs, and reports them.
func (b *bench) measurePhase(ctx context.Context, name string, f func(ctx context.Context) error) error {
	before, err := b.sample(ctx)
	if err != nil {
		return err
	}
	if err := f(ctx); err != nil {
		return err
	}
	after, err := b.sample(ctx)
	if err != nil {
		return err
	}
	b.report(name, before, after)
	return nil
}

// indexes returns the numbers of n daemons, from 0 to n-1.
func indexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}
