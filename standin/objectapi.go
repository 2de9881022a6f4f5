package standin

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uptrace/bunrouter"
	"golang.org/x/time/rate"

	"github.com/bronzeturn/bronzeturn/objectstore"
	"github.com/bronzeturn/bronzeturn/objectstore/httpstore"
	"github.com/bronzeturn/bronzeturn/objectstore/memstore"
)

// PathCalls returns the number of calls received, as ObjectAPICalls.
const PathCalls = "/control/calls"

// watchChargeInterval is the waiting time for which a watch is charged one read.
const watchChargeInterval = time.Second

// ObjectAPIConfig configures an ObjectAPI.
type ObjectAPIConfig struct {
	// ReadsPerSecond and WritesPerSecond limit the rate of calls, with a burst of
	// one second's calls. Zero means no limit. A watch is charged one read when
	// it starts and one more for each second that it waits.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// WatchWait is the longest wait of a watch. Zero means
	// httpstore.MaxWatchWait.
	WatchWait time.Duration
	// Store is the backing store. Nil means a new memstore.Store.
	Store objectstore.Store
}

// ObjectAPICalls holds the number of calls received, by kind. Calls that the rate
// limit rejected count only as Refused.
type ObjectAPICalls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// WatchSeconds is the number of reads charged to waiting watches, in addition
	// to the one for each watch.
	WatchSeconds uint64 `json:"watch_seconds"`
	Refused      uint64 `json:"refused"`
}

// ObjectAPI is a stand-in for the platform's object API.
type ObjectAPI struct {
	server
	store     objectstore.Store
	reads     *rate.Limiter
	writes    *rate.Limiter
	watchWait time.Duration

	readCalls, writeCalls, watchCalls, watchSeconds, refused atomic.Uint64
}

// NewObjectAPI returns an ObjectAPI.
func NewObjectAPI(cfg ObjectAPIConfig) *ObjectAPI {
	a := &ObjectAPI{
		store: cfg.Store, watchWait: cfg.WatchWait,
		reads: newLimiter(cfg.ReadsPerSecond), writes: newLimiter(cfg.WritesPerSecond),
	}
	if a.store == nil {
		a.store = memstore.New()
	}
	if a.watchWait == 0 {
		a.watchWait = httpstore.MaxWatchWait
	}
	a.handler = a.routes()
	control := a.newControl()
	control.GET(PathCalls, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.Calls()) })
	a.control = control
	return a
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (a *ObjectAPI) routes() http.Handler {
	router := bunrouter.New().Compat()
	router.GET(httpstore.PathObjects+"*key", a.get)
	router.PUT(httpstore.PathObjects+"*key", a.put)
	router.DELETE(httpstore.PathObjects+"*key", a.remove)
	router.GET(httpstore.PathList, a.list)
	router.GET(httpstore.PathWatch, a.watch)
	return router
}

// Store returns the backing store. Calls to it bypass faults and rate limits.
func (a *ObjectAPI) Store() objectstore.Store { return a.store }

// Calls returns the number of calls received so far.
func (a *ObjectAPI) Calls() ObjectAPICalls {
	return ObjectAPICalls{
		Reads: a.readCalls.Load(), Writes: a.writeCalls.Load(), Watches: a.watchCalls.Load(),
		WatchSeconds: a.watchSeconds.Load(), Refused: a.refused.Load(),
	}
}

// admit takes a token from the rate limit and counts the call. If there is no
// token, it responds with status 429 and returns false.
func (a *ObjectAPI) admit(w http.ResponseWriter, count *atomic.Uint64, limit *rate.Limiter) bool {
	if limit.Allow() {
		count.Add(1)
		return true
	}
	a.refused.Add(1)
	writeRateLimited(w, limit)
	return false
}

// writeRateLimited responds with status 429 and the time until the next token.
func writeRateLimited(w http.ResponseWriter, limit *rate.Limiter) {
	wait := (1 - limit.Tokens()) / float64(limit.Limit())
	w.Header().Set("Retry-After", strconv.FormatFloat(max(wait, 0), 'f', 3, 64))
	http.Error(w, "rate limit", http.StatusTooManyRequests)
}

func objectKey(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, httpstore.PathObjects) }

func (a *ObjectAPI) get(w http.ResponseWriter, r *http.Request) {
	if !a.admit(w, &a.readCalls, a.reads) {
		return
	}
	object, err := a.store.Get(r.Context(), objectKey(r))
	if err != nil {
		writeStoreError(w, err)
		return
	}
	w.Header().Set("ETag", httpstore.FormatTag(object.Revision))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(object.Value) // A write error means that the caller has disconnected.
}

func (a *ObjectAPI) put(w http.ResponseWriter, r *http.Request) {
	if !a.admit(w, &a.writeCalls, a.writes) {
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, objectstore.MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	object, err := a.write(r, value)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	w.Header().Set("ETag", httpstore.FormatTag(object.Revision))
}

var errCondition = errors.New("a write needs If-Match or If-None-Match: *")

func (a *ObjectAPI) write(r *http.Request, value []byte) (objectstore.Object, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return a.store.Create(r.Context(), objectKey(r), value)
	}
	revision, err := httpstore.ParseTag(r.Header.Get("If-Match"))
	if err != nil {
		return objectstore.Object{}, fmt.Errorf("%w: %w", errCondition, err)
	}
	return a.store.Update(r.Context(), objectKey(r), value, revision)
}

func (a *ObjectAPI) remove(w http.ResponseWriter, r *http.Request) {
	if !a.admit(w, &a.writeCalls, a.writes) {
		return
	}
	revision, err := httpstore.ParseTag(r.Header.Get("If-Match"))
	if err != nil {
		writeStoreError(w, fmt.Errorf("%w: %w", errCondition, err))
		return
	}
	if err := a.store.Delete(r.Context(), objectKey(r), revision); err != nil {
		writeStoreError(w, err)
	}
}

// writeStoreError responds with the status that httpstore maps to the same error.
func writeStoreError(w http.ResponseWriter, err error) {
	var conflict *objectstore.ConflictError
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, objectstore.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errCondition):
		status = http.StatusBadRequest
	case errors.As(err, &conflict):
		status = http.StatusPreconditionFailed
		w.Header().Set("ETag", httpstore.FormatTag(conflict.Have))
	}
	http.Error(w, err.Error(), status)
}

func (a *ObjectAPI) list(w http.ResponseWriter, r *http.Request) {
	if !a.admit(w, &a.readCalls, a.reads) {
		return
	}
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > maxListed {
		limit = maxListed + 1 // One more than the page holds tells writeObjects that there are more.
	}
	objects, err := a.store.List(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeObjects(w, objects)
}

func (a *ObjectAPI) watch(w http.ResponseWriter, r *http.Request) {
	if !a.admit(w, &a.watchCalls, a.reads) {
		return
	}
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait := a.watchWait
	if ms, err := strconv.ParseInt(query.Get("wait_ms"), 10, 64); err == nil && ms >= 0 {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	objects, err := a.wait(r, query.Get("prefix"), after, wait)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeObjects(w, objects)
}
