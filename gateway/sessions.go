package gateway

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/failure"
)

const (
	// honouredPart is the part of the time left that callers wait for a Retry-After.
	honouredPart = 1.0 / 3
	// lapsePart is the part of the time left by which the session must have lapsed. With less
	// left there would be no time for the answer.
	lapsePart = 0.85
)

// refuseStopped refuses a request whose session cannot go on at its version, which has
// stopped, while the next version of the service is being introduced. The caller is told to
// come back when its session has lapsed, to begin a new one at the version that serves. A
// caller that could not wait that long is served at once, and so is one that resumes a stream,
// whose answer would pause.
func (g *Gateway) refuseStopped(ctx context.Context, t *task) *failure.Error {
	if t.meta.Session == "" || t.meta.LastEvent != "" {
		return nil
	}
	now := time.Now()
	lapse, left := g.Introductions.Lapses(t.service, t.session, now).Sub(now), t.deadline.Sub(now)
	if lapse <= 0 {
		return nil
	}
	comesBack := lapse.Seconds() < lapsePart*left.Seconds()
	hold := holdBeforeAdvice(lapse, left)
	g.Log.Info().Str("request", t.meta.ID).Str("session", t.sessionName()).Str("service", t.service).
		Dur("lapse_ms", lapse).Dur("left_ms", left).Dur("hold_ms", hold).Bool("refused", comesBack).Msg("version of the session has stopped")
	if !comesBack {
		return nil
	}
	_ = backoff.Sleep(ctx, hold) // The end of ctx is told by ended.
	if f := g.ended(ctx, t); f != nil {
		return f
	}
	return failure.New(failure.CodeVersionStopped, failure.RanNo, "the version that the session ran on has stopped").WithRetryAfter(lapse - hold)
}

// holdBeforeAdvice returns how long a request is held until its caller would honour the
// advice to come back after the rest of a time.
func holdBeforeAdvice(wait, left time.Duration) time.Duration {
	// The hold h solves wait - h = honouredPart * (left - h).
	hold := (wait.Seconds() - honouredPart*left.Seconds()) / (1 - honouredPart)
	return max(time.Duration(hold*float64(time.Second)), 0)
}

// noteVersion remembers the version that the request's session has run on.
func (g *Gateway) noteVersion(t *task) {
	if t.meta.Session != "" && t.trace.version != "" {
		g.Introductions.Ran(t.service, t.session, t.trace.version, time.Now())
	}
}
