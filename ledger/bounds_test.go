package ledger

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
)

// storeLatency is the simulated duration of a store call.
const storeLatency = 3 * time.Millisecond

func delayed(context.Context, memstore.Op, string) memstore.FaultEffect {
	time.Sleep(storeLatency)
	return memstore.NoFault
}

// The rate of store calls must stay within the fleet's limit at any request
// rate: it grows with the number of shards, not with the number of requests.
func TestStoreCallsStayBounded(t *testing.T) {
	t.Parallel()
	tests := []struct {
		rate          int // requests per second, each with a bill, every tenth with a claim
		maxPerRequest float64
		maxP50        time.Duration // of a claim, in virtual time, with storeLatency per store call
	}{
		{10, 1.3, 6 * time.Millisecond},
		{100, 1.3, 6 * time.Millisecond},
		{2600, 0.14, 80 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, nodes := ownersByShard(t, 6)
				defer c.stop()
				sendLoad(t, nodes, "warm", test.rate/5, time.Second/time.Duration(test.rate))
				before, start := c.store.Counts(), time.Now()
				claims := sendLoad(t, nodes, "run", test.rate, time.Second/time.Duration(test.rate))
				after, took := c.store.Counts(), time.Since(start).Seconds()
				writes, reads := after.Writes-before.Writes, after.Reads-before.Reads
				p50, p99 := claims[len(claims)/2], claims[len(claims)*99/100]
				t.Logf("rate %d: %d writes and %d reads in %.2f s, claim p50 %v p99 %v", test.rate, writes, reads, took, p50, p99)

				bound := DefaultFleetWrites*took + shardBurst*DefaultShards
				qt.Assert(t, float64(writes) <= bound, qt.IsTrue, qt.Commentf("%d writes, bound %.0f", writes, bound))
				perRequest := float64(writes+reads) / float64(test.rate)
				qt.Assert(t, perRequest <= test.maxPerRequest, qt.IsTrue, qt.Commentf("%.3f calls per request", perRequest))
				qt.Assert(t, p50 <= test.maxP50, qt.IsTrue, qt.Commentf("claim p50 %v", p50))
			})
		})
	}
}

// Compaction must add few store calls to those that write the batches.
func TestCompactionAddsFewStoreCalls(t *testing.T) {
	store := memstore.New()
	g := loadedLog(t, store, DefaultSlots)
	const batches = 2000
	before := store.Counts()
	writeBatches(t, g, "k", batches)
	after := store.Counts()
	writes, reads := after.Writes-before.Writes, after.Reads-before.Reads
	t.Logf("%d writes and %d reads for %d batches", writes, reads, batches)
	qt.Assert(t, writes <= batches*102/100, qt.IsTrue, qt.Commentf("%d writes", writes))
	qt.Assert(t, reads <= batches/100, qt.IsTrue, qt.Commentf("%d reads", reads))
}

// ownersByShard starts n daemons that are the preferred writers of 32 shards in
// turn.
func ownersByShard(t *testing.T, n int) (*cluster, []*node) {
	c := newCluster()
	c.store.SetFault(delayed)
	c.setOwner(func(_, key string) string {
		return fmt.Sprintf("d%d", (int(key[len(key)-2])*10+int(key[len(key)-1]))%n)
	})
	var nodes []*node
	for i := range n {
		nodes = append(nodes, c.start(t, fmt.Sprintf("d%d", i), func(cfg *Config) {
			cfg.Shards, cfg.Slots = DefaultShards, DefaultSlots
		}))
	}
	time.Sleep(5 * time.Second) // preferred writers load their shards
	return c, nodes
}

// sendLoad sends n requests at regular intervals, waits for all of them, and
// returns the sorted durations of the claims.
func sendLoad(t *testing.T, nodes []*node, name string, n int, every time.Duration) []time.Duration {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var claims []time.Duration
	for i := range n {
		wg.Go(func() {
			took := sendOne(t, nodes[i%len(nodes)], fmt.Sprintf("%s-%d", name, i), i%10 == 0)
			if took > 0 {
				mu.Lock()
				defer mu.Unlock()
				claims = append(claims, took)
			}
		})
		time.Sleep(every)
	}
	wg.Wait()
	slices.Sort(claims)
	return claims
}

