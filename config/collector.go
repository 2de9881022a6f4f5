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

// GarbageStore is the part of the object API that Collect uses.
type GarbageStore interface {
	Store
	List(ctx context.Context, prefix, after string, limit int) ([]objectstore.Object, error)
	Delete(ctx context.Context, key string, revision uint64) error
}

// collectPage is the number of parts read with one call.
const collectPage = 50

// CollectGarbage deletes parts that no head can refer to any more and returns how many.
//
// A part carries the generation its writer built upon. Only the next head can
// be the first to refer to it, and later heads take over parts from the head
// they replace only. A part based on an older generation that the head does not
// name is therefore never named again, whatever paused writers do, and may be
// deleted at any time. Parts based on one of the last keep generations stay, so
// that a daemon that lags behind can still read an older head. Collecting twice
// at once does no harm.
func CollectGarbage(ctx context.Context, store GarbageStore, random *rand.Rand, keep uint64) (int, error) {
	c := calls{store: store, random: random}
	obj, err := c.get(ctx, HeadKey)
	if err != nil || obj.Revision == 0 {
		return 0, err
	}
	head, err := DecodeHead(obj.Value)
	if err != nil {
		return 0, err
	}
	named := make(map[string]struct{}, len(head.GetParts()))
	for _, ref := range head.GetParts() {
		named[RefDigest(ref).Key()] = struct{}{}
	}
	deleted, after := 0, ""
	for {
		page, err := collectList(ctx, c, store, after)
		if err != nil {
			return deleted, err
		}
		for _, part := range page {
			after = part.Key
			if _, ok := named[part.Key]; ok || !unreferable(part, head.GetGeneration(), keep) {
				continue
			}
			if err := collectDelete(ctx, c, store, part); err != nil {
				return deleted, err
			}
			deleted++
		}
		if len(page) < collectPage {
			return deleted, nil
		}
	}
}

// unreferable tells whether only heads older than the last keep generations can
// have been the first to name the part. One that cannot be decoded stays.
func unreferable(obj objectstore.Object, generation, keep uint64) bool {
	part := &bronzeturnv1.Part{}
	if err := proto.Unmarshal(obj.Value, part); err != nil {
		return false
	}
	return part.GetBaseGeneration() < generation && generation-part.GetBaseGeneration() > keep
}

func collectList(ctx context.Context, c calls, store GarbageStore, after string) ([]objectstore.Object, error) {
	var page []objectstore.Object
	err := c.repeat(ctx, func(ctx context.Context) error {
		var err error
		page, err = store.List(ctx, PartPrefix, after, collectPage)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("list parts: %w", err)
	}
	return page, nil
}

func collectDelete(ctx context.Context, c calls, store GarbageStore, obj objectstore.Object) error {
	err := c.repeat(ctx, func(ctx context.Context) error {
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
