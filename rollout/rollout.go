// Package rollout decides how much work a version may receive.
//
// A version that a roll-out introduces gets a share of its baseline's work,
// which doubles with each stage of good ratings up to the cap of the rule. A
// sequential test watches every version; when it finds one bad, the version is
// cut off, and after a while tried again with a trickle of requests.
//
// The code does no I/O and reads no clock. Daemons agree on shares and
// cut-offs by exchanging the entries that State returns; the entry with the
// higher revision wins.
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
	// maxStrikes bounds the doubling of the time until a retry.
	maxStrikes = 6
	// maxStage bounds the doubling of a share.
	maxStage = 30
)

// Errors of this package.
var (
	// ErrOptions means that Options hold a value out of bounds.
	ErrOptions = errors.New("rollout: invalid options")
	// ErrState means that a state of another daemon is out of bounds.
	ErrState = errors.New("rollout: invalid state")
)

// Options tune a Controller. Zero fields take the defaults above.
type Options struct {
	// FalseAlarm bounds the false alarms of the sequential test: a version whose
	// mean score is at least its reference minus Margin sees, on average, at
	// least 1/FalseAlarm ratings between two alarms.
	FalseAlarm float64
	// FalseClear is the probability that a trickle clears a version that is as
	// bad as the alternative of the test.
	FalseClear float64
	// Margin is how far below its reference a mean score still counts as good.
	Margin float64
	// SmallDrop and LargeDrop are the losses of quality that the two bets of the
	// test are tuned to find soonest.
	SmallDrop, LargeDrop float64
	// StartShare is the share of a new version before ratings arrive.
	StartShare float64
	// StageRatings is the number of ratings that one doubling of the share needs.
	StageRatings float64
	// RetryAfter is the time from a cut-off to the first trickle. It doubles with
	// every cut-off that follows.
	RetryAfter time.Duration
	// TrickleShare is the share of requests that try a cut-off version again.
	TrickleShare float64
	// EndConversations refuses the running conversations of a cut-off version.
	// By default they are kept.
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

// Validate reports options out of bounds.
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

// NewController returns a Controller without tracks. It panics when the
// options are invalid, which Options.Validate reports beforehand.
func NewController(o Options) *Controller {
	if err := o.Validate(); err != nil {
		panic(err)
	}
	return &Controller{options: o.withDefaults(), tracks: make(map[string]*Track)}
}

// Options returns the options in force.
func (c *Controller) Options() Options { return c.options }

// Track returns the track of a version, created at first use. Hot paths keep
// it and spare the look-up.
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

// Ratings is the event that an organisation's ratings of a version arrived.
type Ratings struct {
	Organisation string
	// Sum is the sum of Count scores between 0 and 1.
	Sum, Count float64
	// Reference is the mean score that the version has to reach.
	Reference float64
	// SoleUser is true when no other organisation may use the version.
	SoleUser bool
	At       time.Time
}

// Change tells what a rating changed.
type Change uint8

// The values of Change.
const (
	// Unchanged means that the version may receive what it could before.
	Unchanged Change = iota
	// CutOff means that the sequential test found the version bad.
	CutOff
	// Cleared means that the trickle found the version good again.
	Cleared
	// ShareChanged means that a roll-out went to another stage.
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

// shareOf returns the share of a stage before the cap of the rule.
func (o *Options) shareOf(stage int32) float64 {
	return math.Min(1, math.Ldexp(o.StartShare, int(stage)))
}
