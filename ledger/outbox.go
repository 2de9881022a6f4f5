package ledger

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Bounds of one request to a preferred writer.
const (
	laneRecords = 500
	laneBytes   = 128 << 10
)

// outItem is a record on its way to the store.
type outItem struct {
	record *bronzeturnv1.LedgerRecord
	size   int
	since  time.Time
	// done is closed when the record is settled.
	done chan struct{}
	// onDone, if any, is called when the record is settled.
	onDone func()

	mu sync.Mutex
	// holder has a copy, if not empty.
	holder      string
	incarnation string
}

func (i *outItem) setHolder(name, incarnation string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.holder, i.incarnation = name, incarnation
}

// copyHolder returns the daemon that has a copy, and its incarnation.
func (i *outItem) copyHolder() (name, incarnation string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.holder, i.incarnation
}

// outbox keeps records until they are settled. Records of one shard leave in
// the order in which they came.
type outbox struct {
	maxRecords int
	maxBytes   int
	metrics    *metrics

	mu       sync.Mutex
	lanes    []*lane
	early    []*outItem // before the layout is known
	records  int
	bytes    int
	reserved int
	// givenUp are the attempts of this daemon to claim a key under which
	// nothing will be dispatched, by fingerprint.
	givenUp map[fingerprint][]*outItem
}

// lane holds the waiting records of one shard.
type lane struct {
	shard uint32
	items []*outItem
	wake  chan struct{}
}

func newOutbox(maxRecords, maxBytes int, m *metrics) *outbox {
	return &outbox{
		maxRecords: maxRecords,
		maxBytes:   maxBytes,
		metrics:    m,
		givenUp:    make(map[fingerprint][]*outItem),
	}
}

// open spreads what came early over the lanes.
func (o *outbox) open(shards uint32) []*lane {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lanes = make([]*lane, shards)
	for i := range o.lanes {
		o.lanes[i] = &lane{shard: uint32(i), wake: make(chan struct{}, 1)}
	}
	for _, item := range o.early {
		o.push(item)
	}
	o.early = nil
	return o.lanes
}

// offer adds a record that may be dropped, if there is room.
func (o *outbox) offer(rec *bronzeturnv1.LedgerRecord) {
	o.mu.Lock()
	full := o.fullWith(1, proto.Size(rec))
	o.mu.Unlock()
	if !full {
		o.add(rec, nil)
	}
}

// add puts a record at the end of its lane and calls onDone, if not nil, when
// it is settled. ReserveBuffer has made room for it.
func (o *outbox) add(rec *bronzeturnv1.LedgerRecord, onDone func()) *outItem {
	item := &outItem{
		record: rec,
		size:   proto.Size(rec),
		since:  time.Now(),
		done:   make(chan struct{}),
		onDone: onDone,
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if isRelease(rec) {
		fp := fingerprint(rec.Fingerprint)
		o.givenUp[fp] = append(o.givenUp[fp], item)
	}
	o.records++
	o.bytes += item.size
	o.gauge()
	if o.lanes == nil {
		o.early = append(o.early, item)
		return item
	}
	o.push(item)
	return item
}

func (o *outbox) push(item *outItem) {
	ln := o.lanes[shardOf(fingerprint(item.record.Fingerprint), uint32(len(o.lanes)))]
	ln.items = append(ln.items, item)
	select {
	case ln.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) gauge() {
	o.metrics.buffered.Set(float64(o.records))
	o.metrics.bytes.Set(float64(o.bytes))
}

// droppable records only prolong a pin.
func droppable(rec *bronzeturnv1.LedgerRecord) bool { return rec.GetPin().GetTouch() }

func isRelease(rec *bronzeturnv1.LedgerRecord) bool {
	return rec.GetOutcome().GetState() == bronzeturnv1.LedgerClaimState_LEDGER_CLAIM_STATE_RELEASED
}

func (o *outbox) fullWith(records, bytes int) bool {
	return o.records+o.reserved*recordsPerRequest+records > o.maxRecords ||
		o.bytes+o.reserved*reservedBytes+bytes > o.maxBytes
}

// roomForBodies tells whether answer bodies may be kept: not when half of the
// room is used.
func (o *outbox) roomForBodies() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return 2*o.bytes < o.maxBytes
}

// peek returns the first records of a lane without removing them.
func (o *outbox) peek(ln *lane) []*outItem {
	o.mu.Lock()
	defer o.mu.Unlock()
	size, n := 0, 0
	for n < len(ln.items) && n < laneRecords && size < laneBytes {
		size += ln.items[n].size
		n++
	}
	return append([]*outItem(nil), ln.items[:n]...)
}

// settled removes the items, which were the first of the lane.
func (o *outbox) settled(ln *lane, items []*outItem) {
	o.mu.Lock()
	defer o.mu.Unlock()
	gone := make(map[*outItem]bool, len(items))
	for _, item := range items {
		gone[item] = true
	}
	kept := ln.items[:0:0]
	for _, item := range ln.items {
		if gone[item] {
			o.remove(item)
		} else {
			kept = append(kept, item)
		}
	}
	ln.items = kept
	o.gauge()
}

// forget removes an attempt that was given up and is now released.
func (o *outbox) forget(item *outItem) {
	if !isRelease(item.record) {
		return
	}
	fp := fingerprint(item.record.Fingerprint)
	kept := o.givenUp[fp][:0]
	for _, other := range o.givenUp[fp] {
		if other != item {
			kept = append(kept, other)
		}
	}
	o.givenUp[fp] = kept
	if len(kept) == 0 {
		delete(o.givenUp, fp)
	}
}

// release returns the item that gives up the attempt, if there is one.
func (o *outbox) release(fp fingerprint, nonce Nonce) *outItem {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, item := range o.givenUp[fp] {
		if Nonce(item.record.Nonce) == nonce {
			return item
		}
	}
	return nil
}

// dropCopied removes the records that a second daemon has.
func (o *outbox) dropCopied() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	dropped := 0
	for _, ln := range o.lanes {
		kept := ln.items[:0:0]
		for _, item := range ln.items {
			if name, _ := item.copyHolder(); name == "" {
				kept = append(kept, item)
				continue
			}
			o.remove(item)
			dropped++
		}
		ln.items = kept
	}
	o.gauge()
	return dropped
}

// remove takes an item out of the accounts. The caller takes it out of its
// lane.
func (o *outbox) remove(item *outItem) {
	o.records--
	o.bytes -= item.size
	o.forget(item)
	close(item.done)
}

// unsettled returns all waiting items, oldest first within each lane.
func (o *outbox) unsettled() []*outItem {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := append([]*outItem(nil), o.early...)
	for _, ln := range o.lanes {
		all = append(all, ln.items...)
	}
	return all
}

// size returns the number of waiting records.
func (o *outbox) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.records
}
