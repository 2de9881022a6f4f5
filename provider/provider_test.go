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

// inForce asserts the generation in force on all daemons.
func (f *fleet) inForce(c *qt.C, want uint64) {
	for _, name := range f.names() {
		c.Assert(f.nodes[name].provider.Status().Generation, qt.Equals, want, qt.Commentf("%s", name))
	}
}

func TestChangeReachesAllWithFewStoreCalls(t *testing.T) {
	run(t, 24, 2, func(c *qt.C, f *fleet) {
		f.inForce(c, 1)
		reads := make(map[string]int)
		for _, name := range f.names() {
			reads[name] = f.nodes[name].storeReads()
		}
		f.apply(2)
		time.Sleep(4 * time.Second)
		f.inForce(c, 2)
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
		f.outage()
		n := f.start("new", true)
		time.Sleep(3 * time.Second)
		c.Assert(n.provider.Status().Generation, qt.Equals, uint64(2))
		c.Assert(n.provider.Status().Source, qt.Not(qt.Equals), SourceStore)
		time.Sleep(time.Minute)
		ok, reason := n.provider.Fresh(time.Now(), 5, 5, 5)
		c.Assert(ok, qt.IsTrue)
		c.Assert(reason, qt.Equals, ReasonMajority)
		ok, reason = n.provider.Fresh(time.Now(), 2, 5, 5)
		c.Assert(ok, qt.IsFalse)
		c.Assert(reason, qt.Equals, ReasonIsolated)
	})
}

func TestLoneDaemonFallsBackToTheStore(t *testing.T) {
	run(t, 1, 0, func(c *qt.C, f *fleet) {
		f.inForce(c, 1)
		n := f.nodes["d00"]
		c.Assert(n.provider.Status().Source, qt.Equals, SourceStore)
		// Every part once, the head once, and again when the news is stale.
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
		ok, reason := n.provider.Fresh(time.Now(), 2, 2, 2)
		c.Assert(ok, qt.IsTrue)
		c.Assert(reason, qt.Equals, ReasonConfirmed)
		f.setCut("d02", true)
		f.apply(2)
		time.Sleep(DefaultStaleAfter + 5*time.Second)
		ok, reason = n.provider.Fresh(time.Now(), 0, 2, 2)
		c.Assert(ok, qt.IsFalse)
		c.Assert(reason, qt.Equals, ReasonIsolated)
		f.setCut("d02", false)
		time.Sleep(5 * time.Second)
		f.inForce(c, 2)
		ok, _ = n.provider.Fresh(time.Now(), 2, 2, 2)
		c.Assert(ok, qt.IsTrue)
	})
}

func TestSilentWatchIsReplaced(t *testing.T) {
	run(t, 1, 1, func(c *qt.C, f *fleet) {
		f.store.SetFault(func(ctx context.Context, op memstore.Op, _ string) memstore.FaultEffect {
			if op == memstore.OpWatch {
				<-ctx.Done()
				return memstore.RefuseCall
			}
			return memstore.NoFault
		})
		// The watch under way ends at its wait, the next one stays silent.
		time.Sleep(watchTimeout)
		f.apply(2)
		time.Sleep(pollInterval + 500*time.Millisecond)
		f.inForce(c, 2)
		c.Assert(counted(c, f.nodes["d00"].provider.metrics.silent) >= 1, qt.IsTrue)
	})
}

// write stores a head past all checks of the publisher.
func (f *fleet) write(value []byte) {
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
		f.write(badHead(c, f))
		time.Sleep(15 * time.Second)
		f.inForce(c, 1)
		p := f.nodes["d00"].provider
		var invalid *config.ValidationError
		c.Assert(errors.As(p.Status().Rejected, &invalid), qt.IsTrue, qt.Commentf("%v", p.Status().Rejected))
		c.Assert(invalid.Problems[0].Path, qt.Equals, "rules.kinds[0].quality_target")
		c.Assert(p.Status().Accepted, qt.Equals, uint64(2))
		ok, reason := p.Fresh(time.Now(), 2, 2, 2)
		c.Assert(ok, qt.IsTrue, qt.Commentf("%s", reason))
		f.write([]byte("garbage"))
		time.Sleep(5 * time.Second)
		f.inForce(c, 1)
		var head *config.HeadError
		c.Assert(errors.As(p.Status().Rejected, &head), qt.IsTrue)
		f.write(good)
		c.Assert(f.apply(2), qt.Equals, uint64(2))
		c.Assert(f.apply(3), qt.Equals, uint64(3))
		time.Sleep(5 * time.Second)
		f.inForce(c, 3)
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
		n.provider.fromTable(config.HeadKey, head.GetGeneration(), value)
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
		n.provider.fromTable(config.HeadKey, 1, old.Value)
		n.provider.fromStore(old, time.Now())
		n.provider.Confirm(1, 0)
		time.Sleep(5 * time.Second)
		f.inForce(c, 2)
		c.Assert(n.provider.Status().Rejected, qt.IsNil)
		c.Assert(counted(c, n.provider.metrics.older), qt.Equals, 2.0)
	})
}

