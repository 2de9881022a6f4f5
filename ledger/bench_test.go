package ledger

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
)

// unpacedLedger starts a node without write pacing, so that benchmarks measure
// the ledger's own time.
func unpacedLedger(b *testing.B) *node {
	c := newCluster()
	b.Cleanup(c.stop)
	n := c.start(b, "a", func(cfg *Config) {
		cfg.Shards, cfg.Slots = DefaultShards, DefaultSlots
		cfg.FleetWrites = 1e9
		cfg.BatchDelay = time.Microsecond
	})
	_, err := n.Bill(b.Context(), billNumber(0))
	qt.Assert(b, err, qt.IsNil)
	return n
}

// BenchmarkClaim measures the latency of one claim with a store that answers
// immediately.
func BenchmarkClaim(b *testing.B) {
	n := unpacedLedger(b)
	i := 0
	for b.Loop() {
		i++
		if _, err := n.Claim(b.Context(), claimRequest(fmt.Sprint(i), "body")); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkClaimParallel measures the time per claim with many concurrent
// claims.
func BenchmarkClaimParallel(b *testing.B) {
	n := unpacedLedger(b)
	var i atomic.Int64
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := n.Claim(b.Context(), claimRequest(fmt.Sprint(i.Add(1)), "body")); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkBill measures the latency of one bill with a store that answers
// immediately.
func BenchmarkBill(b *testing.B) {
	n := unpacedLedger(b)
	i := 0
	for b.Loop() {
		i++
		if _, err := n.Bill(b.Context(), billNumber(i)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkWriter measures the preferred writer's time per batch for several
// batch sizes; the slope is the time per record. Compactions are included.
func BenchmarkWriter(b *testing.B) {
	for _, size := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			g := newShardLog(memstore.New(), layout{1, DefaultSlots}, 0, "w", testRetention)
			qt.Assert(b, g.load(b.Context()), qt.IsNil)
			i := 0
			for b.Loop() {
				b.StopTimer()
				records := make([]*bronzeturnv1.LedgerRecord, size)
				for j := range records {
					i++
					records[j] = fullBill(i)
				}
				b.StartTimer()
				writeBatch(b, g, records)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size), "ns/record")
		})
	}
}

func writeBatch(b *testing.B, g *shardLog, records []*bronzeturnv1.LedgerRecord) {
	if g.compactionDue() {
		qt.Assert(b, g.maintain(b.Context(), time.Hour), qt.IsNil)
	}
	for _, rec := range records {
		if !g.decide(rec).write {
			b.Fatal("record refused")
		}
	}
	qt.Assert(b, g.write(b.Context(), records), qt.IsNil)
}

// BenchmarkLoad measures the time per entry to load a shard, as after a change
// of preferred writer.
func BenchmarkLoad(b *testing.B) {
	for _, claims := range []int{10000, 100000} {
		b.Run(fmt.Sprint(claims), func(b *testing.B) {
			store := memstore.New()
			g := newShardLog(store, layout{1, DefaultSlots}, 0, "w", testRetention)
			qt.Assert(b, g.load(b.Context()), qt.IsNil)
			for i := 0; i < claims; i += 500 {
				records := make([]*bronzeturnv1.LedgerRecord, 500)
				for j := range records {
					records[j] = fullClaim(i + j)
				}
				writeBatch(b, g, records)
			}
			for b.Loop() {
				fresh := newShardLog(store, layout{1, DefaultSlots}, 0, "w", testRetention)
				qt.Assert(b, fresh.load(b.Context()), qt.IsNil)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*claims), "ns/entry")
		})
	}
}

// serverDialer connects to one daemon over loopback.
type serverDialer struct {
	client *http.Client
	url    string
}

// Dial implements Dialer.
func (d serverDialer) Dial(string) (connect.HTTPClient, string, bool) { return d.client, d.url, true }

// BenchmarkForwardedBill measures the processor time of a bill that one daemon
// sends to the preferred writer over loopback, on both sides together. Bills
// are sent one at a time, which is the expected pattern of a single daemon.
func BenchmarkForwardedBill(b *testing.B) {
	c := newCluster()
	b.Cleanup(c.stop)
	pace := func(cfg *Config) {
		cfg.Shards, cfg.Slots = DefaultShards, DefaultSlots
		cfg.FleetWrites, cfg.BatchDelay = 1e9, time.Microsecond
	}
	owner := c.start(b, "owner", pace)
	server := httptest.NewServer(owner.handler)
	b.Cleanup(server.Close)
	c.setOwner(func(string, string) string { return "owner" })
	n := c.start(b, "a", pace, func(cfg *Config) { cfg.Dialer = serverDialer{server.Client(), server.URL} })
	_, err := n.Bill(b.Context(), billNumber(0))
	qt.Assert(b, err, qt.IsNil)
	i, before := 0, cpuTime()
	for b.Loop() {
		i++
		if _, err := n.Bill(b.Context(), billNumber(i)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cpuTime()-before)/float64(i), "cpu-ns/op")
}

// cpuTime returns the processor time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
