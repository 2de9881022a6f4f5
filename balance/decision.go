package balance

import (
	"slices"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// MaxExclude is the number of engines that a Request can exclude.
const MaxExclude = 4

// MaxHomes is the number of engines that a Request can name as homes of its
// prefix.
const MaxHomes = 2

// Request is what the choice needs to know of a request.
type Request struct {
	Version string
	// DataCentre is the daemon's own.
	DataCentre string
	Work       Work
	// PrefixHash names the prompt's prefix within its organisation, zero for none.
	PrefixHash uint64
	// PrefixWorth is the time that a request may wait longer at an engine that holds
	// its prefix, besides what reading the prefix takes: reading costs the engine and
	// its other requests something too.
	PrefixWorth time.Duration
	// Homes are engines that all daemons send requests with this prefix to, best
	// first. They count as holding it. Empty names are none.
	Homes [MaxHomes]string
	// Candidates names the only engines to compare, unless none of them is usable. Empty
	// names are none; without any, the choice compares random ones.
	Candidates [MaxCandidates]string
	// Exclude names engines already tried. Empty names exclude nothing.
	Exclude [MaxExclude]string
	// Leaving tells whether a backend host gets no new work. Nil means that
	// MembershipChanged events tell all.
	Leaving func(host string) bool
	// Skip tells whether an engine gets nothing now for a reason that the balancer does
	// not know, as slow start. Nil means that none is skipped.
	Skip func(engine string) bool
	// NoProbe keeps the request away from engines on probation. Set it for
	// requests that may run only once.
	NoProbe bool
	// MaxWait refuses the request when the expected wait is longer. Zero means
	// no bound.
	MaxWait time.Duration
}

// Reason says why an engine was chosen or none was.
type Reason uint8

// The reasons. Those from ReasonNotServed on come with a refusal.
const (
	// ReasonLeastWait is the best of the engines compared in the data centre.
	ReasonLeastWait Reason = iota + 1
	// ReasonAffinity is the engine that probably holds the prompt's prefix.
	ReasonAffinity
	// ReasonRemote is an engine in another data centre with a lower wait.
	ReasonRemote
	// ReasonProbe is an engine on probation that gets a single request.
	ReasonProbe
	// ReasonScan is the best of all engines, when the random ones were unusable.
	ReasonScan
	// ReasonSlowOnly is an engine out for slowness, when no other is left.
	ReasonSlowOnly
	// ReasonNotServed means that no visible engine serves the version.
	ReasonNotServed
	// ReasonNoEngine means that no engine may be used now.
	ReasonNoEngine
	// ReasonWait means that the expected wait is above MaxWait.
	ReasonWait
)

var reasonNames = [...]string{
	ReasonLeastWait: "least_wait",
	ReasonAffinity:  "prefix_affinity",
	ReasonRemote:    "remote_wait",
	ReasonProbe:     "probe",
	ReasonScan:      "scan",
	ReasonSlowOnly:  "slow_only",
	ReasonNotServed: "not_served",
	ReasonNoEngine:  "no_engine",
	ReasonWait:      "wait_too_long",
}

// String returns the name used in logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) && reasonNames[r] != "" {
		return reasonNames[r]
	}
	return "unknown"
}

// MaxCandidates is the number of engines that a Decision can list.
const MaxCandidates = 6

// Candidate is an engine that was compared.
type Candidate struct {
	Engine string
	// Cost is the time by which engines are compared: wait, reading the
	// prompt, generation, penalties, less what a cached prefix saves.
	Cost time.Duration
}

// Decision is the outcome of a choice.
type Decision struct {
	// Engine is the chosen engine, nil with a refusal.
	Engine *bronzeturnv1.Engine
	// Index is the position of the engine in the plan, -1 with a refusal.
	Index  int
	Reason Reason
	// ExpectedWait is the time until the engine begins with the request.
	ExpectedWait time.Duration
	// ExpectedFirstToken adds the time to read the prompt.
	ExpectedFirstToken time.Duration
	// Backlog is the time that the engine needs for the work in progress, whether
	// or not it has free slots, times BatchSlowdown.
	Backlog time.Duration
	// ExpectedAnswer adds the time to generate the expected tokens.
	ExpectedAnswer time.Duration
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
	candidates [MaxCandidates]Candidate
	count      int
}

// Compared returns up to n of the engines compared, the chosen one first.
func (d *Decision) Compared(n int) []string {
	names := []string{d.Engine.GetName()}
	for _, c := range d.Candidates() {
		if len(names) < n && !slices.Contains(names, c.Engine) {
			names = append(names, c.Engine)
		}
	}
	return names
}

// Candidates returns the engines compared, in the order of comparison.
func (d *Decision) Candidates() []Candidate {
	return d.candidates[:d.count]
}
