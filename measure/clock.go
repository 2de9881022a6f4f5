package measure

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every run starts.
var epoch = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// clock is a virtual clock with a queue of scheduled events.
type clock struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

// event is a function to be called at a virtual time. Events with the same time run
// in the order in which they were scheduled.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

func newClock() *clock { return &clock{now: epoch} }

// after schedules a function to run after a delay. A negative delay counts as zero.
func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(max(d, 0)), seq: c.seq, run: run})
}

// runUntil runs all events up to and including the given time.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
