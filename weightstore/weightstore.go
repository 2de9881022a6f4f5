// Package weightstore is the client of the platform's weight store, which holds the
// weights of model versions and limits the rate of calls.
package weightstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/bronzeturn/bronzeturn/jsoncall"
)

// PathWeights is the path prefix of the weights of versions.
const PathWeights = "/v1/weights/"

// PathFetch is the path suffix that requests a transfer of the weights.
const PathFetch = "/fetch"

// ErrNotFound reports that the store does not have the weights of the version.
var ErrNotFound = errors.New("weights not found")

// RateLimitError reports that the store rejected the call because of its rate limit.
type RateLimitError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("weight store rate limit, retry after %v", e.RetryAfter)
}

// Weights describes the weights of one version.
type Weights struct {
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
	SHA256  string `json:"sha256"`
}

// Transfer is a granted transfer of weights.
type Transfer struct {
	Weights
	// Millis is the duration of the transfer in milliseconds.
	Millis int64 `json:"millis"`
}

// Client reads the weight store.
type Client struct {
	calls *jsoncall.Client
}

// New returns a Client for the store at baseURL. A nil client means
// http.DefaultClient.
func New(baseURL string, client *http.Client) *Client {
	return &Client{calls: jsoncall.New(baseURL, client)}
}

// Stat returns a description of the weights of version. The error is ErrNotFound, a
// *RateLimitError, or wraps a *jsoncall.Error.
func (c *Client) Stat(ctx context.Context, version string) (Weights, error) {
	var w Weights
	if err := c.calls.Get(ctx, PathWeights+url.PathEscape(version), &w); err != nil {
		return Weights{}, translate("stat", err)
	}
	return w, nil
}

// Fetch requests a transfer of the weights of version. The errors are those of Stat.
func (c *Client) Fetch(ctx context.Context, version string) (Transfer, error) {
	var t Transfer
	if err := c.calls.Post(ctx, PathWeights+url.PathEscape(version)+PathFetch, struct{}{}, &t); err != nil {
		return Transfer{}, translate("fetch", err)
	}
	return t, nil
}

func translate(op string, err error) error {
	if wait, ok := jsoncall.RateLimitDelay(err); ok {
		return &RateLimitError{RetryAfter: wait}
	}
	if jsoncall.IsNotFound(err) {
		return ErrNotFound
	}
	return fmt.Errorf("%s weights: %w", op, err)
}
