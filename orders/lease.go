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

// ErrLeaseLost reports that the lease is not held or expires too soon.
var ErrLeaseLost = errors.New("lease not held")

// ErrStaleGeneration reports that a newer configuration than this daemon's has
// already been acted upon.
var ErrStaleGeneration = errors.New("configuration older than the last holder's")

// lease is this daemon's view of the lease of one pool. It is not safe for
// concurrent use.
//
// Clocks of different hosts are not compared: the holder counts the duration from
// just before it sent its last write, other daemons from when they first saw that
// revision, which is later. The revision of the object is the fencing number. The
// store increases it with every change and never reuses one, even after the
// object was deleted.
type lease struct {
	store    Store
	key      string
	holder   string
	duration time.Duration

	// revision is the revision of the object when the lease was last written or
	// confirmed, zero when it is not held.
	revision uint64
	// expires is when the lease ends unless it is renewed.
	expires time.Time

	// otherRevision is the last revision seen of another holder's lease, and
	// otherSeenAt the time at which it was first seen.
	otherRevision uint64
	otherSeenAt   time.Time
}

// fence returns the fencing number.
func (l *lease) fence() uint64 { return l.revision }

// validFor reports whether the lease is held and remains valid for at least d.
func (l *lease) validFor(now time.Time, d time.Duration) bool {
	return l.revision != 0 && !now.Add(d).After(l.expires)
}

// acquireOrRenew returns nil when the lease is held afterwards. It writes a
// renewal only when a third of the duration has passed.
func (l *lease) acquireOrRenew(ctx context.Context, generation uint64) error {
	if l.validFor(time.Now(), l.duration*2/3) {
		return nil
	}
	start := time.Now()
	obj, record, err := l.read(ctx)
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		obj, err = l.store.Create(ctx, l.key, l.encode(l.holder, generation))
	case err != nil:
		return l.storeFailed("read lease", err)
	case !l.mayTake(obj, record):
		l.revision = 0
		return ErrLeaseLost
	case record.GetGeneration() > generation:
		l.revision = 0
		return ErrStaleGeneration
	default:
		obj, err = l.store.Update(ctx, l.key, l.encode(l.holder, generation), obj.Revision)
	}
	return l.afterWrite(obj, err, start)
}

// afterWrite processes the outcome of a write that began at start. If the answer
// was lost, the next read shows whether the write took effect.
func (l *lease) afterWrite(obj objectstore.Object, err error, start time.Time) error {
	if objectstore.IsConflict(err) {
		l.revision = 0
		return ErrLeaseLost
	}
	if err != nil {
		return l.storeFailed("write lease", err)
	}
	l.revision = obj.Revision
	l.expires = start.Add(l.duration)
	return nil
}

// storeFailed handles a failed call to the store: the lease counts as held until
// its last renewal expires.
func (l *lease) storeFailed(op string, err error) error {
	if l.validFor(time.Now(), 0) {
		return nil
	}
	return fmt.Errorf("%s: %w", op, err)
}

// mayTake reports whether this daemon may write the lease: it is released, this
// daemon's own, or another holder's that was not renewed for its whole duration.
func (l *lease) mayTake(obj objectstore.Object, record *bronzeturnv1.PoolLease) bool {
	if record.GetHolder() == "" || record.GetHolder() == l.holder {
		return true
	}
	now := time.Now()
	if l.otherRevision != obj.Revision {
		l.otherRevision = obj.Revision
		l.otherSeenAt = now
	}
	return now.Sub(l.otherSeenAt) >= max(record.GetDuration().AsDuration(), l.duration)
}

// confirm reads the lease again right before an order is sent. It returns nil only if
// this daemon holds the lease for at least d more, and ErrLeaseLost if it does not.
func (l *lease) confirm(ctx context.Context, d time.Duration) error {
	if !l.validFor(time.Now(), d) {
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
	// A renewal whose answer was lost may have raised the revision.
	l.revision = obj.Revision
	if !l.validFor(time.Now(), d) {
		return ErrLeaseLost
	}
	return nil
}

// release clears the holder, so that the next one need not wait for expiry.
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
		// Marshal fails only if the holder's name is not valid UTF-8.
		return nil
	}
	return value
}
