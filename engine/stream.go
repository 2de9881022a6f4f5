package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/failure"
)

// Event is a part of an answer. Data is valid until the next call of Next.
type Event struct {
	// Data holds the bytes of one server-sent event with its blank line, or
	// the whole body of an answer that is not streamed.
	Data []byte
	// Last marks the end of a complete answer.
	Last bool
}

// Usage is what an engine says it spent on a request, in tokens.
type Usage struct {
	PromptTokens     int64
	CompletionTokens int64
	// CachedTokens is the part of PromptTokens found in the prefix cache.
	CachedTokens int64
}

const (
	streamBuffer = 16 << 10
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 1 << 20
	// maxBodyBytes bounds an answer that is not streamed.
	maxBodyBytes = 64 << 20
)

var (
	errNoEnd        = errors.New("answer ended without its end mark")
	errTooLong      = errors.New("answer exceeds its bound")
	errNotJSON      = errors.New("answer is not a complete JSON value")
	errInStream     = errors.New("engine reported an error inside the answer")
	errAlreadyEnded = errors.New("answer was read to its end")
)

// Stream is the answer to one request. It is used by one goroutine at a time.
type Stream struct {
	x        *attempt.Exchange
	events   bool
	buf      []byte
	start    int
	end      int
	scanned  int
	last     bool
	failed   error
	usage    Usage
	hasUsage bool
}

func newStream(x *attempt.Exchange, events bool) *Stream {
	s := &Stream{x: x, events: events}
	if events {
		s.buf = make([]byte, streamBuffer)
	}
	return s
}

// Usage returns the usage once it was seen in the answer.
func (s *Stream) Usage() (Usage, bool) { return s.usage, s.hasUsage }

// Buffered tells whether Next would return an event without waiting for the
// engine. Writers use it to send several events at once.
func (s *Stream) Buffered() bool {
	at, _ := endOfEvent(s.buf[s.start:s.end])
	return at >= 0
}

// Close ends the request. Unless the answer is complete, the engine is told by
// the closed connection to stop its work.
func (s *Stream) Close() error {
	if s.last && s.events {
		s.x.Drain()
	}
	return s.x.Close()
}

// Next returns the next part of the answer, or an *Error. An answer is
// complete only when an Event with Last was returned.
func (s *Stream) Next() (Event, error) {
	if s.failed != nil {
		return Event{}, s.failed
	}
	if s.last {
		return Event{}, s.fail(KindBroken, errAlreadyEnded)
	}
	if !s.events {
		return s.whole()
	}
	for {
		if data := s.cut(); data != nil {
			return s.event(data)
		}
		if err := s.fill(); err != nil {
			return Event{}, err
		}
	}
}

// fail records and returns a failure of an answer that has begun.
func (s *Stream) fail(kind ErrorKind, cause error) error {
	s.failed = &Error{Kind: kind, Ran: failure.RanYes, Status: s.x.Status, cause: cause}
	return s.failed
}

func (s *Stream) failRead(err error) error {
	if errors.Is(err, io.EOF) {
		return s.fail(KindBroken, errNoEnd)
	}
	e := fromAttempt(err)
	e.Status = s.x.Status
	s.failed = e
	return e
}

var (
	blankLine     = []byte("\n\n")
	blankLineCRLF = []byte("\r\n\r\n")
)

// cut takes one complete event from the buffer, or returns nil.
func (s *Stream) cut() []byte {
	from := max(s.start, s.scanned-len(blankLineCRLF)+1)
	pending := s.buf[from:s.end]
	at, size := endOfEvent(pending)
	if at < 0 {
		s.scanned = s.end
		return nil
	}
	data := s.buf[s.start : from+at+size]
	s.start = from + at + size
	s.scanned = s.start
	return data
}

