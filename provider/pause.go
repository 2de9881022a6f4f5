package provider

import (
	"context"
	"maps"
	"sync"
	"time"
)

const (
	// pulseEvery is how often a running daemon notes that it runs.
	pulseEvery = 100 * time.Millisecond
	// pauseBound is the gap between two notes from which the process counts as
	// having stood still. It is far above the delays of a busy host.
	pauseBound = time.Second
	// resumeAsk is the pause between two questions of a daemon that resumed.
	resumeAsk = 500 * time.Millisecond
	// resumeSettle is when the heartbeats of peers count again after a pause:
	// those heard until then may have waited in the buffers of the connections.
	resumeSettle = 5 * time.Second
)

// pauseGuard notices that the process stood still, by either clock. Whoever
// asks first after the pause notices it, so no request is faster than the guard.
type pauseGuard struct {
	mu      sync.Mutex
	last    time.Time
	resumed time.Time
}

// check notes that the process runs and returns when it last resumed, zero if
// it never stood still.
func (g *pauseGuard) check() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !g.last.IsZero() {
		wall := now.Round(0).Sub(g.last.Round(0))
		if max(now.Sub(g.last), wall) > pauseBound {
			g.resumed = now
		}
	}
	g.last = now
	return g.resumed
}

// keepPulse notes that the process runs, and asks for the configuration after
// a pause until the daemon knows again that it is the newest.
func (p *Provider) keepPulse() error {
	ticker := time.NewTicker(pulseEvery)
	defer ticker.Stop()
	var asked time.Time
	for {
		select {
		case <-ticker.C:
		case <-p.tomb.Dying():
			return nil
		}
		resumed := p.pauses.check()
		if !p.unsure(resumed) {
			continue
		}
		if asked.Before(resumed) {
			p.log.Warn().Msg("this daemon stood still, no new work until it knows the newest configuration")
		}
		if time.Since(asked) >= resumeAsk || asked.Before(resumed) {
			asked = time.Now()
			p.askAfterPause()
		}
	}
}

// unsure tells whether the daemon has not yet heard first hand, since it
// resumed, that no newer configuration exists.
func (p *Provider) unsure(resumed time.Time) bool {
	if resumed.IsZero() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.firstHand.Before(resumed) && p.state.storeConfirmed.Before(resumed)
}

// askAfterPause makes the install loop ask the store and peers.
func (p *Provider) askAfterPause() {
	p.mu.Lock()
	p.verify = true
	p.mu.Unlock()
	p.signal()
}

// verifyNow asks the store and a few peers for the head, after a pause. All are
// asked at once, since any of them may be silent.
func (p *Provider) verifyNow(ctx context.Context) {
	p.mu.Lock()
	verify := p.verify
	p.verify = false
	p.mu.Unlock()
	if !verify {
		return
	}
	var asking sync.WaitGroup
	asking.Go(func() { p.askStore(ctx) })
	p.askPeers(ctx)
	asking.Wait()
}

// askedSince returns how many peers have told, when asked since then, that they
// know no newer head.
func (p *Provider) askedSince(resumed time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	asked := 0
	for _, at := range p.state.asked {
		if !at.Before(resumed) {
			asked++
		}
	}
	return asked
}

// noteAsked takes in that a peer knows no newer head. The caller holds p.mu.
func (p *Provider) noteAsked(name string, at time.Time) {
	resumed := p.pauses.check()
	if p.state.asked == nil {
		p.state.asked = make(map[string]time.Time)
	}
	maps.DeleteFunc(p.state.asked, func(_ string, at time.Time) bool { return at.Before(resumed) })
	p.state.asked[name] = at
}
