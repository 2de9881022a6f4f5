package gateway

import (
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/route"
)

// permits describes when this daemon may send to the engines of a group that all ask it to send
// nothing now, because of their request limits or for a pause.
type permits struct {
	// soonest is when the first permit begins.
	soonest time.Time
	// perSecond is the number of permits per second at all engines together.
	perSecond float64
}

// pausedRetryInterval is the interval at which callers are told to come back to an engine after its
// pause.
const pausedRetryInterval = 100 * time.Millisecond

// awaitedPermits returns the permits of the request's group. It returns false if neither a limit nor
// a pause keeps the request from one of the engines.
func (g *Gateway) awaitedPermits(t *task, now time.Time) (p permits, ok bool) {
	engines := g.Tables().Engines
	if engines == nil {
		return permits{}, false
	}
	set, known := engines.members[t.group]
	if !known {
		return permits{}, false
	}
	for _, name := range set.Names() {
		e, known := engines.View.Engine(name)
		if !known || t.regions.Limited && !t.regions.Allows(g.Regions[e.DataCentre]) {
			continue
		}
		at, interval := g.Limits.NextPermit(name, now)
		if paused := g.Engines.PausedUntil(name); paused.After(at) {
			at, interval = paused, max(interval, pausedRetryInterval)
		}
		if !at.After(now) {
			return permits{}, false
		}
		if !ok || at.Before(p.soonest) {
			p.soonest = at
		}
		p.perSecond += 1 / interval.Seconds()
		ok = true
	}
	return p, ok
}

// refuseThrottled returns the refusal of a request that no engine may get within the time wait
// because of the engines' request limits and pauses, and nil if one may.
func (g *Gateway) refuseThrottled(t *task, wait time.Duration) *failure.Error {
	now := time.Now()
	p, ok := g.awaitedPermits(t, now)
	if !ok || p.soonest.Sub(now) <= wait {
		return nil
	}
	f := failure.New(failure.CodeNoCapacity, t.ran, "all engines have reached their request limits or asked for a pause")
	return f.WithRetryAfter(g.retries.assign(t.group, p, now, g.random()))
}

// maxRetryDelay is the maximum Retry-After of a request refused because of request limits and
// pauses.
const maxRetryDelay = 5 * time.Second

// retrySchedule spreads the times at which refused callers are told to come back over the permits to
// send, in the order of the refusals. It is safe for concurrent use.
type retrySchedule struct {
	mu sync.Mutex
	// next is when the first permit begins that no caller was told to come back for, by group.
	next map[string]time.Time
}

func newRetrySchedule() *retrySchedule { return &retrySchedule{next: make(map[string]time.Time)} }

// assign returns the time after which a caller should come back. Callers for whom there is no
// permit within maxRetryDelay are spread over the second half of it by random, which is in [0, 1).
func (r *retrySchedule) assign(group string, p permits, now time.Time, random float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.next[group]
	if at.Before(p.soonest) {
		at = p.soonest
	}
	if at.Sub(now) > maxRetryDelay {
		return time.Duration((1 + random) / 2 * float64(maxRetryDelay))
	}
	r.next[group] = at.Add(time.Duration(float64(time.Second) / p.perSecond))
	return at.Sub(now)
}

// waitForEngine returns how long a request waits for an engine that can take it. A stream that
// has begun waits as long as a pause may last, rather than break off.
func (t *task) waitForEngine() time.Duration {
	if t.answer.begun() && t.route.Kind == route.Stream {
		return max(t.route.MaxPause, noEngineWait)
	}
	return noEngineWait
}
