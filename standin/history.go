package standin

import "time"

// historyLimit bounds the number of entries. Changes within historyStep of each
// other share one entry.
const (
	historyLimit = 4096
	historyStep  = 5 * time.Millisecond
)

// history stores past values, so that they can be reported with a lag. It is not
// safe for concurrent use.
type history[T any] struct {
	entries []historyEntry[T]
}

type historyEntry[T any] struct {
	at    time.Time
	value T
}

// add records a value that is current from now on.
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

// asOf returns the value that was current at the given time and the time at which
// it was recorded. For a time before the oldest entry, it returns that entry.
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
