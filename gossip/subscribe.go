package gossip

import (
	"strings"
	"sync"
)

// Subscriber is called with the newest state of a key. An empty value represents a removal.
// Version zero with an empty value means that the entry has expired.
type Subscriber func(key string, version uint64, value []byte)

// subscription calls one subscriber from one goroutine. It queues keys, not states, so a slow
// subscriber may miss intermediate states but never sees an older state after a newer one.
type subscription struct {
	prefix   string
	callback Subscriber

	mu     sync.Mutex
	queue  []string
	queued map[string]struct{}
	wake   chan struct{}
}

// Subscribe calls f for every key with the prefix, first with the states already held and then
// after each change, one call at a time.
func (n *Node) Subscribe(prefix string, f Subscriber) {
	s := &subscription{
		prefix:   prefix,
		callback: f,
		queued:   make(map[string]struct{}),
		wake:     make(chan struct{}, 1),
	}
	n.mu.Lock()
	n.subs = append(n.subs, s)
	n.spawnLocked(func() error { return n.dispatch(s) })
	n.mu.Unlock()
	for i := range buckets {
		n.table.each(i, func(e *entry) { s.add(e.key) })
	}
}

// notify queues a changed key on the matching subscriptions.
func (n *Node) notify(key string) {
	n.mu.Lock()
	subs := n.subs
	n.mu.Unlock()
	for _, s := range subs {
		s.add(key)
	}
}

// dispatch calls the subscriber until the node stops.
func (n *Node) dispatch(s *subscription) error {
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case <-s.wake:
		}
		for key, ok := s.next(); ok; key, ok = s.next() {
			n.deliver(s, key)
		}
	}
}

// deliver calls the subscriber with the current state of the key.
func (n *Node) deliver(s *subscription, key string) {
	e := n.table.get(key)
	if e == nil {
		s.callback(key, 0, nil)
		return
	}
	s.callback(key, e.version, e.value)
}

func (s *subscription) add(key string) {
	if !strings.HasPrefix(key, s.prefix) {
		return
	}
	s.mu.Lock()
	if _, ok := s.queued[key]; !ok {
		s.queued[key] = struct{}{}
		s.queue = append(s.queue, key)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *subscription) next() (key string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		s.queue = nil
		return "", false
	}
	key, s.queue = s.queue[0], s.queue[1:]
	delete(s.queued, key)
	return key, true
}
