package provider

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Status tells what is in force on a daemon.
type Status struct {
	// Generation in force, zero when there is none.
	Generation uint64
	// Accepted is the newest generation that the daemon has heard of.
	Accepted uint64
	// Source of the head in force.
	Source Source
	// Rejected is the last refusal, nil when the newest head is in force. It is a
	// *config.ValidationError, *config.PartError, *config.HeadError,
	// *DivergentError or ErrHeadMissing.
	Rejected error
	// Confirmed is the latest time at which no newer head existed, zero if never.
	Confirmed time.Time
	// StoreConfirmed is the same, as the store told this daemon itself.
	StoreConfirmed time.Time
	// BehindSince is when a newer generation was first heard of, zero if there
	// is none.
	BehindSince time.Time
}

// NewsAge returns the time since no newer head existed. Without any news it is
// the longest duration.
func (s Status) NewsAge(now time.Time) time.Duration {
	if s.Confirmed.IsZero() {
		return 1<<63 - 1
	}
	return max(now.Sub(s.Confirmed), 0)
}

// ErrHeadMissing reports that the store holds no head although one was in force.
var ErrHeadMissing = errors.New("configuration head is missing in the store")

// Status returns what is in force and what is known.
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

// CheckFreshness tells whether the daemon may take new work, given how many of a sample of
// its peers it hears, and how many live peers there are. See Decide.
func (p *Provider) CheckFreshness(now time.Time, peersHeard, peersKnown, peersLive int) (bool, Reason) {
	resumed := p.pauses.check()
	s := p.Status()
	news := FreshnessInput{
		HasConfiguration: s.Generation > 0,
		Age:              s.NewsAge(now),
		PeersHeard:       peersHeard,
		PeersKnown:       peersKnown,
		PeersLive:        peersLive,
	}
	if !s.BehindSince.IsZero() {
		news.Behind = max(now.Sub(s.BehindSince), 1)
	}
	if p.unsure(resumed) {
		news.UnconfirmedSinceResume = max(time.Since(resumed), 1)
		news.PeersAsked = p.askedSince(resumed)
	}
	return DecideFreshness(news, p.staleAfter)
}

// headMissing reports that the store lost the head. What is in force stays.
func (p *Provider) headMissing() {
	if p.Snapshot() != nil {
		p.reject(SourceStore, nil, ErrHeadMissing)
	}
}

// metrics are the measurements of a provider.
type metrics struct {
	refused  *prometheus.CounterVec
	parts    *prometheus.CounterVec
	older    prometheus.Counter
	badParts prometheus.Counter
	silent   prometheus.Counter
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
		refused:  vector("bronzeturn_configuration_refused_total", "Heads and configurations that were refused."),
		parts:    vector("bronzeturn_configuration_parts_fetched_total", "Parts fetched."),
		older:    counter("bronzeturn_configuration_older_heads_total", "Heads ignored because a newer one was known."),
		badParts: counter("bronzeturn_configuration_bad_parts_total", "Parts whose content did not match the digest."),
		silent:   counter("bronzeturn_configuration_watches_overtaken_total", "Watches dropped because a read was faster."),
	}
	for _, c := range []prometheus.Collector{
		m.refused, m.parts, m.older, m.badParts, m.silent,
		gauge("bronzeturn_configuration_generation", "Generation in force.", func() float64 { return float64(p.Status().Generation) }),
		gauge("bronzeturn_configuration_accepted_generation", "Newest generation heard of.", func() float64 { return float64(p.Status().Accepted) }),
		gauge("bronzeturn_configuration_news_age_seconds", "Time since no newer head existed.", func() float64 { return p.Status().NewsAge(time.Now()).Seconds() }),
	} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}
