package standin

import "time"

// historyLimit bounds the entries kept, historyStep merges changes that are
// closer to each other.
const (
	historyLimit = 4096
	historyStep  = 5 * time.Millisecond
)

// history keeps past values so that they can be shown with a lag. It is not
// safe for concurrent use.
type history[T any] struct {
	entries []historyEntry[T]
}

type historyEntry[T any] struct {
	at    time.Time
	value T
}

// add records the value in force from now on.
func (h *history[T]) add(now time.Time, value T) {
	if n := len(h.entries); n > 1 && now.Sub(h.entries[n-1].at) < historyStep {
		h.entries[n-1].value = value
		return
	}
	if len(h.entries) >= historyLimit {
		h.entries = append(h.entries[:0], h.entries[historyLimit/2:]...)
	}
	h.entries = append(h.entries, historyEntry[T]{at: now, value: value})
}

// asOf returns the value in force at the given time, or the oldest kept.
func (h *history[T]) asOf(at time.Time) (T, time.Time) {
	var found historyEntry[T]
	for i := len(h.entries) - 1; i >= 0; i-- {
		found = h.entries[i]
		if !found.at.After(at) {
			break
		}
	}
	return found.value, found.at
}
