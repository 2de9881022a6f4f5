package gossip

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// Node is this daemon's endpoint of the overlay. It is safe for concurrent use.
type Node struct {
	tomb    tomb.Tomb
	options Options
	table   *table
	limiter *rate.Limiter
	metrics *metrics
	log     zerolog.Logger

	mu      sync.Mutex
	stopped bool
	// draining is set by Drain; new links are then refused.
	draining   bool
	links      map[*link]struct{}
	connectors map[Target]*connector
	subs       []*subscription
	random     *rand.Rand

	// syncMu guards the anti-entropy state below.
	syncMu   sync.Mutex
	lastPull time.Time
	pullLink *link
	// pullTableSize is the number of entries that the neighbour of the last pull held.
	pullTableSize int
	lastChange    time.Time
}

// New returns a node that has not been started.
func New(options Options) (*Node, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	m, err := newMetrics(options.Registerer)
	if err != nil {
		return nil, err
	}
	return &Node{
		options:    options,
		table:      newTable(options.Classes),
		limiter:    rate.NewLimiter(entryRate, entryBurst),
		metrics:    m,
		log:        options.Log.With().Str("part", "gossip").Logger(),
		links:      make(map[*link]struct{}),
		connectors: make(map[Target]*connector),
		random:     options.Random,
	}, nil
}

// Start starts the removal of expired entries. SetTargets and Accept create the links.
func (n *Node) Start() {
	n.tomb.Go(n.maintain)
}

// Stop closes all links. Call Drain first to deliver pending entries.
func (n *Node) Stop() error {
	n.mu.Lock()
	n.stopped = true
	n.tomb.Kill(nil)
	for l := range n.links {
		l.close(ErrStopped)
	}
	n.mu.Unlock()
	return n.tomb.Wait()
}

// spawn runs f in a goroutine of the tomb. It returns false if the node has stopped.
func (n *Node) spawn(f func() error) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.spawnLocked(f)
}

func (n *Node) spawnLocked(f func() error) bool {
	if n.stopped || !n.tomb.Alive() {
		return false
	}
	n.tomb.Go(f)
	return true
}

// maintain removes expired entries until the node stops.
func (n *Node) maintain() error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case now := <-ticker.C:
			for _, e := range n.table.expire(now) {
				n.notify(e.key)
			}
		}
	}
}

// Publish stores an entry in the table and sends it to all neighbours. An entry that is not
// newer than the one held is ignored. An entry that exceeds the limits of its class fails with
// a RefusedError. The value is copied.
func (n *Node) Publish(key string, version uint64, value []byte) error {
	_, err := n.applyEntry(nil, key, version, value, 0)
	return err
}

// Get returns the newest known state of a key. An empty value represents a removal. The value
// must not be modified.
func (n *Node) Get(key string) (version uint64, value []byte, ok bool) {
	e := n.table.get(key)
	if e == nil {
		return 0, nil, false
	}
	return e.version, e.value, true
}

// Each calls f for every key with the prefix, in unspecified order.
func (n *Node) Each(prefix string, f func(key string, version uint64, value []byte)) {
	for i := range buckets {
		n.table.each(i, func(e *entry) {
			if strings.HasPrefix(e.key, prefix) {
				f(e.key, e.version, e.value)
			}
		})
	}
}

// Digest returns a hash of the whole table. Tables with the same entries have the same digest.
func (n *Node) Digest() uint64 { return n.table.digest() }

// Links returns the names of the neighbours with an open link.
func (n *Node) Links() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for l := range n.links {
		if name := l.peerName(); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// Drain sends the pending entries and then a goodbye frame to all neighbours, and waits until
// they have closed their links or ctx ends. From then on no link is opened or accepted.
func (n *Node) Drain(ctx context.Context) error {
	n.mu.Lock()
	n.draining = true
	for l := range n.links {
		l.requestGoodbye()
	}
	n.mu.Unlock()
	ticker := time.NewTicker(batchDelay)
	defer ticker.Stop()
	for len(n.Links()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.tomb.Dying():
			return ErrStopped
		case <-ticker.C:
		}
	}
	return nil
}

// applyEntry stores an entry. If it is newer than the one held, it is also queued on all links
// except the one it came from, which is nil for an entry published by this daemon.
func (n *Node) applyEntry(from *link, key string, version uint64, value []byte, age time.Duration) (bool, error) {
	now := time.Now()
	changed, err := n.table.put(key, version, value, age, now)
	if err != nil || !changed {
		return false, err
	}
	n.syncMu.Lock()
	n.lastChange = now
	n.syncMu.Unlock()
	n.enqueueExcept(from, key)
	n.notify(key)
	return true, nil
}

// enqueueExcept queues the key on all links except one.
func (n *Node) enqueueExcept(except *link, key string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l != except {
			l.enqueue(key)
		}
	}
}

// attach registers a link. It fails if the node has stopped or is draining, or if there are too
// many links.
func (n *Node) attach(l *link) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped || n.draining {
		return ErrStopped
	}
	if len(n.links) >= maxLinks || l.target == nil && len(n.links) >= guaranteedLinks && n.entryRateExhausted() {
		return ErrTooManyLinks
	}
	n.links[l] = struct{}{}
	n.metrics.links.Set(float64(len(n.links)))
	return nil
}

// entryRateExhausted reports whether this daemon does not have enough tokens left to send its
// table to another neighbour, which would then wait for seconds while other daemons could serve
// it.
func (n *Node) entryRateExhausted() bool {
	return n.limiter.Tokens() < float64(n.table.size()*typicalEntryBytes)
}

func (n *Node) detach(l *link) {
	n.mu.Lock()
	delete(n.links, l)
	n.metrics.links.Set(float64(len(n.links)))
	n.mu.Unlock()
	n.syncMu.Lock()
	if n.pullLink == l {
		n.lastPull = time.Time{}
		n.pullTableSize = 0
	}
	n.syncMu.Unlock()
}

// hasLink reports whether there is an open link to the named neighbour.
func (n *Node) hasLink(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.peerName() == name {
			return true
		}
	}
	return false
}

// resolveDuplicate closes one of two links between the same daemons: the one opened by the
// daemon with the greater name. Only the daemon that opened it closes it.
func (n *Node) resolveDuplicate(name string) {
	if n.options.Name < name {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var inbound, outbound *link
	for l := range n.links {
		if l.peerName() != name {
			continue
		}
		if l.target != nil {
			outbound = l
		} else {
			inbound = l
		}
	}
	if inbound != nil && outbound != nil {
		outbound.close(ErrReplaced)
	}
}

// jitter returns a random duration below limit.
func (n *Node) jitter(limit time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.random.Int64N(int64(limit)))
}

// heartbeat returns this daemon's next heartbeat. The digest is omitted while the entry rate is
// used up, so that neighbours pull the table from other daemons.
func (n *Node) heartbeat(withDigest bool) *bronzeturnv1.Heartbeat {
	h := n.options.Status()
	if withDigest && n.limiter.Tokens() >= 1 {
		h.TableDigest = n.table.digest()
		h.TableSize = uint32(n.table.size() + 1)
	}
	return h
}
