// Package config turns the operators' register and rules into an immutable,
// indexed Snapshot, and stores them as content-addressed parts under one head
// object.
//
// The head is the only object that changes, by conditional update. A change of
// several files is therefore atomic, and of two operators one wins and the
// other gets a ConflictError.
package config

import "fmt"

// Keys of the configuration in the object API.
const (
	// HeadKey holds the marshalled Head.
	HeadKey = "config/head"
	// PartPrefix is followed by the lower-case hexadecimal SHA-256 of a part.
	PartPrefix = "config/parts/"
)

// DefaultKind is the task kind of requests that name none.
const DefaultKind = "default"

// DecodeError reports a file that could not be decoded. Line and Column count
// from one and are zero when the position is unknown.
type DecodeError struct {
	File   string
	Line   int
	Column int
	// Path is the field, for example "engines[3].slots", empty if unknown.
	Path    string
	Message string
}

// Error implements error.
func (e *DecodeError) Error() string {
	where := e.File
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d:%d", e.File, e.Line, e.Column)
	}
	if e.Path != "" {
		return fmt.Sprintf("%s: %s: %s", where, e.Path, e.Message)
	}
	return fmt.Sprintf("%s: %s", where, e.Message)
}

// Problem is one fault found by Validate.
type Problem struct {
	// Path is the bad field, for example "register.engines[3].versions[0]".
	Path    string
	Message string
}

// String returns the path and the message.
func (p Problem) String() string { return p.Path + ": " + p.Message }

// ValidationError holds every fault of a configuration that was refused.
type ValidationError struct {
	Problems []Problem
}

// Error implements error. It shows the first fault and counts the others.
func (e *ValidationError) Error() string {
	switch len(e.Problems) {
	case 0:
		return "invalid configuration"
	case 1:
		return "invalid configuration: " + e.Problems[0].String()
	default:
		return fmt.Sprintf("invalid configuration: %s (and %d more)", e.Problems[0], len(e.Problems)-1)
	}
}
