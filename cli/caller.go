package cli

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/security"
)

// Bounds of a caller's connections.
const (
	dialTimeout = 2 * time.Second
	// entriesTimeout bounds the question which addresses to use.
	entriesTimeout = 5 * time.Second
	// maxEntriesKept bounds how long an answer is believed.
	maxEntriesKept = 10 * time.Minute
	// maxAttempts bounds the entries tried for one request.
	maxAttempts = 3
	// maxAnswerBytes bounds a whole answer and an error body.
	maxAnswerBytes = 64 << 20
	// idleConnections is the number of connections kept for each entry.
	idleConnections = 512
)

// RefusalError is the answer of a daemon that refused or failed a request.
type RefusalError struct {
	Status  int
	Address string
	Detail  callerapi.ErrorDetail
}

// Error implements error.
func (e *RefusalError) Error() string {
	text := fmt.Sprintf("%s refused with %s: %s (ran: %s)", e.Address, e.Detail.Code, e.Detail.Message, e.Detail.Ran)
	if e.Detail.RetryAfterMillis > 0 {
		text += fmt.Sprintf(", retry after %v", time.Duration(e.Detail.RetryAfterMillis)*time.Millisecond)
	}
	return text
}

// UnavailableError reports that no answer came. Unless Sent, the request never
// left this process.
type UnavailableError struct {
	Address string
	Sent    bool
	Cause   error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Sent {
		return fmt.Sprintf("no answer from %s, the request may have run: %v", e.Address, e.Cause)
	}
	return fmt.Sprintf("no connection to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// dialError marks a failure to open a connection.
type dialError struct{ cause error }

// Error implements error.
func (e *dialError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.cause }

// call is one request of a caller.
type call struct {
	path           string
	body           []byte
	kind           string
	conversation   string
	idempotencyKey string
	priority       string
	deadline       time.Duration
}

// caller sends requests as the program of an organisation does: it asks which
// addresses to use, keeps the answer for its time and connects there. It is
// safe for concurrent use.
type caller struct {
	http   *http.Client
	scheme string
	key    logging.Secret
	first  string

	mu      sync.Mutex
	entries callerapi.Entries
	expires time.Time
}

// entryFlags say where and as whom to call.
type entryFlags struct {
	Entry string `name:"entry" env:"BRONZETURN_ENTRY" required:"" help:"Any daemon's address for callers: IP:PORT, or an http or https URL."`
	Key   string `name:"key" env:"BRONZETURN_KEY" help:"Key of the organisation. The variable keeps it out of the process list."`
	CA    string `name:"entry-ca" type:"path" help:"Authorities that sign the daemons' certificates, PEM. Default: those of the system."`
}

// newCaller returns a caller that the flags describe.
func (f entryFlags) newCaller() (*caller, error) {
	scheme, address, found := strings.Cut(f.Entry, "://")
	if !found {
		scheme, address = "http", f.Entry
	}
	address = strings.TrimSuffix(address, "/")
	if _, _, err := net.SplitHostPort(address); err != nil || (scheme != "http" && scheme != "https") {
		return nil, usage("--entry must be IP:PORT, or an http or https URL")
	}
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: time.Minute}
	if scheme == "https" {
		credentials, err := security.Load(security.Files{CA: f.CA}, nil)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = credentials.Client("")
		transport.TLSClientConfig.MinVersion = tls.VersionTLS13
		transport.ForceAttemptHTTP2 = true
	}
	client := &http.Client{Transport: transport, CheckRedirect: noRedirect}
	return &caller{http: client, scheme: scheme, key: logging.NewSecret(f.Key), first: address}, nil
}

// noRedirect keeps the key from being sent elsewhere.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}

// addresses returns which addresses to use, best first, from the answer kept or
// a new one.
func (c *caller) addresses(ctx context.Context) (callerapi.Entries, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.entries, nil
	}
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	known := append(slices.Clone(c.entries.Addresses), c.first)
	var failed error
	for _, address := range known {
		entries, err := c.ask(ctx, address)
		if err == nil {
			c.keep(entries)
			return entries, nil
		}
		failed = err
	}
	return callerapi.Entries{}, failed
}

// keep stores an answer for its time, within bounds. The caller holds the lock.
func (c *caller) keep(entries callerapi.Entries) {
	c.entries = entries
	kept := time.Duration(entries.KeepSeconds) * time.Second
	c.expires = time.Now().Add(min(max(kept, 0), maxEntriesKept))
}

