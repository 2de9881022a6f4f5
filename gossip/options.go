// Package gossip implements the overlay between daemons: streams to a few neighbours that carry
// heartbeats, and a small table that is replicated to all daemons by flooding. For each key the
// highest version takes precedence. Changes are pushed along the streams, and a digest exchange
// repairs missed ones. The caller selects the neighbours.
package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

const (
	// HeartbeatInterval is the interval between heartbeats on a link.
	HeartbeatInterval = 500 * time.Millisecond
	// SilenceTimeout is the time without a received frame after which a link is closed.
	SilenceTimeout = 4 * HeartbeatInterval
	// heartbeatsPerDigest is the number of heartbeats of which one carries a table digest.
	heartbeatsPerDigest = 4
	// batchDelay is the delay before a link sends queued entries, which batches them.
	batchDelay = 5 * time.Millisecond
	// batchBytes is the size of the entries in a frame from which on no further entry is added.
	batchBytes = 64 << 10
	// summaryEntries is the maximum number of versions in a summary frame.
	summaryEntries = 1000
	// maxControlFrames is the maximum number of anti-entropy frames queued on a link.
	maxControlFrames = 64
	// maxLinks is the maximum number of links of a daemon, inbound and outbound together.
	maxLinks = 64
	// guaranteedLinks is the number of links below which an inbound link is accepted even if
	// the entry rate is used up. It exceeds the number of neighbours that a daemon has in the
	// fleet.
	guaranteedLinks = 16
	// typicalEntryBytes is the assumed size of an entry, used to estimate the size of the
	// table.
	typicalEntryBytes = 100
	// maxReferralEntries bounds the random daemon entries in a referral. It is large enough
	// for a refused daemon to find neighbours below their link limit while many daemons join.
	maxReferralEntries = 24
	// entryRate limits the entries sent on all links together, in bytes per second, and
	// entryBurst is the burst size of that limit.
	entryRate  = 16 << 10
	entryBurst = 1 << 20
	// rateRetry is the delay before a link retries when the entry rate is used up.
	rateRetry = 50 * time.Millisecond
	// pullInterval and busyPullInterval are the minimum intervals between two anti-entropy
	// exchanges while the table is stable and while it is changing.
	pullInterval     = 1 * time.Second
	busyPullInterval = 10 * time.Second
	// manyMissingEntries is the number of missing entries from which pullInterval applies even
	// while the table is changing, and from which a larger table can be pulled without waiting.
	manyMissingEntries = 8
	// largerTableFactor is the minimum ratio of a neighbour's table size to that of the
	// neighbour of the last pull at which the next pull starts without waiting.
	largerTableFactor = 2
	// expireInterval is the interval between scans for expired entries.
	expireInterval = 5 * time.Second
	// redialMin and redialMax determine the backoff before a neighbour is dialled again.
	redialMin = 200 * time.Millisecond
	redialMax = 2 * time.Second
)

// Target is a daemon to maintain a link to. Name is empty if only the address is known.
type Target struct {
	Name    string
	Address string
}

// Link is one overlay stream. Send and Receive are each called by one goroutine at a time.
// Close may be called at any time and more than once; it makes pending calls of both return.
type Link interface {
	Send(frame *bronzeturnv1.Frame) error
	Receive() (*bronzeturnv1.Frame, error)
	Close()
}

// Dialer opens links to neighbours.
type Dialer interface {
	DialLink(ctx context.Context, target Target) (Link, error)
}

// Observer is notified of events on the links. Its methods are called from several goroutines
// and must not block.
type Observer interface {
	// HeartbeatReceived is called for every heartbeat of a neighbour.
	HeartbeatReceived(name string, heartbeat *bronzeturnv1.Heartbeat)
	// LinkLost is called when a link to the target ended or could not be opened. The name is
	// empty if it never became known.
	LinkLost(target Target, err error)
}

// Options configures a Node.
type Options struct {
	// Name is the name of this daemon, unique in the fleet.
	Name string
	// Classes define the keys that the table accepts and their limits.
	Classes  []Class
	Dialer   Dialer
	Observer Observer
	// Status returns this daemon's state for the next heartbeat.
	Status func() *bronzeturnv1.Heartbeat
	// GreetingKeys are the keys sent first on every new link, such as that of this daemon's own
	// entry.
	GreetingKeys []string
	// ReferralPrefix is the key prefix of daemon entries. A daemon refused at the link limit is
	// sent a random selection of them, so that it can link to other daemons. If empty, no
	// referrals are sent.
	ReferralPrefix string
	// Random is used for jitter and referrals, under the node's own lock.
	Random *rand.Rand
	Log    zerolog.Logger
	// Registerer registers the metrics. It may be nil.
	Registerer prometheus.Registerer
}

func (o *Options) validate() error {
	switch {
	case o.Name == "" || len(o.Name) > MaxKeyBytes:
		return &OptionError{Option: "Name"}
	case o.Dialer == nil:
		return &OptionError{Option: "Dialer"}
	case o.Observer == nil:
		return &OptionError{Option: "Observer"}
	case o.Status == nil:
		return &OptionError{Option: "Status"}
	case o.Random == nil:
		return &OptionError{Option: "Random"}
	case len(o.Classes) == 0:
		return &OptionError{Option: "Classes"}
	}
	return nil
}
