package quarantine

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/inventory"
	"github.com/bronzeturn/bronzeturn/objectstore"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
	"github.com/bronzeturn/bronzeturn/rendezvous"
	"github.com/bronzeturn/bronzeturn/revision"
)

// testFleet is a set of daemons' quarantines with a store, on virtual time.
type testFleet struct {
	t       *testing.T
	c       *qt.C
	store   *memstore.Store
	random  *rand.Rand
	daemons []*testDaemon

	// newest is the store's newest revision.
	newest atomic.Uint64
	// era is the store's era.
	era atomic.Uint64

	mu sync.Mutex
	// unavailable makes the store refuse calls, silent makes it not answer them.
	unavailable, silent bool
	// down are the addresses that refuse connections because their engine has crashed.
	down map[string]bool
	// flooded are the reports so far, which joining daemons receive.
	flooded  []*bronzeturnv1.CrashReport
	messages int
	// versions are the versions that serve.
	versions []string
}

// testDaemon is a daemon of a testFleet.
type testDaemon struct {
	*Quarantine
	fleet *testFleet
	name  string
	stop  context.CancelFunc
	// partition identifies the side of a network partition.
	partition int
}

const (
	// floodDelay is the delay of a report to the other daemons, listDelay the interval at which
	// daemons list the store's records.
	floodDelay = 50 * time.Millisecond
	listDelay  = 300 * time.Millisecond
)

var errUnavailable = &objectstore.UnavailableError{Op: "test", Cause: errors.New("no answer")}

func newTestFleet(t *testing.T, n int) *testFleet {
	f := &testFleet{
		t: t, c: qt.New(t), store: memstore.New(), random: rand.New(rand.NewPCG(1, 1)),
		down: make(map[string]bool), versions: []string{"v1"},
	}
	for i := range n {
		f.add(fmt.Sprint("d", i))
	}
	return f
}

// add starts another daemon of the fleet.
func (f *testFleet) add(name string) {
	d := f.join(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons = append(f.daemons, d)
}

// join starts a daemon that receives the flooded reports and the store's records.
func (f *testFleet) join(name string) *testDaemon {
	d := &testDaemon{fleet: f, name: name}
	d.Quarantine = New(Options{
		Self: name, Dial: f.dial, Publish: d.publish, Store: d, Rank: d.rank,
		Serving: func(string) []string { f.mu.Lock(); defer f.mu.Unlock(); return f.versions },
		Log:     zerolog.Nop(), Registerer: prometheus.NewRegistry(),
	})
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	go func() { _ = d.Run(ctx) }()       // Ends with the daemon.
	go func() { _ = d.RunWrites(ctx) }() // Ends with the daemon.
	go d.follow(ctx)
	f.mu.Lock()
	reports := slices.Clone(f.flooded)
	f.mu.Unlock()
	for _, m := range reports {
		d.ApplyReport(m, time.Now())
	}
	return d
}

func (f *testFleet) stopAll() {
	for _, d := range f.daemons {
		d.stop()
	}
}

func (f *testFleet) dial(_ context.Context, address string) error {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[address] {
		return fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	}
	return nil
}

// publish floods a report to the daemons on the same side of a partition.
func (d *testDaemon) publish(m *bronzeturnv1.CrashReport) {
	f := d.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.flooded = append(f.flooded, m)
	for _, other := range f.daemons {
		if other == d || other.partition != d.partition {
			continue
		}
		f.messages++
		time.AfterFunc(floodDelay, func() { other.ApplyReport(m, time.Now()) })
	}
}

func (d *testDaemon) rank(h Hash) int {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	var names []string
	for _, other := range d.fleet.daemons {
		names = append(names, other.name)
	}
	return slices.Index(rendezvous.Top(h.String(), names, len(names)), d.name)
}

// follow passes the store's records to the quarantine.
func (d *testDaemon) follow(ctx context.Context) {
	for ctx.Err() == nil {
		// Writes during the listing count as newer than the list.
		newest := d.fleet.inEra(d.fleet.newest.Load())
		objects, err := d.fleet.currentStore().List(ctx, Kind+"/", "", 1000)
		if err == nil && !d.fleet.isUnavailable() {
			var records []Record
			for _, o := range objects {
				r, err := DecodeRecord(o.Key[len(Kind)+1:], d.fleet.inEra(o.Revision), o.Value)
				d.fleet.c.Check(err, qt.IsNil)
				records = append(records, r)
			}
			d.ApplyRecords(records, newest)
		}
		select {
		case <-ctx.Done():
		case <-time.After(listDelay):
		}
	}
}

// Create, Update and Delete implement Store.
func (d *testDaemon) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	d.fleet.waitIfSilent(ctx)
	if d.fleet.isUnavailable() {
		return objectstore.Object{}, errUnavailable
	}
	return d.fleet.wrote(d.fleet.currentStore().Create(ctx, key, value))
}

