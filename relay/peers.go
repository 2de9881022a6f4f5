package relay

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// A daemon that could not connect is asked after the others for failurePause, doubled with each
// consecutive failure up to maxFailurePause: it may be partitioned itself.
const (
	failurePause    = time.Second
	maxFailurePause = 8 * time.Second
)

// Daemons that have connected within the last successTTL are asked first, except every
// exploreEvery-th time, so that the load is divided among all that can connect.
const (
	successTTL   = 10 * time.Second
	exploreEvery = 8
)

// peerHealth records which daemons could connect when asked.
type peerHealth struct {
	mu        sync.Mutex
	failures  map[string]peerFailure
	successes map[string]time.Time
	// sorts counts the calls of sort.
	sorts int
}

// peerFailure is the last of some consecutive failures.
type peerFailure struct {
	until time.Time
	pause time.Duration
}

func newPeerHealth() *peerHealth {
	return &peerHealth{failures: make(map[string]peerFailure), successes: make(map[string]time.Time)}
}

// succeeded records that a daemon has connected.
func (h *peerHealth) succeeded(daemon string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.failures, daemon)
	if _, known := h.successes[daemon]; !known {
		maps.DeleteFunc(h.successes, func(_ string, at time.Time) bool { return now.Sub(at) > successTTL })
	}
	h.successes[daemon] = now
}

// failed records that a daemon could not connect. Failures during a pause are not counted.
func (h *peerHealth) failed(daemon string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.failures[daemon]
	if f.until.After(now) {
		return
	}
	maps.DeleteFunc(h.failures, func(_ string, f peerFailure) bool { return now.Sub(f.until) > maxFailurePause })
	f.pause = min(max(2*f.pause, failurePause), maxFailurePause)
	f.until = now.Add(f.pause)
	h.failures[daemon] = f
	delete(h.successes, daemon)
}

// sort sorts daemons by the order in which to ask them: those that have connected recently first
// and those that have failed last. Among equals come those in one of the given data centres first,
// since bytes between data centres then cross only once.
func (h *peerHealth) sort(peers []Peer, near []string, now time.Time) {
	ranks := h.ranks(peers, now)
	for _, p := range peers {
		if !slices.Contains(near, p.DataCentre) {
			ranks[p.Name]++
		}
	}
	slices.SortStableFunc(peers, func(a, b Peer) int { return cmp.Compare(ranks[a.Name], ranks[b.Name]) })
}

// ranks returns a rank for each daemon by its last successes and failures. Ranks differ by two.
func (h *peerHealth) ranks(peers []Peer, now time.Time) map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sorts++
	explore := h.sorts%exploreEvery == 0
	ranks := make(map[string]int, len(peers))
	for _, p := range peers {
		at, succeeded := h.successes[p.Name]
		switch {
		case h.failures[p.Name].until.After(now):
			ranks[p.Name] = 4
		case explore || !succeeded || now.Sub(at) > successTTL:
			ranks[p.Name] = 2
		}
	}
	return ranks
}
