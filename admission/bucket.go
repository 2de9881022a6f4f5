package admission

import "time"

// burst is the capacity of a bucket, as a time at its rate.
const burst = time.Second

// bucket is a token bucket whose rate may change between calls. Its balance
// may be negative, since the tokens of a request are known only when it has
// finished and the difference from the estimate is charged then.
type bucket struct {
	balance    float64
	refilledAt time.Time
}

// refill adds what has accrued since the last call. The capacity is one burst at
// the rate, but at least minimum.
func (b *bucket) refill(now time.Time, rate, minimum float64) {
	capacity := max(minimum, rate*burst.Seconds())
	if b.refilledAt.IsZero() {
		b.balance = capacity
		b.refilledAt = now
		return
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.balance += rate * elapsed.Seconds()
		b.refilledAt = now
	}
	b.balance = min(b.balance, capacity)
}

// waitFor returns how long the bucket takes to reach the balance at the rate, at
// most maxRetryAfter.
func (b *bucket) waitFor(balance, rate float64) time.Duration {
	if b.balance >= balance {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	return seconds((balance - b.balance) / rate)
}

// seconds converts a number of seconds to a duration of at most maxRetryAfter.
func seconds(s float64) time.Duration {
	if s >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(s * float64(time.Second))
}

// meter measures a rate as a sum that decays exponentially with the time
// constant meterSpan.
type meter struct {
	sum     float64
	updated time.Time
}

// meterSpan is the time constant of a meter.
const meterSpan = 2 * time.Second

// add counts an amount.
func (m *meter) add(now time.Time, amount float64) {
	m.decay(now)
	m.sum += amount
}

// perSecond returns the measured rate.
func (m *meter) perSecond(now time.Time) float64 {
	m.decay(now)
	return m.sum / meterSpan.Seconds()
}

func (m *meter) decay(now time.Time) {
	if elapsed := now.Sub(m.updated); elapsed > 0 {
		m.sum *= decayFactor(elapsed, meterSpan)
		m.updated = now
	}
}
