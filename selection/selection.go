// Package selection chooses the version that answers a request: the one with the
// lowest expected cost, including escalations, among the allowed versions whose
// quality reaches the target of the task kind with sufficient confidence.
//
// A Plan is compiled once per configuration. Policy.Choose does no I/O, reads
// no clock, takes no lock on its common path and allocates nothing unless it
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

// ErrOptions means that a field of Options is out of bounds.
var ErrOptions = errors.New("selection: invalid options")

// Options configures a Policy. Zero fields select the defaults.
type Options struct {
	// ExploreShare is the share of requests that go to a version whose quality may
	// reach the target but is still uncertain. A version whose mean reaches the
	// target gets four times the share, one that is unlikely to reach it a tenth. A
	// negative value turns exploration off.
	ExploreShare float64
}

// Validate returns an error for options out of bounds.
func (o Options) Validate() error {
	if o.ExploreShare > 1 {
		return fmt.Errorf("%w: explore share %v is above 1", ErrOptions, o.ExploreShare)
	}
	return nil
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Organisation string
	// Kind is the task kind; "" means DefaultKind.
	Kind string
	// Key identifies the conversation, or else the request, within the
	// organisation. Requests with the same key get the same side of a roll-out.
	Key string
	// Constraint is what the caller asked for: "" or AnyVersion, a model, or a
	// version.
	Constraint string
	// InConversation is true when a conversation is in progress or begins. One
	// in progress names its version as the Constraint.
	InConversation bool
	PromptTokens   int64
	// ExpectedCompletionTokens is 0 when the caller gives no hint.
	ExpectedCompletionTokens int64
	// Deadline is when the answer is due. The zero time means no deadline.
	Deadline time.Time
	// FailedVersions are the versions that this request has already failed on.
	FailedVersions []string
	// SpendLimited reports whether SpendLeftMicros applies.
	SpendLimited    bool
	SpendLeftMicros int64
}

// Reason is why a version was chosen.
type Reason uint8

// The values of Reason.
const (
	// ReasonCheapest is the version with the lowest expected cost that reaches the
	// target.
	ReasonCheapest Reason = iota
	// ReasonPreferred is a preferred version of the rules that reaches the target.
	ReasonPreferred
	// ReasonCascade is a cheap version whose answers are checked and escalated.
	ReasonCascade
	// ReasonConversation is the version that the conversation started on.
	ReasonConversation
	// ReasonRollout is a version in roll-out, which takes over a share of its
	// baseline's requests.
	ReasonRollout
	// ReasonExplore is a version that may reach the target but lacks ratings.
	ReasonExplore
	// ReasonTrickle is a cut-off version that gets a few requests to test whether it
	// has recovered.
	ReasonTrickle
	// ReasonBestAvailable is the version of the highest quality when none reaches
	// the target.
	ReasonBestAvailable
	// ReasonLastResort is a version that is cut off or in roll-out, chosen because
	// no other one is allowed.
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
	// ExpectedCostMicros is the expected cost in micro-units of currency, including
	// expected escalations.
	ExpectedCostMicros int64
	// Quality is the estimate for the version alone.
	Quality quality.Estimate
	// Target is the quality target of the kind.
	Target float64
	Reason Reason
	// Escalatable reports whether the answer has to be checked and may be escalated
	// according to Cascade.
	Escalatable bool
	Cascade     cascade.Plan
	// Rollout reports whether the version is in roll-out.
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
