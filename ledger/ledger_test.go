package ledger

import (
	"context"
	"crypto/sha256"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
)

func TestClaimIsGrantedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		c.store.SetFault(delayed) // both write before they see each other's records
		a, b := c.start(t, "a"), c.start(t, "b")
		c.setOwner(func(asking, _ string) string { return asking }) // both believe that they own all shards
		first := 0
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range 20 {
			n := []*node{a, b}[i%2]
			wg.Go(func() {
				r, err := n.Claim(t.Context(), claimRequest("k", "body"))
				qt.Check(t, err, qt.IsNil)
				mu.Lock()
				defer mu.Unlock()
				if r.First {
					first++
				}
			})
		}
		wg.Wait()
		qt.Assert(t, first, qt.Equals, 1)
	})
}

func TestClaimOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		a, b := c.start(t, "a"), c.start(t, "b")
		c.setOwner(func(string, string) string { return "a" })
		ctx := t.Context()

		r, err := b.Claim(ctx, claimRequest("k", "body"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.First, qt.IsTrue)

		_, err = a.Claim(ctx, claimRequest("k", "other body"))
		qt.Assert(t, failure.From(err).Code, qt.Equals, failure.CodeKeyReused)

		again, err := a.Claim(ctx, claimRequest("k", "body"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again.First, qt.IsFalse)
		qt.Assert(t, again.State, qt.Equals, StateRunning)
		qt.Assert(t, again.Holder, qt.Equals, "b")

		done := make(chan ClaimResult, 1)
		go func() {
			got, _, _ := a.WaitForClaim(ctx, "org", "k")
			done <- got
		}()
		d, err := b.CompleteClaim(ctx, CompleteRequest{
			Organisation: "org", Key: "k", Ticket: r.Ticket, State: StateDone,
			Outcome: NewOutcome(200, "text/plain", "v1", []byte("tagged")),
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, d, qt.Equals, DurabilityStore)
		got := <-done
		qt.Assert(t, got.State, qt.Equals, StateDone)
		qt.Assert(t, string(got.Outcome.Body), qt.Equals, "tagged")
	})
}

func TestClaimOfDeadHolderReadsUnknownAfterItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		a, b := c.start(t, "a"), c.start(t, "b")
		c.setOwner(func(string, string) string { return "b" })
		_, err := a.Claim(t.Context(), claimRequest("k", "body"))
		qt.Assert(t, err, qt.IsNil)
		c.crash(a)
		got, ok, err := b.WaitForClaim(t.Context(), "org", "k")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, got.State, qt.Equals, StateUnknown)
		again, err := b.Claim(t.Context(), claimRequest("k", "body"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again.First, qt.IsFalse)
	})
}

// TestWaitSeesClaimsOfAnotherWriter guards against answers that a request did not run, although
// it runs, when the preferred writer was unreachable and has not read what another daemon wrote.
func TestWaitSeesClaimsOfAnotherWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		a, b := c.start(t, "a", oneShard), c.start(t, "b", oneShard)
		c.setOwner(func(string, string) string { return "a" })
		_, err := a.Claim(t.Context(), claimRequest("before", "body")) // loads the shard
		qt.Assert(t, err, qt.IsNil)
		c.setCall(func(string, string) linkFault { return linkFault{cut: true} })
		first, err := b.Claim(t.Context(), claimRequest("k", "body"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, first.First, qt.IsTrue)
		c.setCall(nil)
		time.Sleep(ownerRetryDelay + time.Millisecond)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		waited, ok, err := b.WaitForClaim(ctx, "org", "k")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, waited.State, qt.Equals, StateRunning)
	})
}

func TestNotRunFreesTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		a := c.start(t, "a")
		r, err := a.Claim(t.Context(), claimRequest("k", "body"))
		qt.Assert(t, err, qt.IsNil)
		_, err = a.CompleteClaim(t.Context(), CompleteRequest{Organisation: "org", Key: "k", Ticket: r.Ticket, State: StateNotRun})
		qt.Assert(t, err, qt.IsNil)
		again, err := a.Claim(t.Context(), claimRequest("k", "body"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again.First, qt.IsTrue)
		qt.Assert(t, again.Ticket.Fence > r.Ticket.Fence, qt.IsTrue)
	})
}

