package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/dispatch"
	"github.com/bronzeturn/bronzeturn/scheduler"
)

// queueTrace is what a request went through in the queue of a contended service.
type queueTrace struct {
	contended bool
	waited    time.Duration
	ahead     int
	// cause is why the request was refused, "" if it was not.
	cause scheduler.Cause
}

// recordWait records the wait of one attempt.
func (t *trace) recordWait(w *dispatch.Wait) {
	t.queue.contended = t.queue.contended || w.Contended
	if w.Contended {
		t.queue.waited += w.Waited
		t.queue.ahead += w.Ahead
	}
	t.queue.cause = w.Cause
}

// describeWait adds to the log line of a request how long it waited for its turn, how many
// requests started before it meanwhile, why it was refused, and when its caller was told to return.
// Fields that do not apply are left out.
func (q *request) describeWait(line *zerolog.Event, a *answer) *zerolog.Event {
	w := &q.trace.queue
	if w.contended {
		line = line.Dur("waited_ms", w.waited).Int("ahead", w.ahead)
	}
	if w.cause != "" {
		line = line.Str("refused_because", string(w.cause))
	}
	if (w.contended || w.cause != "") && a.failure != nil && a.failure.RetryAfter > 0 {
		line = line.Dur("told_ms", a.failure.RetryAfter)
	}
	return line
}
