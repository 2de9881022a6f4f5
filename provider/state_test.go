package provider

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bronzeturn/bronzeturn/config"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// newCandidate returns a head with the given generation and content.
func newCandidate(generation uint64, content string, source Source) *candidate {
	head := &bronzeturnv1.Head{Generation: generation, Note: content}
	value, err := proto.Marshal(head)
	if err != nil {
		panic(err)
	}
	return &candidate{head: head, value: value, digest: config.DigestOf(value), source: source}
}

// drawCandidate returns a head of a low generation with one of two contents.
func drawCandidate(rt *rapid.T) *candidate {
	return newCandidate(
		rapid.Uint64Range(1, 8).Draw(rt, "generation"),
		rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "content"),
		rapid.SampledFrom([]Source{SourceStore, SourceTable, SourcePeer}).Draw(rt, "source"),
	)
}

// TestGenerationNeverFalls guards against a generation in force that decreases or changes its
// content. It offers, installs and refuses heads in random order.
func TestGenerationNeverFalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &state{}
		now := time.Unix(0, 0)
		content := make(map[uint64]string)
		// begun are heads whose parts may have been fetched, with any delay.
		var begun []*candidate
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now = now.Add(time.Second)
			c := drawCandidate(rt)
			before := s.inForce.generation()
			v, err := s.offer(c, now)
			if (v == verdictDivergent) != (err != nil) {
				rt.Fatalf("verdict %v with error %v", v, err)
			}
			if v == verdictNewer {
				begun = append(begun, c)
			}
			switch rapid.IntRange(0, 2).Draw(rt, "then") {
			case 0:
				if len(begun) > 0 {
					s.install(rapid.SampledFrom(begun).Draw(rt, "fetched"))
				}
			case 1:
				if s.pending != nil {
					s.refuse(s.pending, errUnreachable, now)
				}
			}
			if s.inForce.generation() < before {
				rt.Fatalf("generation fell from %d to %d", before, s.inForce.generation())
			}
			if s.inForce == nil {
				continue
			}
			if have, ok := content[s.inForce.generation()]; ok && have != s.inForce.digest.String() {
				rt.Fatalf("generation %d changed its content", s.inForce.generation())
			}
			content[s.inForce.generation()] = s.inForce.digest.String()
		}
	})
}

func TestHeadOfTheStoreReplacesAPendingOne(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	s := &state{}
	forged := newCandidate(3, "forged", SourceTable)
	v, err := s.offer(forged, now)
	c.Assert(v, qt.Equals, verdictNewer)
	c.Assert(err, qt.IsNil)
	genuine := newCandidate(3, "true", SourceStore)
	v, err = s.offer(genuine, now)
	c.Assert(v, qt.Equals, verdictNewer)
	c.Assert(err, qt.IsNil)
	c.Assert(s.install(forged), qt.IsFalse)
	c.Assert(s.install(genuine), qt.IsTrue)
	v, err = s.offer(forged, now)
	c.Assert(v, qt.Equals, verdictDivergent)
	c.Assert(err, qt.ErrorMatches, "generation 3 from table .*")
}

func TestPeerConfirmations(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := &state{}
	second := newCandidate(2, "", SourcePeer)
	_, err := s.offer(second, now)
	c.Assert(err, qt.IsNil)
	c.Assert(s.install(second), qt.IsTrue)
	// A peer with an older generation confirms nothing.
	c.Assert(s.confirmPeer(1, 0, now), qt.IsFalse)
	c.Assert(s.confirmed.IsZero(), qt.IsTrue)
	// A peer with the same generation passes on the age of its confirmation.
	c.Assert(s.confirmPeer(2, 3*time.Second, now), qt.IsFalse)
	c.Assert(s.confirmed, qt.Equals, now.Add(-3*time.Second))
	// An older confirmation does not replace a newer one.
	c.Assert(s.confirmPeer(2, time.Minute, now), qt.IsFalse)
	c.Assert(s.confirmed, qt.Equals, now.Add(-3*time.Second))
	// A peer with a newer generation shows that this daemon is behind.
	c.Assert(s.confirmPeer(5, 0, now), qt.IsTrue)
	c.Assert(s.newest, qt.Equals, uint64(5))
	c.Assert(s.behindSince, qt.Equals, now)
	c.Assert(s.confirmed, qt.Equals, now.Add(-3*time.Second))
}

func TestSteadyChangesDoNotCountAsBehind(t *testing.T) {
	c := qt.New(t)
	s := &state{}
	now := time.Unix(0, 0)
	previous := newCandidate(1, "", SourceStore)
	_, err := s.offer(previous, now)
	c.Assert(err, qt.IsNil)
	for generation := uint64(2); generation < 200; generation++ {
		now = now.Add(100 * time.Millisecond)
		next := newCandidate(generation, "", SourceStore)
		_, err := s.offer(next, now)
		c.Assert(err, qt.IsNil)
		c.Assert(s.install(previous), qt.IsTrue)
		c.Assert(now.Sub(s.behindSince) <= 100*time.Millisecond, qt.IsTrue)
		previous = next
	}
}

func TestConfirmationBegunBeforeARefusalDoesNotHideIt(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	good := newCandidate(1, "good", SourceStore)
	bad := newCandidate(2, "bad", SourceStore)
	var s state
	_, _ = s.offer(good, start)
	c.Assert(s.install(good), qt.IsTrue)
	_, _ = s.offer(bad, start)
	s.refuse(bad, ErrHeadMissing, start.Add(time.Second))
	s.confirmStore(good.digest, start)
	c.Assert(s.problem, qt.Equals, ErrHeadMissing)
	s.confirmStore(good.digest, start.Add(2*time.Second))
	c.Assert(s.problem, qt.IsNil)
}
