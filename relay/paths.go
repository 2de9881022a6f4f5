package relay

import (
	"errors"
	"sync"
	"syscall"
	"time"
)

// paths records which direct paths have failed. Paths that work have no entry.
type paths struct {
	mu     sync.Mutex
	failed map[string]*pathState
}

// pathState is the state of a direct path that has failed.
type pathState struct {
	// broken is set if another daemon reached the backend server meanwhile.
	broken bool
	// failedAt is when the path was last found not to work, triedAt when it was last tried.
	failedAt, triedAt time.Time
	// refused is set if the last failure was a refused connection.
	refused bool
}

// pathTTL is how long a failure is remembered if the path is not used any more.
const pathTTL = time.Minute

func newPaths() *paths { return &paths{failed: make(map[string]*pathState)} }

// plan says how to connect: whether the direct path is broken and, if so, whether it is time
// to try it again.
func (p *paths) plan(address string, now time.Time) (broken, due bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.failed[address]
	if !ok || !s.broken {
		return false, true
	}
	if now.Sub(s.triedAt) < probeInterval {
		return true, false
	}
	s.triedAt = now
	return true, true
}

// works records that a direct connection was opened. It reports whether the path was broken.
func (p *paths) works(address string) (wasBroken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.failed[address]; ok {
		wasBroken = s.broken
		delete(p.failed, address)
	}
	return wasBroken
}

// fails records that the direct path did not work, with the error of the attempt.
func (p *paths) fails(address string, err error, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.failure(address, now)
	s.failedAt = now
	s.refused = errors.Is(err, syscall.ECONNREFUSED)
}

// failure returns the state of a path that has failed. The caller holds mu.
func (p *paths) failure(address string, now time.Time) *pathState {
	s, ok := p.failed[address]
	if !ok {
		p.expire(now)
		s = &pathState{}
		p.failed[address] = s
	}
	return s
}

// breaks records that the backend server was reached through another daemon only. It reports
// whether that is new.
func (p *paths) breaks(address string, now time.Time) (newlyBroken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.failure(address, now)
	newlyBroken = !s.broken
	s.broken = true
	s.failedAt = now
	if newlyBroken {
		s.triedAt = now
	}
	return newlyBroken
}

// expire removes the failures that are too old to matter. The caller holds mu.
func (p *paths) expire(now time.Time) {
	for address, s := range p.failed {
		if now.Sub(s.failedAt) > pathTTL {
			delete(p.failed, address)
		}
	}
}

// silentRecently reports whether the direct path has been found not to work within the last
// probeInterval, and the connection was not refused. A refusal costs no time, and must be
// confirmed anew: it may be the backend server's.
func (p *paths) silentRecently(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.failed[address]
	return ok && !s.refused && now.Sub(s.failedAt) < probeInterval
}

// hasFailed reports whether the last attempt over the direct path has failed.
func (p *paths) hasFailed(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, failed := p.failed[address]
	return failed
}

// brokenCount returns the number of direct paths that are broken.
func (p *paths) brokenCount() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.failed {
		if s.broken {
			n++
		}
	}
	return n
}
