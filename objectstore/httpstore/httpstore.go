// Package httpstore is the HTTP client of the platform's object API. Values are
// raw bodies, revisions are entity tags, and conditional writes use If-Match and
// If-None-Match. List and watch responses are protocol buffer messages.
package httpstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

// Paths of the object API.
const (
	PathObjects = "/v1/objects/"
	PathList    = "/v1/list"
	PathWatch   = "/v1/watch"
)

// MaxWatchWait is the longest time for which the server holds a watch open
// without a change.
const MaxWatchWait = 30 * time.Second

const (
	// watchWait is the wait that a watch requests. It is short because a
	// connection on which nothing arrives any more is noticed only after
	// watchTimeout.
	watchWait = 2 * time.Second
	// watchTimeout bounds one watch call, callTimeout any other call.
	watchTimeout = watchWait + time.Second
	callTimeout  = 5 * time.Second
	// defaultRetryAfter replaces a missing or invalid Retry-After header.
	defaultRetryAfter = time.Second
	// maxResponseBytes bounds the body of any response.
	maxResponseBytes = 64 << 20
	// maxRetryAfter caps the delay that a server can request.
	maxRetryAfter = time.Hour
)

// Store implements objectstore.Store. Every call is bounded by a timeout.
type Store struct {
	base   string
	client *http.Client
}

// New returns a Store for the object API at baseURL, for example
// "http://127.0.0.1:8080". If the client has a timeout, it must be at least the
// watch timeout of 3 s. A nil client means http.DefaultClient.
func New(baseURL string, client *http.Client) *Store {
	if client == nil {
		client = http.DefaultClient
	}
	return &Store{base: strings.TrimSuffix(baseURL, "/"), client: client}
}

// call describes a call to the object API.
type call struct {
	op      string
	key     string
	method  string
	path    string
	header  [2]string
	body    []byte
	want    uint64
	timeout time.Duration
}

// response is the result of a successful call.
type response struct {
	revision uint64
	body     []byte
}

func objectPath(key string) string { return PathObjects + url.PathEscape(key) }

// Get implements objectstore.Store.
func (s *Store) Get(ctx context.Context, key string) (objectstore.Object, error) {
	a, err := s.do(ctx, call{op: "get", key: key, method: http.MethodGet, path: objectPath(key)})
	if err != nil {
		return objectstore.Object{}, err
	}
	return objectstore.Object{Key: key, Revision: a.revision, Value: a.body}, nil
}

// Create implements objectstore.Store.
func (s *Store) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	return s.put(ctx, call{op: "create", key: key, header: [2]string{"If-None-Match", "*"}, body: value})
}

// Update implements objectstore.Store.
func (s *Store) Update(ctx context.Context, key string, value []byte, revision uint64) (objectstore.Object, error) {
	return s.put(ctx, call{
		op: "update", key: key, header: [2]string{"If-Match", FormatTag(revision)}, body: value, want: revision,
	})
}

func (s *Store) put(ctx context.Context, c call) (objectstore.Object, error) {
	if len(c.body) > objectstore.MaxValueBytes {
		return objectstore.Object{}, objectstore.ErrTooLarge
	}
	c.method, c.path = http.MethodPut, objectPath(c.key)
	a, err := s.do(ctx, c)
	if err != nil {
		return objectstore.Object{}, err
	}
	return objectstore.Object{Key: c.key, Revision: a.revision, Value: bytes.Clone(c.body)}, nil
}

// Delete implements objectstore.Store.
func (s *Store) Delete(ctx context.Context, key string, revision uint64) error {
	_, err := s.do(ctx, call{
		op: "delete", key: key, method: http.MethodDelete, path: objectPath(key),
		header: [2]string{"If-Match", FormatTag(revision)}, want: revision,
	})
	return err
}

// List implements objectstore.Store. A limit of zero or less means no limit.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]objectstore.Object, error) {
	var all []objectstore.Object
	for {
		query := url.Values{"prefix": {prefix}, "after": {after}}
		if limit > 0 {
			query.Set("limit", strconv.Itoa(limit-len(all)))
		}
		page, more, err := s.fetchPage(ctx, call{op: "list", key: prefix, path: PathList + "?" + query.Encode()})
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if !more || len(page) == 0 || limit > 0 && len(all) >= limit {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}

// Watch implements objectstore.Store. The wait times out after 2 s without a
// change.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) ([]objectstore.Object, error) {
	var all []objectstore.Object
	for {
		query := url.Values{
			"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)},
			"wait_ms": {strconv.FormatInt(watchWait.Milliseconds(), 10)},
		}
		page, more, err := s.fetchPage(ctx, call{
			op: "watch", key: prefix, path: PathWatch + "?" + query.Encode(), timeout: watchTimeout,
		})
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if !more || len(page) == 0 {
			return all, nil
		}
		after = page[len(page)-1].Revision
	}
}

