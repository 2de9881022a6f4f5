package balance

import (
	"fmt"
	"time"
)

// Options sets the weights of the choice. Times are bounds on expected wait
// unless said otherwise.
type Options struct {
	// RemoteThreshold is how much lower the expected wait in another data
	// centre has to be, the cost of the hop included.
	RemoteThreshold time.Duration
	// PrefillTokensPerSecond is the rate at which an engine reads prompts.
	PrefillTokensPerSecond float64
	// PromptWeight is the work of one prompt token in generated tokens.
	PromptWeight float64
	// BatchSlowdown is the share of the work in progress that counts as wait
	// while an engine still has free slots.
	BatchSlowdown float64
	// SampleSize is the number of engines of a data centre that are compared. All
	// are when there are no more. Zero means 2.
	SampleSize int
	// BusyIsWait makes the work in progress count as wait when other data centres
	// are considered, not only a queue.
	BusyIsWait bool
	// AffinityMin is the least time to read a prompt for which cached prefixes
	// count.
	AffinityMin time.Duration
	// AffinityMax bounds what a cached prefix may save in the comparison.
	AffinityMax time.Duration
	// AffinityHalfLife halves the belief in a cached prefix since the last
	// news of it.
	AffinityHalfLife time.Duration
	// AffinityEntries bounds the prefixes remembered. Rounded up to a power of two.
	AffinityEntries int
	// FailurePenalty is the wait added for an engine that fails every request.
	// It grows with the square of the share that fails.
	FailurePenalty time.Duration
	// FailureHalfLife halves the remembered failures of an engine.
	FailureHalfLife time.Duration
	// EjectFailures is the number of failures in a row that eject an engine.
	EjectFailures int
	// EjectFor is the length of the first ejection. It doubles up to EjectMax.
	EjectFor time.Duration
	EjectMax time.Duration
	// MaxEjectedShare bounds the share of a pool that is out at once.
	MaxEjectedShare float64
	// MaxSlowShare bounds the share of a pool that is out for slowness.
	MaxSlowShare float64
	// MaxSlowLoad bounds the share of busy slots in the rest of the pool that an
	// ejection for slowness may leave.
	MaxSlowLoad float64
	// SpeedPrior is how many answers of the usual speed an engine is taken to have given
	// before it was measured. A few answers tell more of the work that the engine had just
	// then than of its speed: in a fleet of many daemons each sees an engine's answers
	// seconds apart. Zero goes by the first one.
	SpeedPrior int
	// SlowFactor ejects an engine slower than this multiple of its pool's median.
	SlowFactor float64
	// SlowSamples is the number of answers needed before slowness is judged.
	SlowSamples int
	// TrickleEvery is the least time between probes of an engine on probation.
	TrickleEvery time.Duration
	// TrickleSuccesses in a row re-admit an engine.
	TrickleSuccesses int
	// WarmUp is the time over which a new engine's share grows to full.
	WarmUp time.Duration
	// ReportFresh is the age up to which a load report counts in full. It
	// fades to nothing at three times this age.
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
