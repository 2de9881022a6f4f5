package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/quarantine"
	"github.com/bronzeturn/bronzeturn/route"
)

const (
	// defaultWait bounds a request whose caller and route state no time.
	defaultWait = 60 * time.Second
	// defaultBodyBytes bounds a body where the configuration has no limit.
	defaultBodyBytes = 8 << 20
	// outageRetry is the retry delay advised while the store does not answer. Outages last
	// seconds, and callers retry only once or twice.
	outageRetry = 3 * time.Second
	// leavingRetry is the advice of a daemon that stops: others take the request
	// at once.
	leavingRetry = 10 * time.Millisecond
)

// request is one request of a caller with what has been found out about it.
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
	// homes are where it may be worked on.
	homes   route.Homes
	service string
	// backend is the service's entry in the configuration, nil for none; ranked
	// tells that its engines run language models.
	backend *route.Service
	ranked  bool
	body    []byte
	// hash identifies what the request asks for, whatever its id.
	hash quarantine.Hash
	// session is the hash of the session, or of the request without one.
	session uint64
	// prefix joins the ids of the parts of the prompt that others share, "" for
	// none; prefixHash is its hash.
	prefix       string
	prefixHash   uint64
	prefixTokens int
	trace        trace
}

// trace is what the log line of a request tells besides.
type trace struct {
	engines []string
	reasons []string
	// compared are the engines compared for the last attempt, with their costs.
	compared []string
	model    string
	// version is that of the last engine the request was sent to.
	version string
	// worth is what a right answer is taken to be worth where the model was open.
	worth float64
	// confidence is that of each answer that began, chance how likely the last of them
	// is taken to be right, price what the sizes asked for it so far.
	confidence []int
	chance     float64
	price      float64
	trial      bool
	attempts   int
	resumed    int
	first      time.Duration
	// pause is the longest time between two events, lastEvent the time of the
	// last one.
	pause     time.Duration
	lastEvent time.Time
	events    int
}

// prepare checks the form and the identity of a request and reads it whole.
func (g *Gateway) prepare(q *request, a *answer) *failure.Error {
	q.deadline = q.received.Add(defaultWait)
	if g.gate.closed.Load() {
		return failure.New(failure.CodeDaemonLeaving, failure.RanNo, "the daemon is stopping").WithRetryAfter(leavingRetry)
	}
	q.tables = g.Tables()
	if q.tables == nil || q.tables.Routes == nil {
		return failure.New(failure.CodeNoConfiguration, failure.RanNo, "no configuration yet").WithRetryAfter(g.unreadyAdvice())
	}
	if f := g.findRoute(q); f != nil {
		return f
	}
	if f := g.authenticate(q); f != nil {
		return f
	}
	if q.route.Kind == route.Stream && g.gate.noStreams.Load() {
		return failure.New(failure.CodeDaemonLeaving, failure.RanNo, "the daemon is stopping").WithRetryAfter(leavingRetry)
	}
	q.setDeadline()
	if f := q.readBody(a); f != nil {
		return f
	}
	q.identify()
	g.chooseService(q)
	return nil
}

// findRoute finds the route by host and path.
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
	return g.unknown(failure.CodeNotFound, "no route for this host and path")
}

// unreadyAdvice returns when a caller should come back who is refused for want of a
// configuration.
func (g *Gateway) unreadyAdvice() time.Duration {
	if g.Outage() {
		return outageRetry
	}
	return g.TimeToReady()
}

// unknown refuses what this daemon's configuration doesn't allow. A daemon whose
// configuration may be old does not call it unknown.
func (g *Gateway) unknown(code failure.Code, text string) *failure.Error {
	if g.Stale(time.Now()) {
		return failure.New(failure.CodeConfigurationStale, failure.RanNo, "the configuration may be out of date").WithRetryAfter(g.unreadyAdvice())
	}
	return failure.New(code, failure.RanNo, "%s", text)
}

