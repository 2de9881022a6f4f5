package attempt

import (
	"context"
	"sync"
	"time"
)

// progressTimer cancels an attempt with errSilent when it expires, unless Request.GiveUp returns
// false, which starts it again. A nil progressTimer never expires.
type progressTimer struct {
	// giveUp and kept are those of the Request.
	giveUp func() bool
	kept   func()
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// due is when the timer expires at the earliest, zero while it is stopped. Each start and
	// stop increments generation.
	due        time.Time
	generation uint64
}

// newProgressTimer returns a running timer, or nil if d is zero.
func newProgressTimer(d time.Duration, r Request, cancel context.CancelCauseFunc) *progressTimer {
	if d <= 0 {
		return nil
	}
	p := &progressTimer{giveUp: r.GiveUp, kept: r.Kept, cancel: cancel, due: time.Now().Add(d)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(d, func() { p.expired(d) })
	return p
}

// start starts the timer, also if it runs.
func (p *progressTimer) start(d time.Duration) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startLocked(d)
}

// startLocked starts the timer. p.mu is held.
func (p *progressTimer) startLocked(d time.Duration) {
	p.generation++
	p.due = time.Now().Add(d)
	p.timer.Reset(d)
}

// stop stops the timer.
func (p *progressTimer) stop() {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
	p.due = time.Time{}
	p.timer.Stop()
}

// expired asks GiveUp without the lock, since it may block. If the timer has been stopped or
// started meanwhile, the attempt has made progress and goes on.
func (p *progressTimer) expired(d time.Duration) {
	p.mu.Lock()
	generation, due := p.generation, p.due
	p.mu.Unlock()
	if due.IsZero() || time.Now().Before(due) {
		return // Of an earlier start.
	}
	giveUp := p.giveUp == nil || p.giveUp()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case generation != p.generation:
		if giveUp && p.kept != nil {
			p.kept()
		}
	case giveUp:
		p.due = time.Time{}
		p.cancel(errSilent)
	default:
		p.startLocked(d)
	}
}
