// Package soak runs entry daemons as processes against the emulated platform,
// injects random faults from outside, and checks the guarantees to callers by the
// answers that callers got and the requests that engines ran. The seed determines
// a run, except for the timing of the processes.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/bronzeturn/bronzeturn/platform/emulator"
)

// Options configures a run.
type Options struct {
	// Program is the path of the daemon's executable.
	Program string
	// Folder is the folder for settings and logs.
	Folder   string
	Seed     uint64
	Duration time.Duration
	// Daemons, PlainServices and Engines are the numbers of daemons, of engines of
	// the plain service and of model engines.
	Daemons, PlainServices, Engines int
	// Callers is the number of callers. Each sends one request at a time.
	Callers int
	// FaultLog gets a line for each injected fault.
	FaultLog io.Writer
}

// bounds are the bounds in the settings of the daemons.
var bounds = emulator.Bounds{
	MemoryMB: memoryMB, MaxFDs: maxFDs,
	GraceS: 4, RetryRatio: 0.9, RetryWindowS: 10, RetrySlack: 60, ExposureShare: 0.15, SessionS: 3, TTLMaxS: 2,
	ColdOverage: 1.5, ColdSlack: 5,
}

// coldDuration is the time for which an engine that replaces another one is cold.
const coldDuration = 2 * time.Second

// run is a run in progress.
type run struct {
	Options
	random        *rand.Rand
	store         *emulator.Store
	record        *emulator.Record
	relays        []*relay
	engines       []*emulator.Engine
	daemons       []*daemon
	seeds         []string
	checks        *checks
	configVersion int
	started       time.Time
	nextID        int
	// brittleSince maps the services with brittle engines to the time of the last such fault.
	brittleSince map[string]time.Time
	// crashCauses are the causes of crashes that were sent so far.
	crashCauses []crashCause
}

// daemon is a daemon process under test.
type daemon struct {
	emulator.Daemon
	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	stopped bool
	log     *os.File
	// disturbed holds the times at which the process was started or got a signal.
	disturbed []time.Time
}

// Result is the result of a run.
type Result struct {
	Seed                uint64
	Requests, Succeeded int
	Faults              int
	Violations          []string
	Refused, Failed     int
}

// Run performs a run. It returns an error if it could not start the platform and the
// daemons; violated guarantees are in the result.
func Run(ctx context.Context, o Options) (Result, error) {
	r := &run{
		Options: o, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), store: emulator.NewStore(), record: &emulator.Record{},
		configVersion: 1, started: time.Now(), brittleSince: make(map[string]time.Time),
	}
	defer r.close()
	if err := r.start(); err != nil {
		return Result{Seed: o.Seed}, err
	}
	r.checks = newChecks(r)
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var callers sync.WaitGroup
	for i := range o.Callers {
		callers.Go(func() { r.checks.sendRequests(ctx, rand.New(rand.NewPCG(o.Seed, uint64(i)+1))) })
	}
	faults := r.injectFaults(ctx)
	callers.Wait()
	r.clearFaults()
	r.checks.checkRecovery()
	r.checks.checkQuarantine()
	r.checks.loadPhase()
	r.checks.stopPhase()
	result := r.checks.result()
	result.Seed, result.Faults = o.Seed, faults
	return result, nil
}

// start starts the platform and the daemons and waits until the daemons are ready.
func (r *run) start() error {
	address, err := r.store.Start()
	if err != nil {
		return err
	}
	if _, err := r.store.Put("config", "main", r.config()); err != nil {
		return err
	}
	for range r.PlainServices {
		if err := r.addEngine("desk", 0); err != nil {
			return err
		}
	}
	for range r.Engines {
		if err := r.addEngine("llm", 0); err != nil {
			return err
		}
	}
	for i := range r.Daemons {
		d, err := emulator.NewDaemon(fmt.Sprintf("entry-%d", i), fmt.Sprintf("hall-%d", i%3))
		if err != nil {
			return err
		}
		if i < 3 {
			r.seeds = append(r.seeds, d.Control)
		}
		relay, err := newRelay(address)
		if err != nil {
			return err
		}
		r.relays = append(r.relays, relay)
		r.daemons = append(r.daemons, &daemon{Daemon: d})
	}
	for i, d := range r.daemons {
		if err := r.writeSettings(i, r.bounds()); err != nil {
			return err
		}
		if err := r.startDaemon(d); err != nil {
			return err
		}
	}
	return r.waitReady()
}

// settingsPath returns the path of the settings file of a daemon.
func (r *run) settingsPath(d *daemon) string { return filepath.Join(r.Folder, d.Name+".yaml") }

// writeSettings writes the settings file of a daemon.
func (r *run) writeSettings(daemon int, b emulator.Bounds) error {
	d := r.daemons[daemon]
	return d.WriteSettings(r.settingsPath(d), r.relays[daemon].address(), r.seeds, b)
}

// untilCloseEvery is the number of engines of which one answers without a length or chunks.
const untilCloseEvery = 3

// addEngine starts an engine of a service, which is cold for the given time.
func (r *run) addEngine(service string, cold time.Duration) error {
	r.nextID++
	spec := emulator.EngineSpec{
		ID: fmt.Sprintf("%s-%d", service, r.nextID), Service: service, Zone: fmt.Sprintf("hall-%d", r.nextID%3), Version: "v1", Slots: 16, ColdFor: cold,
	}
	// Some answers have neither a length nor chunks.
	spec.UntilClose = r.nextID%untilCloseEvery == 0
	if service == "desk" && r.hasLoadPhase() {
		spec.Slots, spec.Queue, spec.Work = loadSlots, loadQueue, loadWork
	}
	if service == "llm" {
		spec.Slots, spec.Events, spec.EventGap = 64, streamEvents, 30*time.Millisecond
		spec.Crashes = crashSpec
	}
	e, err := emulator.StartEngine(r.store, r.record, spec)
	if err == nil {
		r.engines = append(r.engines, e)
	}
	return err
}

// startDaemon starts the process of a daemon.
func (r *run) startDaemon(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(r.Folder, d.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(r.Program, "--settings", r.settingsPath(d))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd, d.ended, d.stopped, d.log = cmd, make(chan struct{}), false, log
	d.disturbed = append(d.disturbed, time.Now())
	go func(ended chan struct{}) {
		_ = cmd.Wait() // Faults end daemons, so any exit status is expected.
		_ = log.Close()
		close(ended)
	}(d.ended)
	return nil
}

// signal sends a signal to the daemon's process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disturbed = append(d.disturbed, time.Now())
	_ = d.cmd.Process.Signal(s) // An error means that the process has already exited.
}

// readyTimeout is the time within which all daemons must become ready.
const readyTimeout = 30 * time.Second

// waitReady waits until all daemons are ready for requests.
func (r *run) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, d := range r.daemons {
		for !emulator.IsReady(d.Ready) {
			if time.Now().After(deadline) {
				return fmt.Errorf("daemon %s is not ready within %v", d.Name, readyTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// close kills the daemons and stops relays, engines, record and store.
func (r *run) close() {
	for _, d := range r.daemons {
		if d.cmd != nil {
			d.signal(syscall.SIGCONT)
			d.signal(syscall.SIGKILL)
			<-d.ended
		}
	}
	for _, relay := range r.relays {
		relay.close()
	}
	for _, e := range r.engines {
		e.Crash()
	}
	r.record.Close()
	r.store.Close()
}
