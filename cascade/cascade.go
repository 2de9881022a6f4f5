// Package cascade decides whether a request is escalated from a cheap version to a
// stronger one, given the cheap version's answer, and estimates the cost and
// quality of a cascade.
//
// A caller is billed once: the bill of a request is the sum of the prices of the
// attempts that ran for it. See docs/design/0005-version-choice.md.
package cascade

import (
	"math"
	"time"
)

// Plan is the cascade that was planned when the cheap version was chosen.
type Plan struct {
	// Next is the version to escalate to, or "" if the kind, the conversation or
	// the choice of the version rules out a second attempt.
	Next string
	// NextCostMicros is the expected cost of the second attempt, in micro-units.
	NextCostMicros int64
	// NextDuration is the expected time of the second attempt.
	NextDuration time.Duration
}

// State is the state of a request when the cheap version's answer is complete.
type State struct {
	// Verdict is the result of the check, or of a rating that arrived in time.
	Verdict Verdict
	// Delivered is true once any part of the answer has been sent to the caller.
	Delivered bool
	// Deadline is when the answer is due. The zero time means no deadline.
	Deadline time.Time
	// SpendLimited reports whether SpendLeftMicros applies.
	SpendLimited    bool
	SpendLeftMicros int64
	// NextRefused is true if the newest configuration no longer permits the use of
	// Plan.Next, for example because the version is withdrawn.
	NextRefused bool
}

// Reason says why a cascade was continued or ended.
type Reason uint8

// The values of Reason.
const (
	// Accepted means that the check found no fault.
	Accepted Reason = iota
	// Escalated means that the request goes to the stronger version.
	Escalated
	// NotEscalatable means that the plan has no version to escalate to.
	NotEscalatable
	// AlreadyDelivered means that part of the cheap version's answer has been sent
	// to the caller.
	AlreadyDelivered
	// TooLate means that a second attempt would miss the deadline.
	TooLate
	// OverSpend means that the spend limit does not permit a second attempt.
	OverSpend
	// Refused means that the stronger version may no longer be used.
	Refused
)

var reasonNames = [...]string{
	"accepted", "escalated", "not_escalatable", "already_delivered", "too_late", "over_spend", "next_refused",
}

// String returns the name used in logs.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Decision is the result of Next.
type Decision struct {
	// Version is the version to run next, or "" to keep the present answer.
	Version string
	Reason  Reason
}

// Next decides whether to escalate a request after the cheap version's complete
// answer.
func Next(p *Plan, s *State, now time.Time) Decision {
	switch {
	case s.Verdict.OK():
		return Decision{Reason: Accepted}
	case p.Next == "":
		return Decision{Reason: NotEscalatable}
	case s.Delivered:
		return Decision{Reason: AlreadyDelivered}
	case s.NextRefused:
		return Decision{Reason: Refused}
	case !s.Deadline.IsZero() && now.Add(p.NextDuration).After(s.Deadline):
		return Decision{Reason: TooLate}
	case s.SpendLimited && p.NextCostMicros > s.SpendLeftMicros:
		return Decision{Reason: OverSpend}
	}
	return Decision{Version: p.Next, Reason: Escalated}
}

// Estimate holds the expected cost and quality of a cascade of two versions.
type Estimate struct {
	// Cost is the expected cost, including escalations, in the unit of the costs
	// passed to Expect.
	Cost float64
	// Quality is the expected quality of the answer that the caller gets.
	Quality float64
}

// Expect estimates a cascade from a cheap version of the given cost to a second
// version with nextCost and nextQuality. The quality of the cheap version's answers
// that pass the check is accepted; the share flagged of its answers is escalated.
func Expect(cost, accepted, flagged, nextCost, nextQuality float64) Estimate {
	return Estimate{
		Cost:    cost + flagged*nextCost,
		Quality: (1-flagged)*accepted + flagged*nextQuality,
	}
}

// Prior estimates for the check, used before measurements arrive: the share of bad
// answers that it flags (recall), and the share of good answers that it flags
// (false alarms).
const (
	PriorRecall     = 0.3
	PriorFalseAlarm = 0.02
)

// PriorFlagged returns the prior estimate of the share of answers that the check
// flags, for a version of the given quality.
func PriorFlagged(quality float64) float64 {
	return (1-quality)*PriorRecall + quality*PriorFalseAlarm
}

// PriorAccepted returns the prior estimate of the quality of answers that pass the
// check, for a version of the given quality. It is used before ratings of such
// answers arrive.
func PriorAccepted(quality float64) float64 {
	good := quality * (1 - PriorFalseAlarm)
	bad := (1 - quality) * (1 - PriorRecall)
	if good+bad <= 0 {
		return quality
	}
	return math.Min(1, good/(good+bad))
}
