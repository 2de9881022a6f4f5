// Package objectstore defines the objects, calls and errors of the platform's
// object API. Consumers declare an interface with the methods of Store that they
// use. Package httpstore is the HTTP client, package memstore the in-memory
// implementation.
package objectstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxValueBytes is the size limit of an object's value.
const MaxValueBytes = 1 << 20

// Object is a stored value with the revision of its last write. Revisions are
// positive, unique, and increase with every write to any object.
type Object struct {
	Key      string
	Revision uint64
	Value    []byte
}

// Store is the complete object API. Its methods are safe for concurrent use.
type Store interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns at most limit objects whose keys begin with prefix and are
	// greater than after, in key order. A limit of zero or less means no limit.
	List(ctx context.Context, prefix, after string, limit int) ([]Object, error)
	// Create stores the object if the key is absent and fails with a
	// ConflictError otherwise.
	Create(ctx context.Context, key string, value []byte) (Object, error)
	// Update replaces the object if it still has the given revision and fails
	// with a ConflictError otherwise.
	Update(ctx context.Context, key string, value []byte, revision uint64) (Object, error)
	// Delete removes the object if it still has the given revision and fails
	// with a ConflictError otherwise.
	Delete(ctx context.Context, key string, revision uint64) error
	// Watch blocks until an object with the prefix has a revision above after
	// and returns all such objects in revision order, or none when the wait
	// times out. Deletions are not reported.
	Watch(ctx context.Context, prefix string, after uint64) ([]Object, error)
}

// ErrNotFound reports that there is no object with the key.
var ErrNotFound = errors.New("object not found")

// ErrTooLarge reports that a value exceeds MaxValueBytes. Nothing was written.
var ErrTooLarge = errors.New("object value too large")

// ConflictError reports that the precondition of a write did not hold. Nothing
// was written.
type ConflictError struct {
	Key string
	// Want is the revision that the writer expected, zero if it expected the
	// key to be absent.
	Want uint64
	// Have is the current revision, zero if the key is absent or the revision is
	// unknown.
	Have uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict on %s: expected revision %d, found %d", e.Key, e.Want, e.Have)
}

// RateLimitError reports that the object API rejected the call because of its
// rate limit, before executing it. Nothing was written.
type RateLimitError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("object API rate limit, retry after %v", e.RetryAfter)
}

// UnavailableError reports that the call got no valid answer. A write may have
// taken effect.
type UnavailableError struct {
	Op    string
	Key   string
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("object API unavailable: %s %s: %v", e.Op, e.Key, e.Cause)
}

// Unwrap returns Cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// IsConflict reports whether err is or wraps a ConflictError.
func IsConflict(err error) bool {
	var c *ConflictError
	return errors.As(err, &c)
}
