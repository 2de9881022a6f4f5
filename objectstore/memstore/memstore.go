// Package memstore implements the object API in memory. The stand-in server
// and the tests use it; a Fault hook lets them bring about failures. Values that
// it returns must not be modified.
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

// Op names a call for the Fault hook.
type Op string

// The calls that a Fault hook sees.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpCreate Op = "create"
	OpUpdate Op = "update"
	OpDelete Op = "delete"
	OpWatch  Op = "watch"
)

// FaultEffect is what a Fault hook makes of a call.
type FaultEffect int

// The verdicts. LoseAnswer lets the call take effect and loses its answer.
const (
	NoFault FaultEffect = iota
	RefuseCall
	LoseAnswer
)

// FaultHook decides the fate of a call. It may block to delay the call.
type FaultHook func(ctx context.Context, op Op, key string) FaultEffect

var (
	errRefused = errors.New("connection refused")
	errLost    = errors.New("answer lost")
)

// Counts holds the number of calls received by kind.
type Counts struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
}

// Store is an in-memory object API. The zero value is not usable; call New.
type Store struct {
	mu       sync.Mutex
	objects  map[string]objectstore.Object
	keys     []string // of objects, sorted
	changes  changes
	revision uint64
	changed  chan struct{}
	fault    FaultHook
	counts   Counts
	waitMax  time.Duration
}

// watchWait bounds one Watch call, as the stand-in's long poll does.
const watchWait = 30 * time.Second

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: make(map[string]objectstore.Object),
		changed: make(chan struct{}),
		waitMax: watchWait,
	}
}

// SetFault installs the hook. Nil removes it.
func (s *Store) SetFault(f FaultHook) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Counts returns the calls received so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// enter counts the call and applies the fault hook. The returned error is nil
// for Pass and Lose; lost tells that the answer must be dropped.
func (s *Store) enter(ctx context.Context, op Op, key string) (lost bool, err error) {
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
	lost, err := s.enter(ctx, OpGet, key)
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
	lost, err := s.enter(ctx, OpList, prefix)
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
	lost, err := s.enter(ctx, op, key)
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
	s.wake()
	return obj, nil
}

// wake releases all waiting watches. The caller holds the lock.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Delete implements objectstore.Store.
func (s *Store) Delete(ctx context.Context, key string, revision uint64) error {
	lost, err := s.enter(ctx, OpDelete, key)
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
	lost, err := s.enter(ctx, OpWatch, prefix)
	if err != nil {
		return nil, err
	}
	if lost {
		return nil, unavailable(OpWatch, prefix, errLost)
	}
	timer := time.NewTimer(s.waitMax)
	defer timer.Stop()
	for {
		found, seen, changed := s.newer(prefix, after)
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

// newer returns the objects above after, the newest revision of the store, and
// the channel that the next write closes.
func (s *Store) newer(prefix string, after uint64) ([]objectstore.Object, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes.newer(prefix, after, s.objects), s.revision, s.changed
}

var _ objectstore.Store = (*Store)(nil)
