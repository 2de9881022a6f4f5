package attempt

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// HeadError reports an answer whose head is malformed. Line is the beginning of the line concerned.
type HeadError struct {
	Line  string
	Cause error
}

// Error implements error.
func (e *HeadError) Error() string {
	return fmt.Sprintf("malformed head of an answer: %v: %q", e.Cause, e.Line)
}

// Unwrap returns the cause.
func (e *HeadError) Unwrap() error { return e.Cause }

var (
	errVersion  = errors.New("not HTTP/1")
	errStatus   = errors.New("invalid status")
	errSwitched = errors.New("the protocol was switched without a request to do so")
	errName     = errors.New("invalid field name")
	errFraming  = errors.New("HTTP/1.0 has no transfer codings")
)

const (
	// maxCheckedBytes is how much of a line is kept to check it. Names and statuses are much shorter.
	maxCheckedBytes = 1 << 10
	// maxErrorLine is how much of a line becomes part of an error.
	maxErrorLine = 64
)

// headCheck checks the heads of the answers to one request: those of interim answers and the final one. Its zero
// value is ready for use.
//
// net/http takes any three digits for a status and skips fields whose names have blanks, also if they
// determine where the body ends.
type headCheck struct {
	// line is the beginning of the current line.
	line []byte
	// begun is set after the status line.
	begun bool
	// interim is set in the head of an interim answer, old in one of HTTP/1.0, and coded once a transfer
	// coding is stated.
	interim, old, coded bool
	// ended is set after the final head.
	ended bool
}

// read checks the next bytes of the answers. Those of the body are ignored.
func (h *headCheck) read(p []byte) error {
	for len(p) > 0 && !h.ended {
		part, rest, complete := bytes.Cut(p, []byte{'\n'})
		h.line = append(h.line, part[:min(len(part), maxCheckedBytes-len(h.line))]...)
		p = rest
		if !complete {
			return nil
		}
		line := bytes.TrimSuffix(h.line, []byte{'\r'})
		if cause := h.endLine(line); cause != nil {
			return &HeadError{Line: string(line[:min(len(line), maxErrorLine)]), Cause: cause}
		}
		h.line = h.line[:0]
	}
	return nil
}

// endLine checks a complete line.
func (h *headCheck) endLine(line []byte) error {
	switch {
	case !h.begun:
		return h.endStatusLine(line)
	case len(line) == 0:
		return h.endHead()
	case line[0] == ' ' || line[0] == '\t':
		return nil // Continues the value of the field before (RFC 9112, section 5.2).
	}
	name, _, found := bytes.Cut(line, []byte{':'})
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return errName
	}
	h.coded = h.coded || http.CanonicalHeaderKey(string(name)) == "Transfer-Encoding"
	return nil
}

// endStatusLine checks a status line, for example "HTTP/1.1 200 OK".
func (h *headCheck) endStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	minor, found := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !found || len(minor) != 1 || !isDigit(minor[0]) {
		return errVersion
	}
	status, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte{' '})
	if len(status) != 3 || status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]) {
		return errStatus // RFC 9110, section 15.
	}
	if string(status) == "101" {
		return errSwitched
	}
	h.begun, h.interim, h.old = true, status[0] == '1', minor[0] == '0'
	return nil
}

// endHead ends a head.
func (h *headCheck) endHead() error {
	switch {
	case h.old && h.coded:
		return errFraming // RFC 9112, section 6.1.
	case h.interim:
		*h = headCheck{line: h.line}
	default:
		*h = headCheck{ended: true}
	}
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
