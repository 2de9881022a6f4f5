// Package relay opens connections to backend servers through other daemons where this daemon's
// own path is broken. A failed connection attempt says nothing about which of the two is at
// fault; asking another daemon to connect tells them apart. Requests, permits and counts stay
// with the daemon that has the caller: the other one only forwards bytes. It connects over its
// own path and never through a third daemon, so that a connection cannot go in circles.
package relay

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

const (
	// headStart is how long the direct path has before another daemon is asked as well. A
	// connection within a region opens within a few milliseconds; a host whose processor is
	// fully used may take some tens.
	headStart = 100 * time.Millisecond
	// maxTimerDelay is how late a timer may fire. If it fires later, this process gets too little
	// processor time to judge a path, and the head start begins again.
	maxTimerDelay = 30 * time.Millisecond
	// nextRelayAfter is how long one daemon has before the next one is asked as well.
	nextRelayAfter = 60 * time.Millisecond
	// maxRelays is the maximum number of daemons asked for one connection.
	maxRelays = 4
	// probeInterval is the interval between attempts over a path that is known as broken.
	probeInterval = 250 * time.Millisecond
	// maxLifetime bounds a forwarded connection. It exceeds the time-out of every request, and
	// ends connections of daemons that have lost power.
	maxLifetime = 2 * time.Minute
	// maxForwarded is the maximum number of connections that a daemon forwards at a time.
	maxForwarded = 512
	// chunkBytes is the maximum number of bytes of one message.
	chunkBytes = 16 << 10
)

// RefusalError reports that the daemon that was asked to connect did not.
type RefusalError struct {
	// Daemon is the name of the daemon.
	Daemon  string
	Outcome bronzeturnv1.ConnectOutcome
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("connect through %s: %s", e.Daemon, outcomeNames[e.Outcome])
}

// atFault reports whether another daemon is more likely to connect.
func (e *RefusalError) atFault() bool {
	return e.Outcome == bronzeturnv1.ConnectOutcome_CONNECT_OUTCOME_UNREACHABLE || e.Outcome == bronzeturnv1.ConnectOutcome_CONNECT_OUTCOME_BUSY
}

// Unwrap returns ECONNREFUSED if the host of the backend server refused the connection.
func (e *RefusalError) Unwrap() error {
	if e.Outcome == bronzeturnv1.ConnectOutcome_CONNECT_OUTCOME_REFUSED {
		return syscall.ECONNREFUSED
	}
	return nil
}

// CallError reports that a daemon could not be asked, or that a connection through it failed.
type CallError struct {
	Daemon string
	Cause  error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("connection through %s: %v", e.Daemon, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// PathError reports that no path to a backend server works, neither the direct one nor those
// through other daemons.
type PathError struct {
	Address string
	// Direct is the error of the direct path.
	Direct error
	// Relayed are the errors of the paths through other daemons.
	Relayed []error
	// Refused is set if the direct path failed by a refusal that comes from the host of the backend
	// server, as this daemon's links to others work.
	Refused bool
}

// Error implements error.
func (e *PathError) Error() string {
	return fmt.Sprintf("no path to %s: %v; %v", e.Address, e.Direct, errors.Join(e.Relayed...))
}

// Unwrap returns the errors of the paths through other daemons, which include ECONNREFUSED if
// one of them has found that the host of the backend server refuses connections. The error of
// the direct path is included if Refused is set: otherwise it may come from a broken network.
func (e *PathError) Unwrap() []error {
	if e.Refused {
		return append(slices.Clone(e.Relayed), e.Direct)
	}
	return e.Relayed
}
