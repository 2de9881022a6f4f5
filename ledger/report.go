package ledger

import (
	"context"
	"errors"
	"fmt"
	"sort"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/objectstore"
)

// reportAttempts is the maximum number of attempts to read a shard. An attempt
// fails if slots were overwritten between two of its store calls.
const reportAttempts = 5

// ErrBusy reports that a shard's log changed faster than it could be read.
var ErrBusy = errors.New("ledger shard changes faster than it can be read")

// Totals returns the sums of all bills in the store by organisation and
// version. It does not need a running Ledger.
func Totals(ctx context.Context, store Store) ([]Total, error) {
	lay, err := existingLayout(ctx, store)
	if err != nil {
		return nil, err
	}
	sums := make(map[totalKey]Total)
	for shard := range lay.shards {
		if err := addShardTotals(ctx, store, lay, shard, sums); err != nil {
			return nil, err
		}
	}
	return sortedTotals(sums), nil
}

// existingLayout reads the layout. It returns an empty one, with no shards, if
// the store has none.
func existingLayout(ctx context.Context, store Store) (layout, error) {
	obj, err := store.Get(ctx, layoutKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		return layout{}, nil
	}
	if err != nil {
		return layout{}, fmt.Errorf("read ledger layout: %w", err)
	}
	return decodeLayout(obj)
}

func addShardTotals(ctx context.Context, store Store, lay layout, shard uint32, sums map[totalKey]Total) error {
	for range reportAttempts {
		through, archived, err := readTotals(ctx, store, shard)
		if err != nil {
			return err
		}
		tail, err := unarchivedBills(ctx, store, lay, shard, through)
		if errors.Is(err, errOverwritten) {
			continue
		}
		if err != nil {
			return err
		}
		if err := addVolumes(ctx, store, shard, archived.volume, sums); err != nil {
			return err
		}
		for key, t := range archived.sums {
			mergeTotal(sums, key, t)
		}
		for _, b := range tail {
			addBill(sums, b)
		}
		return nil
	}
	return fmt.Errorf("shard %d: %w", shard, ErrBusy)
}

// addVolumes adds the sums of the sealed volumes.
func addVolumes(ctx context.Context, store Store, shard uint32, volumes uint64, sums map[totalKey]Total) error {
	for volume := range volumes {
		key := volumeKey(shard, volume)
		obj, err := store.Get(ctx, key)
		if err != nil {
			return fmt.Errorf("read %s: %w", key, err)
		}
		var msg bronzeturnv1.LedgerTotals
		if err := proto.Unmarshal(obj.Value, &msg); err != nil {
			return &CorruptError{Key: key, Cause: err}
		}
		addTotals(sums, &msg)
	}
	return nil
}

func mergeTotal(sums map[totalKey]Total, key totalKey, t Total) {
	s := sums[key]
	s.Organisation, s.Version = t.Organisation, t.Version
	s.Bills += t.Bills
	s.PromptTokens += t.PromptTokens
	s.CompletionTokens += t.CompletionTokens
	s.CostMicros += t.CostMicros
	sums[key] = s
}

// unarchivedBills returns the bills of the batches after the sequence number.
func unarchivedBills(ctx context.Context, store Store, lay layout, shard uint32, through uint64) ([]*bronzeturnv1.LedgerBill, error) {
	objects, err := listAll(ctx, store, slotPrefix(shard), slotPageSize)
	if err != nil {
		return nil, err
	}
	batches := make([]*bronzeturnv1.LedgerBatch, 0, len(objects))
	for _, obj := range objects {
		var batch bronzeturnv1.LedgerBatch
		if err := proto.Unmarshal(obj.Value, &batch); err != nil {
			return nil, &CorruptError{Key: obj.Key, Cause: err}
		}
		if batch.Sequence > through {
			batches = append(batches, &batch)
		}
	}
	sort.Slice(batches, func(i, j int) bool { return batches[i].Sequence < batches[j].Sequence })
	var bills []*bronzeturnv1.LedgerBill
	for i, batch := range batches {
		if batch.Sequence != through+uint64(i)+1 {
			return nil, errOverwritten
		}
		bills = appendBills(bills, batch)
	}
	return bills, nil
}

func appendBills(bills []*bronzeturnv1.LedgerBill, batch *bronzeturnv1.LedgerBatch) []*bronzeturnv1.LedgerBill {
	for _, rec := range batch.Records {
		if b := rec.GetBill(); b != nil {
			bills = append(bills, b)
		}
	}
	return bills
}

// EachBill calls fn for every itemised bill that is still kept, shard by shard.
// It stops at the first error and returns it.
func EachBill(ctx context.Context, store Store, fn func(Bill) error) error {
	lay, err := existingLayout(ctx, store)
	if err != nil {
		return err
	}
	for shard := range lay.shards {
		if err := eachBillOfShard(ctx, store, lay, shard, fn); err != nil {
			return err
		}
	}
	return nil
}

func eachBillOfShard(ctx context.Context, store Store, lay layout, shard uint32, fn func(Bill) error) error {
	through, after := uint64(0), ""
	for range reportAttempts {
		archived, _, err := readTotals(ctx, store, shard)
		if err != nil {
			return err
		}
		through, after, err = eachArchivedBill(ctx, store, shard, through, after, fn)
		if err != nil {
			return err
		}
		through = max(through, archived) // expired itemised bills are in the totals only
		tail, err := unarchivedBills(ctx, store, lay, shard, through)
		if errors.Is(err, errOverwritten) {
			continue // more bills have been archived meanwhile
		}
		if err != nil {
			return err
		}
		return eachBill(tail, fn)
	}
	return fmt.Errorf("shard %d: %w", shard, ErrBusy)
}

// eachArchivedBill calls fn for the bills of the itemised objects after the
// given key. It returns the last sequence number and key read.
func eachArchivedBill(ctx context.Context, store Store, shard uint32, through uint64, after string, fn func(Bill) error) (uint64, string, error) {
	for {
		page, err := store.List(ctx, billsPrefix(shard), after, segmentPageSize)
		if err != nil {
			return 0, "", fmt.Errorf("list bills of shard %d: %w", shard, err)
		}
		for _, obj := range page {
			bills, err := decodeBills(obj)
			if err != nil {
				return 0, "", err
			}
			if err := eachBill(bills.Bills, fn); err != nil {
				return 0, "", err
			}
			through, after = bills.Through, obj.Key
		}
		if len(page) < segmentPageSize {
			return through, after, nil
		}
	}
}

func eachBill(bills []*bronzeturnv1.LedgerBill, fn func(Bill) error) error {
	for _, b := range bills {
		if err := fn(billOf(b)); err != nil {
			return err
		}
	}
	return nil
}
