// Package rollout decides which share of requests a version may receive.
//
// A version that is introduced by a roll-out receives a share of the requests of
// its baseline. The share doubles with each stage of good ratings, up to the cap
// of the rule. A sequential test monitors the ratings of every version. A version
// that fails the test is cut off, and after a while is tried again with a small
// share of requests, the trickle.
//
// Apart from Sync, the package does no I/O, and it reads no clock. Daemons agree on
// shares and cut-offs by exchanging the values of State; the state with the higher
// revision wins.
package rollout

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"time"
)

// Defaults of Options.
const (
	DefaultFalseAlarm   = 1e-5
	DefaultFalseClear   = 1e-2
	DefaultMargin       = 0.03
	DefaultSmallDrop    = 0.1
	DefaultLargeDrop    = 0.3
	DefaultStartShare   = 0.02
	DefaultStageRatings = 20.0
	DefaultRetryAfter   = 10 * time.Minute
	DefaultTrickleShare = 0.01
	// maxStrikes is the number of cut-offs after which the time until a retry no
	// longer doubles.
	maxStrikes = 6
	// maxStage is the maximum number of doublings of a share.
	maxStage = 30
)

// Errors of this package.
var (
	// ErrOptions reports Options with a value out of range.
	ErrOptions = errors.New("rollout: invalid options")
	// ErrState reports a state of another daemon with a value out of range.
	ErrState = errors.New("rollout: invalid state")
)

// Options configure a Controller. Zero fields take the defaults above.
type Options struct {
	// FalseAlarm limits the rate of false alarms of the sequential test: a version
	// whose mean score is at least its reference minus Margin receives, on average,
	// at least 1/FalseAlarm ratings between two alarms.
	FalseAlarm float64
	// FalseClear is the probability that a trickle clears a version whose mean
	// score equals the alternative of the test.
	FalseClear float64
	// Margin is how far a mean score may be below its reference and still count as
	// good.
	Margin float64
	// SmallDrop and LargeDrop are the drops of the mean score that the two bets of
	// the test detect soonest.
	SmallDrop, LargeDrop float64
	// StartShare is the share of a new version before it has ratings.
	StartShare float64
	// StageRatings is the number of ratings that each doubling of the share requires.
	StageRatings float64
	// RetryAfter is the time from the first cut-off to its trickle. It doubles with
	// each further cut-off until the version is cleared.
	RetryAfter time.Duration
	// TrickleShare is the share of requests with which a cut-off version is tried
	// again.
	TrickleShare float64
	// EndConversations is set to refuse further requests of the conversations that
	// run on a cut-off version. By default they continue.
	EndConversations bool
}

func (o Options) withDefaults() Options {
	setDefault(&o.FalseAlarm, DefaultFalseAlarm)
	setDefault(&o.FalseClear, DefaultFalseClear)
	setDefault(&o.Margin, DefaultMargin)
	setDefault(&o.SmallDrop, DefaultSmallDrop)
	setDefault(&o.LargeDrop, DefaultLargeDrop)
	setDefault(&o.StartShare, DefaultStartShare)
	setDefault(&o.StageRatings, DefaultStageRatings)
	setDefault(&o.TrickleShare, DefaultTrickleShare)
	if o.RetryAfter == 0 {
		o.RetryAfter = DefaultRetryAfter
	}
	return o
}

func setDefault(field *float64, value float64) {
	if *field == 0 {
		*field = value
	}
}

// Validate returns an error if a value is out of range.
func (o Options) Validate() error {
	o = o.withDefaults()
	for _, p := range []float64{o.FalseAlarm, o.FalseClear, o.Margin, o.SmallDrop, o.LargeDrop, o.StartShare, o.TrickleShare} {
		if !(p > 0 && p < 1) {
			return fmt.Errorf("%w: %v is not between 0 and 1", ErrOptions, p)
		}
	}
	if !(o.StageRatings > 0) || o.RetryAfter < 0 {
		return fmt.Errorf("%w: stage ratings and retry time must be positive", ErrOptions)
	}
	return nil
}

// Controller holds one Track per version. It is safe for concurrent use.
type Controller struct {
	options Options
	mu      sync.RWMutex
	tracks  map[string]*Track
}

// NewController returns a Controller without tracks. It panics if the options are
// invalid; Options.Validate checks them beforehand.
func NewController(o Options) *Controller {
	if err := o.Validate(); err != nil {
		panic(err)
	}
	return &Controller{options: o.withDefaults(), tracks: make(map[string]*Track)}
}

// Options returns the options, with defaults applied.
func (c *Controller) Options() Options { return c.options }

// Track returns the track of a version, and creates it at first use. Callers in hot
// paths should keep the result to avoid the look-up.
func (c *Controller) Track(version string) *Track {
	c.mu.RLock()
	t := c.tracks[version]
	c.mu.RUnlock()
	if t != nil {
		return t
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if t = c.tracks[version]; t == nil {
		t = newTrack(version, &c.options)
		c.tracks[version] = t
	}
	return t
}

// Ratings are new ratings of a version by one organisation.
type Ratings struct {
	Organisation string
	// Sum is the sum of Count scores between 0 and 1.
	Sum, Count float64
	// Reference is the mean score that the version has to reach.
	Reference float64
	// SoleUser is true if no other organisation may use the version.
	SoleUser bool
	At       time.Time
}

// Change is the effect of ratings on a version.
type Change uint8

// The values of Change.
const (
	// Unchanged means that gate and share of the version remain the same.
	Unchanged Change = iota
	// CutOff means that the version failed the sequential test.
	CutOff
	// Cleared means that the ratings of the trickle showed the version to be good.
	Cleared
	// ShareChanged means that the roll-out moved to another stage.
	ShareChanged
)

// String returns the name used in logs.
func (c Change) String() string {
	switch c {
	case CutOff:
		return "cut_off"
	case Cleared:
		return "cleared"
	case ShareChanged:
		return "share_changed"
	}
	return "unchanged"
}

// shareOf returns the share at a stage, before the cap of the rule.
func (o *Options) shareOf(stage int32) float64 {
	return math.Min(1, math.Ldexp(o.StartShare, int(stage)))
}
