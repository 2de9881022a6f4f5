package router

import (
	"context"
	"sync"
)

// gate counts the requests in progress and can be closed for new ones. Unlike
// a sync.WaitGroup it allows new entries while somebody waits.
type gate struct {
	mu     sync.Mutex
	closed bool
	active int
	// idle is closed when the gate is closed and the last request has left.
	idle chan struct{}
}

func newGate() *gate {
	return &gate{idle: make(chan struct{})}
}

// enter counts a request in, or reports false when the gate is closed.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.active++
	return true
}

// leave counts a request out.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	g.signal()
}

// close lets no new request in. It may be called more than once.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.signal()
}

// signal closes idle when nothing is left. The caller holds the lock.
func (g *gate) signal() {
	if g.closed && g.active == 0 {
		close(g.idle)
	}
}

// wait returns when the gate is closed and empty, or ctx ends.
func (g *gate) wait(ctx context.Context) error {
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// inProgress returns the number of requests counted in.
func (g *gate) inProgress() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}
