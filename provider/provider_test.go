package provider

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bronzeturn/bronzeturn/config"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
)

// run runs a test in virtual time with a fleet of count daemons, of which the
// first watchers watch the store.
func run(t *testing.T, count, watchers int, test func(c *qt.C, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.close()
		f.apply(1)
		for i := range count {
			f.start(fmt.Sprintf("d%02d", i), i < watchers)
		}
		time.Sleep(20 * time.Second)
		test(qt.New(t), f)
	})
}

// assertGeneration asserts that all daemons have the generation in force.
func (f *fleet) assertGeneration(c *qt.C, want uint64) {
	for _, name := range f.names() {
		c.Assert(f.nodes[name].provider.Status().Generation, qt.Equals, want, qt.Commentf("%s", name))
	}
}

func TestChangeReachesAllWithFewStoreCalls(t *testing.T) {
	run(t, 24, 2, func(c *qt.C, f *fleet) {
		f.assertGeneration(c, 1)
		reads := make(map[string]int)
		for _, name := range f.names() {
			reads[name] = f.nodes[name].storeReads()
		}
		f.apply(2)
		time.Sleep(4 * time.Second)
		f.assertGeneration(c, 2)
		for _, name := range f.names()[2:] {
			c.Assert(f.nodes[name].storeReads(), qt.Equals, reads[name], qt.Commentf("%s", name))
		}
		status := f.nodes["d20"].provider.Status()
		c.Assert(status.NewsAge(time.Now()) <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", status.NewsAge(time.Now())))
		c.Assert(status.Rejected, qt.IsNil)
	})
}

func TestStartWhileStoreIsDown(t *testing.T) {
	run(t, 5, 2, func(c *qt.C, f *fleet) {
		f.apply(2)
		time.Sleep(2 * time.Second)
		f.failStoreCalls()
		n := f.start("new", true)
		time.Sleep(3 * time.Second)
		c.Assert(n.provider.Status().Generation, qt.Equals, uint64(2))
		c.Assert(n.provider.Status().Source, qt.Not(qt.Equals), SourceStore)
		time.Sleep(time.Minute)
		ok, reason := n.provider.CheckFreshness(time.Now(), 5, 5, 5)
		c.Assert(ok, qt.IsTrue)
		c.Assert(reason, qt.Equals, ReasonMajority)
		ok, reason = n.provider.CheckFreshness(time.Now(), 2, 5, 5)
		c.Assert(ok, qt.IsFalse)
		c.Assert(reason, qt.Equals, ReasonIsolated)
	})
}

func TestLoneDaemonFallsBackToTheStore(t *testing.T) {
	run(t, 1, 0, func(c *qt.C, f *fleet) {
		f.assertGeneration(c, 1)
		n := f.nodes["d00"]
		c.Assert(n.provider.Status().Source, qt.Equals, SourceStore)
		// Each part is read once, and the head up to three times: it is read again when
		// it has been unconfirmed for too long.
		const heads = 3
		parts := len(headOf(c, f).GetParts())
		c.Assert(n.storeReads() <= parts+heads, qt.IsTrue, qt.Commentf("%d reads", n.storeReads()))
	})
}

func headOf(c *qt.C, f *fleet) *bronzeturnv1.Head {
	head, err := config.DecodeHead(f.head().Value)
	c.Assert(err, qt.IsNil)
	return head
}

func TestDaemonCutOffFromStoreAndPeersGoesStale(t *testing.T) {
	run(t, 3, 1, func(c *qt.C, f *fleet) {
		n := f.nodes["d02"]
		ok, reason := n.provider.CheckFreshness(time.Now(), 2, 2, 2)
		c.Assert(ok, qt.IsTrue)
		c.Assert(reason, qt.Equals, ReasonConfirmed)
		f.setIsolated("d02", true)
		f.apply(2)
		time.Sleep(DefaultStaleAfter + 5*time.Second)
		ok, reason = n.provider.CheckFreshness(time.Now(), 0, 2, 2)
		c.Assert(ok, qt.IsFalse)
		c.Assert(reason, qt.Equals, ReasonIsolated)
		f.setIsolated("d02", false)
		time.Sleep(5 * time.Second)
		f.assertGeneration(c, 2)
		ok, _ = n.provider.CheckFreshness(time.Now(), 2, 2, 2)
		c.Assert(ok, qt.IsTrue)
	})
}

func TestHangingWatchIsReplaced(t *testing.T) {
	run(t, 1, 1, func(c *qt.C, f *fleet) {
		f.store.SetFault(func(ctx context.Context, op memstore.Op, _ string) memstore.FaultEffect {
			if op == memstore.OpWatch {
				<-ctx.Done()
				return memstore.RefuseCall
			}
			return memstore.NoFault
		})
		// The watch in progress ends after its wait, the next one hangs.
		time.Sleep(watchTimeout)
		f.apply(2)
		time.Sleep(pollInterval + 500*time.Millisecond)
		f.assertGeneration(c, 2)
		c.Assert(counterValue(c, f.nodes["d00"].provider.metrics.overtaken) >= 1, qt.IsTrue)
	})
}

// writeHead stores a head without the publisher's checks.
func (f *fleet) writeHead(value []byte) {
	_, err := f.store.Update(context.Background(), config.HeadKey, value, f.head().Revision)
	qt.Assert(f.t, err, qt.IsNil)
}

// badHead returns a head of the next generation whose rules lack the default
// kind, and stores its part.
func badHead(c *qt.C, f *fleet) []byte {
	part, err := proto.Marshal(&bronzeturnv1.Part{Name: "rules.kinds", Rules: &bronzeturnv1.Rules{
		Kinds: []*bronzeturnv1.TaskKind{{Name: "other", QualityTarget: math.NaN()}},
	}})
	c.Assert(err, qt.IsNil)
	digest := config.DigestOf(part)
	_, err = f.store.Create(context.Background(), digest.Key(), part)
	c.Assert(err, qt.IsNil)
	head := headOf(c, f)
	head.Generation++
	head.Parts = []*bronzeturnv1.PartRef{{Name: "rules.kinds", Sha256: digest[:], Size: uint32(len(part))}}
	value, err := config.EncodeHead(head)
	c.Assert(err, qt.IsNil)
	return value
}

func TestBadConfigurationIsRefusedWhole(t *testing.T) {
	run(t, 3, 1, func(c *qt.C, f *fleet) {
		good := f.head().Value
		f.writeHead(badHead(c, f))
		time.Sleep(15 * time.Second)
		f.assertGeneration(c, 1)
		p := f.nodes["d00"].provider
		var invalid *config.ValidationError
		c.Assert(errors.As(p.Status().Rejected, &invalid), qt.IsTrue, qt.Commentf("%v", p.Status().Rejected))
		c.Assert(invalid.Problems[0].Path, qt.Equals, "rules.kinds[0].quality_target")
		c.Assert(p.Status().Accepted, qt.Equals, uint64(2))
		ok, reason := p.CheckFreshness(time.Now(), 2, 2, 2)
		c.Assert(ok, qt.IsTrue, qt.Commentf("%s", reason))
		f.writeHead([]byte("garbage"))
		time.Sleep(5 * time.Second)
		f.assertGeneration(c, 1)
		var head *config.HeadError
		c.Assert(errors.As(p.Status().Rejected, &head), qt.IsTrue)
		f.writeHead(good)
		c.Assert(f.apply(2), qt.Equals, uint64(2))
		c.Assert(f.apply(3), qt.Equals, uint64(3))
		time.Sleep(5 * time.Second)
		f.assertGeneration(c, 3)
		c.Assert(p.Status().Rejected, qt.IsNil)
	})
}

func TestSameGenerationWithOtherContentIsRefused(t *testing.T) {
	run(t, 3, 1, func(c *qt.C, f *fleet) {
		f.apply(2)
		time.Sleep(5 * time.Second)
		head := headOf(c, f)
		head.Note = "forged"
		value, err := config.EncodeHead(head)
		c.Assert(err, qt.IsNil)
		n := f.nodes["d02"]
		n.provider.handleTableHead(config.HeadKey, head.GetGeneration(), value)
		var divergent *DivergentError
		c.Assert(errors.As(n.provider.Status().Rejected, &divergent), qt.IsTrue)
		c.Assert(divergent.Generation, qt.Equals, uint64(2))
		c.Assert(divergent.Offered, qt.Equals, config.DigestOf(value))
		c.Assert(n.provider.Status().Generation, qt.Equals, uint64(2))
	})
}

func TestOlderHeadsAreIgnored(t *testing.T) {
	run(t, 2, 1, func(c *qt.C, f *fleet) {
		old := f.head()
		f.apply(2)
		time.Sleep(5 * time.Second)
		n := f.nodes["d00"]
		n.provider.handleTableHead(config.HeadKey, 1, old.Value)
		n.provider.handleStoreHead(old, time.Now())
		n.provider.RecordHeartbeat(1, 0)
		time.Sleep(5 * time.Second)
		f.assertGeneration(c, 2)
		c.Assert(n.provider.Status().Rejected, qt.IsNil)
		c.Assert(counterValue(c, n.provider.metrics.older), qt.Equals, 2.0)
	})
}

func TestTableVersionMustMatchTheGeneration(t *testing.T) {
	run(t, 1, 1, func(c *qt.C, f *fleet) {
		f.failStoreCalls()
		n := f.nodes["d00"]
		n.provider.handleTableHead(config.HeadKey, 99, f.head().Value)
		var refused *config.HeadError
		c.Assert(errors.As(n.provider.Status().Rejected, &refused), qt.IsTrue)
		c.Assert(n.provider.Status().Accepted, qt.Equals, uint64(1))
	})
}

func TestAlteredPartsOfPeersAreNotTaken(t *testing.T) {
	run(t, 1, 1, func(c *qt.C, f *fleet) {
		n := f.nodes["d00"]
		wanted := config.DigestOf([]byte("good"))
		values := make(map[config.Digest][]byte)
		missing := n.provider.acceptParts(values, []config.Digest{wanted}, [][]byte{[]byte("altered"), nil})
		c.Assert(missing, qt.DeepEquals, []config.Digest{wanted})
		c.Assert(values, qt.HasLen, 0)
		missing = n.provider.acceptParts(values, missing, [][]byte{[]byte("good")})
		c.Assert(missing, qt.HasLen, 0)
		c.Assert(values[wanted], qt.DeepEquals, []byte("good"))
	})
}

func TestAlteredPartsInTheStoreAreNotTaken(t *testing.T) {
	run(t, 1, 1, func(c *qt.C, f *fleet) {
		p := f.nodes["d00"].provider
		wanted := config.DigestOf([]byte("good"))
		_, err := f.store.Create(context.Background(), wanted.Key(), []byte("altered"))
		c.Assert(err, qt.IsNil)
		values := make(map[config.Digest][]byte)
		missing := p.partsFromStore(context.Background(), values, []config.Digest{wanted})
		c.Assert(missing, qt.DeepEquals, []config.Digest{wanted})
		c.Assert(values, qt.HasLen, 0)
	})
}

func TestHeartbeatsReplaceLostTableUpdates(t *testing.T) {
	run(t, 3, 1, func(c *qt.C, f *fleet) {
		withoutTable := f.nodes["d02"]
		withoutTable.mu.Lock()
		withoutTable.listener = nil
		withoutTable.mu.Unlock()
		reads := withoutTable.storeReads()
		f.apply(2)
		time.Sleep(3 * time.Second)
		f.assertGeneration(c, 2)
		c.Assert(withoutTable.provider.Status().Source, qt.Equals, SourcePeer)
		c.Assert(withoutTable.storeReads(), qt.Equals, reads)
	})
}

func TestStoreContradictsAFalseClaim(t *testing.T) {
	run(t, 2, 1, func(c *qt.C, f *fleet) {
		for range 60 {
			for _, name := range f.names() {
				p := f.nodes[name].provider
				p.RecordHeartbeat(7, 0)
				ok, reason := p.CheckFreshness(time.Now(), 1, 1, 1)
				c.Assert(ok, qt.IsTrue, qt.Commentf("%s: %s", name, reason))
			}
			time.Sleep(time.Second)
		}
	})
}

func TestUnavailableNewerHeadEndsFreshness(t *testing.T) {
	run(t, 2, 1, func(c *qt.C, f *fleet) {
		f.failStoreCalls()
		p := f.nodes["d01"].provider
		p.RecordHeartbeat(7, 0)
		c.Assert(p.Status().Accepted, qt.Equals, uint64(7))
		ok, reason := p.CheckFreshness(time.Now(), 1, 1, 1)
		c.Assert(ok, qt.IsTrue)
		c.Assert(reason, qt.Equals, ReasonCatchingUp)
		time.Sleep(DefaultStaleAfter + time.Second)
		ok, reason = p.CheckFreshness(time.Now(), 1, 1, 1)
		c.Assert(ok, qt.IsFalse)
		c.Assert(reason, qt.Equals, ReasonBehind)
	})
}

func TestFleetWithoutWatchersReceivesChanges(t *testing.T) {
	run(t, 3, 0, func(c *qt.C, f *fleet) {
		f.apply(2)
		time.Sleep(DefaultStaleAfter + probeAfter + probeSpread)
		f.assertGeneration(c, 2)
	})
}

func TestTenChangesASecondAreInForceWithinFourSeconds(t *testing.T) {
	run(t, 6, 2, func(c *qt.C, f *fleet) {
		const (
			changes = 60
			pause   = 100 * time.Millisecond
			bound   = 4 * time.Second
		)
		publisher := f.publisher()
		for n := range changes {
			result, err := publisher.Apply(context.Background(), change(t, int64(n+2)))
			c.Assert(err, qt.IsNil)
			for _, name := range f.names() {
				p := f.nodes[name].provider
				behind := time.Duration(result.Generation-p.Status().Generation) * pause
				c.Assert(behind <= bound, qt.IsTrue, qt.Commentf("%s is %v behind", name, behind))
				ok, reason := p.CheckFreshness(time.Now(), 5, 5, 5)
				c.Assert(ok, qt.IsTrue, qt.Commentf("%s: %s", name, reason))
			}
			time.Sleep(pause)
		}
		time.Sleep(2 * time.Second)
		f.assertGeneration(c, changes+1)
	})
}

// TestResumedDaemonWaitsForConfirmation guards against a daemon that accepts new work right after
// a pause of its process, during which it may have missed a newer configuration.
func TestResumedDaemonWaitsForConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 5)
		defer f.close()
		last := f.startThree()
		resumed := last.provider
		fresh := func() (bool, Reason) { return resumed.CheckFreshness(time.Now(), 2, 2, 2) }

		reads := last.storeReads()
		simulatePause(resumed)
		ok, reason := fresh()
		c.Assert(ok, qt.IsFalse)
		c.Assert(reason, qt.Equals, ReasonResumed)
		time.Sleep(2 * time.Second)
		ok, reason = fresh()
		c.Assert(ok, qt.IsTrue)
		c.Assert(reason, qt.Equals, ReasonConfirmed)
		c.Assert(last.storeReads(), qt.Equals, reads+1)

		// If the store is down for all, the majority counts after resumeGracePeriod.
		f.failStoreCalls()
		simulatePause(resumed)
		ok, _ = fresh()
		c.Assert(ok, qt.IsFalse)
		time.Sleep(resumeGracePeriod)
		ok, reason = fresh()
		c.Assert(ok, qt.IsTrue)
		c.Assert(reason, qt.Equals, ReasonMajority)
	})
}

