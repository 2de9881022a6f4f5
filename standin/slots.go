package standin

import (
	"container/heap"
	"context"
	"errors"
	"sync"
)

var errQueueFull = errors.New("queue is full")

// slots hands out the slots of an engine, first by priority, then by arrival.
type slots struct {
	mu      sync.Mutex
	free    int
	limit   int
	arrival uint64
	queue   waiters
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	arrival  uint64
	index    int
	granted  chan struct{}
}

// waiters implements heap.Interface.
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

// acquire waits for a slot. It fails with errQueueFull, or with ctx's error.
func (s *slots) acquire(ctx context.Context, priority int) error {
	w, err := s.enter(priority)
	if err != nil || w == nil {
		return err
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

// enter takes a free slot, or queues and returns the waiter.
func (s *slots) enter(priority int) (*waiter, error) {
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

// abandon takes w out of the queue, or gives back the slot it got meanwhile.
func (s *slots) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.queue, w.index)
		return
	}
	s.releaseLocked()
}

// release gives a slot back.
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

// state returns the free slots and the number of waiting requests.
func (s *slots) state() (free, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.free, len(s.queue)
}
