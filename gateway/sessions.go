package gateway

import (
	"context"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/failure"
)

const (
	// honouredShare is the share of the time to their deadline up to which callers honour a
	// Retry-After.
	honouredShare = 1.0 / 3
	// maxLapseShare is the share of the time to the deadline by which the session must have
	// expired. Otherwise there would not be enough time for the answer.
	maxLapseShare = 0.85
)

// refuseStoppedVersion refuses a request whose session ran on a version that has stopped,
// while the next version of the service is being introduced. The Retry-After tells the
// caller to come back when its session has expired, to begin a new one at the version that
// serves. A caller that has no time for that is refused without a delay. One that resumes a
// stream, whose answer would otherwise stall, is served.
func (g *Gateway) refuseStoppedVersion(ctx context.Context, t *task) *failure.Error {
	if t.meta.Session == "" || t.meta.LastEvent != "" {
		return nil
	}
	g.Introductions.ConfirmOrders(ctx, t.service, t.session, time.Now())
	now := time.Now()
	lapse, left := g.Introductions.Lapses(t.service, t.session, now).Sub(now), t.deadline.Sub(now)
	if lapse <= 0 {
		return nil
	}
	comesBack := lapse.Seconds() < maxLapseShare*left.Seconds()
	hold := time.Duration(0)
	if comesBack {
		hold = holdBeforeRetryAfter(lapse, left)
	}
	g.Log.Info().Str("request", t.meta.ID).Str("session", t.sessionName()).Str("service", t.service).
		Dur("lapse_ms", lapse).Dur("left_ms", left).Dur("hold_ms", hold).Bool("comes_back", comesBack).Msg("version of the session has stopped")
	_ = backoff.Sleep(ctx, hold) // checkTimeLeft reports the end of ctx.
	if f := g.checkTimeLeft(ctx, t); f != nil {
		return f
	}
	return failure.New(failure.CodeVersionStopped, failure.RanNo, "the version that the session ran on has stopped").WithRetryAfter(lapse - hold)
}

// holdBeforeRetryAfter returns how long a request is held before it is refused, so that its
// caller honours a Retry-After of the rest of wait. left is the time to the deadline.
func holdBeforeRetryAfter(wait, left time.Duration) time.Duration {
	// The hold h solves wait - h = honouredShare * (left - h).
	hold := (wait.Seconds() - honouredShare*left.Seconds()) / (1 - honouredShare)
	return max(time.Duration(hold*float64(time.Second)), 0)
}

// recordVersion records the version that the request's session has run on.
func (g *Gateway) recordVersion(t *task) {
	if t.meta.Session != "" && t.trace.version != "" {
		g.Introductions.Ran(t.service, t.session, t.trace.version, time.Now())
	}
}
