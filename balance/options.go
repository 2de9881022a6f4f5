package balance

import (
	"fmt"
	"time"
)

// Options are the parameters of the choice.
type Options struct {
	// RemoteThreshold is the cost advantage that an engine in another data centre
	// must have. It includes the cost of the network hop. Other data centres are
	// considered only if the expected wait in the local one exceeds it or no local
	// engine is usable.
	RemoteThreshold time.Duration
	// PrefillTokensPerSecond is the rate at which an engine processes prompts.
	PrefillTokensPerSecond float64
	// PromptWeight is the work of one prompt token in units of generated tokens.
	PromptWeight float64
	// BatchSlowdown is the share of the time for the work in progress that is added
	// to an engine's cost, also while it has free slots.
	BatchSlowdown float64
	// SampleSize is the number of engines that are compared per data centre. If
	// there are no more than that, all are compared. Zero means 2.
	SampleSize int
	// BusyIsWait adds the backlog to the expected wait in the decision whether to
	// consider other data centres. Otherwise only a queue counts.
	BusyIsWait bool
	// AffinityMin is the minimum prefill time for which cached prefixes matter.
	AffinityMin time.Duration
	// AffinityMax bounds the prefill time that a cached prefix is assumed to save.
	AffinityMax time.Duration
	// AffinityHalfLife is the time after the last update in which the assumed
	// probability that a prefix is still cached halves.
	AffinityHalfLife time.Duration
	// AffinityEntries is the capacity of the prefix cache index. Rounded up to a
	// power of two.
	AffinityEntries int
	// FailurePenalty is the cost added for an engine that fails every request. The
	// cost grows with the square of the share of failed requests.
	FailurePenalty time.Duration
	// FailureHalfLife is the time in which the recorded failure share halves.
	FailureHalfLife time.Duration
	// EjectFailures is the number of consecutive failures that eject an engine.
	EjectFailures int
	// EjectFor is the length of the first ejection. It doubles up to EjectMax.
	EjectFor time.Duration
	EjectMax time.Duration
	// MaxEjectedShare is the maximum share of a pool that is ejected at any time.
	MaxEjectedShare float64
	// MaxSlowShare is the maximum share of a pool that is ejected for slowness.
	MaxSlowShare float64
	// MaxSlowLoad is the maximum share of busy slots in the rest of the pool after an
	// ejection for slowness.
	MaxSlowLoad float64
	// SpeedPrior is the weight, in answers, of the prior assumption that an engine has
	// its registered speed. In a fleet of many daemons, each daemon sees an engine's
	// answers seconds apart, and the latency of a few answers depends more on the
	// engine's momentary load than on its speed. The mean that all daemons measured is weighted
	// against the same prior. Zero means no prior.
	SpeedPrior int
	// SlowFactor is the multiple of its pool's median latency above which an engine
	// is ejected.
	SlowFactor float64
	// SlowSamples is the number of answers needed before an engine's latency is
	// compared with its pool.
	SlowSamples int
	// TrickleEvery is the minimum time between probes of an ejected engine.
	TrickleEvery time.Duration
	// TrickleSuccesses is the number of consecutive successful probes that re-admit an
	// engine.
	TrickleSuccesses int
	// WarmUp is the time over which a new engine's share of requests grows to full.
	WarmUp time.Duration
	// ReportFresh is the age up to which a load report has full weight. The weight
	// falls to zero at three times this age.
	ReportFresh time.Duration
}

// DefaultOptions returns the documented defaults.
func DefaultOptions() Options {
	return Options{
		RemoteThreshold:        20 * time.Millisecond,
		PrefillTokensPerSecond: 8000,
		PromptWeight:           0.05,
		BatchSlowdown:          0.1,
		SampleSize:             2,
		AffinityMin:            50 * time.Millisecond,
		AffinityMax:            500 * time.Millisecond,
		AffinityHalfLife:       2 * time.Minute,
		AffinityEntries:        1 << 14,
		FailurePenalty:         10 * time.Second,
		FailureHalfLife:        10 * time.Second,
		EjectFailures:          3,
		EjectFor:               5 * time.Second,
		EjectMax:               time.Minute,
		MaxEjectedShare:        0.5,
		MaxSlowShare:           0.25,
		MaxSlowLoad:            0.8,
		SlowFactor:             2,
		SlowSamples:            10,
		TrickleEvery:           time.Second,
		TrickleSuccesses:       3,
		WarmUp:                 10 * time.Second,
		ReportFresh:            5 * time.Second,
	}
}

// OptionError reports an option outside its bounds.
type OptionError struct {
	Option string
	Bound  string
}

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("option %s must be %s", e.Option, e.Bound)
}

// Validate returns an OptionError for the first option outside its bounds.
func (o Options) Validate() error {
	checks := []struct {
		ok     bool
		option string
		bound  string
	}{
		{o.RemoteThreshold >= 0, "RemoteThreshold", "at least 0"},
		{o.PrefillTokensPerSecond > 0, "PrefillTokensPerSecond", "above 0"},
		{o.PromptWeight >= 0, "PromptWeight", "at least 0"},
		{o.BatchSlowdown >= 0 && o.BatchSlowdown <= 1, "BatchSlowdown", "from 0 to 1"},
		{o.SampleSize >= 0, "SampleSize", "at least 0"},
		{o.AffinityMin >= 0, "AffinityMin", "at least 0"},
		{o.AffinityMax >= 0, "AffinityMax", "at least 0"},
		{o.AffinityHalfLife > 0, "AffinityHalfLife", "above 0"},
		{o.AffinityEntries > 0, "AffinityEntries", "above 0"},
		{o.FailurePenalty >= 0, "FailurePenalty", "at least 0"},
		{o.FailureHalfLife > 0, "FailureHalfLife", "above 0"},
		{o.EjectFailures > 0, "EjectFailures", "above 0"},
		{o.EjectFor > 0 && o.EjectMax >= o.EjectFor, "EjectFor", "above 0 and at most EjectMax"},
		{o.MaxEjectedShare >= 0 && o.MaxEjectedShare < 1, "MaxEjectedShare", "from 0 to below 1"},
		{o.MaxSlowShare >= 0 && o.MaxSlowShare <= o.MaxEjectedShare, "MaxSlowShare", "from 0 to MaxEjectedShare"},
		{o.MaxSlowLoad > 0 && o.MaxSlowLoad <= 1, "MaxSlowLoad", "above 0 and at most 1"},
		{o.SpeedPrior >= 0, "SpeedPrior", "at least 0"},
		{o.SlowFactor > 1, "SlowFactor", "above 1"},
		{o.SlowSamples > 0, "SlowSamples", "above 0"},
		{o.TrickleEvery > 0, "TrickleEvery", "above 0"},
		{o.TrickleSuccesses > 0, "TrickleSuccesses", "above 0"},
		{o.WarmUp >= 0, "WarmUp", "at least 0"},
		{o.ReportFresh > 0, "ReportFresh", "above 0"},
	}
	for _, c := range checks {
		if !c.ok {
			return &OptionError{Option: c.option, Bound: c.bound}
		}
	}
	return nil
}
