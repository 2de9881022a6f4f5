package provider

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Status describes the configuration of a daemon.
type Status struct {
	// Generation is the generation in force, or zero if there is none.
	Generation uint64
	// Accepted is the newest generation known to the daemon.
	Accepted uint64
	// Source is the source of the head in force.
	Source Source
	// Rejected is the last refusal that is still relevant, or nil. It is a
	// *config.ValidationError, *config.PartError, *config.HeadError,
	// *DivergentError or ErrHeadMissing.
	Rejected error
	// Confirmed is the latest time at which no newer head is known to have existed, or zero.
	Confirmed time.Time
	// StoreConfirmed is the same, counting only this daemon's own reads of the store.
	StoreConfirmed time.Time
	// BehindSince is when a newer generation became known, or zero if there is
	// none.
	BehindSince time.Time
}

// NewsAge returns the time since the head in force was last known to be the newest. If it
// never was, it returns the longest duration.
func (s Status) NewsAge(now time.Time) time.Duration {
	if s.Confirmed.IsZero() {
		return 1<<63 - 1
	}
	return max(now.Sub(s.Confirmed), 0)
}

// ErrHeadMissing reports that the store holds no head although one is in force.
var ErrHeadMissing = errors.New("configuration head is missing in the store")

// Status returns the current status.
func (p *Provider) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Status{
		Generation:     p.state.inForce.generation(),
		Accepted:       p.state.newest,
		Source:         SourceNone,
		Rejected:       p.state.problem,
		Confirmed:      p.state.confirmed,
		StoreConfirmed: p.state.storeConfirmed,
		BehindSince:    p.state.behindSince,
	}
	if p.state.inForce != nil {
		s.Source = p.state.inForce.source
	}
	return s
}

// CheckFreshness reports whether the daemon may accept new work, given the size of a sample of
// its peers, how many of them it hears, and the number of live peers. See DecideFreshness.
func (p *Provider) CheckFreshness(now time.Time, peersHeard, peersKnown, peersLive int) (bool, Reason) {
	resumed := p.pauses.check()
	s := p.Status()
	input := FreshnessInput{
		HasConfiguration: s.Generation > 0,
		Age:              s.NewsAge(now),
		PeersHeard:       peersHeard,
		PeersKnown:       peersKnown,
		PeersLive:        peersLive,
	}
	if !s.BehindSince.IsZero() {
		input.Behind = max(now.Sub(s.BehindSince), 1)
	}
	if p.unconfirmedSinceResume(resumed) {
		input.UnconfirmedSinceResume = max(time.Since(resumed), 1)
		input.PeersAnswered = p.peersAnsweredSince(resumed)
	}
	return DecideFreshness(input, p.staleAfter)
}

// reportMissingHead records that the store has lost the head. The head in force remains.
func (p *Provider) reportMissingHead() {
	if p.Snapshot() != nil {
		p.reject(SourceStore, nil, ErrHeadMissing)
	}
}

// metrics holds the metrics of a provider.
type metrics struct {
	refused   *prometheus.CounterVec
	parts     *prometheus.CounterVec
	older     prometheus.Counter
	badParts  prometheus.Counter
	overtaken prometheus.Counter
}

func newMetrics(p *Provider, registerer prometheus.Registerer) (*metrics, error) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	vector := func(name, help string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{"source"})
	}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
	}
	m := &metrics{
		refused:   vector("bronzeturn_configuration_refused_total", "Heads and configurations refused, by source."),
		parts:     vector("bronzeturn_configuration_parts_fetched_total", "Configuration parts fetched, by source."),
		older:     counter("bronzeturn_configuration_older_heads_total", "Heads ignored because a newer one was known."),
		badParts:  counter("bronzeturn_configuration_bad_parts_total", "Parts whose content did not match the digest."),
		overtaken: counter("bronzeturn_configuration_watches_overtaken_total", "Watches cancelled because a read returned a newer revision."),
	}
	for _, c := range []prometheus.Collector{
		m.refused, m.parts, m.older, m.badParts, m.overtaken,
		gauge("bronzeturn_configuration_generation", "Generation in force.", func() float64 { return float64(p.Status().Generation) }),
		gauge("bronzeturn_configuration_accepted_generation", "Newest known generation.", func() float64 { return float64(p.Status().Accepted) }),
		gauge("bronzeturn_configuration_news_age_seconds", "Time since the head in force was last known to be the newest.", func() float64 { return p.Status().NewsAge(time.Now()).Seconds() }),
	} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}
