// Package httpstore is the adapter of the platform's object API over HTTP.
// Values travel as plain bodies, revisions as entity tags; conditional writes
// use If-Match and If-None-Match. Lists and watches answer a protocol buffer.
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

// MaxWatchWait is how long the server holds a watch without a change at most.
const MaxWatchWait = 30 * time.Second

const (
	// watchWait is the wait that a watch asks for. It is short because the
	// timeout behind it is the time after which a silent connection is noticed.
	watchWait = 2 * time.Second
	// watchTimeout and callTimeout bound one call.
	watchTimeout = watchWait + time.Second
	callTimeout  = 5 * time.Second
	// defaultRetryAfter stands in for a missing or unreadable Retry-After.
	defaultRetryAfter = time.Second
	// maxAnswerBytes bounds a list or watch answer.
	maxAnswerBytes = 64 << 20
	// maxRetryAfter bounds what a server may ask for.
	maxRetryAfter = time.Hour
)

// Store implements objectstore.Store. Every call has a timeout.
type Store struct {
	base   string
	client *http.Client
}

// New returns a Store for the object API at baseURL, for example
// "http://127.0.0.1:8080". The client must not have a timeout below the watch
// timeout; nil stands for http.DefaultClient.
func New(baseURL string, client *http.Client) *Store {
	if client == nil {
		client = http.DefaultClient
	}
	return &Store{base: strings.TrimSuffix(baseURL, "/"), client: client}
}

// call describes one call of the object API.
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

// answer is what came back from a successful call.
type answer struct {
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
		page, more, err := s.page(ctx, call{op: "list", key: prefix, path: PathList + "?" + query.Encode()})
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

// Watch implements objectstore.Store. The wait ends after 2 s without a change.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) ([]objectstore.Object, error) {
	var all []objectstore.Object
	for {
		query := url.Values{
			"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)},
			"wait_ms": {strconv.FormatInt(watchWait.Milliseconds(), 10)},
		}
		page, more, err := s.page(ctx, call{
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

// page makes one list or watch call and tells whether objects were left out.
func (s *Store) page(ctx context.Context, c call) (objects []objectstore.Object, more bool, err error) {
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

// do makes one call and reads its whole answer.
func (s *Store) do(ctx context.Context, c call) (answer, error) {
	if c.timeout == 0 {
		c.timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, s.base+c.path, requestBody(c))
	if err != nil {
		return answer{}, unavailable(c, err)
	}
	if c.header[0] != "" {
		req.Header.Set(c.header[0], c.header[1])
	}
	resp, err := s.client.Do(req)
	if err != nil {
		s.dropIdle(err)
		return answer{}, unavailable(c, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		s.dropIdle(err)
		return answer{}, unavailable(c, err)
	}
	if len(body) > maxAnswerBytes {
		return answer{}, unavailable(c, errTooLong)
	}
	return read(c, resp, body)
}

// dropIdle closes the idle connections after a timeout, since what lost track
// of one connection has often lost track of the others.
func (s *Store) dropIdle(err error) {
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

// read turns a complete answer into a result or a typed error.
func read(c call, resp *http.Response, body []byte) (answer, error) {
	revision, tagErr := ParseTag(resp.Header.Get("ETag"))
	switch resp.StatusCode {
	case http.StatusOK:
		if tagErr != nil && c.op != "list" && c.op != "watch" && c.op != "delete" {
			return answer{}, unavailable(c, tagErr)
		}
		return answer{revision: revision, body: body}, nil
	case http.StatusNotFound:
		return answer{}, objectstore.ErrNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return answer{}, &objectstore.ConflictError{Key: c.key, Want: c.want, Have: revision}
	case http.StatusRequestEntityTooLarge:
		return answer{}, objectstore.ErrTooLarge
	case http.StatusTooManyRequests:
		return answer{}, &objectstore.RateLimitError{RetryAfter: RetryAfter(resp.Header)}
	default:
		return answer{}, unavailable(c, &StatusError{Status: resp.StatusCode})
	}
}

func unavailable(c call, cause error) error {
	return &objectstore.UnavailableError{Op: c.op, Key: c.key, Cause: cause}
}

// StatusError is an answer with a status that the object API does not define.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }

var (
	errTag     = errors.New("answer without a revision")
	errTooLong = errors.New("answer exceeds its bound")
)

// FormatTag writes a revision as an entity tag.
func FormatTag(revision uint64) string { return `"` + strconv.FormatUint(revision, 10) + `"` }

// ParseTag reads a revision from an entity tag.
func ParseTag(tag string) (uint64, error) {
	revision, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %q", errTag, tag)
	}
	return revision, nil
}

// RetryAfter reads a Retry-After header in seconds, which may have a fraction.
func RetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds >= 0) {
		return defaultRetryAfter
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

var _ objectstore.Store = (*Store)(nil)
