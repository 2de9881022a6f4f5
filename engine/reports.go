package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/overload"
)

// CacheEvent reports that a prompt prefix was stored in or evicted from an engine's
// cache.
type CacheEvent struct {
	// Sequence is incremented with every event of the engine. A missing number means
	// that an event was lost.
	Sequence uint64 `json:"sequence"`
	// Prefix is a hash as computed by PromptPrefixes.
	Prefix uint64 `json:"prefix"`
	// Stored is true for a stored prefix, false for an evicted one.
	Stored bool `json:"stored"`
}

// LoadReport is an engine's report of its load at the time AsOf, which may be a few
// seconds in the past.
type LoadReport struct {
	QueuedTokens    int64    `json:"queued_tokens"`
	QueuedRequests  int      `json:"queued_requests"`
	RunningRequests int      `json:"running_requests"`
	FreeSlots       int      `json:"free_slots"`
	Versions        []string `json:"versions"`
	Role            string   `json:"role"`
	// CacheEvents are sorted by sequence, possibly with gaps.
	CacheEvents []CacheEvent `json:"cache_events"`
	// Sequence is that of the newest event published so far.
	Sequence uint64    `json:"sequence"`
	AsOf     time.Time `json:"as_of"`
}

// Op is the operation that an order asks for.
type Op string

// The operations of an order.
const (
	OpLoad    Op = "load"
	OpUnload  Op = "unload"
	OpSetRole Op = "set_role"
)

// Order asks an engine to change the versions or the role that it serves. An order with
// an ID that the engine has seen before has no effect.
type Order struct {
	ID string `json:"id"`
	Op Op     `json:"op"`
	// Version is the version to load or unload.
	Version string `json:"version,omitempty"`
	// Role is the new role, for set_role.
	Role string `json:"role,omitempty"`
	// Fencing is the fencing number of the sender's lease.
	Fencing uint64 `json:"fencing"`
}

// State is the state of an engine after an order, as the engine reports it.
type State struct {
	Versions []string `json:"versions"`
	Loading  []string `json:"loading"`
	Role     string   `json:"role"`
	// Fencing is the highest fencing number seen, zero if the engine does not check it.
	Fencing uint64 `json:"fencing"`
}

// ControlClient reads load reports of engines and sends them orders.
type ControlClient struct {
	transport http.RoundTripper
	memory    *overload.Account
	timeout   time.Duration
}

const (
	// controlTimeout bounds the time without progress in a call of ControlClient.
	controlTimeout = 2 * time.Second
	// totalTimeoutFactor bounds a call as a whole, in units of controlTimeout.
	totalTimeoutFactor = 2
	// maxControlBytes bounds the answer to a call.
	maxControlBytes = 4 << 20
	// decodedSize is the size of a decoded answer, as a multiple of its JSON. The smallest
	// cache event has three bytes there.
	decodedSize = 16
)

// NewControlClient returns a ControlClient that uses the transport. A call ends after
// 2 s without progress, and after 4 s in any case. memory is the account of what answers
// hold until they are decoded.
func NewControlClient(transport http.RoundTripper, memory *overload.Account) *ControlClient {
	return &ControlClient{transport: transport, memory: memory, timeout: controlTimeout}
}

// Load returns the report of the engine with all cache events that it has retained.
// The error is an *Error.
func (c *ControlClient) Load(ctx context.Context, address string) (LoadReport, error) {
	return c.LoadSince(ctx, address, 0)
}

// LoadSince returns the report of the engine with the cache events whose sequence is
// higher than after. The error is an *Error.
func (c *ControlClient) LoadSince(ctx context.Context, address string, after uint64) (LoadReport, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	var load LoadReport
	err := c.call(ctx, http.MethodGet, "http://"+address+PathLoad+"?"+query.Encode(), nil, &load)
	return load, err
}

// Order sends an order and returns the engine's state after it. The error is an *Error,
// of kind KindFenced if the engine has seen a higher fencing number.
func (c *ControlClient) Order(ctx context.Context, address string, o Order) (State, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return State{}, fmt.Errorf("encode order: %w", err)
	}
	var state State
	err = c.call(ctx, http.MethodPost, "http://"+address+PathOrders, body, &state)
	return state, err
}

// call sends a request and decodes the JSON answer into into.
func (c *ControlClient) call(ctx context.Context, method, target string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, totalTimeoutFactor*c.timeout)
	defer cancel()
	x, err := attempt.Send(ctx, c.transport, attempt.Request{
		Method: method, URL: target, Body: body,
		Header:          http.Header{"Content-Type": {"application/json"}},
		ProgressTimeout: c.timeout,
	})
	if err != nil {
		return errorFromAttempt(err)
	}
	defer x.Close()
	if x.Status != http.StatusOK {
		return errorFromStatus(x)
	}
	holder := c.memory.Open(nil)
	defer holder.Close()
	answer, err := overload.ReadAnswer(x, holder, x.Length, c.memory.MaxAnswer(maxControlBytes))
	if err == nil {
		err = holder.Reserve(decodedSize * int64(len(answer)))
	}
	if err == nil {
		err = json.Unmarshal(answer, into)
	}
	if err == nil {
		return nil
	}
	failed := errorFromAttempt(err)
	failed.Ran, failed.Status = failure.RanYes, x.Status
	failed.cause = fmt.Errorf("answer of the engine: %w", err)
	return failed
}
