package fleetbench

import (
	"fmt"
	"time"
)

func (b *bench) printf(format string, args ...any) {
	fmt.Fprintf(b.options.Output, format, args...)
}

// report writes the resource usage of the fleet between two samples. Rates are per
// second and daemon, except for those of object API calls, which are for the whole fleet.
func (b *bench) report(name string, before, after sample) {
	seconds := after.at.Sub(before.at).Seconds()
	daemons := float64(max(len(after.daemons), 1))
	b.printf("\n%s, %.1f s, load average %s\n", name, seconds, loadAverage())
	b.printf("  processor          %8.3f %% of a core per daemon (%s)\n",
		100*after.usage.cpuSince(before.usage).Seconds()/seconds/daemons, b.usageNote())
	b.printf("  resident memory    %8.1f MB per daemon\n", megabytes(after.usage.resident)/daemons)
	if after.usage.heap > 0 {
		b.printf("  heap               %8.2f MB per daemon\n", megabytes(after.usage.heap)/daemons)
	}
	b.printf("  goroutines         %8.0f per daemon\n", float64(after.usage.goroutines)/daemons)
	b.reportPeers(before, after, seconds)
	b.reportStore(before, after, seconds)
	for kind := range systemCount {
		b.printf("  %-18s %8.0f bytes/s per daemon, %.1f connections per daemon\n", systemNames[kind],
			float64(after.systemBytes[kind]-before.systemBytes[kind])/seconds/daemons, float64(after.systemConnections[kind])/daemons)
	}
}

func (b *bench) usageNote() string {
	if b.options.Binary == "" {
		return "stand-ins and benchmark included"
	}
	return "daemons only"
}

// reportPeers writes the traffic between daemons, as the sum of both directions.
func (b *bench) reportPeers(before, after sample, seconds float64) {
	var sum, most, links, entries float64
	for address, c := range after.daemons {
		rate := (c.peerBytes - before.daemons[address].peerBytes) / seconds
		sum += rate
		most = max(most, rate)
		links += c.links
		entries += (c.entryBytes - before.daemons[address].entryBytes) / seconds
	}
	n := float64(max(len(after.daemons), 1))
	b.printf("  peers              %8.0f bytes/s per daemon in and out, %.0f at the busiest, %.1f overlay links, %.0f bytes/s table entries sent\n",
		sum/n, most, links/n, entries/n)
}

func (b *bench) reportStore(before, after sample, seconds float64) {
	perSecond := func(a, b uint64) float64 { return float64(a-b) / seconds }
	b.printf("  object API calls   %8.2f reads/s, %.2f writes/s, %.2f watches/s, %.2f waiting watches, whole fleet\n",
		perSecond(after.calls.Reads, before.calls.Reads), perSecond(after.calls.Writes, before.calls.Writes),
		perSecond(after.calls.Watches, before.calls.Watches), perSecond(after.calls.WatchSeconds, before.calls.WatchSeconds))
}

// reportDelays writes percentiles of the times from acceptance to in force.
func (b *bench) reportDelays(d *delays) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, row := range []struct {
		name string
		all  []time.Duration
	}{{"in force everywhere", d.everywhere}, {"in force on one", d.perDaemon}} {
		b.printf("  %-19s %d values, p50 %s, p99 %s, longest %s\n", row.name, len(row.all),
			rounded(percentile(row.all, 0.5)), rounded(percentile(row.all, 0.99)), rounded(percentile(row.all, 1)))
	}
}

func rounded(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

func megabytes(bytes uint64) float64 { return float64(bytes) / 1e6 }
