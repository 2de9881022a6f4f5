package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/overload"
	"github.com/bronzeturn/bronzeturn/quarantine"
	"github.com/bronzeturn/bronzeturn/route"
)

const (
	// defaultTimeout bounds a request for which neither the caller nor the route sets a
	// timeout, and is the upper bound of both.
	defaultTimeout = 60 * time.Second
	// defaultMaxBodyBytes bounds a body if the configuration has no limit.
	defaultMaxBodyBytes = 8 << 20
	// outageRetryAfter is the Retry-After while the configuration store does not answer.
	// Outages last seconds, and callers retry only once or twice.
	outageRetryAfter = 3 * time.Second
)

// request is a request of a caller and the state derived from it.
type request struct {
	http     *http.Request
	meta     Meta
	received time.Time
	// deadline is the earlier of the caller's and the route's.
	deadline time.Time
	tables   *Tables
	route    *route.Route
	// organisation is empty on anonymous routes.
	organisation string
	priority     int
	// regions holds the regions in which the request may be processed.
	regions route.RegionSet
	service string
	// backend is the service's entry in the configuration, or nil. runsModels is set if
	// its engines run language models.
	backend    *route.Service
	runsModels bool
	// memory is what the request holds of the memory for clients.
	memory *overload.Request
	body   []byte
	// bodyRead is set once the whole body has been read.
	bodyRead bool
	// content identifies the request independently of its id.
	content quarantine.Content
	// session is the hash of affinityKey.
	session uint64
	// prefix joins the ids of the prompt parts that may be shared with other requests, ""
	// for none. prefixHash is its hash.
	prefix       string
	prefixHash   uint64
	prefixTokens int
	// parts identify these parts in the log.
	parts []quarantine.Hash
	trace trace
	// progress is nil until the request is valid.
	progress *progress
}

// trace collects the attempts, choices and times of a request for its log line.
type trace struct {
	engines []string
	reasons []string
	// compared lists the candidate engines of the last attempt with their costs.
	compared []string
	model    string
	// version is the version of the last engine that the request was sent to.
	version string
	// worth is the assumed worth of a right answer if the daemon picked the model.
	worth float64
	// confidence holds the confidence of each answer that began, chance is the estimated
	// chance that the last of them is right, price the sum of the models' prices so far.
	confidence []int
	chance     float64
	price      float64
	trial      bool
	queue      queueTrace
	attempts   int
	resumed    int
	first      time.Duration
	// pause is the longest time between two events, lastEvent the time of the last event.
	pause     time.Duration
	lastEvent time.Time
	events    int
	// stop is the decision at a request that comes while the daemon stops.
	stop stopCheck
	// end is the last check of the end of an answer without a length.
	end endCheck
}

// prepare validates and authenticates a request, reads its body and picks its service.
func (g *Gateway) prepare(q *request) *failure.Error {
	q.deadline = q.received.Add(defaultTimeout)
	q.tables = g.Tables()
	if q.tables == nil || q.tables.Routes == nil {
		return failure.New(failure.CodeNoConfiguration, failure.RanNo, "no configuration yet").WithRetryAfter(g.unreadyRetryAfter())
	}
	if f := g.findRoute(q); f != nil {
		return f
	}
	if f := g.authenticate(q); f != nil {
		return f
	}
	q.setDeadline()
	g.chooseService(q)
	if f := g.refuseLate(q); f != nil {
		return f
	}
	if f := q.readBody(); f != nil {
		return f
	}
	if f := g.refuseLate(q); f != nil {
		return f // Its body took a while.
	}
	q.setAffinity()
	return nil
}

// findRoute looks up the route by host and path.
func (g *Gateway) findRoute(q *request) *failure.Error {
	path := q.http.URL.EscapedPath()
	if !strings.HasPrefix(q.http.RequestURI, "/") {
		return failure.New(failure.CodeMalformedRequest, failure.RanNo, "the target must be a path")
	}
	if limit := q.tables.Routes.Limits.HeaderBytes; limit > 0 && headerBytes(q.http) > limit {
		return failure.New(failure.CodeHeaderTooLarge, failure.RanNo, "the header is over %d bytes", limit)
	}
	found, ok := q.tables.Routes.Match(q.http.Host, path)
	if ok {
		q.route = found
		q.priority = found.Priority
		return nil
	}
	return g.refuseUnknown(failure.CodeNotFound, "no route for this host and path")
}

// unreadyRetryAfter returns the Retry-After of refusals due to a missing or stale
// configuration.
func (g *Gateway) unreadyRetryAfter() time.Duration {
	if g.Outage() {
		return outageRetryAfter
	}
	return g.TimeToReady()
}

// refuseUnknown returns the refusal of a route or key that the configuration lacks. If the
// configuration may be out of date, the refusal says so and invites a retry.
func (g *Gateway) refuseUnknown(code failure.Code, text string) *failure.Error {
	if g.Stale(time.Now()) {
		return failure.New(failure.CodeConfigurationStale, failure.RanNo, "the configuration may be out of date").WithRetryAfter(g.unreadyRetryAfter())
	}
	return failure.New(code, failure.RanNo, "%s", text)
}

