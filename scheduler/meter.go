package scheduler

import (
	"math"
	"time"
)

// meterLife is the time in which the weight of past work falls to 1/e.
const meterLife = time.Second

// meter measures a rate of work with exponentially decreasing weight of the past.
type meter struct {
	sum float64 // seconds of work
	at  time.Time
}

func (m *meter) add(now time.Time, work float64) {
	m.sum = m.decayed(now) + work
	if now.After(m.at) {
		m.at = now
	}
}

// rate returns the work per second.
func (m *meter) rate(now time.Time) float64 { return m.decayed(now) / meterLife.Seconds() }

func (m *meter) decayed(now time.Time) float64 {
	passed := now.Sub(m.at)
	if m.sum == 0 || passed <= 0 {
		return m.sum
	}
	return m.sum * math.Exp(-passed.Seconds()/meterLife.Seconds())
}
