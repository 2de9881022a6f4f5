package provider

import "time"

// Reason tells why a daemon may or may not take new work.
type Reason string

// The reasons of a freshness decision. The first three allow new work.
const (
	// ReasonConfirmed: the store or a peer confirmed the configuration lately.
	ReasonConfirmed Reason = "confirmed"
	// ReasonMajority: nobody could confirm it lately, but most of the live peers
	// are heard, and none of them has a newer one.
	ReasonMajority Reason = "majority_heard"
	// ReasonCatchingUp: a newer head is known since a short while.
	ReasonCatchingUp Reason = "catching_up"
	// ReasonNone: there is no configuration yet.
	ReasonNone Reason = "no_configuration"
	// ReasonIsolated: neither the store nor most of the live peers were heard.
	ReasonIsolated Reason = "isolated"
	// ReasonResumed: the process stood still and has not yet heard, first hand,
	// that no newer configuration came meanwhile.
	ReasonResumed Reason = "resumed"
	// ReasonBehind: a newer head exists and could not be put in force.
	ReasonBehind Reason = "behind"
)

// FreshnessInput is what a freshness decision rests on.
type FreshnessInput struct {
	// HasConfiguration is set once a snapshot is in force.
	HasConfiguration bool
	// Age is the time since no newer head was known to exist.
	Age time.Duration
	// Behind is how long a newer head has been known, zero if there is none.
	Behind time.Duration
	// UnconfirmedSinceResume is how long ago the process resumed after standing still, zero if it
	// never did or has heard first hand since that nothing newer exists.
	UnconfirmedSinceResume time.Duration
	// PeersHeard and PeersKnown leave out the daemon itself. Known peers are
	// those of the live list, whether they are heard or not: a peer must not drop
	// out of it only because it is not heard.
	PeersHeard, PeersKnown int
	// PeersAsked of PeersLive have told this daemon, when it asked them since it
	// resumed, that they know no newer head. Live ones are all that are not known to
	// have ended; unlike PeersKnown they are no sample.
	PeersAsked, PeersLive int
}

// DecideFreshness tells whether a daemon may take new work. A daemon that heard neither
// the store nor most of its peers for longer than bound may have missed a
// withdrawal, so it refuses. If the store is down for all, no one can have
// changed the configuration in a way that only others know, as long as most of
// the peers are heard; then work goes on. A daemon that stood still refuses until
// the store or a peer told it, first hand and since it resumed, that nothing newer
// exists. While neither can, most of the peers have to have told it when asked, or
// it waits and then goes by the majority that is heard.
func DecideFreshness(n FreshnessInput, bound time.Duration) (bool, Reason) {
	heard := majority(n.PeersHeard, n.PeersKnown)
	asked := heard && n.PeersAsked > 0 && majority(n.PeersAsked, n.PeersLive)
	switch {
	case !n.HasConfiguration:
		return false, ReasonNone
	case n.UnconfirmedSinceResume > 0 && (n.Behind > 0 || n.UnconfirmedSinceResume < resumeSettle && !asked):
		return false, ReasonResumed
	case n.Behind > bound:
		return false, ReasonBehind
	case n.Behind > 0:
		return true, ReasonCatchingUp
	case n.Age <= bound && n.UnconfirmedSinceResume == 0:
		return true, ReasonConfirmed
	case heard:
		return true, ReasonMajority
	default:
		return false, ReasonIsolated
	}
}

// majority tells whether the heard peers and the daemon itself are more than
// half of all daemons. Two halves of a split fleet never both have it.
func majority(heard, known int) bool {
	heard = min(heard, known)
	return 2*(heard+1) > known+1
}
