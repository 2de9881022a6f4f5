package balance

import (
	"slices"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// MaxExclude is the number of engines that a Request can exclude.
const MaxExclude = 4

// MaxHomes is the number of home engines of its prefix that a Request can name.
const MaxHomes = 2

// Request describes a request for Choose.
type Request struct {
	Version string
	// DataCentre is the data centre of the daemon.
	DataCentre string
	Work       Work
	// PrefixHash identifies the prompt's prefix within its organisation; zero means none.
	PrefixHash uint64
	// PrefixWorth is the extra wait that is acceptable at an engine that holds the
	// prefix, in addition to the prefill time saved. A prefill also costs the engine
	// and its other requests time.
	PrefixWorth time.Duration
	// Homes are the engines to which all daemons send requests with this prefix, the
	// preferred one first. They count as holders. Empty names are ignored.
	Homes [MaxHomes]string
	// Candidates names the only engines to compare, unless none of them is usable. Empty
	// names are ignored; if the first is empty, random engines are compared.
	Candidates [MaxCandidates]string
	// Exclude names engines that must not be chosen, as the request was already sent
	// to them. Empty names are ignored.
	Exclude [MaxExclude]string
	// Leaving reports whether a backend host must get no new work. Nil means that
	// the hosts' states are known from MembershipChanged events alone.
	Leaving func(host string) bool
	// Skip reports whether an engine must not get the request for a reason outside this
	// package, such as slow start. Nil means that no engine is skipped.
	Skip func(engine string) bool
	// NoProbe prevents the use of the request as a probe of an ejected engine. Set
	// it for requests that must run only once.
	NoProbe bool
	// MaxWait is the expected wait above which the request is refused. Zero means
	// no limit.
	MaxWait time.Duration
}

// Reason says why an engine was chosen, or why none was.
type Reason uint8

// The values of Reason. ReasonNotServed and those after it are refusals.
const (
	// ReasonLeastWait means the cheapest of the engines compared in the data centre.
	ReasonLeastWait Reason = iota + 1
	// ReasonAffinity means an engine that probably holds the prompt's prefix.
	ReasonAffinity
	// ReasonRemote means a cheaper engine in another data centre.
	ReasonRemote
	// ReasonProbe means an ejected engine that gets a single request as a probe.
	ReasonProbe
	// ReasonScan means the cheapest of all engines, as no engine of the random
	// samples was usable.
	ReasonScan
	// ReasonSlowOnly means an engine ejected for slowness, as no other was usable.
	ReasonSlowOnly
	// ReasonNotServed means that no visible engine serves the version.
	ReasonNotServed
	// ReasonNoEngine means that no engine may be used at present.
	ReasonNoEngine
	// ReasonWait means that the expected wait exceeds MaxWait.
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
	// Cost is the quantity by which engines are compared: the sum of wait,
	// prefill, generation and penalties, less the time that a cached prefix saves.
	Cost time.Duration
}

// Decision is the result of Choose.
type Decision struct {
	// Engine is the chosen engine, nil in a refusal.
	Engine *bronzeturnv1.Engine
	// Index is the position of the engine in the plan, -1 in a refusal.
	Index  int
	Reason Reason
	// ExpectedWait is the time until the engine starts the request.
	ExpectedWait time.Duration
	// ExpectedFirstToken is ExpectedWait plus the prefill time.
	ExpectedFirstToken time.Duration
	// Backlog is the time that the engine needs for the work in progress, whether
	// or not it has free slots, times BatchSlowdown.
	Backlog time.Duration
	// Requests is the estimated number of requests in progress at the engine.
	Requests float64
	// ExpectedAnswer is ExpectedFirstToken plus the time to generate the expected
	// tokens.
	ExpectedAnswer time.Duration
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
	candidates [MaxCandidates]Candidate
	count      int
}

// Compared returns the names of up to n of the compared engines, the chosen one
// first.
func (d *Decision) Compared(n int) []string {
	names := []string{d.Engine.GetName()}
	for _, c := range d.Candidates() {
		if len(names) < n && !slices.Contains(names, c.Engine) {
			names = append(names, c.Engine)
		}
	}
	return names
}

// Candidates returns the compared engines, in the order of comparison.
func (d *Decision) Candidates() []Candidate {
	return d.candidates[:d.count]
}
