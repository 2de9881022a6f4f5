// Package memstore implements the object API in memory, for the stand-in server
// and for tests. A FaultHook injects failures. Values that the store returns must
// not be modified.
package memstore

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/objectstore"
)

// Op identifies the kind of a call.
type Op string

// The kinds of calls.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpCreate Op = "create"
	OpUpdate Op = "update"
	OpDelete Op = "delete"
	OpWatch  Op = "watch"
)

// FaultEffect is the effect that a FaultHook has on a call.
type FaultEffect int

// The effects. RefuseCall fails the call before it takes effect. LoseAnswer fails
// it after it took effect.
const (
	NoFault FaultEffect = iota
	RefuseCall
	LoseAnswer
)

// FaultHook decides whether a call fails. It may block to delay the call.
type FaultHook func(ctx context.Context, op Op, key string) FaultEffect

var (
	errRefused = errors.New("connection refused")
	errLost    = errors.New("answer lost")
)

// Counts holds the number of calls received, by kind.
type Counts struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
}

// Store is an in-memory object API. The zero value is not usable; call New.
type Store struct {
	mu       sync.Mutex
	objects  map[string]objectstore.Object
	keys     []string // keys of objects, sorted
	changes  changeLog
	revision uint64
	changed  chan struct{}
	fault    FaultHook
	counts   Counts
	maxWait  time.Duration
}

// watchWait is the time-out of a Watch call without a change, the same as that of
// the HTTP protocol.
const watchWait = 30 * time.Second

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: make(map[string]objectstore.Object),
		changed: make(chan struct{}),
		maxWait: watchWait,
	}
}

// SetFault sets the fault hook. Nil removes it.
func (s *Store) SetFault(f FaultHook) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Counts returns the number of calls received so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// beginCall counts the call and applies the fault hook. It returns an error for
// RefuseCall, and lost for LoseAnswer: the call must then be executed and its
// result discarded.
func (s *Store) beginCall(ctx context.Context, op Op, key string) (lost bool, err error) {
	s.mu.Lock()
	switch op {
	case OpGet, OpList:
		s.counts.Reads++
	case OpWatch:
		s.counts.Watches++
	default:
		s.counts.Writes++
	}
	fault := s.fault
	s.mu.Unlock()
	if fault == nil {
		return false, nil
	}
	switch fault(ctx, op, key) {
	case RefuseCall:
		return false, unavailable(op, key, errRefused)
	case LoseAnswer:
		return true, nil
	default:
		return false, nil
	}
}

func unavailable(op Op, key string, cause error) error {
	return &objectstore.UnavailableError{Op: string(op), Key: key, Cause: cause}
}

// Get implements objectstore.Store.
func (s *Store) Get(ctx context.Context, key string) (objectstore.Object, error) {
	lost, err := s.beginCall(ctx, OpGet, key)
	if err != nil {
		return objectstore.Object{}, err
	}
	if lost {
		return objectstore.Object{}, unavailable(OpGet, key, errLost)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[key]
	if !ok {
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	return obj, nil
}

// List implements objectstore.Store.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]objectstore.Object, error) {
	lost, err := s.beginCall(ctx, OpList, prefix)
	if err != nil {
		return nil, err
	}
	if lost {
		return nil, unavailable(OpList, prefix, errLost)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []objectstore.Object
	at, _ := slices.BinarySearch(s.keys, max(prefix, after))
	for _, key := range s.keys[at:] {
		if !strings.HasPrefix(key, prefix) || limit > 0 && len(found) == limit {
			break
		}
		if key > after {
			found = append(found, s.objects[key])
		}
	}
	return found, nil
}

// Create implements objectstore.Store.
func (s *Store) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	return s.write(ctx, OpCreate, key, value, 0)
}

// Update implements objectstore.Store.
func (s *Store) Update(ctx context.Context, key string, value []byte, revision uint64) (objectstore.Object, error) {
	return s.write(ctx, OpUpdate, key, value, revision)
}

func (s *Store) write(ctx context.Context, op Op, key string, value []byte, want uint64) (objectstore.Object, error) {
	if len(value) > objectstore.MaxValueBytes {
		return objectstore.Object{}, objectstore.ErrTooLarge
	}
	lost, err := s.beginCall(ctx, op, key)
	if err != nil {
		return objectstore.Object{}, err
	}
	obj, err := s.commit(key, value, want)
	if lost {
		return objectstore.Object{}, unavailable(op, key, errLost)
	}
	return obj, err
}

func (s *Store) commit(key string, value []byte, want uint64) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if have := s.objects[key].Revision; have != want {
		return objectstore.Object{}, &objectstore.ConflictError{Key: key, Want: want, Have: have}
	}
	s.revision++
	obj := objectstore.Object{Key: key, Revision: s.revision, Value: append([]byte(nil), value...)}
	if at, ok := slices.BinarySearch(s.keys, key); !ok {
		s.keys = slices.Insert(s.keys, at, key)
	}
	s.objects[key] = obj
	s.changes.add(s.revision, key, s.objects)
	s.notifyWatches()
	return obj, nil
}

// notifyWatches wakes up all waiting watches. The caller must hold s.mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Delete implements objectstore.Store.
func (s *Store) Delete(ctx context.Context, key string, revision uint64) error {
	lost, err := s.beginCall(ctx, OpDelete, key)
	if err != nil {
		return err
	}
	err = s.remove(key, revision)
	if lost {
		return unavailable(OpDelete, key, errLost)
	}
	return err
}

func (s *Store) remove(key string, want uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if have := s.objects[key].Revision; have != want {
		return &objectstore.ConflictError{Key: key, Want: want, Have: have}
	}
	if at, ok := slices.BinarySearch(s.keys, key); ok {
		s.keys = slices.Delete(s.keys, at, at+1)
	}
	delete(s.objects, key)
	return nil
}

// Watch implements objectstore.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) ([]objectstore.Object, error) {
	lost, err := s.beginCall(ctx, OpWatch, prefix)
	if err != nil {
		return nil, err
	}
	if lost {
		return nil, unavailable(OpWatch, prefix, errLost)
	}
	timer := time.NewTimer(s.maxWait)
	defer timer.Stop()
	for {
		found, seen, changed := s.changedSince(prefix, after)
		if len(found) > 0 {
			return found, nil
		}
		after = max(after, seen)
		select {
		case <-changed:
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, unavailable(OpWatch, prefix, ctx.Err())
		}
	}
}

// changedSince returns the objects with the prefix whose revision is above after,
// the latest revision of the store, and the channel that the next write closes.
func (s *Store) changedSince(prefix string, after uint64) ([]objectstore.Object, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes.changedSince(prefix, after, s.objects), s.revision, s.changed
}

var _ objectstore.Store = (*Store)(nil)
