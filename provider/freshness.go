package provider

import "time"

// Reason is why a daemon may or may not accept new work.
type Reason string

// The reasons of a freshness decision. The first three allow new work.
const (
	// ReasonConfirmed: the store or a peer confirmed the configuration recently.
	ReasonConfirmed Reason = "confirmed"
	// ReasonMajority: there is no recent confirmation, but heartbeats arrive from most
	// of the live peers, and none of them has a newer configuration.
	ReasonMajority Reason = "majority_heard"
	// ReasonCatchingUp: a newer head has been known for a short time.
	ReasonCatchingUp Reason = "catching_up"
	// ReasonNone: there is no configuration yet.
	ReasonNone Reason = "no_configuration"
	// ReasonIsolated: neither the store nor most of the live peers could be reached.
	ReasonIsolated Reason = "isolated"
	// ReasonResumed: the process was paused, and neither the store nor a peer has yet
	// told it directly that no newer configuration appeared in the meantime.
	ReasonResumed Reason = "resumed"
	// ReasonBehind: a newer head exists but could not be put in force in time.
	ReasonBehind Reason = "behind"
)

// FreshnessInput is the input of a freshness decision.
type FreshnessInput struct {
	// HasConfiguration is set once a snapshot is in force.
	HasConfiguration bool
	// Age is the time since the head in force was last known to be the newest.
	Age time.Duration
	// Behind is how long a newer head has been known, or zero if there is none.
	Behind time.Duration
	// UnconfirmedSinceResume is the time since the process resumed after a pause, or zero if
	// there was none or the store or a peer has told it directly since then that nothing
	// newer exists.
	UnconfirmedSinceResume time.Duration
	// PeersHeard is the number of the PeersKnown peers whose heartbeats arrive. Neither
	// includes the daemon itself. Known peers are those in the live list, which must not
	// exclude a peer only because its heartbeats do not arrive.
	PeersHeard, PeersKnown int
	// PeersAnswered is the number of the PeersLive peers that have reported no newer head
	// in response to queries made since the daemon resumed. Live peers are all that are not
	// known to have ended; unlike PeersKnown, they are not a sample.
	PeersAnswered, PeersLive int
}

// DecideFreshness reports whether a daemon may accept new work.
//
// A daemon that has had no confirmation from the store or a peer for longer than bound,
// and no heartbeats from most of its peers, may have missed a withdrawal and refuses. While
// the heartbeats of most peers arrive, it continues: if the store is down for all, nobody can
// have changed the configuration without most peers knowing.
//
// A daemon whose process was paused refuses until the store or a peer, queried since it
// resumed, has confirmed that nothing newer exists. If neither can, most of the live peers
// must have reported no newer head in response to queries. Otherwise, the daemon waits for
// resumeGracePeriod and then relies on the heartbeats of the majority.
func DecideFreshness(in FreshnessInput, bound time.Duration) (bool, Reason) {
	heard := majority(in.PeersHeard, in.PeersKnown)
	answered := heard && in.PeersAnswered > 0 && majority(in.PeersAnswered, in.PeersLive)
	switch {
	case !in.HasConfiguration:
		return false, ReasonNone
	case in.UnconfirmedSinceResume > 0 && (in.Behind > 0 || in.UnconfirmedSinceResume < resumeGracePeriod && !answered):
		return false, ReasonResumed
	case in.Behind > bound:
		return false, ReasonBehind
	case in.Behind > 0:
		return true, ReasonCatchingUp
	case in.Age <= bound && in.UnconfirmedSinceResume == 0:
		return true, ReasonConfirmed
	case heard:
		return true, ReasonMajority
	default:
		return false, ReasonIsolated
	}
}

// majority reports whether the heard peers and the daemon itself are more than half of all
// daemons. At most one side of a network partition has a majority.
func majority(heard, known int) bool {
	heard = min(heard, known)
	return 2*(heard+1) > known+1
}
