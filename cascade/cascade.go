// Package cascade decides whether a cheap answer is escalated to a stronger
// version, and what a cascade is expected to cost.
//
// A caller is billed once: the bill of a request is the sum of the prices of
// the attempts that ran for it. See docs/design/0005-version-choice.md.
package cascade

import (
	"math"
	"time"
)

// Plan is what the choice of the version decided beforehand.
type Plan struct {
	// Next is the version to escalate to, or "" when the kind, the conversation
	// or the choice rules out a second attempt.
	Next string
	// NextCostMicros is the expected cost of the second attempt, in micro-units.
	NextCostMicros int64
	// NextDuration is the expected time of the second attempt.
	NextDuration time.Duration
}

// State is what is known once the cheap answer is whole.
type State struct {
	// Verdict is the result of the check, or of a rating that came in time.
	Verdict Verdict
	// Delivered is true once any part of the answer went to the caller.
	Delivered bool
	// Deadline is when the answer is due. The zero time means never.
	Deadline time.Time
	// SpendLimited tells whether SpendLeftMicros applies.
	SpendLimited    bool
	SpendLeftMicros int64
	// NextRefused is true when the version is withdrawn, cut off or no longer
	// allowed in the newest configuration.
	NextRefused bool
}

// Reason tells why a cascade went on or ended.
type Reason uint8

// The values of Reason.
const (
	// Accepted means that the check found no fault.
	Accepted Reason = iota
	// Escalated means that the stronger version has to answer.
	Escalated
	// NotEscalatable means that the request may run on one version only.
	NotEscalatable
	// AlreadyDelivered means that the caller has part of the cheap answer.
	AlreadyDelivered
	// TooLate means that a second attempt would miss the deadline.
	TooLate
	// OverSpend means that the spend limit allows no second attempt.
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

// Decision is the outcome of Next.
type Decision struct {
	// Version is the version to run next, or "" when the answer at hand stands.
	Version string
	Reason  Reason
}

// Next decides what follows a whole cheap answer.
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

// Estimate is the expected result of a cascade of two versions.
type Estimate struct {
	// Cost is the expected cost, escalations included, in the unit of the input.
	Cost float64
	// Quality is the expected score of the answer that the caller gets.
	Quality float64
}

// Expect returns the outlook of a cheap version that costs cost and whose
// accepted answers score accepted, when the share flagged of its answers goes
// to a second version that costs nextCost and scores nextQuality.
func Expect(cost, accepted, flagged, nextCost, nextQuality float64) Estimate {
	return Estimate{
		Cost:    cost + flagged*nextCost,
		Quality: (1-flagged)*accepted + flagged*nextQuality,
	}
}

// Prior belief of the check: the share of bad answers that it flags, and the
// share of good ones that it flags in error.
const (
	PriorRecall     = 0.3
	PriorFalseAlarm = 0.02
)

// PriorFlagged returns the share of answers that the check flags, for a
// version of the given quality, before measurements arrive.
func PriorFlagged(quality float64) float64 {
	return (1-quality)*PriorRecall + quality*PriorFalseAlarm
}

// PriorAccepted returns the quality of answers that pass the check, for a
// version of the given quality, before ratings of such answers arrive.
func PriorAccepted(quality float64) float64 {
	good := quality * (1 - PriorFalseAlarm)
	bad := (1 - quality) * (1 - PriorRecall)
	if good+bad <= 0 {
		return quality
	}
	return math.Min(1, good/(good+bad))
}
