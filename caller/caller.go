// Package caller is the client library for the programs of organisations. A
// Client asks any daemon which addresses to use, keeps the answer for its time
// and connects there. It repeats a request at another daemon only where that
// can't make the request run twice, and it tells whole answers from broken ones.
//
//	c, err := caller.New(caller.Options{Entry: "127.0.0.1:8080", Key: key})
//	if err != nil { ... }
//	answer, err := c.Complete(ctx, caller.Params{Kind: "report"}, caller.Prompt("motor 4"), nil)
//
// Failures are a *RefusalError, an *UnavailableError or a *BrokenAnswerError.
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

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/logging"
	"github.com/bronzeturn/bronzeturn/security"
)

// Bounds of a client's connections.
const (
	dialTimeout = 2 * time.Second
	// entriesTimeout bounds the question which addresses to use.
	entriesTimeout = 5 * time.Second
	// maxEntriesAge bounds how long an answer is believed.
	maxEntriesAge = 10 * time.Minute
	// maxAttempts bounds the entries tried for one request.
	maxAttempts = 3
	// maxAnswerBytes bounds a whole answer and an error body.
	maxAnswerBytes = 64 << 20
	// maxDrainedBytes bounds what is read of a body that nobody wants.
	maxDrainedBytes = 64 << 10
	// idleConnections is the number of connections kept for each entry.
	idleConnections = 512
)

// Options say whom to ask first, and as whom.
type Options struct {
	// Entry is any daemon's address for callers: IP:PORT, or an http or https
	// URL. Required.
	Entry string
	// Key is the key of the organisation. It is never logged or printed.
	Key string
	// Authorities is a PEM file with those that sign the daemons' certificates.
	// Empty: those of the system.
	Authorities string
}

// Client sends requests as the program of an organisation does. It is safe for
// concurrent use.
type Client struct {
	http   *http.Client
	scheme string
	key    logging.Secret
	entry  string

	// mu guards the answer kept, and makes concurrent requests ask once.
	mu      sync.Mutex
	entries callerapi.Entries
	expires time.Time
}

// New returns a client. It connects to nothing yet. A wrong entry is an
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
	client := &http.Client{Transport: transport, CheckRedirect: noRedirect}
	return &Client{http: client, scheme: scheme, key: logging.NewSecret(o.Key), entry: address}, nil
}

// hasPort tells whether the address is a host and the number of a port.
func hasPort(address string) bool {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// Close closes the connections that are not in use.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// noRedirect keeps the key from being sent elsewhere.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Dial opens a connection within the bound for callers. Its failures are told
// apart from those of a request that may have left.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}

// Entries returns which addresses to use, best first, from the answer kept or a
// new one.
func (c *Client) Entries(ctx context.Context) (callerapi.Entries, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.entries, nil
	}
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	known := append(slices.Clone(c.entries.Addresses), c.entry)
	var failed error
	for _, address := range known {
		entries, err := c.fetchEntries(ctx, address)
		if err == nil {
			c.cacheEntries(entries)
			return entries, nil
		}
		failed = err
	}
	return callerapi.Entries{}, failed
}

// cacheEntries stores an answer for its time, within bounds. The caller holds the lock.
func (c *Client) cacheEntries(entries callerapi.Entries) {
	c.entries = entries
	kept := time.Duration(entries.KeepSeconds) * time.Second
	c.expires = time.Now().Add(min(max(kept, 0), maxEntriesAge))
}

// expireEntries makes the next request ask anew which addresses to use.
func (c *Client) expireEntries() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// fetchEntries asks one daemon which addresses to use.
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

// NewIdempotencyKey returns a random key.
func NewIdempotencyKey() string { return rand.Text() }
