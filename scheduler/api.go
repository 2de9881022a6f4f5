// Package scheduler decides in which order requests to a contended service run, at which
// engine, and which are refused. A Scheduler holds the requests of one service. It does no
// I/O, starts no goroutine and reads no clock. Callers serialise its methods.
//
// Package admission has a start-time fair queue of its own for the edge of one daemon, with
// three fixed priorities and equal organisations. This one has any number of ranks, weighted
// organisations and 10,000 requests of the whole fleet, so it uses heaps instead of scans.
package scheduler

import "time"

// ID identifies a request in the fleet.
type ID struct {
	Daemon string
	// Number is unique within the daemon's process.
	Number uint64
}

// Class ranks the requests of one priority.
type Class uint8

// The classes, in the order in which they run.
const (
	// Resumed requests continue a stream of which the caller has received a part.
	Resumed Class = iota + 1
	// Returning requests are those of callers that return at their appointment. The Scheduler
	// assigns this class itself.
	Returning
	// First is the first attempt of a request.
	First
	// Repeated is a further attempt that a daemon makes on its own.
	Repeated
)

// Request is a request that waits.
type Request struct {
	ID           ID
	Organisation string
	// Rank is the priority, 0 for the most urgent requests.
	Rank int
	// Weight is the organisation's weight. A value that is not positive and finite counts as 1.
	Weight float64
	// Work is the expected time in a slot of an engine of average speed.
	Work time.Duration
	// Key is the hash of the request's content, by which a returning caller is recognised, 0
	// for none.
	Key   uint64
	Class Class
	// Arrived is when the daemon received the request.
	Arrived time.Time
	// StartBy is the time by which the request has to start.
	StartBy time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Excluded holds hashes of engines that must not get the request.
	Excluded []uint32
	// OwnChoice is set if the daemon chooses the engine. The grant then names none, and only
	// the service's total capacity counts.
	OwnChoice bool
}

// Engine is an engine of the service.
type Engine struct {
	// Hash identifies the engine. A new start of an engine has another hash.
	Hash  uint32
	Slots int
}

// Outcome tells how a run ended.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota + 1
	// Full means that the engine refused the request because it is full.
	Full
	// Failed means that the engine failed or was not reached.
	Failed
	// Canceled means that the caller left, or the answer was not needed any more.
	Canceled
)

// Finished is a run that has ended.
type Finished struct {
	Engine   uint32
	Duration time.Duration
	// Work is the expected time that the request stated.
	Work    time.Duration
	Outcome Outcome
}

// Grant allows a request to be sent.
type Grant struct {
	ID ID
	// Engine is the hash of the engine to use, 0 if the daemon chooses.
	Engine uint32
	// Ahead is the number of requests that started between the request's arrival and its grant.
	Ahead int
	// Serial increases with each grant of the Scheduler, see SetRunning.
	Serial uint64
}

// Cause tells why a request was refused.
type Cause string

// The causes.
const (
	// CauseBacklog means that the request could not start in time.
	CauseBacklog Cause = "backlog"
	// CauseDisplaced means that more preferred requests arrived after it.
	CauseDisplaced Cause = "displaced"
	// CauseQueueFull means that too many requests wait.
	CauseQueueFull Cause = "queue_full"
	// CauseEarly means that the caller returned before its appointment.
	CauseEarly Cause = "early_return"
	// CauseNoEngine means that no engine serves the request.
	CauseNoEngine Cause = "no_engine"
)

// Refusal ends the wait of a request. A refused request has not run.
type Refusal struct {
	ID ID
	// RetryAfter is the time after which the caller should return.
	RetryAfter time.Duration
	Cause      Cause
	// Appointment is set if the caller takes precedence when it returns at that time.
	Appointment bool
}

// Usage is what an organisation has in one rank.
type Usage struct {
	Organisation string
	Rank         int
	Waiting      int
	// Asked and Granted count requests since the Scheduler was created.
	Asked, Granted uint64
}

// Status is the state of a Scheduler for operators.
type Status struct {
	// Room is the number of requests that may run together, Running the number that do.
	Room, Running, Waiting int
	Usage                  []Usage
}
