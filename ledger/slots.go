package ledger

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

// slotPageSize is the number of objects per List call for batches.
const slotPageSize = 64

// errOverwritten reports that the slot of a needed batch already holds a later
// batch. The log must be loaded again from its segments.
var errOverwritten = errors.New("log has gone on past the reader")

// loadSlots reads all slots. It puts the batches that are not yet both compacted
// and archived into the tail, and applies those after the segments to the state.
func (g *shardLog) loadSlots(ctx context.Context) error {
	g.revisions = make([]uint64, g.layout.slots)
	objects, err := listAll(ctx, g.store, slotPrefix(g.shard), slotPageSize)
	if err != nil {
		return err
	}
	batches := make([]*bronzeturnv1.LedgerBatch, 0, len(objects))
	for _, obj := range objects {
		batch, err := g.decodeSlot(obj)
		if err != nil {
			return err
		}
		g.revisions[batch.Sequence%uint64(g.layout.slots)] = obj.Revision
		batches = append(batches, batch)
	}
	sort.Slice(batches, func(i, j int) bool { return batches[i].Sequence < batches[j].Sequence })
	return g.applyBatches(batches)
}

// applyBatches processes the listed batches in order: those that the segments
// cover go into the tail only, later ones are applied. It returns errOverwritten
// if a batch that is still needed was overwritten after the segments were read.
func (g *shardLog) applyBatches(batches []*bronzeturnv1.LedgerBatch) error {
	want := min(g.compacted, g.archived) + 1
	for _, batch := range batches {
		if batch.Sequence < want {
			continue
		}
		if batch.Sequence > want {
			break
		}
		want++
		if batch.Sequence <= g.compacted {
			g.addToTail(batch)
			continue
		}
		g.apply(batch, time.Now())
	}
	if want <= g.compacted {
		return errOverwritten
	}
	return nil
}

// readSlot returns the batch with the sequence number, or nil if it has not
// been written.
func (g *shardLog) readSlot(ctx context.Context, sequence uint64) (*bronzeturnv1.LedgerBatch, error) {
	slot := sequence % uint64(g.layout.slots)
	obj, err := g.store.Get(ctx, g.layout.slotKey(g.shard, sequence))
	if errors.Is(err, objectstore.ErrNotFound) {
		g.revisions[slot] = 0
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read batch %d of shard %d: %w", sequence, g.shard, err)
	}
	batch, err := g.decodeSlot(obj)
	if err != nil {
		return nil, err
	}
	if batch.Sequence > sequence {
		g.loaded = false
		return nil, errOverwritten
	}
	g.revisions[slot] = obj.Revision
	if batch.Sequence < sequence {
		return nil, nil
	}
	return batch, nil
}

func (g *shardLog) decodeSlot(obj objectstore.Object) (*bronzeturnv1.LedgerBatch, error) {
	var batch bronzeturnv1.LedgerBatch
	if err := proto.Unmarshal(obj.Value, &batch); err != nil {
		return nil, &CorruptError{Key: obj.Key, Cause: err}
	}
	if g.layout.slotKey(g.shard, batch.Sequence) != obj.Key {
		return nil, &CorruptError{Key: obj.Key, Cause: errWrongSlot}
	}
	return &batch, nil
}

// conditionalWrite creates the object if revision is zero, and otherwise
// updates it.
func conditionalWrite(ctx context.Context, store Store, key string, value []byte, revision uint64) (objectstore.Object, error) {
	if revision == 0 {
		return store.Create(ctx, key, value)
	}
	return store.Update(ctx, key, value, revision)
}

// listAll lists all objects with the prefix, page by page.
func listAll(ctx context.Context, store Store, prefix string, pageSize int) ([]objectstore.Object, error) {
	var all []objectstore.Object
	after := ""
	for {
		page, err := store.List(ctx, prefix, after, pageSize)
		if err != nil {
			return nil, fmt.Errorf("list %s: %w", prefix, err)
		}
		all = append(all, page...)
		if len(page) < pageSize {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}
