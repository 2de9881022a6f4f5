package balance

import (
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Work is the estimated size of a request at the time it was sent. All events of
// one request carry the same Work.
type Work struct {
	Priority       bronzeturnv1.Priority
	PromptTokens   int64
	ExpectedTokens int64
	// PrefixTokens is the length of the prefix that other requests share and that an
	// engine may hold in its cache. Zero means that the length is unknown and any
	// part of the prompt may be cached.
	PrefixTokens int64
}

// Dispatched reports a request sent to an engine. Exactly one Finished or Failed
// must follow.
type Dispatched struct {
	Engine string
	Work   Work
	// PrefixHash identifies the prompt's prefix within its organisation; zero means none.
	PrefixHash uint64
	At         time.Time
}

// FirstToken reports the first token of an answer.
type FirstToken struct {
	Engine string
	Work   Work
	// Latency is the time since the request was sent, Expected the estimate of it
	// in the Decision. Zero Latency means that it was not measured, as for an
	// answer that is not streamed.
	Latency  time.Duration
	Expected time.Duration
	At       time.Time
}

// Finished reports a complete answer, or one cancelled by the caller or by a
// hedged request.
type Finished struct {
	Engine string
	Work   Work
	// FirstTokenSeen reports whether FirstToken was reported.
	FirstTokenSeen bool
	// Tokens is the number of generated tokens, Generation the time from the first
	// to the last of them, zero if it was not measured. For an answer that is not
	// streamed, the time since the request was sent less the expected time to the
	// first token is a good approximation of Generation.
	Tokens     int64
	Generation time.Duration
	// PaceRatio is the ratio of the answer's pace to the mean of its service and model, above 1
	// for a slow answer, zero if it was not measured. It is shared with other daemons; this
	// package uses Generation.
	PaceRatio float64
	// Cancelled answers do not affect the engine's health.
	Cancelled bool
	At        time.Time
}

// FailureKind classifies the failure of an engine.
type FailureKind uint8

// The kinds of failure.
const (
	// FailureError is an error response or a broken connection.
	FailureError FailureKind = iota + 1
	// FailureUnreachable is a connection that could not be opened.
	FailureUnreachable
	// FailureSilent is an answer that stopped making progress.
	FailureSilent
	// FailureBusy is a refusal because the engine is full. It does not affect the
	// engine's health.
	FailureBusy
)

// Failed reports a request that an engine did not answer.
type Failed struct {
	Engine         string
	Work           Work
	FirstTokenSeen bool
	Kind           FailureKind
	// RetryAfter is the time for which the engine asked for no requests, or zero. It is
	// kept in full.
	RetryAfter time.Duration
	At         time.Time
}

// LoadReported is an engine's report of its own load. Reports arrive late: AsOf
// is the time at which the load was measured, by the daemon's clock.
type LoadReported struct {
	Engine string
	// Requests counts the running and queued requests, Tokens the tokens still to
	// be generated and prefilled for them. Zero Tokens with Requests above zero
	// means that the engine does not report tokens; the mean of the daemon's own
	// requests is used instead.
	Requests int64
	Tokens   int64
	AsOf     time.Time
}

// PeerLoadReported reports the work that the other daemons have in progress at an
// engine.
type PeerLoadReported struct {
	Engine   string
	Requests int64
	Tokens   int64
	At       time.Time
}

// PaceReported reports the pace of an engine's answers that all daemons have measured.
type PaceReported struct {
	Engine string
	// MeanLog is the mean natural logarithm of the pace ratios, above zero for a slow engine.
	MeanLog float64
	// Variance is the variance of the logarithms of single answers.
	Variance float64
	// Weight is the number of answers in the mean, recent ones counting most.
	Weight float64
	At     time.Time
}

// CacheEventKind is the kind of a CacheEvent.
type CacheEventKind uint8

// The kinds of cache event.
const (
	CacheStored CacheEventKind = iota + 1
	CacheEvicted
	// CacheCleared empties the cache of the engine. The prefix is ignored.
	CacheCleared
	// CacheGap reports that events of the engine were missed.
	CacheGap
)

// CacheEvent reports a change of an engine's prefix cache. Events arrive late and
// some are lost.
type CacheEvent struct {
	Engine     string
	Kind       CacheEventKind
	PrefixHash uint64
	At         time.Time
}

// HostState is the state of a backend host in the membership view.
type HostState uint8

// The states of a host.
const (
	HostLive HostState = iota + 1
	// HostLeaving is a host that gets no new work while its streams finish.
	HostLeaving
	// HostGone is a host that is no longer listed.
	HostGone
)

// MembershipChanged reports a new state of a backend host.
type MembershipChanged struct {
	Host  string
	State HostState
	At    time.Time
}
