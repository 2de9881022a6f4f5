package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Holders provides the daemons that may hold copies of unsettled records.
type Holders interface {
	// Holders returns the names of other live daemons, those in other data
	// centres first.
	Holders() []string
}

// Limits and intervals for copies on other daemons.
const (
	copyTimeout             = 300 * time.Millisecond
	copyAttempts            = 3
	copyRequestRecords      = 200
	copyMaintenanceInterval = 5 * time.Second
	overdueCopyAge          = 30 * time.Second
	maxPendingReleases      = 5000
)

// ErrCopiesFull reports that a daemon has no room for more copies.
var ErrCopiesFull = errors.New("no room for copies")

// copies are the unsettled records that this daemon holds for others, and the
// releases that it has yet to send to the holders of its own records.
type copies struct {
	maxRecords int
	maxBytes   int
	// incarnation identifies one run of the daemon. Copies held by an earlier
	// run are lost.
	incarnation string

	mu       sync.Mutex
	held     map[Nonce]*heldCopy
	order    []*heldCopy
	bytes    int
	releases map[string][][]byte
}

// heldCopy is a record held for another daemon.
type heldCopy struct {
	record *bronzeturnv1.LedgerRecord
	size   int
	since  time.Time
	// queued is set once this daemon has queued the record to write it.
	queued   bool
	released bool
}

func newCopies(maxRecords, maxBytes int) *copies {
	nonce := newNonce()
	return &copies{
		maxRecords:  maxRecords,
		maxBytes:    maxBytes,
		incarnation: string(nonce[:]),
		held:        make(map[Nonce]*heldCopy),
		releases:    make(map[string][][]byte),
	}
}

// add adds copies of all the records, or none of them.
func (c *copies) add(records []*bronzeturnv1.LedgerRecord) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := 0
	for _, rec := range records {
		size += proto.Size(rec)
	}
	if len(c.held)+len(records) > c.maxRecords || c.bytes+size > c.maxBytes {
		return ErrCopiesFull
	}
	for _, rec := range records {
		if _, ok := c.held[Nonce(rec.Nonce)]; ok {
			continue
		}
		held := &heldCopy{record: rec, size: proto.Size(rec), since: time.Now()}
		c.held[Nonce(rec.Nonce)] = held
		c.order = append(c.order, held)
		c.bytes += held.size
	}
	return nil
}

// remove drops the copies with the given nonces.
func (c *copies) remove(nonces [][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range nonces {
		if len(n) != idBytes {
			continue
		}
		if held, ok := c.held[Nonce(n)]; ok {
			held.released = true
			c.bytes -= held.size
			delete(c.held, Nonce(n))
		}
	}
	if len(c.order) > 2*len(c.held) {
		c.trim()
	}
}

// trim removes released copies from order. The caller holds mu.
func (c *copies) trim() {
	kept := c.order[:0]
	for _, held := range c.order {
		if !held.released {
			kept = append(kept, held)
		}
	}
	clear(c.order[len(kept):])
	c.order = kept
}

// takeDue returns the copies older than age that are not yet queued, oldest
// first, and marks them as queued.
func (c *copies) takeDue(age time.Duration) []*heldCopy {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []*heldCopy
	for _, held := range c.order {
		if !held.queued && !held.released && time.Since(held.since) >= age {
			held.queued = true
			due = append(due, held)
		}
	}
	return due
}

// clear drops all copies and returns their number.
func (c *copies) clear() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.held)
	c.held = make(map[Nonce]*heldCopy)
	c.order = nil
	c.bytes = 0
	return n
}

// size returns the number of copies held.
func (c *copies) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held)
}

// queueRelease schedules messages to the holders of settled items that they may
// drop their copies.
func (c *copies) queueRelease(items []*outItem) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range items {
		if name, _ := item.copyHolder(); name != "" && len(c.releases[name]) < maxPendingReleases {
			c.releases[name] = append(c.releases[name], item.record.Nonce)
		}
	}
}

func (c *copies) takeReleases() map[string][][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.releases
	c.releases = make(map[string][][]byte)
	return taken
}

// copyToHolder copies the items to the first daemon that accepts them.
func (l *Ledger) copyToHolder(ctx context.Context, items []*outItem) bool {
	if l.cfg.Holders == nil {
		return false
	}
	names := l.cfg.Holders.Holders()
	for _, name := range names[:min(len(names), copyAttempts)] {
		if l.copyItemsTo(ctx, name, items) == nil {
			return true
		}
	}
	return false
}

