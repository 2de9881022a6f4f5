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

// seedCount is how many daemons started before a daemon gets as seeds.
const seedCount = 3

// fleet is a number of running daemons.
type fleet interface {
	// admins are the addresses of the daemons' admin listeners.
	admins() []string
	// live returns how many live daemons one of them knows.
	live(ctx context.Context, i int) (int, error)
	// usage is what the daemons have used so far. In this process it includes
	// the stand-ins.
	usage(ctx context.Context) (usage, error)
	// lose ends daemons at once.
	lose(numbers []int)
	stop() error
}

// usage is what processes use.
type usage struct {
	// cpu is the processor time of each process by its number; those that have
	// ended are missing.
	cpu        map[int]time.Duration
	resident   uint64 // bytes
	heap       uint64 // bytes after a collection, zero when not known
	goroutines int
}

// since returns the processor time of all processes that still run, since an
// earlier usage.
func (u usage) since(before usage) time.Duration {
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

// start provisions one daemon and runs it.
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

func (f *inProcess) admins() []string {
	var addresses []string
	for _, d := range f.daemons {
		addresses = append(addresses, d.AdminAddress())
	}
	return addresses
}

func (f *inProcess) live(_ context.Context, i int) (int, error) {
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

func (f *inProcess) lose(numbers []int) {
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