// sendOne sends a request and returns the duration of its claim, if it has one.
func sendOne(t *testing.T, n *node, id string, claimed bool) (claim time.Duration) {
	ctx := t.Context()
	var r ClaimResult
	if claimed {
		var err error
		start := time.Now()
		r, err = n.Claim(ctx, claimRequest(id, "body"))
		claim = time.Since(start)
		qt.Check(t, err, qt.IsNil)
	}
	_, err := n.Bill(ctx, Bill{Organisation: "org", RequestID: id, Version: "v"})
	qt.Check(t, err, qt.IsNil)
	if claimed {
		_, err := n.CompleteClaim(ctx, CompleteRequest{Organisation: "org", Key: id, Ticket: r.Ticket, State: StateDone})
		qt.Check(t, err, qt.IsNil)
	}
	return claim
}

// fullBill returns a bill with every field set to a typical length.
func fullBill(i int) *bronzeturnv1.LedgerRecord {
	rec := testBill(fmt.Sprintf("01890a5d-ac96-774b-bcce-%012d", i))
	b := rec.GetBill()
	b.Organisation, b.Version, b.Kind = "campina-verde-depot-12", "diag-large-2026-11", "report"
	b.PromptTokens, b.CompletionTokens, b.CostMicros, b.AtMicros = 3500, 900, 123456, 1796000000000000
	return rec
}

func fullClaim(i int) *bronzeturnv1.LedgerRecord {
	rec := testClaim(fmt.Sprint("key-", i))
	rec.GetClaim().RequestId = fmt.Sprintf("01890a5d-ac96-774b-bcce-%012d", i)
	rec.GetClaim().Holder = "entry-mendoza-sala-07"
	return rec
}

func TestBytesPerRecord(t *testing.T) {
	const n = 20000
	tests := []struct {
		name      string
		record    func(i int) *bronzeturnv1.LedgerRecord
		maxWire   int // in a batch
		maxEntry  int // in a segment
		maxMemory int // in the state of the preferred writer
		done      bool
	}{
		{"bill", fullBill, 160, 16, 45, false},
		{"claim", fullClaim, 150, 160, 320, false},
		{"claim with outcome", fullClaim, 150, 260, 640, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newShardLog(nil, layout{1, DefaultSlots}, 0, "w", testRetention)
			batch := &bronzeturnv1.LedgerBatch{Sequence: 1}
			for i := range n {
				batch.Records = append(batch.Records, test.record(i))
			}
			wire, err := proto.Marshal(batch)
			qt.Assert(t, err, qt.IsNil)
			batch = nil
			before := heapBytes()
			var read bronzeturnv1.LedgerBatch
			qt.Assert(t, proto.Unmarshal(wire, &read), qt.IsNil)
			g.state.apply(&read)
			if test.done {
				addOutcomes(g.state, &read)
			}
			read.Reset()
			memory := int(heapBytes()-before) / n
			t.Logf("%s: %d bytes in a batch, %d in memory", test.name, len(wire)/n, memory)
			qt.Assert(t, len(wire)/n <= test.maxWire, qt.IsTrue, qt.Commentf("%d bytes in a batch", len(wire)/n))
			qt.Assert(t, memory <= test.maxMemory, qt.IsTrue, qt.Commentf("%d bytes in memory", memory))

			qt.Assert(t, proto.Unmarshal(wire, &read), qt.IsNil)
			g.tail = []*bronzeturnv1.LedgerBatch{&read}
			entry := proto.Size(g.buildSegment()) / n
			t.Logf("%s: %d bytes in a segment", test.name, entry)
			qt.Assert(t, entry <= test.maxEntry, qt.IsTrue, qt.Commentf("%d bytes in a segment", entry))
			runtime.KeepAlive(g)
		})
	}
}

// addOutcomes adds an outcome without a body to every claim of a batch.
func addOutcomes(s *state, b *bronzeturnv1.LedgerBatch) {
	for i, rec := range b.Records {
		out := &bronzeturnv1.LedgerOutcome{
			State:       wireStates[StateDone],
			Status:      200,
			ContentType: strings.Clone("application/json"),
			BodySha256:  make([]byte, 32),
			Version:     fmt.Sprint("diag-large-2026-", i%36),
		}
		s.applyRecord(outcomeRecord(fingerprint(rec.Fingerprint), Nonce(rec.Nonce), out))
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
