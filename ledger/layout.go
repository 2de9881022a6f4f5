package ledger

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

// Object keys of the ledger.
const (
	keyPrefix = "ledger/"
	layoutKey = keyPrefix + "layout"
)

// Defaults and limits of the layout.
const (
	DefaultShards = 32
	DefaultSlots  = 256
	maxShards     = 1024
	minSlots      = 4
	maxSlots      = 4096
)

// Store is the part of the object store's API that the ledger uses.
type Store interface {
	Get(ctx context.Context, key string) (objectstore.Object, error)
	List(ctx context.Context, prefix, after string, limit int) ([]objectstore.Object, error)
	Create(ctx context.Context, key string, value []byte) (objectstore.Object, error)
	Update(ctx context.Context, key string, value []byte, revision uint64) (objectstore.Object, error)
	Delete(ctx context.Context, key string, revision uint64) error
}

// CorruptError reports a ledger object that cannot be read. Nothing is written
// to its shard until an operator has repaired it.
type CorruptError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("corrupt object %s: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

var (
	errLayoutBounds = errors.New("shards or slots out of bounds")
	errWrongSlot    = errors.New("sequence does not belong to this slot")
)

// layout is the number of shards and of slots per shard. It is fixed when the
// ledger is created in the store.
type layout struct {
	shards uint32
	slots  uint32
}

// loadLayout reads the layout, or creates it as wanted if there is none. The
// first daemon to create it decides for all.
func loadLayout(ctx context.Context, store Store, want layout) (layout, error) {
	obj, err := store.Get(ctx, layoutKey)
	if err == nil {
		return decodeLayout(obj)
	}
	if !errors.Is(err, objectstore.ErrNotFound) {
		return layout{}, fmt.Errorf("read ledger layout: %w", err)
	}
	value, err := proto.Marshal(&bronzeturnv1.LedgerLayout{Shards: want.shards, Slots: want.slots})
	if err != nil {
		return layout{}, fmt.Errorf("encode ledger layout: %w", err)
	}
	if _, err := store.Create(ctx, layoutKey, value); err == nil {
		return want, nil
	} else if !objectstore.IsConflict(err) {
		return layout{}, fmt.Errorf("create ledger layout: %w", err)
	}
	if obj, err = store.Get(ctx, layoutKey); err != nil {
		return layout{}, fmt.Errorf("read ledger layout: %w", err)
	}
	return decodeLayout(obj)
}

func decodeLayout(obj objectstore.Object) (layout, error) {
	var msg bronzeturnv1.LedgerLayout
	if err := proto.Unmarshal(obj.Value, &msg); err != nil {
		return layout{}, &CorruptError{Key: layoutKey, Cause: err}
	}
	l := layout{shards: msg.Shards, slots: msg.Slots}
	if !l.valid() {
		return layout{}, &CorruptError{Key: layoutKey, Cause: errLayoutBounds}
	}
	return l, nil
}

func (l layout) valid() bool {
	return l.shards >= 1 && l.shards <= maxShards && l.slots >= minSlots && l.slots <= maxSlots
}

// shardKey returns the name of a shard for Owners, which is also the key prefix
// of its objects.
func shardKey(shard uint32) string { return fmt.Sprintf("%s%04d", keyPrefix, shard) }

func slotPrefix(shard uint32) string { return shardKey(shard) + "/slot/" }

// slotKey returns the key of the object that holds the batch with the sequence
// number.
func (l layout) slotKey(shard uint32, sequence uint64) string {
	return fmt.Sprintf("%s%04d", slotPrefix(shard), sequence%uint64(l.slots))
}

func segmentPrefix(shard uint32) string { return shardKey(shard) + "/segment/" }

// segmentKey returns the key of the segment that starts at the sequence number.
func segmentKey(shard uint32, from uint64) string {
	return fmt.Sprintf("%s%020d", segmentPrefix(shard), from)
}

func billsPrefix(shard uint32) string { return shardKey(shard) + "/bills/" }

// billsKey returns the key of the itemised bills that start at the sequence
// number.
func billsKey(shard uint32, from uint64) string {
	return fmt.Sprintf("%s%020d", billsPrefix(shard), from)
}

func totalsKey(shard uint32) string { return shardKey(shard) + "/totals" }

// volumeKey returns the key of a sealed volume: sums that were moved out of the
// totals when these had grown too large.
func volumeKey(shard uint32, volume uint64) string {
	return fmt.Sprintf("%s/volume/%020d", shardKey(shard), volume)
}
