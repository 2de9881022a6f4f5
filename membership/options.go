package membership

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/bronzeturn/bronzeturn/gossip"
)

const (
	// tickInterval is the interval between checks of the neighbours.
	tickInterval = gossip.HeartbeatInterval
	// suspectAfter is the silence after which a neighbour that was heard before is suspected.
	suspectAfter = 2500 * time.Millisecond
	// neverHeardAfter is the time after which a new neighbour that was never heard is
	// suspected.
	neverHeardAfter = 4 * time.Second
	// pausedAfter is the interval between two ticks above which this daemon concludes that it
	// was paused itself and restarts its neighbours' silence timers.
	pausedAfter = 3 * tickInterval
	// refutedRetryAfter is how long after a refuted suspicion this daemon publishes it again if
	// it has not heard the neighbour since.
	refutedRetryAfter = 60 * time.Second
	// rebuildDelay is the minimum delay before a rebuild of the view, which batches table
	// changes.
	rebuildDelay = 10 * time.Millisecond
	// rebuildPauseFactor is the minimum ratio of the delay before a rebuild to the duration of
	// the previous one. It limits the share of time spent on rebuilds.
	rebuildPauseFactor = 30
	// probeInterval is how long a suspected daemon is probed before the next one is selected.
	probeInterval = 5 * time.Second

	// daemonTTL is the age at which the entry of a daemon expires unless it is refreshed, and
	// refreshDaemon the interval at which a daemon refreshes its own.
	daemonTTL     = 30 * time.Minute
	refreshDaemon = 10 * time.Minute
	// suspicionTTL and refreshSuspicion are the corresponding values for suspicions.
	suspicionTTL     = 10 * time.Minute
	refreshSuspicion = 4 * time.Minute
	// removalTTL is how long the removal of an entry is retained, and removedHostTTL the same
	// for entries of hosts.
	removalTTL     = 10 * time.Minute
	removedHostTTL = 6 * time.Hour
	// loadInterval is the minimum interval between two published changes of the load.
	loadInterval = 2 * time.Minute

	// maxDaemons, maxHosts and maxSuspicions limit the number of table entries of each class,
	// removals included.
	maxDaemons     = 2048
	maxHosts       = 16384
	maxSuspicions  = 8192
	maxStateBytes  = 512
	maxNameBytes   = 63
	maxSeedTargets = 16
)

// Self describes this daemon.
type Self struct {
	// Name is unique in the fleet, at most 63 bytes, without a slash.
	Name string
	// Host is the name of the host in the host list. It defaults to Name.
	Host       string
	DataCentre string
	// PeerAddress and CallerAddress are the IP addresses and ports at which other daemons and
	// callers reach this daemon.
	PeerAddress   string
	CallerAddress string
	// Capacity is the capacity of the host relative to the other hosts of the fleet: a daemon
	// with twice the capacity owns about twice as many keys. Zero is treated as 1.
	Capacity float64
}

// Options configures a Membership.
type Options struct {
	Self Self
	// Seeds are peer addresses of other daemons. Each is dialled until the daemon at that
	// address is known by name.
	Seeds []string
	// Dialer opens the overlay links.
	Dialer gossip.Dialer
	// HostList is read while this daemon is a watcher. It may be nil.
	HostList HostList
	// Classes are additional table classes for other users of Table.
	Classes []gossip.Class
	// Random is used for jitter and probe selection, by one goroutine at a time.
	Random     *rand.Rand
	Log        zerolog.Logger
	Registerer prometheus.Registerer
}

// OptionError reports an invalid option passed to New.
type OptionError struct {
	Option string
	Value  string
}

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("membership option %s is not valid: %.64q", e.Option, e.Value)
}

func (o *Options) validate() error {
	if !validName(o.Self.Name) {
		return &OptionError{Option: "Self.Name", Value: o.Self.Name}
	}
	if o.Self.Host != "" && !validName(o.Self.Host) {
		return &OptionError{Option: "Self.Host", Value: o.Self.Host}
	}
	if o.Self.DataCentre == "" {
		return &OptionError{Option: "Self.DataCentre", Value: o.Self.DataCentre}
	}
	if o.Self.PeerAddress == "" {
		return &OptionError{Option: "Self.PeerAddress", Value: o.Self.PeerAddress}
	}
	if o.Random == nil {
		return &OptionError{Option: "Random"}
	}
	return nil
}

func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.Contains(name, "/")
}

// classes returns the table classes of the entries that this package publishes.
func classes() []gossip.Class {
	return []gossip.Class{
		{Prefix: daemonPrefix, MaxEntries: maxDaemons, MaxValueBytes: maxStateBytes, TTL: daemonTTL, RemovalTTL: removalTTL},
		{Prefix: suspectPrefix, MaxEntries: maxSuspicions, MaxValueBytes: maxStateBytes, TTL: suspicionTTL, RemovalTTL: removalTTL},
		{Prefix: hostPrefix, MaxEntries: maxHosts, MaxValueBytes: maxStateBytes, RemovalTTL: removedHostTTL},
	}
}
