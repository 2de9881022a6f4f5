package fleetbench

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"runtime/pprof"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bronzeturn/bronzeturn"
	"github.com/bronzeturn/bronzeturn/settings"
)

// seedCount is the maximum number of seeds of a daemon: the daemons that started first.
const seedCount = 3

// fleet is a set of running daemons, addressed by number.
type fleet interface {
	// adminAddresses returns the addresses of the daemons' admin listeners.
	adminAddresses() []string
	// liveCount returns the number of live daemons that daemon i knows, itself included.
	liveCount(ctx context.Context, i int) (int, error)
	// usage returns the resources that the daemons have used so far. For daemons in
	// this process it includes the stand-ins and the benchmark.
	usage(ctx context.Context) (usage, error)
	// terminate ends the given daemons at the same time.
	terminate(numbers []int)
	stop() error
}

// usage is the resource usage of processes.
type usage struct {
	// cpu is the CPU time of each process, in user and system mode, by its number.
	// Processes that have ended are missing.
	cpu        map[int]time.Duration
	resident   uint64 // bytes
	heap       uint64 // bytes after a garbage collection, zero if unknown
	goroutines int
}

// cpuSince returns the CPU time since an earlier usage, over all processes that are
// still running.
func (u usage) cpuSince(before usage) time.Duration {
	var sum time.Duration
	for i, cpu := range u.cpu {
		sum += cpu - before.cpu[i]
	}
	return sum
}

// inProcess are daemons in this process.
type inProcess struct {
	daemons []*bronzeturn.Daemon
	cancels []context.CancelFunc
	running sync.WaitGroup
	mu      sync.Mutex
	failed  []error
}

func startInProcess(p *platform, daemons int, progress *progress) (fleet, error) {
	f := &inProcess{}
	for i := range daemons {
		if err := f.start(p, i, progress); err != nil {
			return nil, errors.Join(err, f.stop())
		}
	}
	return f, nil
}

// start creates a daemon and runs it.
func (f *inProcess) start(p *platform, i int, progress *progress) error {
	var seeds []string
	for _, d := range f.daemons[:min(len(f.daemons), seedCount)] {
		seeds = append(seeds, d.PeerAddress())
	}
	s, err := settings.Parse(p.arguments(i, strings.Join(seeds, ",")), nil)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancels = append(f.cancels, cancel)
	pprof.Do(ctx, pprof.Labels("part", "daemons"), func(ctx context.Context) {
		var d *bronzeturn.Daemon
		if d, err = bronzeturn.New(s, bronzeturn.Options{LogWriter: progress.writer(i), Seed: uint64(i) + 1}); err != nil {
			return
		}
		f.daemons = append(f.daemons, d)
		f.running.Go(func() { f.run(ctx, d) })
	})
	return err
}

func (f *inProcess) run(ctx context.Context, d *bronzeturn.Daemon) {
	if err := d.Run(ctx); err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.failed = append(f.failed, err)
	}
}

func (f *inProcess) adminAddresses() []string {
	var addresses []string
	for _, d := range f.daemons {
		addresses = append(addresses, d.AdminAddress())
	}
	return addresses
}

func (f *inProcess) liveCount(_ context.Context, i int) (int, error) {
	return f.daemons[i].LiveDaemons(), nil
}

func (f *inProcess) usage(context.Context) (usage, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return usage{}, fmt.Errorf("processor time: %w", err)
	}
	resident, err := residentBytes("self")
	if err != nil {
		return usage{}, err
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		cpu:      map[int]time.Duration{0: time.Duration(r.Utime.Nano() + r.Stime.Nano())},
		resident: resident, heap: m.HeapAlloc, goroutines: runtime.NumGoroutine(),
	}, nil
}

func (f *inProcess) terminate(numbers []int) {
	for _, i := range numbers {
		f.cancels[i]()
	}
}

func (f *inProcess) stop() error {
	for _, cancel := range f.cancels {
		cancel()
	}
	f.running.Wait()
	return errors.Join(f.failed...)
}
