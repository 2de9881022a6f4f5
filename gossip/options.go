// Package gossip is the overlay between daemons: streams to a few neighbours
// that carry heartbeats, and a small flooded table in which the higher version
// of a key wins. A change is pushed along the streams; a digest exchange
// repairs what was missed. Which neighbours to keep is the caller's choice.
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
	// HeartbeatInterval is the time between heartbeats on a link.
	HeartbeatInterval = 500 * time.Millisecond
	// SilenceTimeout is how long a link may carry nothing before it is closed.
	SilenceTimeout = 4 * HeartbeatInterval
	// heartbeatsPerDigest is how many heartbeats share one table digest.
	heartbeatsPerDigest = 4
	// batchDelay is how long a link gathers entries before it sends them.
	batchDelay = 5 * time.Millisecond
	// batchBytes bounds the entries of one frame.
	batchBytes = 64 << 10
	// summaryEntries bounds the versions of one summary frame.
	summaryEntries = 1000
	// maxControlFrames bounds the anti-entropy frames waiting on one link.
	maxControlFrames = 64
	// maxLinks bounds the links of one daemon, both directions together.
	maxLinks = 64
	// guaranteedLinks is how many links a daemon accepts whatever it may send: more than it has
	// neighbours in the fleet.
	guaranteedLinks = 16
	// typicalEntryBytes is the usual size of an entry.
	typicalEntryBytes = 100
	// maxReferralEntries bounds the random daemon entries in a referral. It is large enough
	// for a refused daemon to find neighbours below their link limit while many daemons join.
	maxReferralEntries = 24
	// entryRate bounds the entries sent on all links, in bytes per second, and
	// entryBurst what may be sent at once.
	entryRate  = 16 << 10
	entryBurst = 1 << 20
	// rateRetry is how long a link waits when the rate is used up.
	rateRetry = 50 * time.Millisecond
	// pullInterval and busyPullInterval are the shortest times between two anti-entropy
	// exchanges while the table is quiet, and while changes are in flight.
	pullInterval     = 1 * time.Second
	busyPullInterval = 10 * time.Second
	// manyMissingEntries is how many entries a neighbour may hold more before this daemon
	// fetches them at once although changes are in flight.
	manyMissingEntries = 8
	// largerTableFactor is the least ratio of a neighbour's table size to that of the
	// neighbour of the last pull at which the next pull starts without waiting.
	largerTableFactor = 2
	// expireInterval is the time between searches for expired entries.
	expireInterval = 5 * time.Second
	// redialMin and redialMax bound the wait before a neighbour is dialled again.
	redialMin = 200 * time.Millisecond
	redialMax = 2 * time.Second
)

// Target is a neighbour to keep a link to. The name may be empty when only the
// address is known.
type Target struct {
	Name    string
	Address string
}

// Link is one overlay stream. Send and Receive are each used by one goroutine
// at a time; Close may be called at any time, more than once, and makes both
// return.
type Link interface {
	Send(frame *bronzeturnv1.Frame) error
	Receive() (*bronzeturnv1.Frame, error)
	Close()
}

// Dialer opens links to neighbours.
type Dialer interface {
	DialLink(ctx context.Context, target Target) (Link, error)
}

// Observer hears what the links tell about neighbours. It is called from
// several goroutines and must not block.
type Observer interface {
	// HeartbeatReceived reports a heartbeat.
	HeartbeatReceived(name string, heartbeat *bronzeturnv1.Heartbeat)
	// LinkLost reports that a link to the target ended, or could not be opened. The
	// name is empty when it was never learnt.
	LinkLost(target Target, err error)
}

// Options are the parts that a Node needs.
type Options struct {
	// Name of this daemon, unique in the fleet.
	Name string
	// Classes bound the keys that the table takes.
	Classes  []Class
	Dialer   Dialer
	Observer Observer
	// Status returns this daemon's state for a new heartbeat.
	Status func() *bronzeturnv1.Heartbeat
	// GreetingKeys are keys that are sent first on every new link, such as this
	// daemon's own entry.
	GreetingKeys []string
	// ReferralPrefix is the key prefix of daemon entries. A daemon refused at the link limit
	// is sent a random selection of them, so that it can link to other daemons. If empty, no
	// referrals are sent.
	ReferralPrefix string
	// Random is used for jitter, under the node's own lock.
	Random *rand.Rand
	Log    zerolog.Logger
	// Registerer takes the metrics. It may be nil.
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