// TestResumedDaemonAsksMostPeersDuringAnOutage guards against daemons that refuse all work for
// seconds after a pause although most of their peers report immediately that nothing newer exists.
func TestResumedDaemonAsksMostPeersDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 5)
		defer f.close()
		resumed := f.startThree().provider
		f.failStoreCalls()
		time.Sleep(20 * time.Second)
		for range 2 { // Answers after an earlier pause do not count.
			simulatePause(resumed)
			ok, reason := resumed.CheckFreshness(time.Now(), 2, 2, 2)
			c.Assert(ok, qt.IsFalse)
			c.Assert(reason, qt.Equals, ReasonResumed)
			time.Sleep(300 * time.Millisecond)
			ok, reason = resumed.CheckFreshness(time.Now(), 2, 2, 2)
			c.Assert(ok, qt.IsTrue)
			c.Assert(reason, qt.Equals, ReasonMajority)
			// The peers that answered must be a majority of the live peers.
			ok, _ = resumed.CheckFreshness(time.Now(), 5, 5, 5)
			c.Assert(ok, qt.IsFalse)
			time.Sleep(2 * time.Second)
		}
	})
}

// simulatePause sets back the time of the last check, as it is found after a pause.
func simulatePause(p *Provider) {
	p.pauses.mu.Lock()
	defer p.pauses.mu.Unlock()
	p.pauses.last = p.pauses.last.Add(-2 * pauseThreshold)
}

