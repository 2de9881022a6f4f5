// Package objectstore defines the objects, calls and errors of the platform's
// object API. Consumers declare the part of Store that they use; the adapter
// for the HTTP protocol is in package httpstore, the in-memory implementation
// in package memstore.
package objectstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxValueBytes is the largest value that the object API holds.
const MaxValueBytes = 1 << 20

// Object is one stored value with the revision of its last change. Revisions
// are positive, rise with every change of any object, and never repeat.
type Object struct {
	Key      string
	Revision uint64
	Value    []byte
}

// Store is the whole object API. Every method may be called concurrently.
type Store interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns at most limit objects whose keys begin with prefix and are
	// greater than after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Object, error)
	// Create stores the object if the key is absent, otherwise it fails with a
	// ConflictError.
	Create(ctx context.Context, key string, value []byte) (Object, error)
	// Update replaces the object if its revision is the given one, otherwise it
	// fails with a ConflictError.
	Update(ctx context.Context, key string, value []byte, revision uint64) (Object, error)
	// Delete removes the object if its revision is the given one, otherwise it
	// fails with a ConflictError.
	Delete(ctx context.Context, key string, revision uint64) error
	// Watch waits until an object with the prefix has a revision above after
	// and returns all such objects in revision order, or none when the wait
	// ends without a change. Deletions are not reported.
	Watch(ctx context.Context, prefix string, after uint64) ([]Object, error)
}

// ErrNotFound reports that a key holds no object.
var ErrNotFound = errors.New("object not found")

// ErrTooLarge reports that a value is above MaxValueBytes. Nothing was written.
var ErrTooLarge = errors.New("object value too large")

// ConflictError reports that a conditional write lost. Nothing was written.
type ConflictError struct {
	Key string
	// Want is the revision the writer expected, zero for "absent".
	Want uint64
	// Have is the revision in force, zero when the key is absent or unknown.
	Have uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict on %s: expected revision %d, found %d", e.Key, e.Want, e.Have)
}

// RateLimitError reports that the object API refused the call unseen. Nothing
// was written.
type RateLimitError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("object API rate limit, retry after %v", e.RetryAfter)
}

// UnavailableError reports that no answer came. A write may have taken effect.
type UnavailableError struct {
	Op    string
	Key   string
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("object API unavailable: %s %s: %v", e.Op, e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// IsConflict tells whether err is a lost conditional write.
func IsConflict(err error) bool {
	var c *ConflictError
	return errors.As(err, &c)
}
