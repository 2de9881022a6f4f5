package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/bronzeturn/bronzeturn/attempt"
)

// CacheEvent tells that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	// Sequence rises by one per event at the engine. Missing numbers are gaps.
	Sequence uint64 `json:"sequence"`
	// Prefix is a hash as computed by PromptPrefixes.
	Prefix uint64 `json:"prefix"`
	// Stored is true for a stored prefix, false for an evicted one.
	Stored bool `json:"stored"`
}

// LoadReport is an engine's report of its load at the time AsOf, which may be a few
// seconds ago.
type LoadReport struct {
	QueuedTokens    int64    `json:"queued_tokens"`
	QueuedRequests  int      `json:"queued_requests"`
	RunningRequests int      `json:"running_requests"`
	FreeSlots       int      `json:"free_slots"`
	Versions        []string `json:"versions"`
	Role            string   `json:"role"`
	// CacheEvents are in the order of their sequence, possibly with gaps.
	CacheEvents []CacheEvent `json:"cache_events"`
	// Sequence is the number of the newest event published so far.
	Sequence uint64    `json:"sequence"`
	AsOf     time.Time `json:"as_of"`
}

// Op is what an order asks for.
type Op string

// The operations of an order.
const (
	OpLoad    Op = "load"
	OpUnload  Op = "unload"
	OpSetRole Op = "set_role"
)

// Order asks an engine to change what it serves. An order with an ID that the
// engine has met has no further effect.
type Order struct {
	ID string `json:"id"`
	Op Op     `json:"op"`
	// Version is the version to load or unload.
	Version string `json:"version,omitempty"`
	// Role is the role to take, for set_role.
	Role string `json:"role,omitempty"`
	// Fencing is the number of the lease of the sender.
	Fencing uint64 `json:"fencing"`
}

// State is what an engine serves, as its answer to an order says.
type State struct {
	Versions []string `json:"versions"`
	Loading  []string `json:"loading"`
	Role     string   `json:"role"`
	// Fencing is the highest fencing number met, zero where it is not checked.
	Fencing uint64 `json:"fencing"`
}

// ControlClient reads load reports of engines and sends them orders.
type ControlClient struct {
	transport http.RoundTripper
	timeout   time.Duration
}

const (
	// reportTimeout bounds the time without progress in one call of Reports.
	reportTimeout = 2 * time.Second
	// totalFactor bounds one call as a whole, in units of the progress timeout.
	totalFactor = 2
)

// NewControlClient returns Reports over transport. A call ends after 2 s without
// progress, and after 4 s in any case.
func NewControlClient(transport http.RoundTripper) *ControlClient {
	return &ControlClient{transport: transport, timeout: reportTimeout}
}

// Load returns the report of the engine with all cache events it still keeps.
// The error is an *Error.
func (r *ControlClient) Load(ctx context.Context, address string) (LoadReport, error) {
	return r.LoadSince(ctx, address, 0)
}

// LoadSince returns the report of the engine with the cache events whose
// sequence is above after. The error is an *Error.
func (r *ControlClient) LoadSince(ctx context.Context, address string, after uint64) (LoadReport, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	var load LoadReport
	err := r.call(ctx, http.MethodGet, "http://"+address+PathLoad+"?"+query.Encode(), nil, &load)
	return load, err
}

// Order sends an order and returns the engine's state after it. The error is
// an *Error, of kind Fenced when the engine has met a higher fencing number.
func (r *ControlClient) Order(ctx context.Context, address string, o Order) (State, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return State{}, fmt.Errorf("encode order: %w", err)
	}
	var state State
	err = r.call(ctx, http.MethodPost, "http://"+address+PathOrders, body, &state)
	return state, err
}

// call makes one call and decodes its JSON answer into into.
func (r *ControlClient) call(ctx context.Context, method, target string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, totalFactor*r.timeout)
	defer cancel()
	x, err := attempt.Send(ctx, r.transport, attempt.Request{
		Method: method, URL: target, Body: body,
		Header:          http.Header{"Content-Type": {"application/json"}},
		ProgressTimeout: r.timeout,
	})
	if err != nil {
		return fromAttempt(err)
	}
	defer x.Close()
	if x.Status != http.StatusOK {
		return fromStatus(x)
	}
	s := newStream(x, false)
	event, err := s.whole()
	if err != nil {
		return err
	}
	if err := json.NewDecoder(bytes.NewReader(event.Data)).Decode(into); err != nil {
		return s.fail(KindBroken, fmt.Errorf("decode answer: %w", err))
	}
	return nil
}
