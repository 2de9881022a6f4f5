// Package route holds one accepted configuration for opaque HTTP requests: which
// host and path prefix is routed to which backend service, under which limits and
// for which organisations. A Table is immutable; each configuration compiles to a
// new one.
package route

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind says whether a request may be sent again.
type Kind uint8

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// AtMostOnce requests run at most once.
	AtMostOnce
	// Stream requests are answered with a stream of events and run at most once,
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

// Share is the weight of one service in the division of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route defines how the requests below one path prefix of a host are handled.
type Route struct {
	Name string
	// Host is the value of the Host header; Prefix begins and ends with a slash.
	Host, Prefix string
	Kind         Kind
	// Shares divide the requests among services by weight.
	Shares []Share
	// Timeout bounds the duration of a request. Zero means no bound.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event of a stream, within
	// which the answer has its full value. Zero means no target.
	Target time.Duration
	// MaxPause is the longest time between two events of a stream that still counts
	// as on time. Zero means no bound.
	MaxPause time.Duration
	// Attempts is the highest number of engines that one request may be sent to.
	Attempts int
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// Anonymous routes accept requests without a key.
	Anonymous bool
	// Resumable streams may be continued on another engine.
	Resumable bool
	// HomeRegions are the regions whose engines may serve the requests; an empty list
	// means all.
	HomeRegions []string
	// Models are the models that may serve the request, the smallest first. Empty
	// means that the request itself names the model.
	Models []string
}

// Repeatable reports whether a request may be sent to a second engine after the
// first one may have started to run it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Model is one size of a service's model.
type Model struct {
	Name string
	// Cost is the price of 1,000 generated tokens, in any unit.
	Cost float64
}

// Service is a set of engines of one kind.
type Service struct {
	Name string
	// HealthPath is the path at which engines answer health checks, "" for none.
	HealthPath string
	// ReportPath is the path at which engines answer what they are doing, without waiting for a slot, "" for none.
	ReportPath string
	// Slots is the number of requests that an engine of a language model runs
	// concurrently. It is zero for a plain service, whose engines report it
	// themselves.
	Slots int
	// Models are the available sizes, the smallest first.
	Models []Model
	// ColdFor is how long an engine is cold after its start, and ColdPerSecond how many
	// requests per second it can serve during that time. A ColdPerSecond of zero means
	// no bound.
	ColdFor       time.Duration
	ColdPerSecond float64
	// ShortestTarget is the shortest target among the routes to this service whose
	// requests may run on any size, zero when none has a target. Compile sets it.
	ShortestTarget time.Duration
}

// LargestCost returns the price of the most expensive size, zero when none has a
// price.
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
	// HomeRegions are the regions whose engines may serve its requests; an empty list
	// means all.
	HomeRegions []string
	// Priority overrides that of the route when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send, and the time that it may take. Zero means that a limit is not
// configured.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime is the time to send a header, IdleTime the time that a connection may be idle.
	HeaderTime, IdleTime time.Duration
}

// Config is one accepted configuration.
type Config struct {
	// Version is the operators' version number, Revision the revision in the store.
	Version       int64
	Revision      uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// NeedsKeys is set if requests must carry the key of an organisation, also while there is none.
	// Organisations imply it.
	NeedsKeys bool
	Limits    Limits
}

// FieldError reports an invalid field of a configuration and its path.
type FieldError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Path, e.Reason) }

// keyDigest is the digest of a key, so that keys are not kept in clear text.
type keyDigest [sha256.Size]byte

// Table is a compiled configuration, indexed for lookups by request.
type Table struct {
	Version  int64
	Revision uint64
	Limits   Limits

	hosts     map[string][]*Route
	routes    int
	services  map[string]*Service
	keys      map[keyDigest]*Organisation
	needsKeys bool
}

// Compile validates the configuration and returns its table.
func Compile(c Config) (*Table, error) {
	t := &Table{
		Version: c.Version, Revision: c.Revision, Limits: c.Limits, routes: len(c.Routes),
		hosts:     make(map[string][]*Route),
		services:  make(map[string]*Service, len(c.Services)),
		keys:      make(map[keyDigest]*Organisation),
		needsKeys: c.NeedsKeys || len(c.Organisations) > 0,
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
			if key == "" {
				continue // It would admit requests without a key.
			}
			t.keys[sha256.Sum256([]byte(key))] = org
		}
	}
	return t, nil
}

// addRoute validates one route and adds it to its host.
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
		t.lowerTargets(r)
	}
	return nil
}

// lowerTargets lowers the shortest target of a route's services to that of the
// route.
func (t *Table) lowerTargets(r *Route) {
	for _, share := range r.Shares {
		s, ok := t.services[share.Service]
		if ok && (s.ShortestTarget == 0 || r.Target < s.ShortestTarget) {
			s.ShortestTarget = r.Target
		}
	}
}

// Match returns the route of a request: of the host's routes, the one with the
// longest prefix that matches the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Authenticate returns the organisation that holds the key.
func (t *Table) Authenticate(key string) (*Organisation, bool) {
	org, ok := t.keys[sha256.Sum256([]byte(key))]
	return org, ok
}

// NeedsKeys reports whether requests have to carry a key. It does not depend on whether any key is
// in force: without one, all requests are refused.
func (t *Table) NeedsKeys() bool { return t.needsKeys }

// Routes returns the number of routes.
func (t *Table) Routes() int { return t.routes }

// PickService returns the service for a request, chosen by weight for a point in
// [0, 1).
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
