package ledger

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Limits of one request to a preferred writer.
const (
	forwardRecords = 500
	forwardBytes   = 128 << 10
)

// outItem is a record that waits to be settled.
type outItem struct {
	record *bronzeturnv1.LedgerRecord
	size   int
	since  time.Time
	// done is closed when the record is settled.
	done chan struct{}
	// onDone, if not nil, is called when the record is settled.
	onDone func()

	mu sync.Mutex
	// holder is the daemon that has a copy, or empty; incarnation identifies
	// the run of that daemon.
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

// outbox keeps records until they are settled. Records of one shard are sent in
// order of arrival.
type outbox struct {
	maxRecords int
	maxBytes   int
	metrics    *metrics

	mu           sync.Mutex
	queues       []*recordQueue
	beforeLayout []*outItem // items added before the layout is known
	records      int
	bytes        int
	reserved     int
	// abandonedClaims are the unsettled releases of claims that this daemon has
	// abandoned, by fingerprint. Nothing will be dispatched under these claims.
	abandonedClaims map[fingerprint][]*outItem
}

// recordQueue holds the waiting records of one shard.
type recordQueue struct {
	shard uint32
	items []*outItem
	wake  chan struct{}
}

func newOutbox(maxRecords, maxBytes int, m *metrics) *outbox {
	return &outbox{
		maxRecords:      maxRecords,
		maxBytes:        maxBytes,
		metrics:         m,
		abandonedClaims: make(map[fingerprint][]*outItem),
	}
}

// openQueues creates one queue per shard and distributes the items that were
// added before the layout was known.
func (o *outbox) openQueues(shards uint32) []*recordQueue {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.queues = make([]*recordQueue, shards)
	for i := range o.queues {
		o.queues[i] = &recordQueue{shard: uint32(i), wake: make(chan struct{}, 1)}
	}
	for _, item := range o.beforeLayout {
		o.push(item)
	}
	o.beforeLayout = nil
	return o.queues
}

// offer adds a droppable record if there is room for it.
func (o *outbox) offer(rec *bronzeturnv1.LedgerRecord) {
	o.mu.Lock()
	full := o.exceedsLimits(1, proto.Size(rec))
	o.mu.Unlock()
	if !full {
		o.add(rec, nil)
	}
}

// add puts a record at the end of its queue and calls onDone, if not nil, when
// it is settled. It does not check the limits: ReserveBuffer has reserved the
// room.
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
		o.abandonedClaims[fp] = append(o.abandonedClaims[fp], item)
	}
	o.records++
	o.bytes += item.size
	o.updateGauges()
	if o.queues == nil {
		o.beforeLayout = append(o.beforeLayout, item)
		return item
	}
	o.push(item)
	return item
}

func (o *outbox) push(item *outItem) {
	q := o.queues[shardOf(fingerprint(item.record.Fingerprint), uint32(len(o.queues)))]
	q.items = append(q.items, item)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) updateGauges() {
	o.metrics.buffered.Set(float64(o.records))
	o.metrics.bytes.Set(float64(o.bytes))
}

// droppable reports whether the record may be lost: it only extends a pin.
func droppable(rec *bronzeturnv1.LedgerRecord) bool { return rec.GetPin().GetTouch() }

func isRelease(rec *bronzeturnv1.LedgerRecord) bool {
	return rec.GetOutcome().GetState() == bronzeturnv1.LedgerClaimState_LEDGER_CLAIM_STATE_RELEASED
}

func (o *outbox) exceedsLimits(records, bytes int) bool {
	return o.records+o.reserved*recordsPerRequest+records > o.maxRecords ||
		o.bytes+o.reserved*reservedBytes+bytes > o.maxBytes
}

// hasRoomForBodies reports whether outcomes may include response bodies: only
// while less than half of the buffer's bytes are used.
func (o *outbox) hasRoomForBodies() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return 2*o.bytes < o.maxBytes
}

// peek returns the first records of a queue, as many as fit in one request,
// without removing them.
func (o *outbox) peek(q *recordQueue) []*outItem {
	o.mu.Lock()
	defer o.mu.Unlock()
	size, n := 0, 0
	for n < len(q.items) && n < forwardRecords && size < forwardBytes {
		size += q.items[n].size
		n++
	}
	return append([]*outItem(nil), q.items[:n]...)
}

// removeSettled removes settled items, which were the first of the queue.
func (o *outbox) removeSettled(q *recordQueue, items []*outItem) {
	o.mu.Lock()
	defer o.mu.Unlock()
	removed := make(map[*outItem]bool, len(items))
	for _, item := range items {
		removed[item] = true
	}
	kept := q.items[:0:0]
	for _, item := range q.items {
		if removed[item] {
			o.remove(item)
		} else {
			kept = append(kept, item)
		}
	}
	q.items = kept
	o.updateGauges()
}

// forgetRelease removes a settled release from abandonedClaims.
func (o *outbox) forgetRelease(item *outItem) {
	if !isRelease(item.record) {
		return
	}
	fp := fingerprint(item.record.Fingerprint)
	kept := o.abandonedClaims[fp][:0]
	for _, other := range o.abandonedClaims[fp] {
		if other != item {
			kept = append(kept, other)
		}
	}
	o.abandonedClaims[fp] = kept
	if len(kept) == 0 {
		delete(o.abandonedClaims, fp)
	}
}

// findRelease returns the waiting release of an abandoned claim, or nil.
func (o *outbox) findRelease(fp fingerprint, nonce Nonce) *outItem {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, item := range o.abandonedClaims[fp] {
		if Nonce(item.record.Nonce) == nonce {
			return item
		}
	}
	return nil
}

// dropCopied removes the records of which a second daemon has a copy.
func (o *outbox) dropCopied() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	dropped := 0
	for _, q := range o.queues {
		kept := q.items[:0:0]
		for _, item := range q.items {
			if name, _ := item.copyHolder(); name == "" {
				kept = append(kept, item)
				continue
			}
			o.remove(item)
			dropped++
		}
		q.items = kept
	}
	o.updateGauges()
	return dropped
}

// remove updates the counts and closes the item's done channel. The caller
// removes the item from its queue.
func (o *outbox) remove(item *outItem) {
	o.records--
	o.bytes -= item.size
	o.forgetRelease(item)
	close(item.done)
}

// unsettled returns all waiting items, oldest first within each queue.
func (o *outbox) unsettled() []*outItem {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := append([]*outItem(nil), o.beforeLayout...)
	for _, q := range o.queues {
		all = append(all, q.items...)
	}
	return all
}

// size returns the number of waiting records.
func (o *outbox) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.records
}
