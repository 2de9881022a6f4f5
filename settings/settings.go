// Package settings reads the settings of a daemon from flags and environment
// variables. The schema of message Settings names each flag with its variable,
// default, unit and bounds; this package derives the rest from it.
//
// A flag goes before its variable, a variable before the default. An empty
// variable counts as absent.
package settings

import (
	"errors"
	"fmt"
	"strings"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// ErrHelp reports that the arguments ask for help. WriteHelp gives it.
var ErrHelp = errors.New("help requested")

// Problem is one fault of the settings.
type Problem struct {
	// Flag is the name of the flag at fault, with dashes. It is the argument
	// itself when no flag has that name.
	Flag    string
	Message string
}

// Error holds every fault found, in the order of the schema.
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
// and by environ, which holds entries of the form "key=value". It fails with
// ErrHelp, or with an *Error that lists every wrong or contradictory setting.
func Parse(args, environ []string) (*bronzeturnv1.Settings, error) {
	args, found := inspectArgs(args)
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
