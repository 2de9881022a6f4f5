package backoff

import (
	"context"
	"sync/atomic"
	"time"
)

// phase is the offset of this process's ticks from the wall clock, in nanoseconds.
var phase atomic.Int64

// SetPhase sets the offset of this process's ticks, which keeps the daemons of a fleet from
// waking in lockstep.
func SetPhase(d time.Duration) { phase.Store(int64(d)) }

// IdleInterval is the interval of periodic loops that are idle. It equals the heartbeat interval
// of the overlay, so that idle loops and heartbeats share two wake-ups a second.
const IdleInterval = 500 * time.Millisecond

// UntilTick returns the time until the next tick: the next multiple of interval on the wall
// clock, offset by the phase. Periodic loops that wait for ticks share wake-ups, which reduces
// the CPU usage of an idle process.
func UntilTick(interval time.Duration) time.Duration {
	now := time.Now().UnixNano() + phase.Load()
	return interval - time.Duration(now%int64(interval))
}

// UntilLastTickWithin returns the time until the last tick of interval that is at most limit
// away, or limit if there is no such tick.
func UntilLastTickWithin(interval, limit time.Duration) time.Duration {
	first := UntilTick(interval)
	if first > limit {
		return limit
	}
	return first + (limit-first)/interval*interval
}

// Tick waits for the next tick of interval. It returns the cause of ctx if ctx ends first.
func Tick(ctx context.Context, interval time.Duration) error {
	return Sleep(ctx, UntilTick(interval))
}

// TickOrWake waits for the next tick of interval or a value on wake, whichever comes first. It
// returns the cause of ctx if ctx ends before either.
func TickOrWake(ctx context.Context, interval time.Duration, wake <-chan struct{}) error {
	timer := time.NewTimer(UntilTick(interval))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	return nil
}
