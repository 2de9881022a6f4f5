package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// event is one complete event of a stream, including the blank line that ends it.
type event struct {
	data []byte
	// id is the event's id, "" for none.
	id string
}

// errEventTooLong reports an event above maxEventBytes.
var errEventTooLong = errors.New("event exceeds its bound")

// OrderError reports an event whose id does not follow that of the previous event.
type OrderError struct {
	After, Got string
}

// Error implements error.
func (e *OrderError) Error() string { return fmt.Sprintf("event %q follows event %q", e.Got, e.After) }

// events splits a stream into complete events. Lines end with LF, CRLF or CR, and an event ends with
// a blank line. Data after the last blank line is an event that the engine did not finish, and is
// dropped.
type events struct {
	r *bufio.Reader
	// afterCR is set if the last byte was a CR, which an LF may follow as part of the same end of
	// a line. crlf is set once that has happened.
	afterCR, crlf bool
}

func newEvents(r io.Reader) *events { return &events{r: bufio.NewReaderSize(r, 2<<10)} }

// next returns the next complete event. The error is io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF if the stream ends within an event.
func (s *events) next() (event, error) {
	var e event
	lineStart, hasContent := 0, false
	for {
		b, err := s.r.ReadByte()
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.data)) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		if len(e.data) >= maxEventBytes {
			return event{}, errEventTooLong
		}
		e.data = append(e.data, b)
		afterCR := s.afterCR
		s.afterCR = b == '\r'
		switch {
		case b == '\n' && afterCR:
			s.crlf = true
			lineStart = len(e.data)
			continue
		case b != '\n' && b != '\r':
			continue
		}
		line := e.data[lineStart : len(e.data)-1]
		lineStart = len(e.data)
		if len(line) > 0 {
			hasContent = hasContent || len(bytes.TrimSpace(line)) > 0
			if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				e.id = string(bytes.TrimSpace(id))
			}
			continue
		}
		if hasContent {
			return s.withLineFeed(e), nil
		}
	}
}

// withLineFeed adds the LF that follows the CR at the end of an event. It does not wait for one in a
// stream whose lines end with a CR alone.
func (s *events) withLineFeed(e event) event {
	if !s.afterCR || s.r.Buffered() == 0 && !s.crlf {
		return e
	}
	if next, err := s.r.Peek(1); err == nil && next[0] == '\n' {
		_, _ = s.r.Discard(1) // It has been read.
		e.data = append(e.data, '\n')
		s.afterCR, s.crlf = false, true
	}
	return e
}

// follows checks that numeric event ids increase by one.
func follows(after string, e event) error {
	if after == "" || e.id == "" {
		return nil
	}
	last, errLast := strconv.ParseUint(after, 10, 64)
	got, errGot := strconv.ParseUint(e.id, 10, 64)
	if errLast == nil && errGot == nil && got != last+1 {
		return &OrderError{After: after, Got: e.id}
	}
	return nil
}
