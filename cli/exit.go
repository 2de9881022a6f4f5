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

// usageError reports an invalid command line.
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
		invalid     *usageError
		refused     *caller.RefusalError
		unavailable *caller.UnavailableError
		connectErr  *connect.Error
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &invalid):
		return ExitUsage
	case errors.As(err, &refused):
		return ExitRefused
	case errors.As(err, &unavailable), errors.Is(err, load.ErrNoAnswer), errors.Is(err, context.DeadlineExceeded):
		return ExitUnavailable
	case errors.As(err, &connectErr):
		return exitCodeOfConnect(connectErr)
	default:
		return exitCodeOfConfig(err)
	}
}

func exitCodeOfConnect(err *connect.Error) int {
	// The Connect library reports a connection reset by the daemon as CodeCanceled.
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

// errorOutput is the JSON shape of a failure, written to standard error.
type errorOutput struct {
	ExitCode int    `json:"exit_code"`
	Message  string `json:"message"`
	// Refusal is the error that a daemon answered with.
	Refusal *callerapi.ErrorDetail `json:"refusal,omitempty"`
	// Conflict describes a conditional update that lost against another change.
	Conflict *conflictOutput `json:"conflict,omitempty"`
	// Faults are the faults of a register or rules file.
	Faults []faultOutput `json:"faults,omitempty"`
}

// report writes err to w and returns its exit code.
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
		fmt.Fprintf(w, "  the change is based on generation %d; generation %d is in force, applied by %q at %s: %s\n",
			c.Base, c.InForce, c.By, c.At.Format(time.RFC3339), c.Note)
	}
	for _, fault := range out.Faults {
		fmt.Fprintf(w, "  %s\n", fault)
	}
	return out.ExitCode
}
