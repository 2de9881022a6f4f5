package dispatch

import (
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/scheduler"
)

// queue feeds a Scheduler with the full states that daemons report. A message replaces what was
// known of its daemon. It is used by coordinators, and by daemons that decide alone. Callers
// must not use it concurrently.
type queue struct {
	sched   Scheduler
	members map[string]*member
	// running counts the requests in progress, and grants that were not taken up yet, by engine.
	running map[uint32]int
	engines map[uint32]int // slots by hash
	// slots is the sum of all engines, inProgress that of running, undecided the number of
	// requests that wait in the Scheduler.
	slots, inProgress, undecided int
	// share is the part of the capacity that may be used, as of expiredAt.
	share     float64
	expiredAt time.Time
	touched   []*member // scratch space of decide
}

// member is what is known of one daemon.
type member struct {
	name                  string
	incarnation, sequence uint64
	heard                 time.Time
	// listed holds the requests that the last message listed as waiting.
	listed map[uint64]*listed
	// running counts its requests in progress and its grants, by engine.
	running map[uint32]int
	// finished is the number of the last finished run that was counted.
	finished uint64
	// alone is set if the daemon decides alone.
	alone bool
	// held receives the answer to the call that is held, nil if there is none.
	held chan *bronzeturnv1.SyncResponse
}

// listed is a request that a daemon lists as waiting. Its decision is sent with each answer
// until the daemon does not list it any more, since an answer may get lost. The capacity of a
// grant stays in use meanwhile: the daemon may have taken up the grant after it sent a message
// that still lists the request as waiting.
type listed struct {
	sequence uint64 // of the last message that listed the request
	grant    *bronzeturnv1.Grant
	refusal  *scheduler.Refusal
	retryAt  time.Time // of the refused caller
	// sent is set if an answer contained the grant, so that the request may have started.
	sent bool
	// withdrawn is set while the request is withdrawn because its daemon is silent.
	withdrawn bool
}

func newQueue(s Scheduler) *queue {
	return &queue{sched: s, members: make(map[string]*member), running: make(map[uint32]int), engines: make(map[uint32]int)}
}

// setEngines replaces the engines.
func (q *queue) setEngines(engines []Engine, now time.Time) {
	clear(q.engines)
	q.slots = 0
	list := make([]scheduler.Engine, 0, len(engines))
	for _, e := range engines {
		h := hash(e.Key)
		q.engines[h] = e.Slots
		q.slots += e.Slots
		list = append(list, scheduler.Engine{Hash: h, Slots: e.Slots})
	}
	q.sched.SetEngines(now, list)
}

// apply replaces the state of the calling daemon. It returns nil if the message is older than
// what is known.
func (q *queue) apply(m *bronzeturnv1.SyncRequest, now time.Time) *member {
	mb := q.members[m.GetDaemon()]
	if mb != nil && (m.GetIncarnation() < mb.incarnation || m.GetIncarnation() == mb.incarnation && m.GetSequence() <= mb.sequence) {
		return nil
	}
	if mb == nil || m.GetIncarnation() > mb.incarnation {
		if mb != nil {
			q.remove(mb, now)
		}
		mb = &member{
			name: m.GetDaemon(), incarnation: m.GetIncarnation(),
			listed: make(map[uint64]*listed), running: make(map[uint32]int),
		}
		q.members[mb.name] = mb
	}
	mb.sequence, mb.heard, mb.alone = m.GetSequence(), now, m.GetAlone()
	for i, f := range m.GetFinished() {
		if number := m.GetFirstFinished() + uint64(i); number > mb.finished {
			mb.finished = number
			q.sched.Ended(now, finishedOf(f))
		}
	}
	q.replaceListed(mb, m, now)
	q.replaceRunning(mb, m, now)
	return mb
}

// replaceListed offers the requests that are new to the queue and withdraws those that a daemon
// does not list any more.
func (q *queue) replaceListed(mb *member, m *bronzeturnv1.SyncRequest, now time.Time) {
	for _, w := range m.GetWaiting() {
		l := mb.listed[w.GetNumber()]
		if l == nil {
			l = &listed{withdrawn: true}
			mb.listed[w.GetNumber()] = l
		}
		l.sequence = m.GetSequence()
		if mb.alone {
			q.withdraw(mb, w.GetNumber(), l, now)
		} else if l.withdrawn {
			l.withdrawn = false
			q.undecided++
			q.sched.Offer(now, requestOf(mb.name, w, now))
		}
		if g := l.grant; g != nil && g.GetEngine() != 0 && !q.known(g.GetEngine()) {
			q.requeue(mb, l, now)
		}
	}
	for number, l := range mb.listed {
		if l.sequence == m.GetSequence() {
			continue
		}
		delete(mb.listed, number)
		q.withdraw(mb, number, l, now)
		if l.grant != nil {
			q.sched.Returned(now, scheduler.ID{Daemon: mb.name, Number: number})
		}
	}
}

