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

// slotPage bounds the objects of one List call over batches.
const slotPage = 64

// errLapped reports that the log went on so far that the slot of the next
// batch has been overwritten. The reader starts again from the segments.
var errLapped = errors.New("log has gone on past the reader")

// loadSlots lists the ring, keeps the batches that are not compacted or not
// filed, and applies those that follow the segments.
func (g *shardLog) loadSlots(ctx context.Context) error {
	g.revisions = make([]uint64, g.layout.slots)
	objects, err := listAll(ctx, g.store, slotPrefix(g.shard), slotPage)
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
	return g.takeBatches(batches)
}

// takeBatches applies listed batches in order. It fails with errLapped when
// one that is still needed was overwritten since the segments were read.
func (g *shardLog) takeBatches(batches []*bronzeturnv1.LedgerBatch) error {
	want := min(g.compacted, g.filed) + 1
	for _, batch := range batches {
		if batch.Sequence < want {
			continue
		}
		if batch.Sequence > want {
			break
		}
		want++
		if batch.Sequence <= g.compacted {
			g.keep(batch)
			continue
		}
		g.apply(batch, time.Now())
	}
	if want <= g.compacted {
		return errLapped
	}
	return nil
}

// readSlot returns the batch with the sequence number, or nil when it has not
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
		return nil, errLapped
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
		return nil, &CorruptError{Key: obj.Key, Cause: errSequence}
	}
	return &batch, nil
}

// conditionalWrite creates the object if revision is zero, else updates it.
func conditionalWrite(ctx context.Context, store Store, key string, value []byte, revision uint64) (objectstore.Object, error) {
	if revision == 0 {
		return store.Create(ctx, key, value)
	}
	return store.Update(ctx, key, value, revision)
}

// listAll lists the objects with the prefix page by page.
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
