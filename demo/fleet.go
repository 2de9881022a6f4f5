// Package demo runs a complete deployment in one process, for the demo command,
// tests and benchmarks: a fleet of daemons, and stand-ins for the engines, the
// plain services and the platform services that the daemons use.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn"
	"github.com/bronzeturn/bronzeturn/settings"
)

// anyPort is a listen address on a free loopback port.
const anyPort = "127.0.0.1:0"

// Fleet is a set of daemons that run in this process.
type Fleet struct {
	Daemons []*bronzeturn.Daemon
	// cancels holds the function that stops each daemon, in the order of Daemons.
	cancels   []context.CancelFunc
	running   sync.WaitGroup
	mu        sync.Mutex
	runErrors []error
}

// FleetOptions configure a Fleet.
type FleetOptions struct {
	Daemons int
	// Log receives the log lines of all daemons.
	Log io.Writer
	// Arguments are appended to the command-line arguments of each daemon.
	Arguments []string
	// WithoutSeeds configures no seeds, so that the daemons discover each other
	// through the store.
	WithoutSeeds bool
	// Dial returns the function with which a daemon opens connections to external systems. Nil
	// means the daemon's default.
	Dial func(number int) func(ctx context.Context, network, address string) (net.Conn, error)
}

// StartFleet starts the daemons on the platform. It does not wait until they are
// ready.
func StartFleet(p *Platform, o FleetOptions) (*Fleet, error) {
	f := &Fleet{}
	for i := range o.Daemons {
		if err := f.startDaemon(p, o, i); err != nil {
			return nil, errors.Join(err, f.Stop())
		}
	}
	return f, nil
}

// startDaemon creates one daemon and runs it in the background.
func (f *Fleet) startDaemon(p *Platform, o FleetOptions, number int) error {
	s, err := settings.Parse(append(f.arguments(p, o, number), o.Arguments...), nil)
	if err != nil {
		return err
	}
	options := bronzeturn.Options{LogWriter: o.Log, Seed: uint64(number) + 1, ProgramVersion: bronzeturn.Version()}
	if o.Dial != nil {
		options.Dial = o.Dial(number)
	}
	d, err := bronzeturn.New(s, options)
	if err != nil {
		return fmt.Errorf("%s: %w", DaemonName(number), err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.Daemons = append(f.Daemons, d)
	f.cancels = append(f.cancels, cancel)
	f.running.Go(func() {
		if err := d.Run(ctx); err != nil {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.runErrors = append(f.runErrors, fmt.Errorf("%s: %w", DaemonName(number), err))
		}
	})
	return nil
}

// arguments returns the command-line arguments of one daemon. Its seeds are
// daemons that were started before it.
func (f *Fleet) arguments(p *Platform, o FleetOptions, number int) []string {
	return []string{
		"--name", DaemonName(number),
		"--data-centre", p.DataCentre(number),
		"--caller-listen", anyPort, "--peer-listen", anyPort,
		"--operator-listen", anyPort, "--admin-listen", anyPort,
		"--store-url", p.StoreURL, "--host-list-url", p.HostsURL,
		"--rating-url", p.RatingURL, "--weight-store-url", p.WeightsURL,
		"--insecure-plaintext-peers", "--insecure-plaintext-operators",
		"--seeds", strings.Join(f.seeds(o), ","),
	}
}

// maxSeedsPerDaemon limits the seeds of a daemon.
const maxSeedsPerDaemon = 3

// seeds returns the peer addresses of the daemons that were started first.
func (f *Fleet) seeds(o FleetOptions) []string {
	var seeds []string
	if o.WithoutSeeds {
		return seeds
	}
	for _, d := range f.Daemons[:min(len(f.Daemons), maxSeedsPerDaemon)] {
		seeds = append(seeds, d.PeerAddress())
	}
	return seeds
}

// StopDaemon begins the graceful stop of one daemon.
func (f *Fleet) StopDaemon(number int) { f.cancels[number]() }

// Stop stops all daemons gracefully and returns the errors of those that failed.
func (f *Fleet) Stop() error {
	for _, stop := range f.cancels {
		stop()
	}
	f.running.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return errors.Join(f.runErrors...)
}

// pollInterval is the interval at which the state of a daemon is polled.
const pollInterval = 20 * time.Millisecond

// WaitReady waits until every daemon accepts requests and regards all daemons of
// the fleet as live. It returns an error if ctx ends first.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, d := range f.Daemons {
		for !d.Ready() || d.LiveDaemons() < len(f.Daemons) {
			select {
			case <-time.After(pollInterval):
			case <-ctx.Done():
				return fmt.Errorf("fleet not ready, %d live daemons: %w", d.LiveDaemons(), ctx.Err())
			}
		}
	}
	return nil
}

// WaitGeneration waits until the configuration generation, or a later one, is in
// force on every daemon. It returns an error if ctx ends first.
func (f *Fleet) WaitGeneration(ctx context.Context, generation uint64) error {
	for _, d := range f.Daemons {
		for d.Generation() < generation {
			select {
			case <-time.After(pollInterval):
			case <-ctx.Done():
				return fmt.Errorf("generation %d not in force: %w", generation, ctx.Err())
			}
		}
	}
	return nil
}
