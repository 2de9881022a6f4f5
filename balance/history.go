package balance

import (
	"time"
)

// The history must cover the delay of load reports. A ring of historyEntries covers at least
// historySpan, even if the load changes in every step.
const (
	historyEntries = 128
	historyStep    = 50 * time.Millisecond
	historySpan    = historyEntries * historyStep
	// initialHistoryEntries is small because most engines see few changes within historySpan.
	initialHistoryEntries = 4
)

// loadSample is the daemon's own work in flight at an engine from time at on, in Unix
// nanoseconds.
type loadSample struct {
	at       int64
	requests int64
	tokens   int64
}

// history is a ring buffer of the most recent samples. It grows up to historyEntries while
// it covers less than historySpan.
type history struct {
	ring []loadSample
	// next is the index to write next. In a full ring it holds the oldest sample.
	next int
	// overwritten reports whether any sample has been overwritten.
	overwritten bool
}

// record appends a sample. Samples within historyStep share an entry.
func (h *history) record(s loadSample) {
	if n := len(h.ring); n > 0 {
		last := &h.ring[(h.next+n-1)%n]
		if last.at != 0 && s.at-last.at < int64(historyStep) {
			s.at = last.at
			*last = s
			return
		}
	}
	if h.mustGrow(s.at) {
		h.grow()
	}
	h.overwritten = h.overwritten || h.ring[h.next].at != 0
	h.ring[h.next] = s
	h.next = (h.next + 1) % len(h.ring)
}

// mustGrow reports whether recording a sample at now requires a larger ring to keep samples
// within historySpan.
func (h *history) mustGrow(now int64) bool {
	n := len(h.ring)
	if n == 0 {
		return true
	}
	oldest := h.ring[h.next].at
	return n < historyEntries && oldest != 0 && now-oldest < int64(historySpan)
}

// grow doubles the ring, or allocates it.
func (h *history) grow() {
	n := len(h.ring)
	ring := make([]loadSample, max(2*n, initialHistoryEntries))
	copy(ring, h.ring[h.next:])
	copy(ring[n-h.next:], h.ring[:h.next])
	h.ring, h.next = ring, n
}

// at returns the work in flight at time t. For a time before the oldest sample in the ring
// it returns that sample if earlier ones were overwritten, and zero otherwise.
func (h *history) at(t int64) loadSample {
	var oldest loadSample
	n := len(h.ring)
	for i := 1; i <= n; i++ {
		s := h.ring[(h.next+n-i)%n]
		if s.at == 0 {
			break
		}
		if s.at <= t {
			return s
		}
		oldest = s
	}
	if !h.overwritten {
		return loadSample{}
	}
	return oldest
}
