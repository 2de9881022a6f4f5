package entry

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
)

// The GC percentage is heapGrowth, below the runtime default of 100, to reduce memory use.
// On hosts with fewer than scarceCores cores it is raised, up to heapGrowthScarce, so that
// the heap can grow by minHeapGrowthBytes between collections: a heap of a few megabytes is
// otherwise collected so often that GC takes a quarter of the CPU time. Large heaps are
// collected rarely enough at heapGrowth.
const (
	heapGrowth         = 40
	heapGrowthScarce   = 100
	scarceCores        = 0.25
	minHeapGrowthBytes = 5 << 20
)

const (
	// heapPollInterval is the interval between reads of the live heap size.
	heapPollInterval = 2 * time.Second
	// minHeapGrowthChange is the smallest change of the GC percentage that is applied, in
	// percentage points.
	minHeapGrowthChange = 10
)

// heapGrowthFor returns the GC percentage for a host with the given number of cores and
// live heap bytes. Zero means unknown for either argument.
func heapGrowthFor(cores float64, live uint64) int {
	if cores <= 0 || cores >= scarceCores {
		return heapGrowth
	}
	if live == 0 {
		return heapGrowthScarce
	}
	percent := minHeapGrowthBytes * 100 / live
	return int(min(max(percent, heapGrowth), heapGrowthScarce))
}

// adjustHeapGrowth updates the GC percentage as the live heap size changes, until ctx is done.
func (d *Daemon) adjustHeapGrowth(ctx context.Context) error {
	percent := heapGrowthFor(d.Settings.Cores, 0)
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	for backoff.Tick(ctx, heapPollInterval) == nil {
		metrics.Read(live)
		target := heapGrowthFor(d.Settings.Cores, live[0].Value.Uint64())
		if max(target-percent, percent-target) < minHeapGrowthChange {
			continue // SetGCPercent stops the world, so skip small changes.
		}
		percent = target
		debug.SetGCPercent(percent)
		d.log.Debug().Int("growth_percent", percent).Uint64("live_bytes", live[0].Value.Uint64()).Msg("GC percentage changed")
	}
	return nil
}
