package peer

import (
	"errors"
	"fmt"
)

// DialError reports that no connection to a peer address could be opened. No request was sent.
type DialError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *DialError) Error() string {
	return fmt.Sprintf("dial peer %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// ConnectFailed distinguishes a DialError from failures of an open connection. It always
// returns true.
func (e *DialError) ConnectFailed() bool { return true }

// IsDialError reports whether no connection could be opened, as opposed to an open connection
// that failed or did not respond.
func IsDialError(err error) bool {
	var d *DialError
	return errors.As(err, &d)
}

// MetricError reports that the metrics of this package could not be registered.
type MetricError struct {
	Cause error
}

// Error implements error.
func (e *MetricError) Error() string { return fmt.Sprintf("register peer metrics: %v", e.Cause) }

// Unwrap returns the cause.
func (e *MetricError) Unwrap() error { return e.Cause }

// ServeError reports that the peer listener stopped unexpectedly.
type ServeError struct {
	Cause error
}

// Error implements error.
func (e *ServeError) Error() string { return fmt.Sprintf("serve peers: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ServeError) Unwrap() error { return e.Cause }