func TestNewRefusesMissingOptions(t *testing.T) {
	_, err := New(Options{})
	qt.Assert(t, errors.Is(err, ErrOptions), qt.IsTrue)
}

// TestFleetUnderFaults guards against a generation that decreases, a snapshot that mixes two
// configurations, and daemons that do not converge to the newest generation. It runs random
// schedules of changes, crashes, partitions, lost calls, outages and outdated heads.
func TestFleetUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 5, 40).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) { runSchedule(t, seed, steps) })
	})
}

func runSchedule(t *testing.T, seed uint64, steps []int) {
	f := newFleet(t, seed)
	defer f.close()
	random := rand.New(rand.NewPCG(seed, 2))
	const count = 6
	name := func() string { return fmt.Sprintf("d%d", random.IntN(count)) }
	for i := range count {
		f.start(fmt.Sprintf("d%d", i), i < 2)
	}
	for i, step := range steps {
		f.applyStep(step, name(), int64(i+1), seed)
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
	}
	f.store.SetFault(nil)
	for i := range count {
		f.setIsolated(fmt.Sprintf("d%d", i), false)
	}
	last := f.apply(int64(len(steps) + 1))
	time.Sleep(30 * time.Second)
	f.assertGeneration(qt.New(t), last)
}

// applyStep executes one step of a schedule.
func (f *fleet) applyStep(step int, name string, n int64, seed uint64) {
	switch step {
	case 0, 1, 2:
		// During an outage, the change may be lost or its result unknown.
		_, _ = f.publisher().Apply(context.Background(), change(f.t, n))
	case 3:
		f.crash(name)
		f.start(name, n%2 == 0)
	case 4:
		f.setIsolated(name, n%2 == 0)
	case 5:
		f.failStoreCalls()
	case 6:
		f.store.SetFault(nil)
	case 7:
		f.failRandomly(seed + uint64(n))
	case 8:
		f.reachable(name, name).setWatching(n%2 == 0)
	case 9:
		f.replayOld(name)
	}
}

// failRandomly makes the store refuse or lose random calls.
func (f *fleet) failRandomly(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 5))
	f.store.SetFault(func(context.Context, memstore.Op, string) memstore.FaultEffect {
		f.mu.Lock()
		defer f.mu.Unlock()
		return []memstore.FaultEffect{memstore.NoFault, memstore.NoFault, memstore.RefuseCall, memstore.LoseAnswer}[random.IntN(4)]
	})
}

// replayOld delivers the heads in force on all daemons, which may be outdated, to one daemon.
func (f *fleet) replayOld(name string) {
	n := f.reachable(name, name)
	for _, other := range f.names() {
		peer := f.reachable(other, other)
		peer.provider.mu.Lock()
		c := peer.provider.state.inForce
		peer.provider.mu.Unlock()
		if c != nil {
			n.provider.handleTableHead(config.HeadKey, c.generation(), c.value)
		}
	}
}
