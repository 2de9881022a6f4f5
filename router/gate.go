package router

import (
	"context"
	"sync"
)

// gate counts the requests in progress and can be closed to new ones. Unlike a
// sync.WaitGroup, it allows new entries while a goroutine waits.
type gate struct {
	mu     sync.Mutex
	closed bool
	active int
	// idle is closed once the gate is closed and the last request has left.
	idle chan struct{}
}

func newGate() *gate {
	return &gate{idle: make(chan struct{})}
}

// enter counts a new request. It returns false if the gate is closed.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.active++
	return true
}

// leave records the end of a request for which enter returned true.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	g.signalIdle()
}

// close makes further calls of enter return false. It may be called more than once.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.signalIdle()
}

// signalIdle closes idle if the gate is closed and no request is in progress. The
// caller must hold mu.
func (g *gate) signalIdle() {
	if g.closed && g.active == 0 {
		close(g.idle)
	}
}

// wait returns when the gate is closed and no request is in progress, or when ctx
// ends.
func (g *gate) wait(ctx context.Context) error {
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// inProgress returns the number of requests in progress.
func (g *gate) inProgress() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}