// A write takes effect but its response is lost. A retry that does not read the
// log first would take its own record for an earlier claim.
func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		a := c.start(t, "a")
		synctest.Wait()
		lost := 0 // responses
		c.store.SetFault(func(_ context.Context, op memstore.Op, key string) memstore.FaultEffect {
			if op == memstore.OpCreate && strings.Contains(key, "/slot/") && lost < 1 {
				lost++
				return memstore.LoseAnswer
			}
			return memstore.NoFault
		})
		r, err := a.Claim(t.Context(), claimRequest("k", "body"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, lost, qt.Equals, 1)
		qt.Assert(t, r.First, qt.IsTrue)
		d, err := a.Bill(t.Context(), Bill{Organisation: "org", RequestID: "r1", CostMicros: 5})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, d, qt.Equals, DurabilityStore)
	})
}

// A claim that cannot be decided in time is refused as not run, although its
// record still takes effect. The retry must run, exactly once.
func TestAbandonedClaimIsReleasedAndRunsOnRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		a := c.start(t, "a", oneShard)
		_, err := a.Claim(t.Context(), claimRequest("before", "body"))
		qt.Assert(t, err, qt.IsNil)
		landed := false
		c.store.SetFault(func(_ context.Context, op memstore.Op, key string) memstore.FaultEffect {
			if op == memstore.OpCreate && !landed {
				landed = true
				return memstore.LoseAnswer
			}
			return memstore.RefuseCall
		})
		_, err = a.Claim(t.Context(), claimRequest("k", "body"))
		f := failure.From(err)
		qt.Assert(t, f.Code, qt.Equals, failure.CodeLedgerUnavailable)
		qt.Assert(t, f.Ran, qt.Equals, failure.RanNo)
		qt.Assert(t, f.RetryAfter > 0, qt.IsTrue)
		qt.Assert(t, landed, qt.IsTrue)

		c.store.SetFault(nil)
		time.Sleep(20 * time.Second)
		r, err := a.Claim(t.Context(), claimRequest("k", "body"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.First, qt.IsTrue)
		again, err := a.Claim(t.Context(), claimRequest("k", "body"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again.First, qt.IsFalse)
	})
}

func TestTwoFirstRequestsOfOneConversationSettleOnOneVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		a, b := c.start(t, "a"), c.start(t, "b")
		c.setOwner(func(asking, _ string) string { return asking })
		var wg sync.WaitGroup
		results := make([]PinResult, 2)
		for i, n := range []*node{a, b} {
			wg.Go(func() {
				r, err := n.PinVersion(t.Context(), PinRequest{"org", "conv", "v-" + n.name})
				qt.Check(t, err, qt.IsNil)
				results[i] = r
			})
		}
		wg.Wait()
		qt.Assert(t, results[0].Version, qt.Equals, results[1].Version)
		qt.Assert(t, results[0].Created != results[1].Created, qt.IsTrue)
		version, ok, err := b.PinnedVersion(t.Context(), "org", "conv")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, version, qt.Equals, results[0].Version)
		_, ok, err = b.PinnedVersion(t.Context(), "other org", "conv")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, ok, qt.IsFalse)
	})
}

func oneShard(c *Config) { c.Shards = 1 }

// TestOutcomeOfALongBodyHoldsItsDigestOnly guards against an answer without end that is kept for its
// outcome.
func TestOutcomeOfALongBodyHoldsItsDigestOnly(t *testing.T) {
	c := qt.New(t)
	part := []byte(strings.Repeat("x", 100))
	var body Body
	var all []byte
	for len(all) <= MaxAnswerBytes {
		o := body.Outcome(200, "text/plain", "v1")
		c.Check(o.BodyKept, qt.IsTrue)
		c.Check(string(o.Body), qt.Equals, string(all))
		c.Check(o.BodySHA256, qt.Equals, sha256.Sum256(all))
		body.Write(part)
		all = append(all, part...)
	}
	o := body.Outcome(200, "text/plain", "v1")
	c.Check(o.BodyKept, qt.IsFalse)
	c.Check(o.Body, qt.IsNil)
	c.Check(o.BodySHA256, qt.Equals, sha256.Sum256(all))
}
