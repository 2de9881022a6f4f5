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

// events splits a stream into complete events. Data after the last blank line is an event
// that the engine did not finish, and is dropped.
type events struct {
	r *bufio.Reader
}

func newEvents(r io.Reader) *events { return &events{r: bufio.NewReaderSize(r, 2<<10)} }

// next returns the next complete event. The error is io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF if the stream ends within an event.
func (s *events) next() (event, error) {
	var e event
	for {
		line, err := s.r.ReadSlice('\n')
		e.data = append(e.data, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(e.data) <= maxEventBytes:
			continue
		case errors.Is(err, bufio.ErrBufferFull):
			return event{}, errEventTooLong
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.data)) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		case len(e.data) > maxEventBytes:
			return event{}, errEventTooLong
		}
		trimmed := bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(trimmed, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
		if len(trimmed) == 0 && len(bytes.TrimSpace(e.data)) > 0 {
			return e, nil
		}
	}
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