// fetchPage makes one list or watch call and reports whether there are more
// objects than the response holds.
func (s *Store) fetchPage(ctx context.Context, c call) (objects []objectstore.Object, more bool, err error) {
	c.method = http.MethodGet
	a, err := s.do(ctx, c)
	if err != nil {
		return nil, false, err
	}
	var found bronzeturnv1.StoredObjects
	if err := proto.Unmarshal(a.body, &found); err != nil {
		return nil, false, unavailable(c, err)
	}
	for _, o := range found.GetObjects() {
		objects = append(objects, objectstore.Object{Key: o.GetKey(), Revision: o.GetRevision(), Value: o.GetValue()})
	}
	return objects, found.GetMore(), nil
}

// do makes one call and reads the complete response.
func (s *Store) do(ctx context.Context, c call) (response, error) {
	if c.timeout == 0 {
		c.timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, s.base+c.path, requestBody(c))
	if err != nil {
		return response{}, unavailable(c, err)
	}
	if c.header[0] != "" {
		req.Header.Set(c.header[0], c.header[1])
	}
	resp, err := s.client.Do(req)
	if err != nil {
		s.closeIdleOnTimeout(err)
		return response{}, unavailable(c, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		s.closeIdleOnTimeout(err)
		return response{}, unavailable(c, err)
	}
	switch {
	case len(body) > maxResponseBytes:
		return response{}, unavailable(c, errResponseTooLarge)
	case endsWithConnection(resp):
		return response{}, unavailable(c, errNoEnd)
	}
	return parseResponse(c, resp, body)
}

// endsWithConnection reports whether the body has neither a length nor chunks. One that was cut then
// looks complete.
func endsWithConnection(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// closeIdleOnTimeout closes all idle connections if err is a timeout: whatever
// silently dropped one connection has often dropped the pooled ones too.
func (s *Store) closeIdleOnTimeout(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		s.client.CloseIdleConnections()
	}
}

func requestBody(c call) io.Reader {
	if c.method != http.MethodPut {
		return nil
	}
	return bytes.NewReader(c.body)
}

// parseResponse converts a complete HTTP response into a result or a typed error.
func parseResponse(c call, resp *http.Response, body []byte) (response, error) {
	revision, tagErr := ParseTag(resp.Header.Get("ETag"))
	switch resp.StatusCode {
	case http.StatusOK:
		if tagErr != nil && c.op != "list" && c.op != "watch" && c.op != "delete" {
			return response{}, unavailable(c, tagErr)
		}
		return response{revision: revision, body: body}, nil
	case http.StatusNotFound:
		return response{}, objectstore.ErrNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return response{}, &objectstore.ConflictError{Key: c.key, Want: c.want, Have: revision}
	case http.StatusRequestEntityTooLarge:
		return response{}, objectstore.ErrTooLarge
	case http.StatusTooManyRequests:
		return response{}, &objectstore.RateLimitError{RetryAfter: RetryAfter(resp.Header)}
	default:
		return response{}, unavailable(c, &StatusError{Status: resp.StatusCode})
	}
}

func unavailable(c call, cause error) error {
	return &objectstore.UnavailableError{Op: c.op, Key: c.key, Cause: cause}
}

// StatusError reports a response with a status that the object API does not
// define.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }

var (
	errBadTag           = errors.New("answer without a revision")
	errResponseTooLarge = errors.New("response exceeds 64 MiB")
	errNoEnd            = errors.New("response has neither a length nor chunks")
)

// FormatTag formats a revision as an entity tag.
func FormatTag(revision uint64) string { return `"` + strconv.FormatUint(revision, 10) + `"` }

// ParseTag parses the revision from an entity tag.
func ParseTag(tag string) (uint64, error) {
	revision, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %q", errBadTag, tag)
	}
	return revision, nil
}

// RetryAfter returns the delay of the Retry-After header, given in seconds with an
// optional fraction. It returns 1 s if the header is missing or invalid, and 1 h
// at most.
func RetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds >= 0) {
		return defaultRetryAfter
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

var _ objectstore.Store = (*Store)(nil)
