package provider

import (
	"errors"
	"fmt"
	"time"

	"github.com/bronzeturn/bronzeturn/config"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Source is where a head came from.
type Source string

// The sources of heads.
const (
	SourceNone  Source = "none"
	SourceStore Source = "store"
	SourceTable Source = "table"
	SourcePeer  Source = "peer"
)

// DivergentError reports a head that has the same generation as a known head but
// different content. Such a head never comes into force.
type DivergentError struct {
	Generation uint64
	// Have is the digest of the known head, Offered that of the refused one.
	Have, Offered config.Digest
	Source        Source
}

// Error implements error.
func (e *DivergentError) Error() string {
	return fmt.Sprintf("generation %d from %s differs in content from the known head", e.Generation, e.Source)
}

// candidate is a head that can come into force. A nil candidate has generation zero.
type candidate struct {
	head   *bronzeturnv1.Head
	value  []byte
	digest config.Digest
	source Source
	// seen is when the head became pending.
	seen time.Time
	// confirmed is the start of the latest read of the store that returned the head.
	confirmed time.Time
}

func (c *candidate) generation() uint64 {
	if c == nil {
		return 0
	}
	return c.head.GetGeneration()
}

// verdict is the result of offering a head.
type verdict int

const (
	// verdictOlder: a newer head is known. The offered one is ignored.
	verdictOlder verdict = iota
	// verdictKnown: the same head is in force, pending or refused.
	verdictKnown
	// verdictDivergent: the content differs from the known head of the same generation.
	verdictDivergent
	// verdictNewer: the head becomes pending.
	verdictNewer
)

// maxReadLag is how far a read of the store may lag behind. Only a read that began
// more than maxReadLag after a peer claimed a newer head refutes the claim.
const maxReadLag = 2 * time.Second

// state holds what a daemon knows about the configuration. Its methods perform no I/O
// and do not read a clock.
type state struct {
	inForce *candidate
	// pending is newer than inForce and not yet installed, since its parts must be fetched.
	pending *candidate
	// refused is the last head whose configuration was invalid.
	refused *candidate
	// problem is the last refusal that is still relevant, problemAt the time of the
	// refusal.
	problem   error
	problemAt time.Time
	// newest is the highest generation known to exist.
	newest uint64
	// behindSince is when a generation newer than the one in force became known, zero
	// if there is none.
	behindSince time.Time
	// confirmed is the latest time at which no newer head is known to have existed.
	confirmed time.Time
	// storeConfirmed is the same, counting only this daemon's own reads of the store.
	storeConfirmed time.Time
	// peerConfirmed is the same, counting only peers' responses to this daemon's queries.
	peerConfirmed time.Time
	// peerAnswers are the peers that reported no newer head when queried, with the time of
	// the query.
	peerAnswers map[string]time.Time
}

// offer records a head as pending if it is newer than those known, and returns the verdict.
// The generation in force never decreases, and its content never changes.
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
		return verdictDivergent, s.recordDivergence(s.inForce, c, now)
	}
	if s.pending != nil && c.generation() < s.pending.generation() {
		return verdictOlder, nil
	}
	if s.pending != nil && c.generation() == s.pending.generation() && c.source != SourceStore {
		return verdictDivergent, s.recordDivergence(s.pending, c, now)
	}
	s.pending = c
	c.seen = now
	s.recordGeneration(c.generation(), now)
	return verdictNewer, nil
}

// recordDivergence records a head whose content differs from the known one of its generation.
func (s *state) recordDivergence(known, c *candidate, now time.Time) error {
	s.recordProblem(&DivergentError{Generation: c.generation(), Have: known.digest, Offered: c.digest, Source: c.source}, now)
	return s.problem
}

// recordGeneration records that a generation exists.
func (s *state) recordGeneration(generation uint64, now time.Time) {
	s.newest = max(s.newest, generation)
	if generation > s.inForce.generation() && s.behindSince.IsZero() {
		s.behindSince = now
	}
}

// install puts the candidate in force. It returns false if a head at least as new has come
// into force in the meantime, or if the store holds another head of the same generation.
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
		// The newer generation became known after this one was offered.
		s.behindSince = c.seen
	}
	return true
}

// recordProblem records a refusal.
func (s *state) recordProblem(err error, now time.Time) {
	s.problem = err
	s.problemAt = now
}

// refuse records that the candidate is invalid. The head in force remains, and the daemon
// does not count as behind unless a peer reports that it runs a newer generation.
func (s *state) refuse(c *candidate, err error, now time.Time) {
	s.refused = c
	s.recordProblem(err, now)
	if s.pending == c {
		s.pending = nil
		s.behindSince = time.Time{}
	}
}

// confirmStore records that a read of the store that began at the given time returned the
// head. A read that began before the last refusal does not clear the refusal.
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
	if inForce && s.pending == nil && at.Sub(s.behindSince) > maxReadLag {
		s.newest = s.inForce.generation()
		s.behindSince = time.Time{}
	}
	var divergent *DivergentError
	if inForce && at.After(s.problemAt) && !errors.As(s.problem, &divergent) {
		s.problem = nil
	}
}

// confirmPeer records the generation in force on a peer, which was the newest one newsAge
// ago. It reports whether the peer has a newer head than this daemon.
func (s *state) confirmPeer(generation uint64, newsAge time.Duration, now time.Time) bool {
	if generation > s.inForce.generation() {
		s.recordGeneration(generation, now)
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