// ask asks one daemon which addresses to use.
func (c *caller) ask(ctx context.Context, address string) (callerapi.Entries, error) {
	var entries callerapi.Entries
	request, err := c.newRequest(ctx, http.MethodGet, address, callerapi.PathEntries, nil)
	if err != nil {
		return entries, err
	}
	answer, err := c.exchange(request)
	if err != nil {
		return entries, err
	}
	defer drain(answer)
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(&entries); err != nil {
		return entries, &UnavailableError{Address: address, Sent: true, Cause: err}
	}
	return entries, nil
}

// post sends the call to the best entry, and to the next ones as long as that
// can't make it run twice. The caller must close the answer's body.
func (c *caller) post(ctx context.Context, r call) (*http.Response, error) {
	entries, err := c.addresses(ctx)
	if err != nil {
		return nil, err
	}
	addresses := slices.Clone(entries.Addresses)
	if len(addresses) == 0 {
		addresses = []string{c.first}
	}
	for attempt := 1; ; attempt++ {
		answer, err := c.postTo(ctx, addresses[0], r)
		if err == nil {
			return answer, nil
		}
		addresses = append(others(err), addresses[1:]...)
		if attempt == maxAttempts || len(addresses) == 0 || ctx.Err() != nil || !r.repeatable(err) {
			return nil, err
		}
		c.forget()
	}
}

// forget makes the next call ask anew which addresses to use.
func (c *caller) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// repeatable tells whether sending the call again can't make it run twice: it
// never left, the daemon promised that it did not run and named others, or its
// idempotency key makes the repeat get the first outcome.
func (r call) repeatable(err error) bool {
	var silent *UnavailableError
	if errors.As(err, &silent) {
		return !silent.Sent || r.idempotencyKey != ""
	}
	return len(others(err)) > 0
}

// others returns the entries that a daemon named when it refused the request
// unseen, for example because it is leaving.
func others(err error) []string {
	var refused *RefusalError
	if !errors.As(err, &refused) || refused.Detail.Ran != string(failure.RanNo) {
		return nil
	}
	return refused.Detail.Entries
}

func (c *caller) postTo(ctx context.Context, address string, r call) (*http.Response, error) {
	request, err := c.newRequest(ctx, http.MethodPost, address, r.path, r.body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	setHeader(request, callerapi.HeaderKind, r.kind)
	setHeader(request, callerapi.HeaderConversation, r.conversation)
	setHeader(request, callerapi.HeaderIdempotencyKey, r.idempotencyKey)
	setHeader(request, callerapi.HeaderPriority, r.priority)
	if r.deadline > 0 {
		request.Header.Set(callerapi.HeaderDeadline, r.deadline.String())
	}
	return c.exchange(request)
}

func setHeader(request *http.Request, name, value string) {
	if value != "" {
		request.Header.Set(name, value)
	}
}

func (c *caller) newRequest(ctx context.Context, method, address, path string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	if key := c.key.Reveal(); key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	return request, nil
}

// exchange sends the request and turns every answer but a success into an error.
func (c *caller) exchange(request *http.Request) (*http.Response, error) {
	// The transport repeats a request by itself only when nothing of it was
	// written, or when it carries an idempotency key.
	answer, err := c.http.Do(request)
	if err != nil {
		var undialled *dialError
		return nil, &UnavailableError{Address: request.URL.Host, Sent: !errors.As(err, &undialled), Cause: err}
	}
	if answer.StatusCode/100 == http.StatusOK/100 {
		return answer, nil
	}
	defer drain(answer)
	return nil, refusalOf(request.URL.Host, answer)
}

// refusalOf reads the error body of an answer.
func refusalOf(address string, answer *http.Response) error {
	var body callerapi.ErrorBody
	err := json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(&body)
	if err != nil || body.Error.Code == "" {
		body.Error = callerapi.ErrorDetail{Code: string(failure.CodeInternal), Message: answer.Status, Ran: string(failure.RanUnknown)}
	}
	return &RefusalError{Status: answer.StatusCode, Address: address, Detail: body.Error}
}

// drain reads the rest of a small answer, so that its connection is used again.
func drain(answer *http.Response) {
	_, _ = io.CopyN(io.Discard, answer.Body, 64<<10)
	_ = answer.Body.Close()
}

// newIdempotencyKey returns a random key.
func newIdempotencyKey() string { return rand.Text() }