func TestTableVersionMustMatchTheGeneration(t *testing.T) {
	run(t, 1, 1, func(c *qt.C, f *fleet) {
		f.outage()
		n := f.nodes["d00"]
		n.provider.fromTable(config.HeadKey, 99, f.head().Value)
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
		missing := n.provider.take(values, []config.Digest{wanted}, [][]byte{[]byte("altered"), nil})
		c.Assert(missing, qt.DeepEquals, []config.Digest{wanted})
		c.Assert(values, qt.HasLen, 0)
		missing = n.provider.take(values, missing, [][]byte{[]byte("good")})
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

func TestHeartbeatsMakeUpForALostTable(t *testing.T) {
	run(t, 3, 1, func(c *qt.C, f *fleet) {
		deaf := f.nodes["d02"]
		deaf.mu.Lock()
		deaf.listener = nil
		deaf.mu.Unlock()
		reads := deaf.storeReads()
		f.apply(2)
		time.Sleep(3 * time.Second)
		f.inForce(c, 2)
		c.Assert(deaf.provider.Status().Source, qt.Equals, SourcePeer)
		c.Assert(deaf.storeReads(), qt.Equals, reads)
	})
}

func TestStoreContradictsAFalseClaim(t *testing.T) {
	run(t, 2, 1, func(c *qt.C, f *fleet) {
		for range 60 {
			for _, name := range f.names() {
				p := f.nodes[name].provider
				p.Confirm(7, 0)
				ok, reason := p.Fresh(time.Now(), 1, 1, 1)
				c.Assert(ok, qt.IsTrue, qt.Commentf("%s: %s", name, reason))
			}
			time.Sleep(time.Second)
		}
	})
}

func TestNewerHeadThatCannotBeHadMakesStale(t *testing.T) {
	run(t, 2, 1, func(c *qt.C, f *fleet) {
		f.outage()
		p := f.nodes["d01"].provider
		p.Confirm(7, 0)
		c.Assert(p.Status().Accepted, qt.Equals, uint64(7))
		ok, reason := p.Fresh(time.Now(), 1, 1, 1)
		c.Assert(ok, qt.IsTrue)
		c.Assert(reason, qt.Equals, ReasonCatchingUp)
		time.Sleep(DefaultStaleAfter + time.Second)
		ok, reason = p.Fresh(time.Now(), 1, 1, 1)
		c.Assert(ok, qt.IsFalse)
		c.Assert(reason, qt.Equals, ReasonBehind)
	})
}

func TestFleetWithoutWatchersStillHearsOfChanges(t *testing.T) {
	run(t, 3, 0, func(c *qt.C, f *fleet) {
		f.apply(2)
		time.Sleep(DefaultStaleAfter + probeAfter + probeSpread)
		f.inForce(c, 2)
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
				ok, reason := p.Fresh(time.Now(), 5, 5, 5)
				c.Assert(ok, qt.IsTrue, qt.Commentf("%s: %s", name, reason))
			}
			time.Sleep(pause)
		}
		time.Sleep(2 * time.Second)
		f.inForce(c, changes+1)
	})
}

// TestResumedDaemonWaitsForNews: the clock of the guard is set back, as it is
// found after the process stood still.
func TestResumedDaemonWaitsForNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 5)
		defer f.close()
		nodes := []*node{f.start("d0", true), f.start("d1", false), f.start("d2", false)}
		f.apply(1)
		time.Sleep(2 * time.Second)
		resumed := nodes[2].provider
		fresh := func() (bool, Reason) { return resumed.Fresh(time.Now(), 2, 2, 2) }

		reads := nodes[2].storeReads()
		standStill(resumed)
		ok, reason := fresh()
		c.Assert(ok, qt.IsFalse)
		c.Assert(reason, qt.Equals, ReasonResumed)
		time.Sleep(2 * time.Second)
		ok, reason = fresh()
		c.Assert(ok, qt.IsTrue)
		c.Assert(reason, qt.Equals, ReasonConfirmed)
		c.Assert(nodes[2].storeReads(), qt.Equals, reads+1)

		// With the store down for all, the majority counts after a while.
		f.outage()
		standStill(resumed)
		ok, _ = fresh()
		c.Assert(ok, qt.IsFalse)
		time.Sleep(resumeSettle)
		ok, reason = fresh()
		c.Assert(ok, qt.IsTrue)
		c.Assert(reason, qt.Equals, ReasonMajority)
	})
}

