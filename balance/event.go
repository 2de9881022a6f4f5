package balance

import (
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Work is the size of one request as it was estimated when it was sent. All
// events of one request carry the same Work.
type Work struct {
	Priority       bronzeturnv1.Priority
	PromptTokens   int64
	ExpectedTokens int64
	// PrefixTokens is the part of the prompt that other requests share, and that
	// an engine may hold already. Zero means that any part may be.
	PrefixTokens int64
}

// Dispatched reports a request sent to an engine. Exactly one Finished or
// Failed has to follow.
type Dispatched struct {
	Engine string
	Work   Work
	// PrefixHash names the prompt's prefix within its organisation, zero for none.
	PrefixHash uint64
	At         time.Time
}

// FirstToken reports the first token of an answer.
type FirstToken struct {
	Engine string
	Work   Work
	// Latency is the time since the request was sent, Expected what the
	// Decision said of it. Zero Latency means that it was not measured, as for
	// an answer that comes whole.
	Latency  time.Duration
	Expected time.Duration
	At       time.Time
}

// Finished reports a whole answer, or one that the caller or a hedge
// cancelled.
type Finished struct {
	Engine string
	Work   Work
	// FirstTokenSeen tells whether FirstToken was reported.
	FirstTokenSeen bool
	// Tokens is the number of tokens generated, Generation the time from the
	// first to the last of them, zero when it was not measured. For an answer
	// that comes whole, the time since it was sent less the expected time to the
	// first token is a fair value.
	Tokens     int64
	Generation time.Duration
	// Cancelled answers tell nothing of the engine's health.
	Cancelled bool
	At        time.Time
}

// FailureKind classifies the failure of an engine.
type FailureKind uint8

// The kinds of failure.
const (
	// FailureError is an error answer or a broken connection.
	FailureError FailureKind = iota + 1
	// FailureUnreachable is a connection that could not be opened.
	FailureUnreachable
	// FailureSilent is an answer that stopped making progress.
	FailureSilent
	// FailureBusy is a refusal because the engine is full. It tells nothing of
	// its health.
	FailureBusy
)

// Failed reports a request that an engine did not answer.
type Failed struct {
	Engine         string
	Work           Work
	FirstTokenSeen bool
	Kind           FailureKind
	// RetryAfter is the engine's advice with FailureBusy, zero for none.
	RetryAfter time.Duration
	At         time.Time
}

// LoadReported is an engine's own report of its load. Reports lag: AsOf is
// when the load was as stated, in the daemon's time.
type LoadReported struct {
	Engine string
	// Requests counts those running and waiting, Tokens what is left to
	// generate and to read for them. Zero Tokens with Requests above zero means
	// that the engine does not tell; the mean of the daemon's own work is used.
	Requests int64
	Tokens   int64
	AsOf     time.Time
}

// PeerLoadReported tells of the work that the other daemons have in progress at an
// engine.
type PeerLoadReported struct {
	Engine   string
	Requests int64
	Tokens   int64
	At       time.Time
}

// CacheEventKind tells what happened to a cached prefix.
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

// CacheEvent is an engine's news of its prefix cache. The news is late and has
// gaps.
type CacheEvent struct {
	Engine     string
	Kind       CacheEventKind
	PrefixHash uint64
	At         time.Time
}

// HostState is what the member view knows of a backend host.
type HostState uint8

// The states of a host.
const (
	HostLive HostState = iota + 1
	// HostLeaving gets no new work. Its streams finish.
	HostLeaving
	// HostGone is not listed any more.
	HostGone
)

// MembershipChanged reports a backend host's state.
type MembershipChanged struct {
	Host  string
	State HostState
	At    time.Time
}
