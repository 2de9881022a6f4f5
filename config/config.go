// Package config builds an immutable, indexed Snapshot from the operators'
// register and rules, and stores both as content-addressed parts that one head
// object refers to.
//
// The head is the only object that is ever modified, by a conditional update. A
// change of several files is therefore atomic, and of two concurrent changes one
// succeeds and the other fails with a ConflictError.
package config

import "fmt"

// Keys of the configuration in the object API.
const (
	// HeadKey holds the marshalled Head.
	HeadKey = "config/head"
	// PartPrefix is followed by the lower-case hexadecimal SHA-256 of a part.
	PartPrefix = "config/parts/"
)

// DefaultKind is the task kind of requests that specify none.
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

// Problem is a fault found by Validate.
type Problem struct {
	// Path is the field at fault, for example "register.engines[3].versions[0]".
	Path    string
	Message string
}

// String returns the path and the message.
func (p Problem) String() string { return p.Path + ": " + p.Message }

// ValidationError reports the faults of an invalid configuration.
type ValidationError struct {
	Problems []Problem
}

// Error implements error. It gives the first fault and the number of others.
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