// endOfEvent returns where the first blank line begins and its length, or -1.
// The bytes behind a first "\n\n" are not searched again; the two kinds of blank
// line may overlap.
func endOfEvent(pending []byte) (at, size int) {
	at, size = bytes.Index(pending, blankLine), len(blankLine)
	before := pending
	if at >= 0 {
		before = pending[:min(at+len(blankLineCRLF)-1, len(pending))]
	}
	if crlf := bytes.Index(before, blankLineCRLF); crlf >= 0 {
		return crlf, len(blankLineCRLF)
	}
	return at, size
}

// fill reads more bytes behind the buffered ones.
func (s *Stream) fill() error {
	s.makeRoom()
	if s.end-s.start >= maxEventBytes {
		return s.fail(KindBroken, errTooLong)
	}
	n, err := s.x.Read(s.buf[s.end:])
	s.end += n
	if n > 0 {
		return nil
	}
	if err != nil {
		return s.failRead(err)
	}
	return nil
}

// makeRoom moves the unread bytes to the front and grows the buffer when an
// event does not fit.
func (s *Stream) makeRoom() {
	if s.start > 0 {
		copy(s.buf, s.buf[s.start:s.end])
		s.end -= s.start
		s.scanned -= s.start
		s.start = 0
	}
	if s.end == len(s.buf) {
		s.buf = append(s.buf, make([]byte, len(s.buf))...)
	}
}

var (
	doneMark  = []byte("data: [DONE]")
	usageMark = []byte(`"usage":`)
	usageNull = []byte("null")
	errorMark = []byte(`data: {"error"`)
	dataMark  = []byte("data:")
)

// event classifies one event by its first bytes; only an event that holds
// usage is decoded.
func (s *Stream) event(data []byte) (Event, error) {
	switch {
	case bytes.HasPrefix(data, doneMark):
		s.last = true
		return Event{Data: data, Last: true}, nil
	case bytes.HasPrefix(data, errorMark):
		return Event{}, s.fail(KindFailed, errInStream)
	case holdsUsage(data):
		s.readUsage(bytes.TrimPrefix(data, dataMark))
	}
	return Event{Data: data}, nil
}

// holdsUsage tells whether an event has a usage field other than null. Text of
// the answer cannot look like one, as its quotes are escaped.
func holdsUsage(data []byte) bool {
	at := bytes.Index(data, usageMark)
	if at < 0 {
		return false
	}
	value := bytes.TrimLeft(data[at+len(usageMark):], " ")
	return !bytes.HasPrefix(value, usageNull)
}

// wireUsage is the usage object of language model APIs.
type wireUsage struct {
	Usage *struct {
		PromptTokens        int64 `json:"prompt_tokens"`
		CompletionTokens    int64 `json:"completion_tokens"`
		PromptTokensDetails struct {
			CachedTokens int64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// readUsage keeps the usage of a JSON value if it holds a plausible one.
func (s *Stream) readUsage(body []byte) {
	var w wireUsage
	if err := json.Unmarshal(body, &w); err != nil || w.Usage == nil {
		return
	}
	u := Usage{
		PromptTokens:     w.Usage.PromptTokens,
		CompletionTokens: w.Usage.CompletionTokens,
		CachedTokens:     w.Usage.PromptTokensDetails.CachedTokens,
	}
	if u.PromptTokens < 0 || u.CompletionTokens < 0 || u.CachedTokens < 0 {
		return
	}
	s.usage, s.hasUsage = u, true
}

// whole reads an answer that is not streamed.
func (s *Stream) whole() (Event, error) {
	body, err := readSome(s.x, maxBodyBytes+1)
	if err != nil {
		return Event{}, s.failRead(err)
	}
	if len(body) > maxBodyBytes {
		return Event{}, s.fail(KindBroken, errTooLong)
	}
	if !json.Valid(body) {
		return Event{}, s.fail(KindBroken, errNotJSON)
	}
	s.readUsage(body)
	s.last = true
	return Event{Data: body, Last: true}, nil
}

// readSome reads the body up to its end or limit bytes.
func readSome(r io.Reader, limit int64) ([]byte, error) {
	return io.ReadAll(io.LimitReader(r, limit))
}

func asAttempt(err error, target **attempt.Error) bool { return errors.As(err, target) }
