package gossip

import (
	"errors"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// read processes the neighbour's frames until the link ends.
func (l *link) read() error {
	frame, err := l.receive()
	if err != nil {
		return err
	}
	// A first frame with entries but no hello is a referral.
	if frame.GetHello() == nil && len(frame.GetEntries()) > 0 {
		for _, e := range frame.GetEntries() {
			l.receiveEntry(e)
		}
		return ErrReferred
	}
	name := frame.GetHello().GetName()
	if name == "" || len(name) > MaxKeyBytes || name == l.node.options.Name {
		return &HelloError{Name: name}
	}
	l.name.Store(&name)
	l.acceptsCompressed.Store(frame.GetHello().GetCompressed())
	l.node.log.Debug().Str("neighbour", name).Bool("outbound", l.target != nil).Msg("overlay link opened")
	l.node.resolveDuplicate(name)
	for {
		l.lastReceived.Store(int64(time.Since(l.opened)))
		l.handle(name, frame)
		if frame.GetGoodbye() {
			return ErrGoodbye
		}
		frame, err = l.receive()
		if err != nil {
			return err
		}
	}
}

// handle processes one frame.
func (l *link) handle(name string, frame *bronzeturnv1.Frame) {
	for _, e := range frame.GetEntries() {
		l.receiveEntry(e)
	}
	if h := frame.GetHeartbeat(); h != nil {
		l.node.options.Observer.HeartbeatReceived(name, h)
		if h.GetTableSize() > 0 {
			l.node.pullIfDifferent(l, h)
		}
	}
	if d := frame.GetDigest(); d != nil {
		keys, summary := l.node.table.compareDigest(d)
		for _, key := range keys {
			l.enqueue(key)
		}
		l.enqueueControl(splitSummary(summary)...)
	}
	if s := frame.GetSummary(); s != nil {
		if want := l.node.table.compareSummary(s); want != nil {
			l.enqueueControl(&bronzeturnv1.Frame{Want: want})
		}
	}
	for _, key := range frame.GetWant().GetKeys() {
		l.enqueue(key)
	}
}

// receiveEntry processes one received entry. A refused entry is counted and not forwarded.
func (l *link) receiveEntry(e *bronzeturnv1.TableEntry) {
	age := time.Duration(min(e.GetAgeMs(), maxAgeMillis)) * time.Millisecond
	changed, err := l.node.applyEntry(l, e.GetKey(), e.GetVersion(), e.GetValue(), age)
	var refused *RefusedError
	if errors.As(err, &refused) {
		l.node.metrics.refused.WithLabelValues(string(refused.Reason)).Inc()
		return
	}
	if changed {
		return
	}
	held := l.node.table.get(e.GetKey())
	if held != nil && held.hash == hashEntry(e.GetKey(), e.GetVersion(), e.GetValue()) {
		l.dequeue(e.GetKey())
	}
}

// maxAgeMillis limits the age of an entry stated by a neighbour.
const maxAgeMillis = uint64(30 * 24 * time.Hour / time.Millisecond)

// pullIfDifferent starts an anti-entropy exchange if the neighbour's table differs and
// beginPull permits it.
func (n *Node) pullIfDifferent(l *link, theirs *bronzeturnv1.Heartbeat) {
	if theirs.GetTableDigest() == n.table.digest() {
		return
	}
	if !n.beginPull(l, int(theirs.GetTableSize())-1, time.Now()) {
		return
	}
	n.metrics.pulls.Inc()
	digest := &bronzeturnv1.TableDigest{Buckets: n.table.digests()}
	l.enqueueControl(&bronzeturnv1.Frame{Digest: digest})
}

// beginPull reports whether an exchange may start now, and records it if so. At most one
// exchange starts per interval, so that a starting daemon does not fetch the whole table from
// every neighbour at once. While the table is changing, tables always differ, so the interval
// is longer unless many entries are missing. neighbourSize is the number of entries in the
// neighbour's table. If it is at least largerTableFactor times that of the last pull, and at
// least manyMissingEntries entries are missing, the exchange starts without waiting, because
// the neighbour of the last pull may itself have just joined.
func (n *Node) beginPull(l *link, neighbourSize int, now time.Time) bool {
	n.syncMu.Lock()
	defer n.syncMu.Unlock()
	missing := neighbourSize - n.table.size()
	busy := now.Sub(n.lastChange) < pullInterval && missing < manyMissingEntries
	wait := pullInterval
	if busy {
		wait = busyPullInterval
	}
	larger := missing >= manyMissingEntries && neighbourSize >= largerTableFactor*n.pullTableSize
	if now.Sub(n.lastPull) < wait && !larger {
		return false
	}
	n.lastPull = now
	n.pullLink = l
	n.pullTableSize = neighbourSize
	return true
}
