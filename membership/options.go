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
	// tickInterval is the time between two looks at the neighbours.
	tickInterval = gossip.HeartbeatInterval
	// suspectAfter is how long a neighbour heard before may be silent.
	suspectAfter = 2500 * time.Millisecond
	// neverHeardAfter is how long a new neighbour may take to be heard first.
	neverHeardAfter = 4 * time.Second
	// pausedAfter is the gap between two ticks that tells this daemon that it was
	// paused itself, and that its neighbours deserve a fresh start.
	pausedAfter = 3 * tickInterval
	// refutedRetryAfter is how long a refuted suspicion rests before this daemon
	// reports it again without having heard the neighbour in between.
	refutedRetryAfter = 60 * time.Second
	// rebuildDelay gathers changes of the table before the view is built again.
	rebuildDelay = 10 * time.Millisecond
	// rebuildPauseFactor bounds the share of time spent building: one part in so many.
	rebuildPauseFactor = 30
	// probeInterval is how long one suspected daemon is probed.
	probeInterval = 5 * time.Second

	// daemonTTL is the age at which the entry of a daemon that no longer
	// refreshes it is dropped, refreshDaemon how often it is refreshed.
	daemonTTL     = 30 * time.Minute
	refreshDaemon = 10 * time.Minute
	// suspicionTTL and refreshSuspicion are the same for suspicions.
	suspicionTTL     = 10 * time.Minute
	refreshSuspicion = 4 * time.Minute
	// removalTTL is how long a removal is remembered; removedHostTTL for hosts.
	removalTTL     = 10 * time.Minute
	removedHostTTL = 6 * time.Hour
	// loadInterval is the shortest time between two published changes of load.
	loadInterval = 2 * time.Minute

	// maxDaemons and maxHosts bound the table.
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
	// Host is the name in the host list. Empty means Name.
	Host       string
	DataCentre string
	// PeerAddress and CallerAddress are the IP and port that others use.
	PeerAddress   string
	CallerAddress string
	// Capacity is what the host can carry for the fleet, compared with other hosts: a
	// daemon of twice the capacity takes twice the duties. Zero counts as 1.
	Capacity float64
}

// Options are the parts that a Membership needs.
type Options struct {
	Self Self
	// Seeds are peer addresses of other daemons, tried until the daemon at that
	// address is known by name.
	Seeds []string
	// Dialer opens the overlay links.
	Dialer gossip.Dialer
	// HostList is read while this daemon is a watcher. It may be nil.
	HostList HostList
	// Classes are further table classes, for the other users of Table.
	Classes []gossip.Class
	// Random is used for jitter, from one goroutine at a time.
	Random     *rand.Rand
	Log        zerolog.Logger
	Registerer prometheus.Registerer
}

// OptionError reports a wrong option of New.
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

// classes returns the bounds of the entries that membership keeps.
func classes() []gossip.Class {
	return []gossip.Class{
		{Prefix: daemonPrefix, MaxEntries: maxDaemons, MaxValueBytes: maxStateBytes, TTL: daemonTTL, RemovalTTL: removalTTL},
		{Prefix: suspectPrefix, MaxEntries: maxSuspicions, MaxValueBytes: maxStateBytes, TTL: suspicionTTL, RemovalTTL: removalTTL},
		{Prefix: hostPrefix, MaxEntries: maxHosts, MaxValueBytes: maxStateBytes, RemovalTTL: removedHostTTL},
	}
}
