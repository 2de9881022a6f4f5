package provider

import (
	"context"
	"maps"
	"sync"
	"time"
)

const (
	// pauseCheckInterval is the interval at which a daemon checks for pauses of its process.
	pauseCheckInterval = 100 * time.Millisecond
	// pauseThreshold is the time between two checks from which the process counts as
	// having been paused. It is far above the scheduling delays of a busy host.
	pauseThreshold = time.Second
	// resumeRetryInterval is the interval between two queries of a daemon that has resumed.
	resumeRetryInterval = 500 * time.Millisecond
	// resumeGracePeriod is the time after a pause from which heartbeats of peers count again.
	// Earlier ones may have waited in connection buffers during the pause.
	resumeGracePeriod = 5 * time.Second
)

// pauseGuard detects pauses of the process, by the monotonic or the wall clock. The first
// call of check after a pause detects it, so no request can precede the detection.
type pauseGuard struct {
	mu sync.Mutex
	// last is the time of the last check.
	last time.Time
	// resumed is when the last pause was detected.
	resumed time.Time
}

// check looks for a pause since its last call and returns when the last pause was detected,
// or zero if there was none.
func (g *pauseGuard) check() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !g.last.IsZero() {
		wall := now.Round(0).Sub(g.last.Round(0))
		if max(now.Sub(g.last), wall) > pauseThreshold {
			g.resumed = now
		}
	}
	g.last = now
	return g.resumed
}

// pauseLoop checks for pauses of the process. After one, it requests verification of the
// configuration until the daemon knows again that it is the newest.
func (p *Provider) pauseLoop() error {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	var queried time.Time
	for {
		select {
		case <-ticker.C:
		case <-p.tomb.Dying():
			return nil
		}
		resumed := p.pauses.check()
		if !p.unconfirmedSinceResume(resumed) {
			continue
		}
		if queried.Before(resumed) {
			p.log.Warn().Msg("process was paused, refusing new work until the newest configuration is confirmed")
		}
		if time.Since(queried) >= resumeRetryInterval || queried.Before(resumed) {
			queried = time.Now()
			p.requestVerification()
		}
	}
}

// unconfirmedSinceResume reports whether the process was paused and neither the store nor a
// peer, queried by this daemon, has confirmed since it resumed that no newer configuration
// exists.
func (p *Provider) unconfirmedSinceResume(resumed time.Time) bool {
	if resumed.IsZero() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.peerConfirmed.Before(resumed) && p.state.storeConfirmed.Before(resumed)
}

// requestVerification makes installLoop query the store and peers for the head.
func (p *Provider) requestVerification() {
	p.mu.Lock()
	p.verify = true
	p.mu.Unlock()
	p.signal()
}

// verifyHead queries the store and a few peers for the head after a pause. They are
// queried concurrently, since any of them may fail to answer.
func (p *Provider) verifyHead(ctx context.Context) {
	p.mu.Lock()
	verify := p.verify
	p.verify = false
	p.mu.Unlock()
	if !verify {
		return
	}
	var queries sync.WaitGroup
	queries.Go(func() { p.queryStore(ctx) })
	p.queryPeers(ctx)
	queries.Wait()
}

// peersAnsweredSince returns how many peers have reported no newer head in response to queries
// made since the given time.
func (p *Provider) peersAnsweredSince(resumed time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, at := range p.state.peerAnswers {
		if !at.Before(resumed) {
			count++
		}
	}
	return count
}

// recordPeerAnswer records that a peer, queried at the given time, reported no newer head. The
// caller holds p.mu.
func (p *Provider) recordPeerAnswer(name string, at time.Time) {
	resumed := p.pauses.check()
	if p.state.peerAnswers == nil {
		p.state.peerAnswers = make(map[string]time.Time)
	}
	maps.DeleteFunc(p.state.peerAnswers, func(_ string, at time.Time) bool { return at.Before(resumed) })
	p.state.peerAnswers[name] = at
}