// authenticate looks up the organisation of the caller's key.
func (g *Gateway) authenticate(q *request) *failure.Error {
	q.regions = route.AllowedRegionsFor(q.route, nil)
	if q.route.Anonymous || !q.tables.Routes.NeedsKeys() {
		return nil
	}
	org, ok := q.tables.Routes.Authenticate(q.meta.Key)
	if !ok {
		return g.refuseUnknown(failure.CodeUnauthenticated, "the key is missing or not valid")
	}
	q.organisation = org.Name
	q.regions = route.AllowedRegionsFor(q.route, org)
	if org.HasPriority {
		q.priority = org.Priority
	}
	return nil
}

// setDeadline sets the deadline to the shortest of the caller's timeout, the route's and
// defaultTimeout.
func (q *request) setDeadline() {
	wait := defaultTimeout
	if q.meta.Wait > 0 {
		wait = min(wait, q.meta.Wait)
	}
	if q.route.Timeout > 0 {
		wait = min(wait, q.route.Timeout)
	}
	q.deadline = q.received.Add(wait)
}

// readBody reads the body within the size limit and the deadline, and computes the hash.
func (q *request) readBody() *failure.Error {
	limit := q.tables.Routes.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	tooLarge := failure.New(failure.CodeBodyTooLarge, failure.RanNo, "the body is over %d bytes", limit)
	hasher := quarantine.NewHasher(q.organisation, q.http.Method, q.http.Host, q.http.RequestURI)
	defer func() { q.content.Request = hasher.Sum() }()
	if q.http.ContentLength == 0 {
		q.bodyRead = true
		return nil
	}
	body, err := q.memory.ReadBody(limit, q.deadline)
	var full *overload.FullError
	switch {
	case errors.Is(err, overload.ErrTooLarge):
		return tooLarge
	case errors.As(err, &full):
		return failure.Wrap(err, failure.CodeOverloaded, failure.RanNo, "%v", full).WithRetryAfter(overload.RefusalRetryAfter)
	case err != nil && errors.Is(context.Cause(q.http.Context()), ErrStopping):
		return stoppingFailure(failure.RanNo)
	case errors.Is(err, overload.ErrStalled), errors.Is(err, os.ErrDeadlineExceeded):
		return failure.Wrap(err, failure.CodeBodyTimeout, failure.RanNo, "the body did not come in time")
	case err != nil:
		return failure.Wrap(err, failure.CodeCanceled, failure.RanNo, "the body did not come whole")
	}
	_, _ = hasher.Write(body) // Never fails.
	q.body, q.bodyRead = body, true
	return nil
}

// setAffinity derives the hashes that route related requests to the same engine.
func (q *request) setAffinity() {
	q.session = xxhash.Sum64String(q.affinityKey())
	shared := q.sharedParts()
	if len(shared) == 0 {
		return
	}
	for _, part := range shared {
		q.prefix += part.ID + "/"
		q.prefixTokens += part.Tokens
	}
	q.prefixHash = xxhash.Sum64String(q.prefix)
}

// sharedParts returns the prompt parts that may be shared with other requests: all but the last.
func (q *request) sharedParts() []Part {
	if len(q.meta.Parts) < 2 {
		return nil
	}
	return q.meta.Parts[:len(q.meta.Parts)-1]
}

// affinityKey returns the session, or else the id of the last prompt part, which is the
// request's own, or else the request's id. A caller's retry has another id but the same
// prompt, so that it goes to the engine that has already cached this part.
func (q *request) affinityKey() string {
	switch parts := q.meta.Parts; {
	case q.meta.Session != "":
		return q.meta.Session
	case len(parts) > 0:
		return parts[len(parts)-1].ID
	}
	return q.meta.ID
}

// sessionName returns the session's hash as written to the log.
func (q *request) sessionName() string { return fmt.Sprintf("%016x", q.session) }

// chooseService picks one of the route's services at random, by their weights.
func (g *Gateway) chooseService(q *request) {
	q.service = q.route.PickService(g.random())
	if s, ok := q.tables.Routes.Service(q.service); ok {
		q.backend, q.runsModels = s, s.Slots > 0
	}
	var ids []string
	for _, part := range q.sharedParts() {
		ids = append(ids, part.ID)
		q.parts = append(q.parts, quarantine.PartHash(q.service, part.ID))
	}
	q.content.Shared = quarantine.SharedKeys(q.service, q.organisation, ids)
}

// elapsed returns the time since the request was received.
func (q *request) elapsed() time.Duration { return time.Since(q.received) }

// recordDecision records the candidates of a decision with their expected costs.
func (t *trace) recordDecision(d *balance.Decision) {
	t.compared = t.compared[:0]
	for _, c := range d.Candidates() {
		t.compared = append(t.compared, c.Engine+" "+c.Cost.Round(time.Millisecond).String())
	}
}
