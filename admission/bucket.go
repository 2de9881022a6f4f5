package admission

import "time"

// burst is how much of a rate may be used at once after a quiet time.
const burst = time.Second

// bucket is a token bucket whose rate may change between calls. Its balance
// may be negative: a request whose size is only known at its end is charged
// in arrears.
type bucket struct {
	balance float64
	filled  time.Time
}

// fill brings the balance up to date. The capacity is one burst of the rate,
// at least minimum.
func (b *bucket) fill(now time.Time, rate, minimum float64) {
	capacity := max(minimum, rate*burst.Seconds())
	if b.filled.IsZero() {
		b.balance = capacity
		b.filled = now
		return
	}
	if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.balance += rate * elapsed.Seconds()
		b.filled = now
	}
	b.balance = min(b.balance, capacity)
}

// waitFor returns how long the bucket takes to reach the balance at the rate.
func (b *bucket) waitFor(balance, rate float64) time.Duration {
	if b.balance >= balance {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	return seconds((balance - b.balance) / rate)
}

// seconds converts a number of seconds, bounded by maxRetryAfter.
func seconds(s float64) time.Duration {
	if s >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(s * float64(time.Second))
}

// meter measures a rate: a sum that decays with the time constant meterSpan.
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