// authenticate finds the organisation that holds the key.
func (g *Gateway) authenticate(q *request) *failure.Error {
	q.homes = route.HomesFor(q.route, nil)
	if q.route.Anonymous || !q.tables.Routes.NeedsKeys() {
		return nil
	}
	org, ok := q.tables.Routes.Authenticate(q.meta.Key)
	if !ok {
		return g.unknown(failure.CodeUnauthenticated, "the key is missing or not valid")
	}
	q.organisation = org.Name
	q.homes = route.HomesFor(q.route, org)
	if org.HasPriority {
		q.priority = org.Priority
	}
	return nil
}

// setDeadline takes the earlier of what the caller waits and the route allows.
func (q *request) setDeadline() {
	wait := defaultWait
	if q.meta.Wait > 0 {
		wait = min(wait, q.meta.Wait)
	}
	if q.route.Timeout > 0 {
		wait = min(wait, q.route.Timeout)
	}
	q.deadline = q.received.Add(wait)
}

// readBody reads a body that is within the limit and comes before the deadline.
func (q *request) readBody(a *answer) *failure.Error {
	limit := q.tables.Routes.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	tooLarge := failure.New(failure.CodeBodyTooLarge, failure.RanNo, "the body is over %d bytes", limit)
	if q.http.ContentLength > limit {
		return tooLarge
	}
	hasher := quarantine.NewHasher(q.organisation, q.http.Method, q.http.Host, q.http.RequestURI)
	defer func() { q.hash = hasher.Sum() }()
	if q.http.ContentLength == 0 {
		return nil
	}
	a.w.boundRead(q.deadline)
	var body bytes.Buffer
	body.Grow(int(max(q.http.ContentLength, 0)) + bytes.MinRead)
	_, err := body.ReadFrom(io.TeeReader(io.LimitReader(q.http.Body, limit+1), hasher))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure.Wrap(err, failure.CodeBodyTimeout, failure.RanNo, "the deadline passed before the body came")
	case err != nil:
		return failure.Wrap(err, failure.CodeCanceled, failure.RanNo, "the body did not come whole")
	case int64(body.Len()) > limit:
		return tooLarge
	}
	a.w.boundRead(time.Time{})
	q.body = body.Bytes()
	return nil
}

// identify derives the hashes by which requests are kept together.
func (q *request) identify() {
	q.session = xxhash.Sum64String(q.conversation())
	if len(q.meta.Parts) < 2 {
		return
	}
	for _, part := range q.meta.Parts[:len(q.meta.Parts)-1] {
		q.prefix += part.ID + "/"
		q.prefixTokens += part.Tokens
	}
	q.prefixHash = xxhash.Sum64String(q.prefix)
}

// conversation names what the request belongs to: its session, or the part of its prompt
// that is its own. A caller's repeat has another id but the same prompt, and finds that
// part where it was read before.
func (q *request) conversation() string {
	switch parts := q.meta.Parts; {
	case q.meta.Session != "":
		return q.meta.Session
	case len(parts) > 0:
		return parts[len(parts)-1].ID
	}
	return q.meta.ID
}

// sessionName returns the session's hash as it stands in the log.
func (q *request) sessionName() string { return fmt.Sprintf("%016x", q.session) }

// chooseService divides the requests of a route among its services.
func (g *Gateway) chooseService(q *request) {
	q.service = q.route.Pick(g.random())
	if s, ok := q.tables.Routes.Service(q.service); ok {
		q.backend, q.ranked = s, s.Slots > 0
	}
}

// wholeLatency is the time since the request came.
func (q *request) wholeLatency() time.Duration { return time.Since(q.received) }

// noteChoice keeps the engines compared with what they were expected to cost.
func (t *trace) noteChoice(d *balance.Decision) {
	t.compared = t.compared[:0]
	for _, c := range d.Candidates() {
		t.compared = append(t.compared, c.Engine+" "+c.Cost.Round(time.Millisecond).String())
	}
}
