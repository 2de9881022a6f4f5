// Package settings reads the settings of a daemon from flags and environment
// variables. The flag option of each field in message Settings defines the flag,
// its environment variable, default, unit and bounds. This package derives the
// command line, the checks and the documentation from it.
//
// A flag takes precedence over its variable, and the variable over the default. An
// empty variable counts as absent.
package settings

import (
	"errors"
	"fmt"
	"strings"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// ErrHelp reports that the arguments ask for help, which WriteHelp writes.
var ErrHelp = errors.New("help requested")

// Problem is one fault of the settings.
type Problem struct {
	// Flag is the name of the invalid flag, with dashes, or the argument itself
	// if it names no flag.
	Flag    string
	Message string
}

// Error lists every fault found: first arguments that name no flag or lack their
// value, then invalid values in the order of message Settings.
type Error struct {
	Problems []Problem
}

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Flag + ": " + p.Message
	}
	return "invalid settings: " + strings.Join(lines, "; ")
}

// problems collects faults.
type problems []Problem

func (p *problems) add(flag, format string, args ...any) {
	*p = append(*p, Problem{Flag: "--" + flag, Message: fmt.Sprintf(format, args...)})
}

func (p problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return &Error{Problems: p}
}

// Parse returns the settings given by args, which exclude the program's name,
// and by environ, which holds entries of the form "key=value". It returns ErrHelp
// if the arguments ask for help, and an *Error that lists every fault if settings
// are invalid. Contradictions between settings are checked only if there is no other
// fault.
func Parse(args, environ []string) (*bronzeturnv1.Settings, error) {
	args, found := checkArgs(args)
	texts, err := parseFlags(args, environ)
	if errors.Is(err, ErrHelp) {
		return nil, err
	}
	if err != nil {
		found = append(found, Problem{Flag: strings.Join(args, " "), Message: err.Error()})
		return nil, found.err()
	}
	s := &bronzeturnv1.Settings{}
	for _, o := range options {
		if err := o.set(s.ProtoReflect(), texts[o.flag.GetName()]); err != nil {
			found.add(o.flag.GetName(), "%v", err)
		}
	}
	if len(found) == 0 {
		found = contradictions(s)
	}
	if err := found.err(); err != nil {
		return nil, err
	}
	return s, nil
}