func (d *testDaemon) Update(ctx context.Context, key string, value []byte, at uint64) (objectstore.Object, error) {
	d.fleet.waitIfSilent(ctx)
	if d.fleet.isUnavailable() {
		return objectstore.Object{}, errUnavailable
	}
	return d.fleet.wrote(d.fleet.currentStore().Update(ctx, key, value, revision.Counter(at)))
}

func (d *testDaemon) Delete(ctx context.Context, key string, at uint64) error {
	d.fleet.waitIfSilent(ctx)
	if d.fleet.isUnavailable() {
		return errUnavailable
	}
	return d.fleet.currentStore().Delete(ctx, key, revision.Counter(at))
}

// wrote records the revision of a write.
func (f *testFleet) wrote(o objectstore.Object, err error) (objectstore.Object, error) {
	if o.Revision > f.newest.Load() {
		f.newest.Store(o.Revision)
	}
	o.Revision = f.inEra(o.Revision)
	return o, err
}

// inEra returns a revision of the store in its era.
func (f *testFleet) inEra(counter uint64) uint64 { return revision.In(f.era.Load(), counter) }

func (f *testFleet) currentStore() *memstore.Store {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store
}

// loseStore replaces the store by an empty one, as if it had come back from an old copy.
func (f *testFleet) loseStore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store = memstore.New()
	f.newest.Store(1)
	f.era.Add(1)
}

func (f *testFleet) isUnavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unavailable || f.silent
}

// waitIfSilent blocks until ctx ends if the store is silent.
func (f *testFleet) waitIfSilent(ctx context.Context) {
	f.mu.Lock()
	silent := f.silent
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
}

func (f *testFleet) setUnavailable(unavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable = unavailable
}

// crash crashes an engine and interrupts requests of some daemons.
func (f *testFleet) crash(id, version string, interrupted map[*testDaemon][]Hash) {
	e := inventory.Engine{ID: id, Service: "llm", Version: version, Address: "10.0.0.1/" + id}
	f.mu.Lock()
	f.down[e.Address] = true
	f.mu.Unlock()
	for d, hashes := range interrupted {
		for _, h := range hashes {
			d.AnswerInterrupted(e, Content{Request: h}, time.Now(), ignoreFailure)
		}
	}
}

// held returns the names of the daemons that hold a request.
func (f *testFleet) held(h Hash) (names []string) {
	synctest.Wait()
	for _, d := range f.daemons {
		if d.Held(Content{Request: h}) {
			names = append(names, d.name)
		}
	}
	return names
}

// records returns the records in the store.
func (f *testFleet) records() map[Hash]Record {
	objects, err := f.currentStore().List(context.Background(), Kind+"/", "", 1000)
	f.c.Assert(err, qt.IsNil)
	found := make(map[Hash]Record)
	for _, o := range objects {
		r, err := DecodeRecord(o.Key[len(Kind)+1:], o.Revision, o.Value)
		f.c.Assert(err, qt.IsNil)
		found[r.Hash] = r
	}
	return found
}

// runFleet runs a test with n daemons on virtual time.
func runFleet(t *testing.T, n int, test func(f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, n)
		time.Sleep(time.Second)
		test(f)
		f.stopAll()
		// Let probes and delayed failure counts finish.
		time.Sleep(5 * time.Second)
	})
}

