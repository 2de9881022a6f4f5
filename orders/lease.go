package orders

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

// ErrLeaseLost reports that the lease is not held, or not for long enough.
var ErrLeaseLost = errors.New("lease not held")

// ErrStaleGeneration reports that another daemon has acted upon a newer
// configuration than this one has.
var ErrStaleGeneration = errors.New("configuration older than the last holder's")

// lease is this daemon's part in the lease of one pool. It is used by one
// goroutine.
//
// Nobody compares clocks: a holder counts the duration from before its last
// write was sent, others from when they first saw the revision, which is later.
// The revision of the object is the fencing number. The store raises it with
// every change and never repeats it, not even when the object was deleted.
type lease struct {
	store    Store
	key      string
	holder   string
	duration time.Duration

	// revision is that of the last own write, zero when the lease is not held.
	revision uint64
	// until is the end of the lease as this daemon may count it.
	until time.Time

	// foreign is the revision of another's lease and when it was first seen.
	foreign     uint64
	foreignSeen time.Time
}

// fence returns the fencing number.
func (l *lease) fence() uint64 { return l.revision }

// holds tells whether the lease lasts for at least d from now on.
func (l *lease) holds(now time.Time, d time.Duration) bool {
	return l.revision != 0 && !now.Add(d).After(l.until)
}

// keep takes or renews the lease and returns nil when it is held. A renewal is
// written only when a third of the duration has passed.
func (l *lease) keep(ctx context.Context, generation uint64) error {
	if l.holds(time.Now(), l.duration*2/3) {
		return nil
	}
	start := time.Now()
	obj, record, err := l.read(ctx)
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		obj, err = l.store.Create(ctx, l.key, l.encode(l.holder, generation))
	case err != nil:
		return l.unknown("read lease", err)
	case !l.mayTake(obj, record):
		l.revision = 0
		return ErrLeaseLost
	case record.GetGeneration() > generation:
		l.revision = 0
		return ErrStaleGeneration
	default:
		obj, err = l.store.Update(ctx, l.key, l.encode(l.holder, generation), obj.Revision)
	}
	return l.written(obj, err, start)
}

// written takes in the outcome of a write that began at start. After a lost
// answer the next read finds out what happened.
func (l *lease) written(obj objectstore.Object, err error, start time.Time) error {
	if objectstore.IsConflict(err) {
		l.revision = 0
		return ErrLeaseLost
	}
	if err != nil {
		return l.unknown("write lease", err)
	}
	l.revision = obj.Revision
	l.until = start.Add(l.duration)
	return nil
}

// unknown handles a store that did not answer: the lease is held as long as
// its last renewal lasts.
func (l *lease) unknown(op string, err error) error {
	if l.holds(time.Now(), 0) {
		return nil
	}
	return fmt.Errorf("%s: %w", op, err)
}

// mayTake tells whether the lease is free: released, this daemon's own, or
// another's that was not renewed for its whole duration.
func (l *lease) mayTake(obj objectstore.Object, record *bronzeturnv1.PoolLease) bool {
	if record.GetHolder() == "" || record.GetHolder() == l.holder {
		return true
	}
	now := time.Now()
	if l.foreign != obj.Revision {
		l.foreign = obj.Revision
		l.foreignSeen = now
	}
	return now.Sub(l.foreignSeen) >= max(record.GetDuration().AsDuration(), l.duration)
}

// confirm reads the lease again right before an order. It returns ErrLeaseLost
// unless the lease is this daemon's and lasts for at least d.
func (l *lease) confirm(ctx context.Context, d time.Duration) error {
	if !l.holds(time.Now(), d) {
		return ErrLeaseLost
	}
	obj, record, err := l.read(ctx)
	if err != nil {
		return fmt.Errorf("confirm lease: %w", err)
	}
	if record.GetHolder() != l.holder {
		l.revision = 0
		return ErrLeaseLost
	}
	// A renewal whose answer was lost has raised the revision.
	l.revision = obj.Revision
	if !l.holds(time.Now(), d) {
		return ErrLeaseLost
	}
	return nil
}

// release gives the lease up, so that the next holder need not wait.
func (l *lease) release(ctx context.Context, generation uint64) error {
	if l.revision == 0 {
		return nil
	}
	revision := l.revision
	l.revision = 0
	_, err := l.store.Update(ctx, l.key, l.encode("", generation), revision)
	if err != nil {
		return fmt.Errorf("release lease: %w", err)
	}
	return nil
}

func (l *lease) read(ctx context.Context) (objectstore.Object, *bronzeturnv1.PoolLease, error) {
	obj, err := l.store.Get(ctx, l.key)
	if err != nil {
		return objectstore.Object{}, nil, err
	}
	record := &bronzeturnv1.PoolLease{}
	if err := proto.Unmarshal(obj.Value, record); err != nil {
		return objectstore.Object{}, nil, fmt.Errorf("decode lease: %w", err)
	}
	return obj, record, nil
}

func (l *lease) encode(holder string, generation uint64) []byte {
	value, err := proto.Marshal(&bronzeturnv1.PoolLease{
		Holder:     holder,
		Duration:   durationpb.New(l.duration),
		Generation: generation,
	})
	if err != nil {
		// Only invalid UTF-8 in the holder's name can bring this about.
		return nil
	}
	return value
}
