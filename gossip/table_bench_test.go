package gossip

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkTable fills a table with the entries of a fleet of 410 daemons and 5,300
// hosts. It measures the memory per entry and the time of one digest.
func BenchmarkTable(b *testing.B) {
	const entries = 5710
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	t := newTable([]Class{{Prefix: "host/", MaxEntries: 16384, MaxValueBytes: 512}})
	for i := range entries {
		_, _ = t.put(fmt.Sprintf("host/engine-%05d.mendoza", i), uint64(i+1), make([]byte, 60), 0, time.Now())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		t.digest()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/entries, "B/entry")
}
