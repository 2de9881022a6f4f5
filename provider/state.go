package provider

import (
	"errors"
	"fmt"
	"time"

	"github.com/bronzeturn/bronzeturn/config"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Source tells where a head came from.
type Source string

// The sources of heads.
const (
	SourceNone  Source = "none"
	SourceStore Source = "store"
	SourceTable Source = "table"
	SourcePeer  Source = "peer"
)

// DivergentError reports a head that has the generation of another head but
// not its content. It is never put in force.
type DivergentError struct {
	Generation uint64
	// Have is the digest of the head already known, Offered that of the refused one.
	Have, Offered config.Digest
	Source        Source
}

// Error implements error.
func (e *DivergentError) Error() string {
	return fmt.Sprintf("generation %d from %s has another content than the known one", e.Generation, e.Source)
}

// candidate is a head that may come into force.
type candidate struct {
	head   *bronzeturnv1.Head
	value  []byte
	digest config.Digest
	source Source
	// seen is when the head was first offered.
	seen time.Time
	// confirmed is the latest time at which the store named the head.
	confirmed time.Time
}

func (c *candidate) generation() uint64 {
	if c == nil {
		return 0
	}
	return c.head.GetGeneration()
}

// verdict is what becomes of an offered head.
type verdict int

const (
	// verdictOlder: a newer one is known. Nothing happens.
	verdictOlder verdict = iota
	// verdictKnown: the very head is in force, pending or refused.
	verdictKnown
	// verdictDivergent: another content under a known generation.
	verdictDivergent
	// verdictNewer: the head becomes pending.
	verdictNewer
)

// readLag is how far a read of the store may lie behind. Only a read that began
// that long after a peer claimed a newer head contradicts the claim.
const readLag = 2 * time.Second

// state holds what a daemon knows of the configuration. Its methods decide
// without I/O and without reading a clock.
type state struct {
	inForce *candidate
	// pending is newer than inForce and waits for its parts.
	pending *candidate
	// refused is the last head that was refused whole.
	refused *candidate
	// problem is the last refusal that is still of interest, problemAt when it
	// was found.
	problem   error
	problemAt time.Time
	// newest is the highest generation heard of.
	newest uint64
	// behindSince is when a generation above the one in force was first heard
	// of, zero when there is none.
	behindSince time.Time
	// confirmed is the latest time at which no newer head existed.
	confirmed time.Time
	// storeConfirmed is the same, as the store told this daemon itself.
	storeConfirmed time.Time
	// firstHand is the same, as a peer told this daemon itself.
	firstHand time.Time
	// asked are the peers that know no newer head, with the time of the question.
	asked map[string]time.Time
}

// offer takes note of a head and decides what becomes of it. The generation in
// force never falls, and never changes its content.
func (s *state) offer(c *candidate, now time.Time) (verdict, error) {
	for _, known := range []*candidate{s.inForce, s.pending, s.refused} {
		if known != nil && known.digest == c.digest {
			return verdictKnown, nil
		}
	}
	if c.generation() < s.inForce.generation() {
		return verdictOlder, nil
	}
	if c.generation() == s.inForce.generation() {
		return verdictDivergent, s.diverge(s.inForce, c, now)
	}
	if s.pending != nil && c.generation() < s.pending.generation() {
		return verdictOlder, nil
	}
	if s.pending != nil && c.generation() == s.pending.generation() && c.source != SourceStore {
		return verdictDivergent, s.diverge(s.pending, c, now)
	}
	s.pending = c
	c.seen = now
	s.hear(c.generation(), now)
	return verdictNewer, nil
}

// diverge records a head whose generation is known with another content.
func (s *state) diverge(known, c *candidate, now time.Time) error {
	s.trouble(&DivergentError{Generation: c.generation(), Have: known.digest, Offered: c.digest, Source: c.source}, now)
	return s.problem
}

// hear takes note of a generation that exists somewhere.
func (s *state) hear(generation uint64, now time.Time) {
	s.newest = max(s.newest, generation)
	if generation > s.inForce.generation() && s.behindSince.IsZero() {
		s.behindSince = now
	}
}

// install puts the candidate in force. It reports false if something at least
// as new came into force in the meantime, or if the store named another head of
// the same generation.
func (s *state) install(c *candidate) bool {
	if c.generation() <= s.inForce.generation() {
		return false
	}
	if s.pending != nil && s.pending != c && s.pending.generation() == c.generation() {
		return false
	}
	s.inForce = c
	s.problem = nil
	s.confirmed = latest(s.confirmed, c.confirmed)
	s.storeConfirmed = latest(s.storeConfirmed, c.confirmed)
	if s.pending != nil && s.pending.generation() <= c.generation() {
		s.pending = nil
	}
	s.newest = max(s.newest, c.generation())
	s.behindSince = time.Time{}
	if s.newest > c.generation() {
		// The newer one appeared after this one.
		s.behindSince = c.seen
	}
	return true
}

// trouble records a refusal.
func (s *state) trouble(err error, now time.Time) {
	s.problem = err
	s.problemAt = now
}

// refuse records that the candidate is bad. What was in force stays, and the
// daemon does not count as behind unless a peer says that it runs a newer one.
func (s *state) refuse(c *candidate, err error, now time.Time) {
	s.refused = c
	s.trouble(err, now)
	if s.pending == c {
		s.pending = nil
		s.behindSince = time.Time{}
	}
}

// confirmStore takes note that the store named this head at the given time. A
// call that began before the last refusal says nothing about it.
func (s *state) confirmStore(digest config.Digest, at time.Time) {
	if s.pending != nil && s.pending.digest == digest {
		s.pending.confirmed = at
	}
	inForce := s.inForce != nil && s.inForce.digest == digest
	refused := s.refused != nil && s.refused.digest == digest
	if !inForce && !refused {
		return
	}
	s.confirmed = latest(s.confirmed, at)
	s.storeConfirmed = latest(s.storeConfirmed, at)
	if inForce && s.pending == nil && at.Sub(s.behindSince) > readLag {
		s.newest = s.inForce.generation()
		s.behindSince = time.Time{}
	}
	var divergent *DivergentError
	if inForce && at.After(s.problemAt) && !errors.As(s.problem, &divergent) {
		s.problem = nil
	}
}

// confirmPeer takes note of the generation in force on a peer, which was the
// newest one newsAge ago. It tells whether the peer has a newer head to ask for.
func (s *state) confirmPeer(generation uint64, newsAge time.Duration, now time.Time) bool {
	if generation > s.inForce.generation() {
		s.hear(generation, now)
		return true
	}
	if generation == s.inForce.generation() {
		s.confirmed = latest(s.confirmed, now.Add(-newsAge))
	}
	return false
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
