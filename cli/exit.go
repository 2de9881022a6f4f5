package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/bronzeturn/bronzeturn/caller"
	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/load"
)

// Exit codes of every command.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitInvalid     = 4
	ExitUnavailable = 5
	ExitRefused     = 6
)

// usageError reports a command line that can't be understood.
type usageError struct{ cause error }

// Error implements error.
func (e *usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

func usage(format string, args ...any) error {
	return &usageError{cause: fmt.Errorf(format, args...)}
}

// exitCode returns the exit code that goes with err.
func exitCode(err error) int {
	var (
		wrong   *usageError
		refused *caller.RefusalError
		silent  *caller.UnavailableError
		asked   *connect.Error
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &wrong):
		return ExitUsage
	case errors.As(err, &refused):
		return ExitRefused
	case errors.As(err, &silent), errors.Is(err, load.ErrNoAnswer), errors.Is(err, context.DeadlineExceeded):
		return ExitUnavailable
	case errors.As(err, &asked):
		return exitCodeOfConnect(asked)
	default:
		return exitCodeOfConfig(err)
	}
}

func exitCodeOfConnect(err *connect.Error) int {
	// Connect calls a connection that the daemon reset canceled.
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return ExitUnavailable
	}
	switch err.Code() {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		return ExitUnavailable
	case connect.CodeInvalidArgument:
		return ExitUsage
	case connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeResourceExhausted:
		return ExitRefused
	default:
		return ExitFailure
	}
}

// errorOutput is the JSON shape of a failure, written to the standard error.
type errorOutput struct {
	ExitCode int    `json:"exit_code"`
	Message  string `json:"message"`
	// Refusal is what a daemon answered.
	Refusal *callerapi.ErrorDetail `json:"refusal,omitempty"`
	// Conflict holds the generations of a lost conditional update.
	Conflict *conflictOutput `json:"conflict,omitempty"`
	// Faults are those of a register or rules file.
	Faults []faultOutput `json:"faults,omitempty"`
}

// report writes err and returns its exit code.
func report(w io.Writer, asJSON bool, err error) int {
	out := errorOutput{ExitCode: exitCode(err), Message: err.Error()}
	out.Conflict = conflictOf(err)
	out.Faults = faultsOf(err)
	var refused *caller.RefusalError
	if errors.As(err, &refused) {
		out.Refusal = &refused.Detail
	}
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(out)
		return out.ExitCode
	}
	fmt.Fprintf(w, "%s: %s\n", programName, out.Message)
	if c := out.Conflict; c != nil {
		fmt.Fprintf(w, "  yours is for generation %d; in force is %d, made by %q at %s: %s\n",
			c.Base, c.InForce, c.By, c.At.Format(time.RFC3339), c.Note)
	}
	for _, fault := range out.Faults {
		fmt.Fprintf(w, "  %s\n", fault)
	}
	return out.ExitCode
}
