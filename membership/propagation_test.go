package membership

import (
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"
)

const (
	measuredTime = 15 * time.Second
	changeRate   = 10
)

// arrivals records when each version, or a newer one, first reached each daemon.
type arrivals struct {
	mu        sync.Mutex
	published []time.Time
	last      []time.Time
	left      []int
	complete  chan struct{}
}

func newArrivals(changes, daemons int) *arrivals {
	a := &arrivals{
		published: make([]time.Time, changes),
		last:      make([]time.Time, changes),
		left:      make([]int, changes),
		complete:  make(chan struct{}),
	}
	for i := range a.left {
		a.left[i] = daemons
	}
	return a
}

// watch records the arrivals at one daemon.
func (a *arrivals) watch(d *daemon) {
	next := 0
	d.Table().Subscribe("test/change", func(_ string, version uint64, _ []byte) {
		now := time.Now()
		a.mu.Lock()
		defer a.mu.Unlock()
		for ; next < int(version); next++ {
			a.last[next] = now
			a.left[next]--
		}
		if next == len(a.left) && a.left[next-1] == 0 {
			close(a.complete)
		}
	})
}

func (a *arrivals) publish(b *testing.B, d *daemon, i int) {
	a.mu.Lock()
	a.published[i] = time.Now()
	a.mu.Unlock()
	qt.Assert(b, d.Table().Publish("test/change", uint64(i+1), make([]byte, 100)), qt.IsNil)
}

// usage is the cumulative resource usage of the process.
type usage struct {
	at      time.Time
	cpu     time.Duration
	in, out uint64
}

func measure(fleet []*daemon) usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u := usage{at: time.Now(), cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano())}
	for _, d := range fleet {
		in, out := d.traffic.Bytes()
		u.in += in
		u.out += out
	}
	return u
}

// report reports the usage per daemon and second between two measurements.
func report(b *testing.B, name string, before, after usage, n int) {
	seconds := after.at.Sub(before.at).Seconds() * float64(n)
	b.ReportMetric(float64(after.in-before.in)/seconds, name+"_in_B/s")
	b.ReportMetric(float64(after.out-before.out)/seconds, name+"_out_B/s")
	b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/seconds, name+"_cpu_%")
}

// BenchmarkPropagation runs the overlays of all daemons in one process over loopback
// connections. It measures the time from Publish until the subscribers of all daemons receive
// the change, and the bytes, processor time and memory per daemon, both idle and at ten changes
// a second. One iteration is one measurement.
func BenchmarkPropagation(b *testing.B) {
	for _, n := range []int{6, 48, 200, 410} {
		b.Run(fmt.Sprint("daemons=", n), func(b *testing.B) {
			for b.Loop() {
				measurePropagation(b, n)
			}
		})
	}
}

func measurePropagation(b *testing.B, n int) {
	var empty, full runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&empty)
	var fleet []*daemon
	var seeds []string
	joining := time.Now()
	for i := range n {
		d := startDaemon(b, fmt.Sprintf("entry-%03d", i), fmt.Sprint("centre-", i%4), nil, seeds...)
		if i < 3 {
			seeds = append(seeds, d.address)
		}
		fleet = append(fleet, d)
	}
	for _, d := range fleet {
		waitView(b, d, "all are live", func(v *View) bool { return v.Live() == n })
	}
	b.ReportMetric(time.Since(joining).Seconds(), "join_s")
	time.Sleep(5 * time.Second)

	before := measure(fleet)
	time.Sleep(measuredTime)
	report(b, "idle", before, measure(fleet), n)
	runtime.GC()
	runtime.ReadMemStats(&full)
	b.ReportMetric(float64(full.Sys-empty.Sys)/float64(n)/1024, "memory_KB")

	changes := int(measuredTime.Seconds() * changeRate)
	a := newArrivals(changes, n)
	for _, d := range fleet {
		a.watch(d)
	}
	before = measure(fleet)
	ticker := time.NewTicker(time.Second / changeRate)
	for i := range changes {
		<-ticker.C
		a.publish(b, fleet[i*7%n], i)
	}
	report(b, "busy", before, measure(fleet), n)
	<-a.complete
	histogram := hdrhistogram.New(1, 60_000_000, 3)
	for i := range changes {
		_ = histogram.RecordValue(max(1, a.last[i].Sub(a.published[i]).Microseconds()))
	}
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1000, "p50_ms")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1000, "p99_ms")
	var stopping sync.WaitGroup
	for _, d := range fleet {
		stopping.Go(d.stop)
	}
	stopping.Wait()
}
