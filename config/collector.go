package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

// GarbageStore is the part of the object API that CollectGarbage uses.
type GarbageStore interface {
	Store
	List(ctx context.Context, prefix, after string, limit int) ([]objectstore.Object, error)
	Delete(ctx context.Context, key string, revision uint64) error
}

// listPageSize is the number of parts read per call.
const listPageSize = 50

// CollectGarbage deletes the parts that no head can refer to any more and returns
// their number.
//
// A part records its base generation, the one its writer built on. Only the head
// that directly follows that generation can be the first to refer to the part, and
// later heads reuse only parts of the head that they replace. A part with an older
// base generation that the current head does not refer to is therefore never
// referred to again, even by writers that were paused, and may be deleted at any
// time. Parts based on one of the last keep generations are kept, so that a daemon
// that lags behind can still read an older head. Concurrent collections are safe.
func CollectGarbage(ctx context.Context, store GarbageStore, random *rand.Rand, keep uint64) (int, error) {
	retrying := retryingStore{store: store, random: random}
	obj, err := retrying.get(ctx, HeadKey)
	if err != nil || obj.Revision == 0 {
		return 0, err
	}
	head, err := DecodeHead(obj.Value)
	if err != nil {
		return 0, err
	}
	referenced := make(map[string]struct{}, len(head.GetParts()))
	for _, ref := range head.GetParts() {
		referenced[RefDigest(ref).Key()] = struct{}{}
	}
	deleted, after := 0, ""
	for {
		page, err := listParts(ctx, retrying, store, after)
		if err != nil {
			return deleted, err
		}
		for _, part := range page {
			after = part.Key
			if _, ok := referenced[part.Key]; ok || !obsolete(part, head.GetGeneration(), keep) {
				continue
			}
			if err := deletePart(ctx, retrying, store, part); err != nil {
				return deleted, err
			}
			deleted++
		}
		if len(page) < listPageSize {
			return deleted, nil
		}
	}
}

// obsolete reports whether the base generation of the part is older than the last
// keep generations. A part that cannot be decoded is kept.
func obsolete(obj objectstore.Object, generation, keep uint64) bool {
	part := &bronzeturnv1.Part{}
	if err := proto.Unmarshal(obj.Value, part); err != nil {
		return false
	}
	return part.GetBaseGeneration() < generation && generation-part.GetBaseGeneration() > keep
}

func listParts(ctx context.Context, retrying retryingStore, store GarbageStore, after string) ([]objectstore.Object, error) {
	var page []objectstore.Object
	err := retrying.retry(ctx, func(ctx context.Context) error {
		var err error
		page, err = store.List(ctx, PartPrefix, after, listPageSize)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("list parts: %w", err)
	}
	return page, nil
}

func deletePart(ctx context.Context, retrying retryingStore, store GarbageStore, obj objectstore.Object) error {
	err := retrying.retry(ctx, func(ctx context.Context) error {
		return store.Delete(ctx, obj.Key, obj.Revision)
	})
	if errors.Is(err, objectstore.ErrNotFound) || objectstore.IsConflict(err) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("delete part: %w", err)
	}
	return nil
}
