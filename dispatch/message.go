package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/scheduler"
)

// hash returns the hash of an engine's key that messages contain.
func hash(engine string) uint32 { return uint32(xxhash.Sum64String(engine)) }

// milliseconds returns a duration for a message. Negative durations count as 0.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// microseconds returns a duration for a message. Negative durations count as 0.
func microseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), math.MaxUint32))
}

// waitingOf returns a waiting request for a message.
func waitingOf(w *waiter, weight float64, now time.Time) *bronzeturnv1.WaitingRequest {
	return &bronzeturnv1.WaitingRequest{
		Number: w.number, Organisation: w.request.Organisation, Rank: uint32(max(w.request.Rank, 0)), Weight: weight,
		WorkUs: microseconds(w.request.Work), Key: w.request.Key, Class: classMessage(w.request.Class),
		AgeMs: milliseconds(now.Sub(w.arrived)), StartWithinMs: milliseconds(w.startBy.Sub(now)),
		LeftMs: milliseconds(w.request.Deadline.Sub(now)), Excluded: w.excluded,
		OwnChoice: w.request.OwnChoice,
	}
}

// requestOf returns the waiting request of a message.
func requestOf(daemon string, w *bronzeturnv1.WaitingRequest, now time.Time) scheduler.Request {
	weight := w.GetWeight()
	if weight == 0 {
		weight = 1
	}
	return scheduler.Request{
		ID: scheduler.ID{Daemon: daemon, Number: w.GetNumber()}, Organisation: w.GetOrganisation(),
		Rank: int(w.GetRank()), Weight: weight, Work: time.Duration(w.GetWorkUs()) * time.Microsecond,
		Key: w.GetKey(), Class: classOf(w.GetClass()), Arrived: now.Add(-time.Duration(w.GetAgeMs()) * time.Millisecond),
		StartBy:  now.Add(time.Duration(w.GetStartWithinMs()) * time.Millisecond),
		Deadline: now.Add(time.Duration(w.GetLeftMs()) * time.Millisecond), Excluded: w.GetExcluded(),
		OwnChoice: w.GetOwnChoice(),
	}
}

func classMessage(c scheduler.Class) bronzeturnv1.OrderClass {
	switch c {
	case scheduler.Resumed:
		return bronzeturnv1.OrderClass_ORDER_CLASS_RESUMED
	case scheduler.Repeated:
		return bronzeturnv1.OrderClass_ORDER_CLASS_REPEATED
	default:
		return bronzeturnv1.OrderClass_ORDER_CLASS_FIRST
	}
}

func classOf(c bronzeturnv1.OrderClass) scheduler.Class {
	switch c {
	case bronzeturnv1.OrderClass_ORDER_CLASS_RESUMED:
		return scheduler.Resumed
	case bronzeturnv1.OrderClass_ORDER_CLASS_REPEATED:
		return scheduler.Repeated
	default:
		return scheduler.First
	}
}

// finishedMessage returns a finished run for a message. RunOutcome has the order of
// scheduler.Outcome.
func finishedMessage(f scheduler.Finished) *bronzeturnv1.FinishedRun {
	return &bronzeturnv1.FinishedRun{
		Engine: f.Engine, DurationUs: microseconds(f.Duration), WorkUs: microseconds(f.Work), Outcome: bronzeturnv1.RunOutcome(f.Outcome),
	}
}

func finishedOf(f *bronzeturnv1.FinishedRun) scheduler.Finished {
	return scheduler.Finished{
		Engine: f.GetEngine(), Duration: time.Duration(f.GetDurationUs()) * time.Microsecond,
		Work: time.Duration(f.GetWorkUs()) * time.Microsecond, Outcome: scheduler.Outcome(f.GetOutcome()),
	}
}

func refusalOf(r scheduler.Refusal) *bronzeturnv1.Refusal {
	return &bronzeturnv1.Refusal{Number: r.ID.Number, RetryAfterMs: milliseconds(r.RetryAfter), Cause: string(r.Cause)}
}