// crashThreeEngines crashes as many engines under a request as a verdict needs, each detected
// by another daemon.
func (f *testFleet) crashThreeEngines(h Hash) {
	for i := range CrashThreshold {
		f.crash(fmt.Sprint("e", i), "v1", map[*testDaemon][]Hash{f.daemons[i%len(f.daemons)]: {h}})
		time.Sleep(150 * time.Millisecond)
	}
}

func TestDaemonsCombineTheirEvidence(t *testing.T) {
	runFleet(t, 5, func(f *testFleet) {
		f.crashThreeEngines(crasher)
		time.Sleep(time.Second)
		f.c.Check(f.held(crasher), qt.HasLen, 5)
		r := f.records()[crasher]
		f.c.Check(r.Engines, qt.DeepEquals, []string{"e0", "e1", "e2"})
		f.c.Check(r.RetriesLeft, qt.Equals, maxRetries)
		f.c.Check(r.Tied, qt.IsFalse)
	})
}

// TestVerdictWithoutStore checks that without the store all connected daemons hold the request,
// that a daemon which starts meanwhile learns of it from them, and that the record is written
// once the store is back.
func TestVerdictWithoutStore(t *testing.T) {
	runFleet(t, 4, func(f *testFleet) {
		f.setUnavailable(true)
		f.crashThreeEngines(crasher)
		time.Sleep(time.Second)
		f.add("late")
		time.Sleep(time.Second)
		f.c.Check(f.held(crasher), qt.HasLen, 5)
		f.c.Check(f.records(), qt.HasLen, 0)
		f.setUnavailable(false)
		time.Sleep(6 * time.Second)
		f.c.Check(f.records(), qt.HasLen, 1)
	})
}