// undecided reports whether a request waits in the Scheduler.
func (l *listed) undecided() bool { return l.grant == nil && l.refusal == nil && !l.withdrawn }

// withdraw removes a request from the Scheduler if it waits there.
func (q *queue) withdraw(mb *member, number uint64, l *listed, now time.Time) {
	if l.undecided() {
		l.withdrawn = true
		q.undecided--
		q.sched.Withdraw(now, scheduler.ID{Daemon: mb.name, Number: number})
	}
}

func (q *queue) known(engine uint32) bool { _, ok := q.engines[engine]; return ok }

// replaceRunning replaces the running requests of a daemon. Grants that it has not taken up
// count as running.
func (q *queue) replaceRunning(mb *member, m *bronzeturnv1.SyncRequest, now time.Time) {
	q.uncount(mb)
	for _, r := range m.GetRunning() {
		mb.running[r.GetEngine()] += int(r.GetRequests())
	}
	q.sched.SetRunning(now, mb.name, mb.running)
	for _, l := range mb.listed {
		if l.grant != nil {
			mb.running[l.grant.GetEngine()]++
		}
	}
	for engine, n := range mb.running {
		q.running[engine] += n
		q.inProgress += n
	}
}

// uncount removes the running requests of a daemon from the counts.
func (q *queue) uncount(mb *member) {
	for engine, n := range mb.running {
		q.inProgress -= n
		if q.running[engine] -= n; q.running[engine] <= 0 {
			delete(q.running, engine)
		}
	}
	clear(mb.running)
}

// requeue returns a granted request to its old position. mb.running may still contain a grant of
// an earlier message.
func (q *queue) requeue(mb *member, l *listed, now time.Time) {
	engine := l.grant.GetEngine()
	if mb.running[engine] > 0 {
		mb.running[engine]--
		q.running[engine]--
		q.inProgress--
	}
	q.sched.Requeue(now, scheduler.ID{Daemon: mb.name, Number: l.grant.GetNumber()})
	l.grant, l.sent = nil, false
	q.undecided++
}

// remove forgets a daemon.
func (q *queue) remove(mb *member, now time.Time) {
	q.uncount(mb)
	for _, l := range mb.listed {
		if l.undecided() {
			q.undecided--
		}
	}
	q.sched.RemoveDaemon(now, mb.name)
	delete(q.members, mb.name)
	mb.release(outdated())
}

// expire forgets daemons that were not heard for the given time, and computes the share of the
// capacity that may be used: an equal share of each live daemon that is heard. It withdraws the
// requests of daemons that were expected to call again, because requests wait there, but did not:
// grants would not reach them. Grants that were not sent are withdrawn, too.
func (q *queue) expire(heardFor time.Duration, live int, now time.Time) {
	if now.Sub(q.expiredAt) < expireInterval {
		return
	}
	q.expiredAt, q.share = now, 0
	for _, mb := range q.members {
		silent := now.Sub(mb.heard)
		if silent > heardFor {
			q.remove(mb, now)
			continue
		}
		if silent <= answerTimeout || len(mb.listed) == 0 || mb.held != nil {
			q.share += q.shareOf(mb, live)
			continue
		}
		mb.alone = true
		for number, l := range mb.listed {
			if l.grant != nil && !l.sent {
				q.requeue(mb, l, now)
			}
			q.withdraw(mb, number, l, now)
		}
		q.share += q.shareOf(mb, live)
	}
}

// shareOf returns the share of the capacity that may be used because a daemon is known. One that
// decides alone uses an equal share itself, of which its last message tells a part.
func (q *queue) shareOf(mb *member, live int) float64 {
	equal := 1 / float64(live)
	if !mb.alone || q.slots == 0 {
		return equal
	}
	running := 0
	for _, n := range mb.running {
		running += n
	}
	return min(equal, float64(running)/float64(q.slots))
}
