// Package jsoncall makes HTTP calls with JSON bodies and returns typed errors. The clients
// of the host list, the rating service and the weight store use it.
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
	// timeout is the time limit of one call, including reading the answer.
	timeout = 2 * time.Second
	// maxAnswerBytes is the size limit of an answer.
	maxAnswerBytes = 16 << 20
	// maxErrorBytes is how much of the answer of a failed call becomes part of the error.
	maxErrorBytes = 512
	// maxRetryAfter is the longest time for which a server may ask to wait.
	maxRetryAfter = time.Hour
)

var errTooLong = errors.New("answer exceeds the size limit")

// Error reports a call without a usable answer. A call that changes something may
// have taken effect unless Status is a client error (4xx).
type Error struct {
	Method string
	Path   string
	// Status is the HTTP status, or zero if no answer was received.
	Status int
	// RetryAfter is the value of the Retry-After header, or zero if the server sent none.
	RetryAfter time.Duration
	cause      error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: status %d: %v", e.Method, e.Path, e.Status, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// RateLimitDelay reports whether err is a call that the server refused because of its
// rate limit, without running it, and after which time to retry.
func RateLimitDelay(err error) (time.Duration, bool) {
	var e *Error
	if errors.As(err, &e) && e.Status == http.StatusTooManyRequests {
		return e.RetryAfter, true
	}
	return 0, false
}

// IsNotFound reports whether err is a call that the server answered with 404 Not Found.
func IsNotFound(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Status == http.StatusNotFound
}

// Client makes calls to one server. It is safe for concurrent use.
type Client struct {
	base   string
	client *http.Client
}

// New returns a Client for baseURL, for example "http://127.0.0.1:8080". If client is nil,
// http.DefaultClient is used.
func New(baseURL string, client *http.Client) *Client {
	if client == nil {
		client = http.DefaultClient
	}
	return &Client{base: strings.TrimSuffix(baseURL, "/"), client: client}
}

// Get gets path and decodes the answer into into. The error is an *Error.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	return c.do(ctx, http.MethodGet, path, http.Header{}, nil, into)
}

// GetIfChanged gets path unless its entity tag still equals known, and decodes the
// answer into into. It reports whether into was set. The error is an *Error.
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

// Post sends in as JSON and decodes the answer into into, unless into is nil. The
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

// closeIdleOnTimeout closes the idle connections if err is a timeout, since a fault that
// lost the state of one connection has often lost that of the others.
func (c *Client) closeIdleOnTimeout(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		c.client.CloseIdleConnections()
	}
}

// decodeAnswer decodes a complete answer, or returns an error that tells why it is unusable.
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

// StatusError holds the beginning of the body of an answer with a status other than 200.
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
