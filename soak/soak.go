// Package soak runs entry daemons as processes before the emulated platform,
// brings about failures from outside at random, and checks the promises to
// callers while it runs, by what callers got and engines ran. A run is given by
// its seed, except for the machine's timing.
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

// Options describe a run.
type Options struct {
	// Program is the path of the daemon's program.
	Program string
	// Folder keeps settings and logs.
	Folder   string
	Seed     uint64
	Duration time.Duration
	// Daemons, PlainServices and Engines are how many of each there are.
	Daemons, PlainServices, Engines int
	// Callers send one request after the other.
	Callers int
	// FaultLog takes a line for each failure that is brought about.
	FaultLog io.Writer
}

// bounds are those of the emulated deployment.
var bounds = emulator.Bounds{
	GraceS: 4, RetryRatio: 0.9, RetryWindowS: 10, RetrySlack: 60, ExposureShare: 0.15, SessionS: 3, TTLMaxS: 2,
	ColdOverage: 1.5, ColdSlack: 5,
}

// coldFor is how long an engine that replaces another one is cold.
const coldFor = 2 * time.Second

// run is one run in progress.
type run struct {
	Options
	random  *rand.Rand
	store   *emulator.Store
	record  *emulator.Record
	relays  []*relay
	engines []*emulator.Engine
	daemons []*daemon
	checks  *checks
	version int
	started time.Time
	nextID  int
	// crashing are the bodies of requests that crash engines.
	crashing []string
}

// daemon is one process under test.
type daemon struct {
	emulator.Daemon
	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	stopped bool
	log     *os.File
}

// Result sums up a run.
type Result struct {
	Seed                uint64
	Requests, Succeeded int
	Faults              int
	Violations          []string
	Refused, Failed     int
}

// Run carries out one run. An error means that the run itself could not be
// carried out; broken promises are in the result.
func Run(ctx context.Context, o Options) (Result, error) {
	r := &run{
		Options: o, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), store: emulator.NewStore(), record: &emulator.Record{},
		version: 1, started: time.Now(),
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
		callers.Go(func() { r.checks.call(ctx, rand.New(rand.NewPCG(o.Seed, uint64(i)+1))) })
	}
	faults := r.disturb(ctx)
	callers.Wait()
	r.heal()
	r.checks.recovery()
	r.checks.quarantine()
	result := r.checks.result()
	result.Seed, result.Faults = o.Seed, faults
	return result, nil
}

// start brings up the platform and the daemons.
func (r *run) start() error {
	address, err := r.store.Start()
	if err != nil {
		return err
	}
	if _, err := r.store.Put("config", "main", emulator.Config(r.version)); err != nil {
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
	var seeds []string
	for i := range r.Daemons {
		d, err := emulator.FreeDaemon(fmt.Sprintf("entry-%d", i), fmt.Sprintf("hall-%d", i%3))
		if err != nil {
			return err
		}
		if i < 3 {
			seeds = append(seeds, d.Control)
		}
		relay, err := newRelay(address)
		if err != nil {
			return err
		}
		r.relays = append(r.relays, relay)
		r.daemons = append(r.daemons, &daemon{Daemon: d})
	}
	for i, d := range r.daemons {
		path := filepath.Join(r.Folder, d.Name+".yaml")
		if err := d.WriteSettings(path, r.relays[i].address(), seeds, bounds); err != nil {
			return err
		}
		if err := r.launch(d); err != nil {
			return err
		}
	}
	return r.waitReady()
}

// addEngine starts one engine of a service, which is cold for so long.
func (r *run) addEngine(service string, cold time.Duration) error {
	r.nextID++
	spec := emulator.EngineSpec{
		ID: fmt.Sprintf("%s-%d", service, r.nextID), Service: service, Zone: fmt.Sprintf("hall-%d", r.nextID%3), Version: "v1", Slots: 16, ColdFor: cold,
	}
	if service == "llm" {
		spec.Slots, spec.Events, spec.EventGap = 64, streamEvents, 30*time.Millisecond
		spec.Crashes = crashes
	}
	e, err := emulator.StartEngine(r.store, r.record, spec)
	if err == nil {
		r.engines = append(r.engines, e)
	}
	return err
}

// launch starts the process of a daemon.
func (r *run) launch(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(r.Folder, d.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(r.Program, "--settings", filepath.Join(r.Folder, d.Name+".yaml"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd, d.ended, d.stopped, d.log = cmd, make(chan struct{}), false, log
	go func(ended chan struct{}) {
		_ = cmd.Wait() // How it ended is what the run is about.
		_ = log.Close()
		close(ended)
	}(d.ended)
	return nil
}

// signal sends a signal to the daemon's process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(s) // A process that has ended needs none.
}

// readyWait bounds the start of all daemons.
const readyWait = 30 * time.Second

// waitReady waits until all daemons take requests.
func (r *run) waitReady() error {
	deadline := time.Now().Add(readyWait)
	for _, d := range r.daemons {
		for !emulator.IsReady(d.Ready) {
			if time.Now().After(deadline) {
				return fmt.Errorf("daemon %s is not ready within %v", d.Name, readyWait)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes that the run started.
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