// TestSilentStoreDelaysNoVerdict guards against store calls that block the evaluation of the
// evidence and the reports to other daemons.
func TestSilentStoreDelaysNoVerdict(t *testing.T) {
	runFleet(t, 2, func(f *testFleet) {
		f.mu.Lock()
		f.silent = true
		f.mu.Unlock()
		for n := range 6 {
			h := Hash{0xc, byte(n)}
			for i := range CrashThreshold {
				f.crash(fmt.Sprint("e", n, i), "v1", map[*testDaemon][]Hash{f.daemons[i%2]: {h}})
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(300 * time.Millisecond)
			f.c.Check(f.held(h), qt.HasLen, 2, qt.Commentf("request %d", n))
		}
		began := time.Now()
		f.c.Check(f.daemons[0].Retry(f.t.Context(), Hash{0xc}, time.Now()), qt.IsFalse)
		f.c.Check(time.Since(began) < 500*time.Millisecond, qt.IsTrue)
	})
}

// TestCompletionAfterOneCrashCostsNoMessage guards against a message for each request that one
// crash interrupted, as most of them complete elsewhere.
func TestCompletionAfterOneCrashCostsNoMessage(t *testing.T) {
	runFleet(t, 3, func(f *testFleet) {
		var interrupted []Hash
		for i := range 50 {
			interrupted = append(interrupted, Hash{byte(i), 1})
		}
		f.crash("e1", "v1", map[*testDaemon][]Hash{f.daemons[0]: interrupted})
		time.Sleep(time.Second)
		f.mu.Lock()
		before := f.messages
		f.mu.Unlock()
		for _, h := range interrupted {
			f.daemons[0].Completed(Content{Request: h}, time.Now())
			time.Sleep(20 * time.Millisecond)
		}
		f.mu.Lock()
		f.c.Check(f.messages, qt.Equals, before)
		f.mu.Unlock()
		// The daemon that saw them complete still reports it when it matters.
		f.crash("e2", "v1", map[*testDaemon][]Hash{f.daemons[1]: interrupted[:1]})
		f.crash("e3", "v1", map[*testDaemon][]Hash{f.daemons[2]: interrupted[:1]})
		time.Sleep(time.Second)
		f.c.Check(f.held(interrupted[0]), qt.HasLen, 0)
	})
}

// TestPartitionedDaemonLearnsFromStore checks that a daemon that no report reaches learns of a
// quarantined request from the store.
func TestPartitionedDaemonLearnsFromStore(t *testing.T) {
	runFleet(t, 4, func(f *testFleet) {
		f.mu.Lock()
		f.daemons[3].partition = 1
		f.mu.Unlock()
		for i := range CrashThreshold {
			f.crash(fmt.Sprint("e", i), "v1", map[*testDaemon][]Hash{f.daemons[i]: {crasher}})
			time.Sleep(100 * time.Millisecond)
		}
		// Daemons write a record one after the other, by rank.
		time.Sleep(4 * writeStagger)
		f.c.Check(f.held(crasher), qt.HasLen, 4)
	})
}

// TestQuarantineSurvivesLossOfAllDaemons checks that requests stay held after all daemons have
// lost power. None of them has a disk.
func TestQuarantineSurvivesLossOfAllDaemons(t *testing.T) {
	runFleet(t, 3, func(f *testFleet) {
		f.crashThreeEngines(crasher)
		time.Sleep(time.Second)
		f.stopAll()
		f.mu.Lock()
		f.daemons, f.flooded = nil, nil
		f.mu.Unlock()
		for i := range 3 {
			f.add(fmt.Sprint("new", i))
		}
		time.Sleep(time.Second)
		f.c.Check(f.held(crasher), qt.HasLen, 3)
		for range 100 {
			f.c.Check(f.daemons[0].Retry(f.t.Context(), crasher, time.Now()), qt.IsFalse)
			time.Sleep(time.Second)
		}
	})
}

// TestQuarantineSurvivesARestore guards against releasing requests whose records a restored store
// lacks, and against records that nobody writes again or that allow further retries.
func TestQuarantineSurvivesARestore(t *testing.T) {
	runFleet(t, 3, func(f *testFleet) {
		f.crashThreeEngines(crasher)
		time.Sleep(3 * time.Second)
		before := f.records()
		f.c.Assert(before, qt.HasLen, 1)
		f.loseStore()
		time.Sleep(5 * time.Second)
		f.c.Check(f.held(crasher), qt.HasLen, 3)
		after := f.records()
		f.c.Assert(after, qt.HasLen, 1)
		f.c.Check(after[crasher].RetriesLeft, qt.Equals, before[crasher].RetriesLeft)
		f.c.Check(after[crasher].Engines, qt.DeepEquals, before[crasher].Engines)
		f.add("started later")
		time.Sleep(time.Second)
		f.c.Check(f.held(crasher), qt.HasLen, 4)
	})
}

// TestEachRetryIsGrantedToOneDaemon guards against granting a retry to several daemons that ask
// at the same time. One retry is enough to distinguish two tied requests.
func TestEachRetryIsGrantedToOneDaemon(t *testing.T) {
	runFleet(t, 3, func(f *testFleet) {
		for i := range CrashThreshold {
			f.crash(fmt.Sprint("e", i), "v1", map[*testDaemon][]Hash{f.daemons[0]: {crasher}, f.daemons[1]: {a}})
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		f.c.Check(f.held(crasher), qt.HasLen, 3)
		f.c.Check(f.held(a), qt.HasLen, 3)

		granted := 0
		var asking sync.WaitGroup
		var mu sync.Mutex
		for _, d := range f.daemons {
			asking.Go(func() {
				if d.Retry(f.t.Context(), crasher, time.Now()) {
					mu.Lock()
					defer mu.Unlock()
					granted++
				}
			})
		}
		asking.Wait()
		f.c.Check(granted, qt.Equals, 1)
		f.crash("e9", "v1", map[*testDaemon][]Hash{f.daemons[2]: {crasher}})
		time.Sleep(3 * time.Second)
		// The crashes of the other one are explained now, without a retry of its own.
		f.c.Check(f.held(a), qt.HasLen, 0)
		f.c.Check(f.held(crasher), qt.HasLen, 3)
		f.c.Check(f.records(), qt.HasLen, 1)
		f.c.Check(f.records()[crasher].Tied, qt.IsFalse)
		f.c.Check(f.records()[crasher].RetriesLeft, qt.Equals, maxRetries-1)
		f.c.Check(f.daemons[0].Retry(f.t.Context(), crasher, time.Now()), qt.IsFalse)
	})
}

func TestCompletedTiedRequestIsReleasedEverywhere(t *testing.T) {
	runFleet(t, 3, func(f *testFleet) {
		for i := range CrashThreshold {
			f.crash(fmt.Sprint("e", i), "v1", map[*testDaemon][]Hash{f.daemons[0]: {crasher, a}})
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		f.c.Assert(f.daemons[1].Retry(f.t.Context(), a, time.Now()), qt.IsTrue)
		f.daemons[1].Completed(Content{Request: a}, time.Now())
		time.Sleep(2 * time.Second)
		f.c.Check(f.held(a), qt.HasLen, 0)
		f.c.Check(f.held(crasher), qt.HasLen, 3)
		f.c.Check(f.records(), qt.HasLen, 1)
	})
}

// TestRetriesAreBounded guards against further retries after daemons restart, versions change
// or time passes.
func TestRetriesAreBounded(t *testing.T) {
	runFleet(t, 3, func(f *testFleet) {
		f.crashThreeEngines(crasher)
		time.Sleep(2 * time.Second)
		granted := 0
		for n := range 15 {
			f.mu.Lock()
			f.versions = []string{fmt.Sprint("v", n+2)}
			f.mu.Unlock()
			for _, d := range f.daemons {
				if d.Retry(f.t.Context(), crasher, time.Now()) {
					granted++
					f.crash(fmt.Sprint("r", n), fmt.Sprint("v", n+2), map[*testDaemon][]Hash{d: {crasher}})
				}
			}
			time.Sleep(holdPeriod / 4)
			f.daemons[n%3].stop()
			f.mu.Lock()
			f.daemons = slices.Delete(f.daemons, n%3, n%3+1)
			f.mu.Unlock()
			f.add(fmt.Sprint("again", n))
			time.Sleep(time.Second)
		}
		f.c.Check(granted, qt.Equals, maxRetries)
		f.c.Check(f.held(crasher), qt.HasLen, 3)
	})
}

// TestNewVersionIsRetriedOnce checks that a request is retried once none of the versions that
// it crashed serves any more.
func TestNewVersionIsRetriedOnce(t *testing.T) {
	runFleet(t, 3, func(f *testFleet) {
		f.crashThreeEngines(crasher)
		time.Sleep(2 * time.Second)
		f.mu.Lock()
		f.versions = []string{"v1", "v2"} // Side by side, while v2 is introduced.
		f.mu.Unlock()
		f.c.Check(f.daemons[0].Retry(f.t.Context(), crasher, time.Now()), qt.IsFalse)
		f.mu.Lock()
		f.versions = []string{"v2"}
		f.mu.Unlock()
		f.c.Assert(f.daemons[0].Retry(f.t.Context(), crasher, time.Now()), qt.IsTrue)
		f.daemons[0].Completed(Content{Request: crasher}, time.Now())
		time.Sleep(2 * time.Second)
		f.c.Check(f.held(crasher), qt.HasLen, 0)
		f.c.Check(f.records(), qt.HasLen, 0)
	})
}

func TestOperatorClearsAtOneDaemonOrInTheStore(t *testing.T) {
	for name, clear := range map[string]func(f *testFleet){
		"daemon": func(f *testFleet) { f.c.Check(f.daemons[1].Clear(crasher), qt.IsTrue) },
		"store": func(f *testFleet) {
			r := f.records()[crasher]
			f.c.Check(f.store.Delete(context.Background(), key(crasher), r.Revision), qt.IsNil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 3, func(f *testFleet) {
				f.crashThreeEngines(crasher)
				time.Sleep(2 * time.Second)
				f.c.Check(f.daemons[0].Entries(), qt.HasLen, 1)
				clear(f)
				time.Sleep(2 * time.Second)
				f.c.Check(f.held(crasher), qt.HasLen, 0)
				f.c.Check(f.records(), qt.HasLen, 0)
				f.c.Check(f.daemons[2].Clear(crasher), qt.IsFalse)
			})
		})
	}
}

// TestSendsInProgressAreCancelled guards against starting a quarantined request that waits in
// the queue of another engine.
func TestSendsInProgressAreCancelled(t *testing.T) {
	runFleet(t, 2, func(f *testFleet) {
		waiting, send := f.daemons[1].Sending(f.t.Context(), Content{Request: crasher})
		defer send.Done()
		other, otherSend := f.daemons[1].Sending(f.t.Context(), Content{Request: a})
		defer otherSend.Done()
		f.crashThreeEngines(crasher)
		time.Sleep(time.Second)
		synctest.Wait()
		f.c.Check(context.Cause(waiting), qt.Equals, ErrQuarantined)
		f.c.Check(other.Err(), qt.IsNil)
	})
}

// TestCompletionElsewhereReleasesRequest covers a third of the engines crashing together while
// a popular request that has not completed yet runs on all of them. The other answers continue,
// and the first one that completes releases the request.
func TestCompletionElsewhereReleasesRequest(t *testing.T) {
	runFleet(t, 3, func(f *testFleet) {
		running, send := f.daemons[1].Sending(f.t.Context(), Content{Request: a})
		defer send.Done()
		send.Begun()
		for i := range 4 {
			f.crash(fmt.Sprint("e", i), "v1", map[*testDaemon][]Hash{f.daemons[i%3]: {a}})
		}
		time.Sleep(time.Second)
		f.c.Check(f.held(a), qt.HasLen, 3)
		f.c.Check(f.records()[a].Tied, qt.IsTrue)
		f.c.Check(running.Err(), qt.IsNil)
		f.daemons[1].Completed(Content{Request: a}, time.Now())
		time.Sleep(2 * time.Second)
		f.c.Check(f.held(a), qt.HasLen, 0)
		f.c.Check(f.records(), qt.HasLen, 0)
	})
}

// TestFailuresCountOnlyWithoutCrasher guards against counting crashes that a quarantined
// request causes on every version as failures of a new version.
func TestFailuresCountOnlyWithoutCrasher(t *testing.T) {
	runFleet(t, 1, func(f *testFleet) {
		var mu sync.Mutex
		counted := make(map[string]int)
		crash := func(id string, hashes ...Hash) {
			e := inventory.Engine{ID: id, Service: "llm", Version: "v2", Address: id}
			f.mu.Lock()
			f.down[id] = true
			f.mu.Unlock()
			for _, h := range hashes {
				f.daemons[0].AnswerInterrupted(e, Content{Request: h}, time.Now(), func() { mu.Lock(); defer mu.Unlock(); counted[id[:1]]++ })
			}
		}
		for i := range 5 {
			crash(fmt.Sprint("explained", i), crasher, Hash{1, byte(i)}, Hash{2, byte(i)})
			crash(fmt.Sprint("unexplained", i), Hash{3, byte(i)}, Hash{4, byte(i)})
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(failureCountDelay + time.Second)
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		f.c.Check(counted, qt.DeepEquals, map[string]int{"u": 10})
	})
}

// TestCrashesOfManyEnginesCostFewMessages covers the loss of power of a data centre in a large
// fleet.
func TestCrashesOfManyEnginesCostFewMessages(t *testing.T) {
	const daemons, engines, requestsPerEngine = 300, 50, 24
	runFleet(t, daemons, func(f *testFleet) {
		for i := range engines {
			interrupted := make(map[*testDaemon][]Hash)
			for j := range requestsPerEngine {
				d := f.daemons[f.random.IntN(daemons)]
				interrupted[d] = append(interrupted[d], Hash{byte(i), byte(i >> 8), byte(j), 9})
			}
			f.crash(fmt.Sprint("e", i), "v1", interrupted)
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		f.mu.Lock()
		reports := f.messages / (daemons - 1)
		f.mu.Unlock()
		f.t.Logf("%d reports for %d engines and %d requests", reports, engines, engines*requestsPerEngine)
		f.c.Check(reports <= 3*daemons, qt.IsTrue, qt.Commentf("%d reports", reports))
		f.c.Check(f.records(), qt.HasLen, 0)
	})
}
