package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"connectrpc.com/connect"
	"github.com/bronzeturn/bronzeturn/caller"
	"github.com/bronzeturn/bronzeturn/config"
	"github.com/bronzeturn/bronzeturn/objectstore"
	qt "github.com/frankban/quicktest"
)

func TestInvalidUsage(t *testing.T) {
	tests := [][]string{
		{},
		{"unknown"},
		{"send"},
		{"send", "x", "--entry", "no-port"},
		{"send", "x", "--entry", "ftp://127.0.0.1:1"},
		{"send", "x", "--entry", "127.0.0.1:1", "--deadline=0s"},
		{"status", "--operator", "no-port", "--insecure-plaintext"},
		{"status", "--operator", "127.0.0.1:1"},
		{"status", "--operator", "127.0.0.1:1", "--insecure-plaintext", "--tls-ca=x"},
		{"certs", t.TempDir(), "--hosts=127.0.0.1", "--days=366"},
		{"withdraw", "v", "--store=http://127.0.0.1:1"},
		{"apply", "register.yaml"},
		{"check", "other.yaml"},
		{"check", "register-absent.yaml"},
	}
	for _, args := range tests {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			got := run(t, args...)
			qt.Check(t, got.code, qt.Equals, ExitUsage, qt.Commentf("%s", got.stderr))
			qt.Check(t, got.stdout, qt.Equals, "")
			qt.Check(t, got.stderr, qt.Not(qt.Equals), "")
		})
	}
}

func TestExitCodes(t *testing.T) {
	conflict := &config.ConflictError{Base: 3, Have: 4}
	tests := []struct {
		name string
		err  error
		want int
	}{
		{"done", nil, ExitOK},
		{"plain failure", io.ErrUnexpectedEOF, ExitFailure},
		{"conflict", conflict, ExitConflict},
		{"conflict of the store", &objectstore.ConflictError{}, ExitConflict},
		{"unknown outcome that may be a conflict", &config.OutcomeError{Cause: conflict}, ExitUnavailable},
		{"undecodable file", &config.DecodeError{}, ExitInvalid},
		{"invalid file", &config.ValidationError{Problems: []config.Problem{{}}}, ExitInvalid},
		{"store down", &objectstore.UnavailableError{Cause: io.EOF}, ExitUnavailable},
		{"store at its rate limit", &objectstore.RateLimitError{}, ExitUnavailable},
		{"no answer", &caller.UnavailableError{Cause: io.EOF}, ExitUnavailable},
		{"broken answer", &caller.BrokenAnswerError{}, ExitFailure},
		{"refusal", &caller.RefusalError{}, ExitRefused},
		{"operator not allowed", connect.NewError(connect.CodePermissionDenied, io.EOF), ExitRefused},
		{"operator's daemon unavailable", connect.NewError(connect.CodeUnavailable, io.EOF), ExitUnavailable},
		{"operator's daemon reset the connection", connect.NewError(connect.CodeCanceled, fmt.Errorf("write: %w", syscall.ECONNRESET)), ExitUnavailable},
		{"operator's daemon closed the connection", connect.NewError(connect.CodeCanceled, fmt.Errorf("write: %w", syscall.EPIPE)), ExitUnavailable},
		{"cancelled by the operator", connect.NewError(connect.CodeCanceled, context.Canceled), ExitFailure},
		{"operator's daemon failing", connect.NewError(connect.CodeInternal, io.EOF), ExitFailure},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, exitCode(test.err), qt.Equals, test.want)
			if test.err != nil {
				qt.Check(t, exitCode(fmt.Errorf("wrapped: %w", test.err)), qt.Equals, test.want)
			}
		})
	}
}

func TestHelpNamesExitCodesAndCommands(t *testing.T) {
	got := run(t, "--help")
	qt.Check(t, got.code, qt.Equals, ExitOK)
	for _, part := range []string{"3 conflict", "6 refused", "demo", "check", "apply", "withdraw", "status", "entries", "send", "bills", "load", "certs", "version", "--json"} {
		qt.Check(t, got.stdout, qt.Contains, part)
	}
}

func TestVersion(t *testing.T) {
	var out versionOutput
	decode(t, run(t, "version", "--json").stdout, &out)
	qt.Check(t, out.Go, qt.Contains, "go1.")
	qt.Check(t, run(t, "version").stdout, qt.Contains, programName)
}

func TestDemoGetsOutputAndFormat(t *testing.T) {
	fault := errors.New("demo failed")
	var stdout, stderr strings.Builder
	demo := func(_ context.Context, w io.Writer, o DemoOptions) error {
		fmt.Fprintf(w, "json %v, log %s", o.JSON, filepath.Base(o.LogFile))
		return fault
	}
	code := Run(t.Context(), []string{"demo", "--json", "--log-file=demo.log"}, &stdout, &stderr, Commands{Demo: demo})
	qt.Check(t, code, qt.Equals, ExitFailure)
	qt.Check(t, stdout.String(), qt.Equals, "json true, log demo.log")
	qt.Check(t, stderr.String(), qt.Contains, fault.Error())
	qt.Check(t, run(t, "demo").code, qt.Equals, ExitFailure)
}
