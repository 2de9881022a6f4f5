package backpressure

import "time"

// Backpressure combines what engines ask of their senders: request limits, and no more refusals
// than they tolerate.
type Backpressure struct {
	*Limits
	Brittle *Brittle
}

// Observe records what an answer of an engine says. A refusal can state a limit but not end one,
// so that an engine that refuses all requests does not get more of them.
func (b *Backpressure) Observe(a Answer) {
	if !a.Refused || a.Limit >= 0 {
		b.Limits.Observe(a)
	}
	b.Brittle.Observe(a)
}

// Throttled reports whether an engine must be passed over now.
func (b *Backpressure) Throttled(engine string, now time.Time) bool {
	return b.Limits.Throttled(engine, now) || b.Brittle.Throttled(engine, now)
}

// Take acquires the permit to send one request to an engine now, and reports whether there was
// one.
func (b *Backpressure) Take(engine string, now time.Time) bool {
	if !b.Brittle.Take(engine, now) {
		return false
	}
	if b.Limits.Take(engine, now) {
		return true
	}
	b.Brittle.Sent(engine)
	return false
}

// Sent records that a request is in progress at an engine. further is set if it is not the first
// attempt of the request.
func (b *Backpressure) Sent(engine string, further bool) {
	b.Brittle.Sent(engine)
	b.Limits.Sent(engine, further)
}

// NextPermit returns when this daemon's next permit to send to an engine begins, and the interval
// between two permits. For an engine that asks for nothing it returns now.
func (b *Backpressure) NextPermit(engine string, now time.Time) (at time.Time, interval time.Duration) {
	at, interval = b.Limits.NextPermit(engine, now)
	if free := b.Brittle.FreeAt(engine, now); free.After(at) {
		return free, max(interval, freeInterval)
	}
	return at, interval
}

// Retain drops what is known of engines that are not in use, as reported by used.
func (b *Backpressure) Retain(used func(engine string) bool, now time.Time) {
	b.Limits.Retain(used, now)
	b.Brittle.Retain(used)
}
