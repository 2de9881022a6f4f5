package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/scheduler"
)

var start = time.Unix(1000, 0)

// newTestQueue returns a queue with one engine.
func newTestQueue(slots int) *queue {
	q := newQueue(newFIFO())
	q.setEngines([]Engine{{"e", slots}}, start)
	q.sched.SetShare(start, 1)
	return q
}

// message returns a message that lists requests by their numbers.
func message(daemon string, sequence uint64, running uint32, waiting ...uint64) *bronzeturnv1.SyncRequest {
	m := &bronzeturnv1.SyncRequest{Daemon: daemon, Incarnation: 1, Sequence: sequence, Service: testService, FirstFinished: 1}
	if running > 0 {
		m.Running = []*bronzeturnv1.RunningRequests{{Engine: hash("e"), Requests: running}}
	}
	for _, n := range waiting {
		m.Waiting = append(m.Waiting, &bronzeturnv1.WaitingRequest{Number: n, Organisation: "o", StartWithinMs: 1000, LeftMs: 2000, AgeMs: 100 - uint32(n)})
	}
	return m
}

// grants applies a message and returns the numbers of the granted requests.
func (q *queue) grants(m *bronzeturnv1.SyncRequest, now time.Time) map[uint64]bool {
	numbers := make(map[uint64]bool)
	mb := q.apply(m, now)
	q.decide(now)
	if mb != nil {
		answer, _ := q.answer(mb, time.Now())
		for _, g := range answer.GetGrants() {
			numbers[g.GetNumber()] = true
		}
	}
	return numbers
}

// TestLostGrantIsSentAgain guards against a request that is never started because the answer
// with its grant was lost, and against its slot being given to another request meanwhile.
func TestLostGrantIsSentAgain(t *testing.T) {
	c := qt.New(t)
	q := newTestQueue(1)
	c.Check(q.grants(message("a", 1, 0, 1, 2), start), qt.DeepEquals, map[uint64]bool{1: true})
	c.Check(q.grants(message("b", 2, 0, 5), start), qt.HasLen, 0)
	c.Check(q.grants(message("a", 3, 0, 1, 2), start), qt.DeepEquals, map[uint64]bool{1: true})
	c.Check(q.sched.Status(time.Now()).Running, qt.Equals, 1)
	c.Check(q.grants(message("a", 4, 1, 2), start), qt.HasLen, 0, qt.Commentf("the request runs"))
	c.Check(q.sched.Status(time.Now()).Running, qt.Equals, 1)
	c.Check(q.grants(message("a", 5, 0, 2), start), qt.DeepEquals, map[uint64]bool{2: true})
}

// TestOldMessagesChangeNothing guards against messages that arrive late or repeatedly and bring
// back requests that have ended.
func TestOldMessagesChangeNothing(t *testing.T) {
	c := qt.New(t)
	q := newTestQueue(1)
	old := message("a", 1, 1, 1, 2, 3)
	c.Check(q.grants(message("a", 2, 1, 7), start), qt.HasLen, 0)
	for _, m := range []*bronzeturnv1.SyncRequest{old, message("a", 2, 0, 8, 9), old} {
		c.Check(q.apply(m, start), qt.IsNil)
	}
	c.Check(q.undecided, qt.Equals, 1)
	c.Check(q.sched.Status(time.Now()).Waiting, qt.Equals, 1)
	restarted := message("a", 1, 0, 1)
	restarted.Incarnation = 2
	c.Check(q.grants(restarted, start), qt.DeepEquals, map[uint64]bool{1: true}, qt.Commentf("a new process starts with low sequences"))
	c.Check(q.apply(message("a", 100, 5, 8), start), qt.IsNil, qt.Commentf("the old process has ended"))
	c.Check(q.sched.Status(time.Now()).Running, qt.Equals, 1)
}