// TestResumedDaemonAsksMostPeersDuringAnOutage guards against daemons that refuse all work for
// seconds after a pause though most of their peers tell at once that nothing newer exists.
func TestResumedDaemonAsksMostPeersDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 5)
		defer f.close()
		nodes := []*node{f.start("d0", true), f.start("d1", false), f.start("d2", false)}
		f.apply(1)
		time.Sleep(2 * time.Second)
		resumed := nodes[2].provider
		f.outage()
		time.Sleep(20 * time.Second)
		for range 2 { // What was asked after an earlier pause does not count.
			standStill(resumed)
			ok, reason := resumed.Fresh(time.Now(), 2, 2, 2)
			c.Assert(ok, qt.IsFalse)
			c.Assert(reason, qt.Equals, ReasonResumed)
			time.Sleep(300 * time.Millisecond)
			ok, reason = resumed.Fresh(time.Now(), 2, 2, 2)
			c.Assert(ok, qt.IsTrue)
			c.Assert(reason, qt.Equals, ReasonMajority)
			// Not where the peers that answered are no majority.
			ok, _ = resumed.Fresh(time.Now(), 5, 5, 5)
			c.Assert(ok, qt.IsFalse)
			time.Sleep(2 * time.Second)
		}
	})
}

func standStill(p *Provider) {
	p.pauses.mu.Lock()
	defer p.pauses.mu.Unlock()
	p.pauses.last = p.pauses.last.Add(-2 * pauseBound)
}

func TestNewRefusesMissingOptions(t *testing.T) {
	_, err := New(Options{})
	qt.Assert(t, errors.Is(err, ErrOptions), qt.IsTrue)
}

// TestFleetUnderFaults plays a drawn schedule of changes, crashes, cuts, lost
// calls, outages and lagging heads, and asserts that the generation never falls,
// no snapshot is a mix, and all daemons end at the newest generation.
func TestFleetUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 5, 40).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) { playSchedule(t, seed, steps) })
	})
}

func playSchedule(t *testing.T, seed uint64, steps []int) {
	f := newFleet(t, seed)
	defer f.close()
	random := rand.New(rand.NewPCG(seed, 2))
	const count = 6
	name := func() string { return fmt.Sprintf("d%d", random.IntN(count)) }
	for i := range count {
		f.start(fmt.Sprintf("d%d", i), i < 2)
	}
	for i, step := range steps {
		f.play(step, name(), int64(i+1), seed)
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
	}
	f.store.SetFault(nil)
	for i := range count {
		f.setCut(fmt.Sprintf("d%d", i), false)
	}
	last := f.apply(int64(len(steps) + 1))
	time.Sleep(30 * time.Second)
	f.inForce(qt.New(t), last)
}

// play makes one step of a schedule.
func (f *fleet) play(step int, name string, n int64, seed uint64) {
	switch step {
	case 0, 1, 2:
		// A change may get lost in an outage, or its fate be unknown.
		_, _ = f.publisher().Apply(context.Background(), change(f.t, n))
	case 3:
		f.crash(name)
		f.start(name, n%2 == 0)
	case 4:
		f.setCut(name, n%2 == 0)
	case 5:
		f.outage()
	case 6:
		f.store.SetFault(nil)
	case 7:
		f.unsteady(seed + uint64(n))
	case 8:
		f.reach(name, name).setWatching(n%2 == 0)
	case 9:
		f.replayOld(name)
	}
}

// unsteady makes the store refuse and lose calls by chance.
func (f *fleet) unsteady(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 5))
	f.store.SetFault(func(context.Context, memstore.Op, string) memstore.FaultEffect {
		f.mu.Lock()
		defer f.mu.Unlock()
		return []memstore.FaultEffect{memstore.NoFault, memstore.NoFault, memstore.RefuseCall, memstore.LoseAnswer}[random.IntN(4)]
	})
}

// replayOld lets a daemon hear the head that another one has in force, which
// may lag behind.
func (f *fleet) replayOld(name string) {
	n := f.reach(name, name)
	for _, other := range f.names() {
		peer := f.reach(other, other)
		peer.provider.mu.Lock()
		c := peer.provider.state.inForce
		peer.provider.mu.Unlock()
		if c != nil {
			n.provider.fromTable(config.HeadKey, c.generation(), c.value)
		}
	}
}
