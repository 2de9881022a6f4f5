// Package route holds one accepted configuration of opaque HTTP requests: which
// host and path leads to which backend service, under which limits and for
// which organisations. A Table is immutable; a new configuration is a new one.
package route

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind tells what may be done with a request again.
type Kind uint8

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// AtMostOnce marks requests that run at most once.
	AtMostOnce
	// Stream requests are answered with a series of events and run at most once,
	// unless the route is resumable.
	Stream
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "once"
	case Stream:
		return "stream"
	default:
		return "unknown"
	}
}

// Share is the part of a route's requests that one service gets.
type Share struct {
	Service string
	Weight  int
}

// Route says how the requests below one path of a host are handled.
type Route struct {
	Name string
	// Host is the value of the Host header; Prefix begins and ends with a slash.
	Host, Prefix string
	Kind         Kind
	// Shares divide the requests among services by weight.
	Shares []Share
	// Timeout is the longest time that a request may last, zero for none.
	Timeout time.Duration
	// Target is the time to an answer, or to the first event of a stream, within
	// which the answer has its full worth. Zero means that none is stated.
	Target time.Duration
	// MaxPause is the longest pause between two events of a stream that is still
	// on time. Zero means that none is stated.
	MaxPause time.Duration
	// Attempts bounds the engines that one request may be sent to.
	Attempts int
	// Priority is 0 for the most urgent requests.
	Priority int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may go on at another engine.
	Resumable bool
	// HomeRegions are the regions whose engines may work on the requests; none means all.
	HomeRegions []string
	// Models are what the request may be run on, the smallest first. Empty means
	// that the request itself names the model.
	Models []string
}

// Repeatable tells whether a request may reach a second engine after the first
// one may have begun to run it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Model is one size of the model that a service runs.
type Model struct {
	Name string
	// Cost is the price of 1,000 generated tokens, in any unit.
	Cost float64
}

// Service is a set of engines of one kind.
type Service struct {
	Name string
	// Slots is the number of requests that an engine of a language model runs
	// together, zero for a plain service, whose engines tell it themselves.
	Slots int
	// Models are the sizes on offer, the smallest first.
	Models []Model
	// ColdFor is how long an engine is cold after its start, and ColdPerSecond how many
	// requests a second it bears then. Zero means that it bears any number.
	ColdFor       time.Duration
	ColdPerSecond float64
	// ShortestTarget is the shortest target among the routes that lead here and leave the
	// size open, zero when none states one. Compile fills it in.
	ShortestTarget time.Duration
}

// LargestCost returns the price of the dearest size, zero when none has a price.
func (s *Service) LargestCost() float64 {
	largest := 0.0
	for _, m := range s.Models {
		largest = max(largest, m.Cost)
	}
	return largest
}

// Organisation is a customer.
type Organisation struct {
	Name string
	Keys []string
	// HomeRegions are the regions whose engines may work on its requests; none means all.
	HomeRegions []string
	// Priority replaces that of the route when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Config is one configuration as it was accepted.
type Config struct {
	// Version is the operators' number, Revision that of the store.
	Version       int64
	Revision      uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// FieldError reports a configuration that cannot be used, with the path of the
// wrong field.
type FieldError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Path, e.Reason) }

// keyDigest stands for a key, so that no key is kept as text.
type keyDigest [sha256.Size]byte

// Table answers questions about one configuration.
type Table struct {
	Version  int64
	Revision uint64
	Limits   Limits

	hosts    map[string][]*Route
	routes   int
	services map[string]*Service
	keys     map[keyDigest]*Organisation
}

// Compile checks the configuration and returns its table.
func Compile(c Config) (*Table, error) {
	t := &Table{
		Version: c.Version, Revision: c.Revision, Limits: c.Limits, routes: len(c.Routes),
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service, len(c.Services)),
		keys:     make(map[keyDigest]*Organisation),
	}
	for i := range c.Services {
		s := &c.Services[i]
		if s.ColdFor < 0 || s.ColdPerSecond < 0 {
			return nil, &FieldError{Path: fmt.Sprintf("services[%d].cold", i), Reason: "is negative"}
		}
		t.services[s.Name] = s
	}
	for i := range c.Routes {
		if err := t.addRoute(i, &c.Routes[i]); err != nil {
			return nil, err
		}
	}
	for host := range t.hosts {
		slices.SortStableFunc(t.hosts[host], func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Organisations {
		org := &c.Organisations[i]
		for _, key := range org.Keys {
			t.keys[sha256.Sum256([]byte(key))] = org
		}
	}
	return t, nil
}

// addRoute checks one route and files it under its host.
func (t *Table) addRoute(index int, r *Route) error {
	path := fmt.Sprintf("routes[%d]", index)
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return &FieldError{Path: path + ".prefix", Reason: "must begin and end with a slash"}
	case r.Kind < Idempotent || r.Kind > Stream:
		return &FieldError{Path: path + ".kind", Reason: "is not known"}
	case len(r.Shares) == 0:
		return &FieldError{Path: path + ".shares", Reason: "names no service"}
	}
	for _, share := range r.Shares {
		if share.Weight < 0 {
			return &FieldError{Path: path + ".shares", Reason: "has a negative weight"}
		}
	}
	r.Attempts = max(r.Attempts, 1)
	host := strings.ToLower(r.Host)
	t.hosts[host] = append(t.hosts[host], r)
	if r.Target > 0 && len(r.Models) > 0 {
		t.tighten(r)
	}
	return nil
}

// tighten notes a route's target at its services.
func (t *Table) tighten(r *Route) {
	for _, share := range r.Shares {
		s, ok := t.services[share.Service]
		if ok && (s.ShortestTarget == 0 || r.Target < s.ShortestTarget) {
			s.ShortestTarget = r.Target
		}
	}
}

// Match returns the route of a request: among those of the host, the one with
// the longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the named service.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Authenticate returns the organisation that holds the key.
func (t *Table) Authenticate(key string) (*Organisation, bool) {
	org, ok := t.keys[sha256.Sum256([]byte(key))]
	return org, ok
}

// NeedsKeys tells whether requests have to carry a key at all.
func (t *Table) NeedsKeys() bool { return len(t.keys) > 0 }

// Routes returns the number of routes.
func (t *Table) Routes() int { return t.routes }

// PickService returns the service for a request by its point in [0, 1).
func (r *Route) PickService(point float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return r.Shares[0].Service
	}
	at := point * float64(total)
	for _, s := range r.Shares {
		if at < float64(s.Weight) {
			return s.Service
		}
		at -= float64(s.Weight)
	}
	return r.Shares[len(r.Shares)-1].Service
}
