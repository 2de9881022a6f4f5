// Package backpressure tracks what engines ask of their senders in the headers of their
// answers.
package backpressure

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// NoLimit is the limit of an engine that states none.
const NoLimit = -1

// Answer is what one answer of an engine says about the engine's request limit.
type Answer struct {
	Engine string
	// Limit is the number of requests per second that the engine accepts from all daemons
	// together, or NoLimit.
	Limit float64
	// Sent is when the request was sent, At when the header of the answer arrived.
	Sent, At time.Time
}

// Options configures Limits. All fields are required.
type Options struct {
	Log        zerolog.Logger
	Registerer prometheus.Registerer
}

// Limits tracks the request limits of engines. It is safe for concurrent use.
type Limits struct {
	Options
	metrics *metrics
	// limited is the number of engines with a limit. While it is zero, no lock is taken.
	limited atomic.Int64

	mu      sync.RWMutex
	engines map[string]limit
}

// limit is the limit that an engine has stated.
type limit struct {
	perSecond float64
	// statedAt is when the last answer that stated it arrived.
	statedAt time.Time
}

// NewLimits returns Limits without any limited engines.
func NewLimits(o Options) *Limits {
	l := &Limits{Options: o, engines: make(map[string]limit)}
	l.metrics = newMetrics(o.Registerer, func() float64 { return float64(l.limited.Load()) })
	return l
}

// Observe records what an answer of an engine says. An answer without a limit ends the
// engine's limit, unless its request was sent before the limit was last stated: answers may
// overtake each other.
func (l *Limits) Observe(a Answer) {
	if a.Limit < 0 && l.limited.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known, wasLimited := l.engines[a.Engine]
	switch {
	case a.Limit >= 0:
		l.engines[a.Engine] = limit{perSecond: a.Limit, statedAt: a.At}
		if !wasLimited || known.perSecond != a.Limit {
			l.Log.Info().Str("engine", a.Engine).Float64("per_second", a.Limit).Msg("engine states a request limit")
		}
	case wasLimited && a.Sent.After(known.statedAt):
		delete(l.engines, a.Engine)
		l.Log.Info().Str("engine", a.Engine).Dur("after_ms", a.At.Sub(known.statedAt)).Msg("engine states no request limit any more")
	}
	l.limited.Store(int64(len(l.engines)))
}

// Sent records that a request is sent to an engine. further is set if it is not the first
// attempt of the request.
func (l *Limits) Sent(engine string, further bool) {
	if l.limited.Load() == 0 {
		return
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	if _, limited := l.engines[engine]; limited {
		l.metrics.recordSend(further)
	}
}
