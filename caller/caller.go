// Package caller is the client library for callers, the programs of organisations.
// A Client fetches the addresses to use from any daemon, caches them as long as
// the daemon allows, and sends requests there. It retries a request at another
// daemon only if that can't make the request run twice, and it reports incomplete
// answers as errors.
//
//	c, err := caller.New(caller.Options{Entry: "127.0.0.1:8080", Key: key})
//	if err != nil { ... }
//	answer, err := c.Complete(ctx, caller.Params{Kind: "report"}, caller.Prompt("motor 4"), nil)
//
// A failed request gives a *RefusalError, an *UnavailableError or a *BrokenAnswerError.
package caller

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/security"
)

// Limits of a client.
const (
	dialTimeout = 2 * time.Second
	// entriesTimeout is the time limit for fetching the entry addresses, over all daemons
	// that are asked.
	entriesTimeout = 5 * time.Second
	// maxEntriesAge is the longest time for which entry addresses are cached, whatever the
	// daemon allows.
	maxEntriesAge = 10 * time.Minute
	// maxAttempts is the largest number of entries tried for one request.
	maxAttempts = 3
	// maxAnswerBytes is the size limit of an answer in one piece and of an error body.
	maxAnswerBytes = 64 << 20
	// maxDrainedBytes is how much of an unused body is read so that its connection can be
	// reused.
	maxDrainedBytes = 64 << 10
	// idleConnections is the largest number of idle connections kept per entry.
	idleConnections = 512
)

// Options name the daemon to ask for entry addresses, and the credentials.
type Options struct {
	// Entry is the address of any daemon for callers: IP:PORT, or an http or https
	// URL. Required.
	Entry string
	// Key is the API key of the organisation. It is never logged or printed.
	Key string
	// Authorities is the path of a PEM file with the certificate authorities of the
	// daemons. If empty, those of the system are used.
	Authorities string
}

// Client sends requests of an organisation to daemons. It is safe for concurrent use.
type Client struct {
	http   *http.Client
	scheme string
	key    logging.Secret
	entry  string

	// mu guards the cached entries. It is held while they are fetched, so that concurrent
	// requests fetch them once.
	mu      sync.Mutex
	entries callerapi.Entries
	expires time.Time
}

// New returns a client. It does not connect yet. An invalid Options.Entry gives an
// *OptionError.
func New(o Options) (*Client, error) {
	scheme, address, found := strings.Cut(o.Entry, "://")
	if !found {
		scheme, address = "http", o.Entry
	}
	address = strings.TrimSuffix(address, "/")
	if !hasPort(address) || (scheme != "http" && scheme != "https") {
		return nil, &OptionError{Option: "entry", Reason: "must be IP:PORT, or an http or https URL"}
	}
	transport := &http.Transport{DialContext: Dial, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: time.Minute}
	if scheme == "https" {
		credentials, err := security.Load(security.Files{CA: o.Authorities}, nil)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = credentials.Client("")
		transport.TLSClientConfig.MinVersion = tls.VersionTLS13
		transport.ForceAttemptHTTP2 = true
	}
	client := &http.Client{Transport: attempt.NewTransport(transport), CheckRedirect: noRedirect}
	return &Client{http: client, scheme: scheme, key: logging.NewSecret(o.Key), entry: address}, nil
}

// hasPort reports whether the address is a host and a port number.
func hasPort(address string) bool {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// noRedirect stops the client from following redirects, which could send the key to
// another server.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Dial opens a connection, with a time limit of dialTimeout. Its errors are marked, so
// that a Client can tell them from those of a request that may have been sent.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}

// Entries returns the addresses to use, best first, from the cache or from a daemon.
// It asks the cached addresses first, then Options.Entry.
func (c *Client) Entries(ctx context.Context) (callerapi.Entries, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.entries, nil
	}
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	known := append(slices.Clone(c.entries.Addresses), c.entry)
	var lastErr error
	for _, address := range known {
		entries, err := c.fetchEntries(ctx, address)
		if err == nil {
			c.cacheEntries(entries)
			return entries, nil
		}
		lastErr = err
	}
	return callerapi.Entries{}, lastErr
}

// cacheEntries caches entries as long as the daemon allows, at most maxEntriesAge. The
// caller holds mu.
func (c *Client) cacheEntries(entries callerapi.Entries) {
	c.entries = entries
	age := time.Duration(entries.KeepSeconds) * time.Second
	c.expires = time.Now().Add(min(max(age, 0), maxEntriesAge))
}

// expireEntries makes the next request fetch the entry addresses again.
func (c *Client) expireEntries() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// fetchEntries fetches the entry addresses from one daemon.
func (c *Client) fetchEntries(ctx context.Context, address string) (callerapi.Entries, error) {
	var entries callerapi.Entries
	request, err := c.newRequest(ctx, http.MethodGet, address, callerapi.PathEntries, nil)
	if err != nil {
		return entries, err
	}
	answer, err := c.send(request)
	if err != nil {
		return entries, err
	}
	defer drain(answer)
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(&entries); err != nil {
		return entries, &UnavailableError{Address: address, Sent: true, Cause: err}
	}
	return entries, nil
}

// NewIdempotencyKey returns a random idempotency key.
func NewIdempotencyKey() string { return rand.Text() }
