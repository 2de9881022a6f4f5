package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/bronzeturn/bronzeturn/attempt"
	"github.com/bronzeturn/bronzeturn/failure"
	"github.com/bronzeturn/bronzeturn/overload"
)

// Event is a part of an answer. Data is valid until the next call of Stream.Next.
type Event struct {
	// Data holds the bytes of a server-sent event including its blank line, or the
	// entire body of an answer that is not streamed.
	Data []byte
	// Last marks the end of a complete answer.
	Last bool
}

// Usage is the number of tokens that an engine reports for a request.
type Usage struct {
	PromptTokens     int64
	CompletionTokens int64
	// CachedTokens is the number of PromptTokens that were found in the prefix cache.
	CachedTokens int64
}

const (
	streamBuffer = 16 << 10
	// maxEventBytes bounds a server-sent event, maxBodyBytes an answer that is not streamed. Both
	// are less if the account of memory is small.
	maxEventBytes = 1 << 20
	maxBodyBytes  = 64 << 20
)

var (
	errNoEnd        = errors.New("answer ended without a [DONE] event")
	errTooLong      = errors.New("answer exceeds its size limit")
	errNotJSON      = errors.New("answer is not a complete JSON value")
	errInStream     = errors.New("engine reported an error inside the answer")
	errAlreadyEnded = errors.New("read after the end of the answer")
)

// Stream is the answer to a request. It is not safe for concurrent use.
type Stream struct {
	x        *attempt.Exchange
	events   bool
	memory   answerMemory
	buf      []byte
	start    int
	end      int
	scanned  int
	last     bool
	failed   error
	usage    Usage
	hasUsage bool
}

func newStream(x *attempt.Exchange, events bool, memory *overload.Request) *Stream {
	s := &Stream{x: x, events: events, memory: answerMemory{request: memory}}
	if events {
		_ = s.memory.reserve(streamBuffer) // It is small, so that there is room for it.
		s.buf = make([]byte, streamBuffer)
	}
	return s
}

// Usage returns the usage, and whether the answer has reported it so far.
func (s *Stream) Usage() (Usage, bool) { return s.usage, s.hasUsage }

// Buffered reports whether Next would return an event without waiting for the engine.
// Callers that forward events use it to write several at once.
func (s *Stream) Buffered() bool {
	at, _ := endOfEvent(s.buf[s.start:s.end])
	return at >= 0
}

// Close ends the request and returns the memory of the answer. Unless the answer is
// complete, this closes the connection, upon which the engine stops its work.
func (s *Stream) Close() error {
	defer s.memory.releaseAll()
	if s.last && s.events {
		s.x.Drain()
	}
	return s.x.Close()
}

// Next returns the next part of the answer, or an *Error. The answer is complete only
// once an Event with Last was returned.
func (s *Stream) Next() (Event, error) {
	if s.failed != nil {
		return Event{}, s.failed
	}
	if s.last {
		return Event{}, s.fail(KindBroken, errAlreadyEnded)
	}
	if !s.events {
		return s.readBody()
	}
	for {
		if data := s.takeEvent(); data != nil {
			return s.classify(data)
		}
		if err := s.fill(); err != nil {
			return Event{}, err
		}
	}
}

// fail records and returns the failure of an answer that has begun.
func (s *Stream) fail(kind ErrorKind, cause error) error {
	s.failed = &Error{Kind: kind, Ran: failure.RanYes, Status: s.x.Status, cause: cause}
	return s.failed
}

// failRead records and returns the failure for an error of a read.
func (s *Stream) failRead(err error) error {
	if errors.Is(err, io.EOF) {
		return s.fail(KindBroken, errNoEnd)
	}
	e := errorFromAttempt(err)
	e.Status = s.x.Status
	s.failed = e
	return e
}

var (
	blankLine     = []byte("\n\n")
	blankLineCRLF = []byte("\r\n\r\n")
)

// takeEvent removes a complete event from the buffer and returns it, or nil if there is
// none.
func (s *Stream) takeEvent() []byte {
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

// endOfEvent returns the position and the length of the first blank line, or the position
// -1 if there is none. A "\r\n\r\n" is searched only up to a few bytes after the first
// "\n\n", as the two kinds of blank line can overlap.
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

// fill reads more bytes into the buffer.
func (s *Stream) fill() error {
	if int64(s.end-s.start) >= s.memory.most(maxEventBytes) {
		return s.fail(KindBroken, errTooLong)
	}
	if err := s.makeRoom(); err != nil {
		return s.fail(KindBroken, err)
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

// makeRoom moves the unread bytes to the front of the buffer, and doubles the buffer if it
// is full. It fails if there is no memory.
func (s *Stream) makeRoom() error {
	if s.start > 0 {
		copy(s.buf, s.buf[s.start:s.end])
		s.end -= s.start
		s.scanned -= s.start
		s.start = 0
	}
	if s.end < len(s.buf) {
		return nil
	}
	size := int64(len(s.buf))
	if err := s.memory.reserve(2 * size); err != nil {
		return fmt.Errorf("event of the answer: %w", err)
	}
	grown := make([]byte, 2*size)
	copy(grown, s.buf)
	s.buf = grown
	s.memory.release(size)
	return nil
}

var (
	donePrefix  = []byte("data: [DONE]")
	usageField  = []byte(`"usage":`)
	jsonNull    = []byte("null")
	errorPrefix = []byte(`data: {"error"`)
	dataPrefix  = []byte("data:")
)

// classify returns the event for data according to its first bytes. Only events with a
// usage field are decoded.
func (s *Stream) classify(data []byte) (Event, error) {
	switch {
	case bytes.HasPrefix(data, donePrefix):
		s.last = true
		return Event{Data: data, Last: true}, nil
	case bytes.HasPrefix(data, errorPrefix):
		return Event{}, s.fail(KindFailed, errInStream)
	case containsUsage(data):
		s.readUsage(bytes.TrimPrefix(data, dataPrefix))
	}
	return Event{Data: data}, nil
}

// containsUsage reports whether an event has a usage field other than null. Text in the
// answer cannot be mistaken for one, as its quotes are escaped.
func containsUsage(data []byte) bool {
	at := bytes.Index(data, usageField)
	if at < 0 {
		return false
	}
	value := bytes.TrimLeft(data[at+len(usageField):], " ")
	return !bytes.HasPrefix(value, jsonNull)
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

// readUsage records the usage in a JSON value, if there is one without negative numbers.
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

// readBody reads an answer that is not streamed.
func (s *Stream) readBody() (Event, error) {
	body, err := s.memory.readAll(s.x, s.x.Length, maxBodyBytes)
	var full *overload.FullError
	switch {
	case errors.Is(err, overload.ErrTooLarge):
		return Event{}, s.fail(KindBroken, errTooLong)
	case errors.As(err, &full):
		return Event{}, s.fail(KindBroken, fmt.Errorf("body of the answer: %w", err))
	case err != nil:
		return Event{}, s.failRead(err)
	}
	if !json.Valid(body) {
		return Event{}, s.fail(KindBroken, errNotJSON)
	}
	s.readUsage(body)
	s.last = true
	return Event{Data: body, Last: true}, nil
}

func asAttempt(err error, target **attempt.Error) bool { return errors.As(err, target) }
