package cli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/bronzeturn/bronzeturn/callerapi"
)

// Words of server-sent events in the usual protocol of language model APIs.
const (
	eventDataPrefix = "data:"
	eventDone       = "[DONE]"
	contentStream   = "text/event-stream"
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// headerPrefix begins the headers that daemons add to answers.
	headerPrefix = "Bronzeturn-"
)

// BrokenAnswerError reports an answer that began and did not come whole.
type BrokenAnswerError struct {
	Reason string
	// Detail is what the daemon said about the break, if anything.
	Detail *callerapi.ErrorDetail
	Cause  error
}

// Error implements error.
func (e *BrokenAnswerError) Error() string {
	text := "answer broken: " + e.Reason
	if e.Detail != nil {
		text += fmt.Sprintf(": %s: %s (ran: %s)", e.Detail.Code, e.Detail.Message, e.Detail.Ran)
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *BrokenAnswerError) Unwrap() error { return e.Cause }

// message is one message of a conversation.
type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// streamOptions asks for the token counts at the end of a stream.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// completionRequest is the body of a request.
type completionRequest struct {
	Model         string         `json:"model,omitempty"`
	Messages      []message      `json:"messages"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
	MaxTokens     int            `json:"max_tokens,omitempty"`
}

// tokenUsage counts the tokens of one request.
type tokenUsage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
}

// choice is one alternative of an answer, whole or one event's part of it.
type choice struct {
	Message      message `json:"message"`
	Delta        message `json:"delta"`
	FinishReason string  `json:"finish_reason"`
}

// completionAnswer is a whole answer or one event of a stream.
type completionAnswer struct {
	Model   string                 `json:"model"`
	Choices []choice               `json:"choices"`
	Usage   *tokenUsage            `json:"usage"`
	Error   *callerapi.ErrorDetail `json:"error"`
}

// header is one header that the daemon added.
type header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// answer is what a caller got, checked to be whole.
type answer struct {
	Address      string        `json:"address"`
	RequestID    string        `json:"request_id"`
	Version      string        `json:"version"`
	Headers      []header      `json:"headers"`
	Text         string        `json:"text"`
	FinishReason string        `json:"finish_reason,omitempty"`
	Usage        tokenUsage    `json:"usage"`
	FirstToken   time.Duration `json:"first_token_ns,omitempty"`
	Total        time.Duration `json:"total_ns"`
}

// newAnswer takes the headers of r.
func newAnswer(r *http.Response) *answer {
	a := &answer{
		Address:   r.Request.URL.Host,
		RequestID: r.Header.Get(callerapi.HeaderRequestID),
		Version:   r.Header.Get(callerapi.HeaderVersion),
		Headers:   []header{},
	}
	for name := range r.Header {
		if strings.HasPrefix(name, headerPrefix) {
			a.Headers = append(a.Headers, header{Name: name, Value: r.Header.Get(name)})
		}
	}
	sortHeaders(a.Headers)
	return a
}

// readWhole reads an answer that comes in one piece.
func readWhole(r *http.Response, start time.Time) (*answer, error) {
	a := newAnswer(r)
	var body completionAnswer
	if err := json.NewDecoder(io.LimitReader(r.Body, maxAnswerBytes)).Decode(&body); err != nil {
		return nil, &BrokenAnswerError{Reason: "body is not whole", Cause: err}
	}
	if body.Error != nil {
		return nil, &BrokenAnswerError{Reason: "error in the body", Detail: body.Error}
	}
	a.take(body, func(c choice) string { return c.Message.Content })
	a.Total = time.Since(start)
	return a, a.check()
}

// readStream reads server-sent events up to the end mark and hands every piece
// of text to onText.
func readStream(r *http.Response, start time.Time, onText func(string)) (*answer, error) {
	a := newAnswer(r)
	scanner := bufio.NewScanner(r.Body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		data, found := bytes.CutPrefix(scanner.Bytes(), []byte(eventDataPrefix))
		if !found {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == eventDone {
			a.Total = time.Since(start)
			return a, a.check()
		}
		if err := a.event(data, start, onText); err != nil {
			return nil, err
		}
	}
	return nil, &BrokenAnswerError{Reason: "stream ended without its end mark", Cause: scanner.Err()}
}

// event takes the data of one event.
func (a *answer) event(data []byte, start time.Time, onText func(string)) error {
	var event completionAnswer
	if err := json.Unmarshal(data, &event); err != nil {
		return &BrokenAnswerError{Reason: "event is not JSON", Cause: err}
	}
	if event.Error != nil {
		return &BrokenAnswerError{Reason: "marked as broken by the daemon", Detail: event.Error}
	}
	text := a.take(event, func(c choice) string { return c.Delta.Content })
	if text == "" {
		return nil
	}
	if a.FirstToken == 0 {
		a.FirstToken = time.Since(start)
	}
	onText(text)
	return nil
}

// take adds one body or event and returns its text.
func (a *answer) take(body completionAnswer, textOf func(choice) string) string {
	if body.Usage != nil {
		a.Usage = *body.Usage
	}
	if len(body.Choices) == 0 {
		return ""
	}
	text := textOf(body.Choices[0])
	a.Text += text
	if reason := body.Choices[0].FinishReason; reason != "" {
		a.FinishReason = reason
	}
	return text
}

// check reports an answer that ended like a whole one and is not.
func (a *answer) check() error {
	if a.FinishReason == "" {
		return &BrokenAnswerError{Reason: "no finish reason"}
	}
	return nil
}

// isStream tells whether the answer comes as server-sent events.
func isStream(r *http.Response) bool {
	return strings.HasPrefix(r.Header.Get("Content-Type"), contentStream)
}

// read reads the answer as its content type says.
func read(r *http.Response, start time.Time, onText func(string)) (*answer, error) {
	if isStream(r) {
		return readStream(r, start, onText)
	}
	return readWhole(r, start)
}