// TestFinishedRunsCountOnce guards against engines whose run times are learnt several times from
// calls that overlap or are repeated.
func TestFinishedRunsCountOnce(t *testing.T) {
	c := qt.New(t)
	q := newTestQueue(1)
	counter := &countingFIFO{Scheduler: q.sched}
	q.sched = counter
	finished := func(sequence, first uint64, n int) *bronzeturnv1.SyncRequest {
		m := message("a", sequence, 0)
		m.FirstFinished, m.Finished = first, make([]*bronzeturnv1.FinishedRun, n)
		return m
	}
	for _, m := range []*bronzeturnv1.SyncRequest{finished(1, 1, 3), finished(2, 1, 5), finished(2, 1, 5), finished(3, 4, 4), finished(4, 8, 0)} {
		q.apply(m, start)
	}
	c.Check(counter.ended, qt.Equals, 7)
}

// TestGrantForRemovedEngineIsRevoked guards against a request that is sent to an engine that
// has stopped.
func TestGrantForRemovedEngineIsRevoked(t *testing.T) {
	c := qt.New(t)
	q := newTestQueue(1)
	c.Check(q.grants(message("a", 1, 0, 1), start), qt.HasLen, 1)
	q.setEngines([]Engine{{"f", 1}}, start)
	mb := q.apply(message("a", 2, 0, 1), start)
	q.decide(start)
	answer, _ := q.answer(mb, time.Now())
	c.Assert(answer.GetGrants(), qt.HasLen, 1)
	c.Check(answer.GetGrants()[0].GetEngine(), qt.Equals, hash("f"))
	c.Check(q.running, qt.DeepEquals, map[uint32]int{hash("f"): 1})
	c.Check(q.inProgress, qt.Equals, 1)
}

// TestSilentDaemonGetsNoGrants guards against slots that idle because they were granted to a
// daemon that does not call any more.
func TestSilentDaemonGetsNoGrants(t *testing.T) {
	c := qt.New(t)
	q := newTestQueue(4)
	q.apply(message("a", 1, 1, 1, 2), start)
	q.decide(start) // grants both, but the daemon gets no answer
	c.Check(q.inProgress, qt.Equals, 3)
	now := start.Add(answerTimeout + time.Millisecond)
	q.apply(message("b", 2, 0, 1), now)
	q.expire(time.Second, 2, now)
	c.Check(q.inProgress, qt.Equals, 1, qt.Commentf("the request that runs still counts"))
	c.Check(q.sched.Status(time.Now()).Running, qt.Equals, 1)
	c.Check(q.share, qt.Equals, 0.75, qt.Commentf("half for b, and the running request of a"))
	c.Check(q.undecided, qt.Equals, 1)
	now = start.Add(time.Second + time.Millisecond)
	q.apply(message("b", 3, 0, 1), now)
	q.expire(time.Second, 2, now)
	c.Check(q.members["a"], qt.IsNil)
	c.Check(q.inProgress, qt.Equals, 0)
	c.Check(q.share, qt.Equals, 0.5)
	c.Check(q.grants(message("a", 3, 1, 1, 2), now), qt.HasLen, 2, qt.Commentf("the daemon returns"))
}

// TestDaemonThatDecidesAloneGetsNoGrants guards against capacity that is used both by the
// coordinator and by a daemon that does not get its answers.
func TestDaemonThatDecidesAloneGetsNoGrants(t *testing.T) {
	c := qt.New(t)
	q := newTestQueue(4)
	m := message("a", 1, 1, 1, 2)
	m.Alone = true
	c.Check(q.grants(m, start), qt.HasLen, 0)
	c.Check(q.undecided, qt.Equals, 0)
	q.expire(time.Second, 2, start)
	c.Check(q.share, qt.Equals, 0.25)
	c.Check(q.grants(message("a", 2, 1, 1, 2), start), qt.HasLen, 2)
}

// countingFIFO counts the finished runs.
type countingFIFO struct {
	Scheduler
	ended int
}

// Ended implements Scheduler.
func (f *countingFIFO) Ended(time.Time, scheduler.Finished) { f.ended++ }
