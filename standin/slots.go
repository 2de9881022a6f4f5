package standin

import (
	"container/heap"
	"context"
	"errors"
	"sync"
)

var errQueueFull = errors.New("queue is full")

// slots grants the slots of an engine to requests, by priority and, among equals,
// in order of arrival.
type slots struct {
	mu      sync.Mutex
	free    int
	limit   int
	arrival uint64
	queue   waiters
}

// waiter is a request that is queued for a slot.
type waiter struct {
	priority int
	arrival  uint64
	index    int
	granted  chan struct{}
}

// waiters implements heap.Interface. The highest priority is first.
type waiters []*waiter

func (q waiters) Len() int { return len(q) }

func (q waiters) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waiters) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}

// acquire waits for a slot. It returns errQueueFull if the queue is full, or the
// error of ctx.
func (s *slots) acquire(ctx context.Context, priority int) error {
	w, err := s.acquireOrEnqueue(priority)
	if err != nil || w == nil {
		return err
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		s.cancelWait(w)
		return ctx.Err()
	}
}

// acquireOrEnqueue takes a free slot and returns nil, or enqueues a waiter and
// returns it.
func (s *slots) acquireOrEnqueue(priority int) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free > 0 {
		s.free--
		return nil, nil
	}
	if s.limit > 0 && len(s.queue) >= s.limit {
		return nil, errQueueFull
	}
	s.arrival++
	w := &waiter{priority: priority, arrival: s.arrival, granted: make(chan struct{})}
	heap.Push(&s.queue, w)
	return w, nil
}

// cancelWait removes w from the queue, or releases the slot if w got one in the
// meantime.
func (s *slots) cancelWait(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.queue, w.index)
		return
	}
	s.releaseLocked()
}

// release frees a slot, or passes it to the first waiter.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *slots) releaseLocked() {
	if len(s.queue) == 0 {
		s.free++
		return
	}
	close(heap.Pop(&s.queue).(*waiter).granted)
}

// state returns the numbers of free slots and of queued requests.
func (s *slots) state() (free, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.free, len(s.queue)
}
