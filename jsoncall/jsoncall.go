// Package jsoncall makes one HTTP call with JSON on both sides and types its
// failures. The adapters of the host list, the rating service and the weight
// store are built on it.
package jsoncall

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// timeout bounds one call as a whole.
	timeout = 2 * time.Second
	// maxAnswerBytes bounds one answer.
	maxAnswerBytes = 16 << 20
	// maxErrorBytes bounds the text kept of a failed call.
	maxErrorBytes = 512
	// maxRetryAfter bounds what a server may ask for.
	maxRetryAfter = time.Hour
)

var errTooLong = errors.New("answer exceeds its bound")

// Error is a call without a usable answer. A call that changes something may
// have taken effect unless Status is one of the client errors (4xx).
type Error struct {
	Method string
	Path   string
	// Status is the HTTP status, zero when none came.
	Status int
	// RetryAfter is the server's advice, zero when it gave none.
	RetryAfter time.Duration
	cause      error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: status %d: %v", e.Method, e.Path, e.Status, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// RateLimitDelay tells whether err is a call that the server refused unseen
// because of its rate limit, and when to come back.
func RateLimitDelay(err error) (time.Duration, bool) {
	var e *Error
	if errors.As(err, &e) && e.Status == http.StatusTooManyRequests {
		return e.RetryAfter, true
	}
	return 0, false
}

// IsNotFound tells whether err is a call for something that does not exist.
func IsNotFound(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Status == http.StatusNotFound
}

// Client makes calls to one server. It may be used concurrently.
type Client struct {
	base   string
	client *http.Client
}

// New returns a Client for baseURL, for example "http://127.0.0.1:8080". Nil
// stands for http.DefaultClient.
func New(baseURL string, client *http.Client) *Client {
	if client == nil {
		client = http.DefaultClient
	}
	return &Client{base: strings.TrimSuffix(baseURL, "/"), client: client}
}

// Get reads path and decodes the answer into into. The error is an *Error.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	return c.do(ctx, http.MethodGet, path, http.Header{}, nil, into)
}

// GetIfChanged reads path unless its entity tag is still the known one, and
// decodes the answer into into. It reports whether there was an answer. The
// error is an *Error.
func (c *Client) GetIfChanged(ctx context.Context, path, known string, into any) (changed bool, err error) {
	header := http.Header{}
	if known != "" {
		header.Set("If-None-Match", known)
	}
	err = c.do(ctx, http.MethodGet, path, header, nil, into)
	var failed *Error
	if errors.As(err, &failed) && failed.Status == http.StatusNotModified {
		return false, nil
	}
	return err == nil, err
}

// Post sends in as JSON and decodes the answer into into unless it is nil. The
// error is an *Error.
func (c *Client) Post(ctx context.Context, path string, in, into any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &Error{Method: http.MethodPost, Path: path, cause: fmt.Errorf("encode: %w", err)}
	}
	return c.do(ctx, http.MethodPost, path, http.Header{}, body, into)
}

func (c *Client) do(ctx context.Context, method, path string, header http.Header, body []byte, into any) error {
	e := &Error{Method: method, Path: path}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		e.cause = err
		return e
	}
	req.Header = header
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		c.closeIdleOnTimeout(err)
		e.cause = err
		return e
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if e.cause = decodeAnswer(resp, answer, err, into); e.cause == nil {
		return nil
	}
	c.closeIdleOnTimeout(err)
	e.Status, e.RetryAfter = resp.StatusCode, retryAfter(resp.Header)
	return e
}

// closeIdleOnTimeout closes the idle connections after a timeout, since what lost track
// of one connection has often lost track of the others.
func (c *Client) closeIdleOnTimeout(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		c.client.CloseIdleConnections()
	}
}

// decodeAnswer decodes a complete answer or tells why it is unusable.
func decodeAnswer(resp *http.Response, answer []byte, readErr error, into any) error {
	switch {
	case readErr != nil:
		return readErr
	case len(answer) > maxAnswerBytes:
		return errTooLong
	case resp.StatusCode != http.StatusOK:
		return &StatusError{Text: string(answer[:min(len(answer), maxErrorBytes)])}
	case into == nil:
		return nil
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

// StatusError is what a server said with a status other than 200.
type StatusError struct {
	Text string
}

// Error implements error.
func (e *StatusError) Error() string { return e.Text }

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
