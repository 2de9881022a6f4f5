package dispatch

import (
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/scheduler"
)

// decide collects the decisions of the Scheduler. It returns the daemons that they concern, some
// of them several times. The slice is valid until the next call.
func (q *queue) decide(now time.Time) []*member {
	q.touched = q.touched[:0]
	for {
		g, ok := q.sched.Next(now)
		if !ok {
			break
		}
		mb, l := q.find(g.ID)
		if l == nil || !l.undecided() {
			continue
		}
		l.grant = &bronzeturnv1.Grant{Number: g.ID.Number, Engine: g.Engine, Ahead: uint32(max(g.Ahead, 0))}
		mb.running[g.Engine]++
		q.running[g.Engine]++
		q.inProgress++
		q.undecided--
		q.touched = append(q.touched, mb)
	}
	for _, r := range q.sched.Refusals(now) {
		if mb, l := q.find(r.ID); l != nil && l.undecided() {
			l.refusal, l.retryAt = &r, now.Add(r.RetryAfter)
			q.undecided--
			q.touched = append(q.touched, mb)
		}
	}
	return q.touched
}

func (q *queue) find(id scheduler.ID) (*member, *listed) {
	mb := q.members[id.Daemon]
	if mb == nil {
		return nil, nil
	}
	return mb, mb.listed[id.Number]
}

// answer returns the decisions for a daemon. It returns false if there are none.
func (q *queue) answer(mb *member, now time.Time) (*bronzeturnv1.SyncResponse, bool) {
	own := 0
	for _, n := range mb.running {
		own += n
	}
	r := &bronzeturnv1.SyncResponse{Coordinator: true, Others: uint32(max(q.inProgress-own, 0))}
	for _, l := range mb.listed {
		switch {
		case l.grant != nil:
			l.sent = true
			r.Grants = append(r.Grants, l.grant)
		case l.refusal != nil:
			repeated := refusalOf(*l.refusal)
			repeated.RetryAfterMs = milliseconds(l.retryAt.Sub(now))
			r.Refusals = append(r.Refusals, repeated)
		}
	}
	if q.undecided == 0 {
		r.Free = q.free()
	}
	return r, len(r.Grants)+len(r.Refusals) > 0
}

// free returns some engines with a free slot.
func (q *queue) free() []uint32 {
	var free []uint32
	for engine, slots := range q.engines {
		if q.running[engine] < slots {
			if free = append(free, engine); len(free) == maxFree {
				break
			}
		}
	}
	return free
}

// outdated returns the answer to a call that does not tell the state of its daemon any more.
func outdated() *bronzeturnv1.SyncResponse {
	return &bronzeturnv1.SyncResponse{Coordinator: true, Outdated: true}
}

// release answers the call that is held, if there is one.
func (mb *member) release(r *bronzeturnv1.SyncResponse) {
	if mb.held != nil {
		mb.held <- r
		mb.held = nil
	}
}
