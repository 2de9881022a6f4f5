// Package selection chooses the version that answers a request: the lowest
// expected cost, escalations included, among the allowed versions whose quality
// is credibly at or above the target of the task kind.
//
// A Plan is compiled once per configuration. Policy.Choose does no I/O, reads
// no clock, takes no lock on its usual path and allocates nothing unless it
// refuses the request.
package selection

import (
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/cascade"
	"github.com/bronzeturn/bronzeturn/quality"
)

// DefaultExploreShare is the default of Options.ExploreShare.
const DefaultExploreShare = 0.05

// ErrOptions means that Options hold a value out of bounds.
var ErrOptions = errors.New("selection: invalid options")

// Options tune a Policy. Zero fields take the defaults.
type Options struct {
	// ExploreShare is the share of requests that go to a version whose quality
	// may reach the target but is not yet known to. A version that probably
	// reaches it gets four times the share, an unlikely one a tenth. A negative
	// value turns exploration off.
	ExploreShare float64
}

// Validate reports options out of bounds.
func (o Options) Validate() error {
	if o.ExploreShare > 1 {
		return fmt.Errorf("%w: explore share %v is above 1", ErrOptions, o.ExploreShare)
	}
	return nil
}

// Request is what the choice needs to know of a request.
type Request struct {
	Organisation string
	// Kind is the task kind; "" means DefaultKind.
	Kind string
	// Key is the conversation, or else the request, within the organisation.
	// Requests with one key fall on the same side of a roll-out.
	Key string
	// Constraint is what the caller named: "" or AnyVersion, a model, or a version.
	Constraint string
	// InConversation is true when a conversation is in progress or begins. One
	// in progress names its version as the Constraint.
	InConversation bool
	PromptTokens   int64
	// ExpectedCompletionTokens is 0 when the caller gives no hint.
	ExpectedCompletionTokens int64
	// Deadline is when the answer is due. The zero time means never.
	Deadline time.Time
	// FailedVersions are the versions that already failed this request.
	FailedVersions []string
	// SpendLimited tells whether SpendLeftMicros applies.
	SpendLimited    bool
	SpendLeftMicros int64
}

// Reason tells why a version was chosen.
type Reason uint8

// The values of Reason.
const (
	// ReasonCheapest is the lowest expected cost that reaches the target.
	ReasonCheapest Reason = iota
	// ReasonPreferred is a preferred version of the rules that reaches the target.
	ReasonPreferred
	// ReasonCascade is a cheap version whose answers are checked and escalated.
	ReasonCascade
	// ReasonConversation is the version that the conversation started with.
	ReasonConversation
	// ReasonRollout is a share of the baseline's work.
	ReasonRollout
	// ReasonExplore is a version that may reach the target.
	ReasonExplore
	// ReasonTrickle is a cut-off version that is tried again.
	ReasonTrickle
	// ReasonBestAvailable is the highest quality when none reaches the target.
	ReasonBestAvailable
	// ReasonLastResort is a version that would otherwise get no work: it is cut
	// off or being rolled out, and no other is allowed.
	ReasonLastResort
)

var reasonNames = [...]string{
	"cheapest_at_target", "preferred", "cascade", "conversation", "rollout",
	"explore", "trickle", "best_available", "last_resort",
}

// String returns the name used in logs.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Decision is the outcome of Choose.
type Decision struct {
	Version string
	// ExpectedCostMicros includes expected escalations, in micro-units.
	ExpectedCostMicros int64
	// Quality is the estimate for the version alone.
	Quality quality.Estimate
	// Target is the quality target of the kind.
	Target float64
	Reason Reason
	// Escalatable tells whether the answer has to be checked and may be
	// escalated as Cascade says.
	Escalatable bool
	Cascade     cascade.Plan
	// Rollout tells whether a roll-out introduces the version.
	Rollout bool
	// Candidates is the number of versions that could have been chosen.
	Candidates int
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (d *Decision) MarshalZerologObject(e *zerolog.Event) {
	e.Str("version", d.Version).
		Stringer("reason", d.Reason).
		Int("candidates", d.Candidates).
		Int64("expected_cost_micros", d.ExpectedCostMicros).
		Float64("quality", d.Quality.Mean).
		Float64("quality_lower", d.Quality.Lower).
		Float64("target", d.Target).
		Bool("rollout", d.Rollout)
	if d.Escalatable {
		e.Str("escalate_to", d.Cascade.Next)
	}
}
