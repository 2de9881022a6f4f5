// Package dispatch orders the requests of all daemons to contended services. Each service
// has a coordinator, which holds the scheduler. The other daemons send it their waiting
// requests and receive grants and refusals. A daemon that does not reach the coordinator
// uses an equal share of the engines' capacity.
package dispatch

import (
	"time"

	"github.com/bronzeturn/bronzeturn/scheduler"
)

// Request describes an attempt of a request for which a Ticket is needed.
type Request struct {
	Service      string
	Organisation string
	// Rank is the priority, 0 for the most urgent requests.
	Rank int
	// Work is the expected time in a slot.
	Work time.Duration
	// Key is the hash of the request's content, 0 for none.
	Key   uint64
	Class scheduler.Class
	// MaxWait is the longest time to wait for a grant.
	MaxWait time.Duration
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Tried holds the keys of the engines that must not get the request.
	Tried []string
	// OwnChoice is set if the daemon chooses the engine itself.
	OwnChoice bool
}

// Wait is what a request went through before it was granted or refused, for its log line.
type Wait struct {
	// Contended is set if the service was contended.
	Contended bool
	// Waited is the time until the grant or refusal, Ahead the number of requests that
	// started meanwhile.
	Waited time.Duration
	Ahead  int
	// Cause is why the request was refused, or "".
	Cause scheduler.Cause
	// Local is set if the daemon decided alone, because the coordinator did not answer.
	Local bool
}

// Engine is an engine of a service that may get requests.
type Engine struct {
	Key   string
	Slots int
}

// Ticket is the right to make one attempt. Done must be called exactly once, whether the
// attempt was sent or not.
type Ticket interface {
	// Engine returns the key of the engine to use, or "" if the daemon chooses.
	Engine() string
	// Sent records the engine that the request is sent to.
	Sent(engine string)
	// Done records the end of the attempt. An attempt that was not sent ends as Canceled.
	Done(o scheduler.Outcome)
	// Wait describes the wait for the ticket.
	Wait() Wait
}