// copyItemsTo copies the items to one daemon and records its incarnation.
func (l *Ledger) copyItemsTo(ctx context.Context, name string, items []*outItem) error {
	records := make([]*bronzeturnv1.LedgerRecord, len(items))
	for i, item := range items {
		records[i] = item.record
	}
	incarnation, err := l.sendCopies(ctx, name, records)
	if err != nil {
		return err
	}
	for _, item := range items {
		item.setHolder(name, incarnation)
	}
	return nil
}

func (l *Ledger) sendCopies(ctx context.Context, name string, records []*bronzeturnv1.LedgerRecord) (incarnation string, err error) {
	client, ok := l.dial(name)
	if !ok {
		return "", errUnknownDaemon
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	req := &bronzeturnv1.HoldRequest{Owner: l.cfg.Self, Records: records}
	resp, err := client.Hold(ctx, connect.NewRequest(req))
	if err != nil {
		return "", err
	}
	return string(resp.Msg.Incarnation), nil
}

// errUnknownDaemon reports that the dialer does not know a daemon.
var errUnknownDaemon = errors.New("daemon is not known")

// maintainCopies periodically releases copies of settled records, replaces
// copies whose holder has failed, and writes copies whose owner has not written
// them.
func (l *Ledger) maintainCopies() error {
	for l.sleep(copyMaintenanceInterval/2 + l.jitter(copyMaintenanceInterval)) {
		ctx := l.tomb.Context(context.Background())
		l.sendReleases(ctx)
		l.renewCopies(ctx)
		l.writeOverdueCopies()
	}
	return nil
}

func (l *Ledger) sendReleases(ctx context.Context) {
	for name, nonces := range l.copies.takeReleases() {
		client, ok := l.dial(name)
		if !ok {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, copyTimeout)
		req := &bronzeturnv1.ReleaseRequest{Owner: l.cfg.Self, Nonces: nonces}
		// A lost release is harmless: the holder later finds the records
		// settled.
		_, err := client.Release(callCtx, connect.NewRequest(req))
		cancel()
		if err != nil {
			l.logger.Debug().Err(err).Str("holder", name).Msg("release of copies failed")
		}
	}
}

// renewCopies finds a new holder for items that have none, or whose holder does
// not answer or has restarted.
func (l *Ledger) renewCopies(ctx context.Context) {
	alive := make(map[string]string)
	var uncopied []*outItem
	for _, item := range l.outbox.unsettled() {
		if time.Since(item.since) < l.cfg.BillPatience || droppable(item.record) {
			continue
		}
		if !l.holderHasCopy(ctx, item, alive) {
			uncopied = append(uncopied, item)
		}
	}
	for len(uncopied) > 0 {
		n := min(len(uncopied), copyRequestRecords)
		if !l.copyToHolder(ctx, uncopied[:n]) {
			return
		}
		uncopied = uncopied[n:]
	}
}

func (l *Ledger) holderHasCopy(ctx context.Context, item *outItem, alive map[string]string) bool {
	name, known := item.copyHolder()
	if name == "" {
		return false
	}
	incarnation, asked := alive[name]
	if !asked {
		incarnation, _ = l.sendCopies(ctx, name, nil) // empty on failure
		alive[name] = incarnation
	}
	return incarnation != "" && incarnation == known
}

// writeOverdueCopies writes the copies that their owner should have settled by
// now: the store has answered for a while, but they have not been released. If
// the owner is alive, this is harmless, since each key is recorded once.
func (l *Ledger) writeOverdueCopies() {
	if l.store.failedWithin(overdueCopyAge) {
		return
	}
	l.queueHeldCopies(l.copies.takeDue(overdueCopyAge))
}

func (l *Ledger) queueHeldCopies(due []*heldCopy) {
	for _, held := range due {
		nonces := [][]byte{held.record.Nonce}
		l.outbox.add(held.record, func() { l.copies.remove(nonces) })
	}
}

// Hold implements bronzeturnv1connect.LedgerServiceHandler.
func (s *service) Hold(_ context.Context, req *connect.Request[bronzeturnv1.HoldRequest]) (*connect.Response[bronzeturnv1.HoldResponse], error) {
	for _, rec := range req.Msg.Records {
		if err := checkRecord(rec); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
	}
	if err := s.ledger.copies.add(req.Msg.Records); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	return connect.NewResponse(&bronzeturnv1.HoldResponse{Incarnation: []byte(s.ledger.copies.incarnation)}), nil
}

// Release implements bronzeturnv1connect.LedgerServiceHandler.
func (s *service) Release(_ context.Context, req *connect.Request[bronzeturnv1.ReleaseRequest]) (*connect.Response[bronzeturnv1.ReleaseResponse], error) {
	s.ledger.copies.remove(req.Msg.Nonces)
	return connect.NewResponse(&bronzeturnv1.ReleaseResponse{}), nil
}
