package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
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

// Usage counts the tokens of one request.
type Usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
}

// choice is one alternative of an answer, whole or one event's part of it.
type choice struct {
	Message      Message `json:"message"`
	Delta        Message `json:"delta"`
	FinishReason string  `json:"finish_reason"`
}

// completionAnswer is a whole answer or one event of a stream.
type completionAnswer struct {
	Model   string                 `json:"model"`
	Choices []choice               `json:"choices"`
	Usage   *Usage                 `json:"usage"`
	Error   *callerapi.ErrorDetail `json:"error"`
}

// Header is one header that the daemon added.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Answer is what a caller got, checked to be whole.
type Answer struct {
	Address      string        `json:"address"`
	RequestID    string        `json:"request_id"`
	Version      string        `json:"version"`
	Headers      []Header      `json:"headers"`
	Text         string        `json:"text"`
	FinishReason string        `json:"finish_reason,omitempty"`
	Usage        Usage         `json:"usage"`
	FirstToken   time.Duration `json:"first_token_ns,omitempty"`
	Total        time.Duration `json:"total_ns"`
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Address   string
	RequestID string
	Headers   []Header
	Body      []byte
}

// newAnswer takes the headers of r.
func newAnswer(r *http.Response) *Answer {
	return &Answer{
		Address:   r.Request.URL.Host,
		RequestID: r.Header.Get(callerapi.HeaderRequestID),
		Version:   r.Header.Get(callerapi.HeaderVersion),
		Headers:   addedHeaders(r),
	}
}

// addedHeaders returns the headers that the daemon added, in order.
func addedHeaders(r *http.Response) []Header {
	added := []Header{}
	for name := range r.Header {
		if strings.HasPrefix(name, headerPrefix) {
			added = append(added, Header{Name: name, Value: r.Header.Get(name)})
		}
	}
	slices.SortFunc(added, func(a, b Header) int { return strings.Compare(a.Name, b.Name) })
	return added
}

// readService reads the answer of a plain service.
func readService(r *http.Response) (*ServiceAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnswerBytes))
	if err != nil {
		return nil, &BrokenAnswerError{Reason: "body is not whole", Cause: err}
	}
	return &ServiceAnswer{
		Address:   r.Request.URL.Host,
		RequestID: r.Header.Get(callerapi.HeaderRequestID),
		Headers:   addedHeaders(r),
		Body:      body,
	}, nil
}

// readWhole reads an answer that comes in one piece.
func readWhole(r *http.Response, start time.Time) (*Answer, error) {
	a := newAnswer(r)
	var body completionAnswer
	if err := json.NewDecoder(io.LimitReader(r.Body, maxAnswerBytes)).Decode(&body); err != nil {
		return nil, &BrokenAnswerError{Reason: "body is not whole", Cause: err}
	}
	if body.Error != nil {
		return nil, &BrokenAnswerError{Reason: "error in the body", Detail: body.Error}
	}
	a.add(body, func(c choice) string { return c.Message.Content })
	a.Total = time.Since(start)
	return a, a.checkFinished()
}

// readStream reads server-sent events up to the end mark and hands every piece
// of text to onText.
func readStream(r *http.Response, start time.Time, onText func(string)) (*Answer, error) {
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
			return a, a.checkFinished()
		}
		if err := a.addEvent(data, start, onText); err != nil {
			return nil, err
		}
	}
	return nil, &BrokenAnswerError{Reason: "stream ended without its end mark", Cause: scanner.Err()}
}

// addEvent takes the data of one addEvent.
func (a *Answer) addEvent(data []byte, start time.Time, onText func(string)) error {
	var event completionAnswer
	if err := json.Unmarshal(data, &event); err != nil {
		return &BrokenAnswerError{Reason: "event is not JSON", Cause: err}
	}
	if event.Error != nil {
		return &BrokenAnswerError{Reason: "marked as broken by the daemon", Detail: event.Error}
	}
	text := a.add(event, func(c choice) string { return c.Delta.Content })
	if text == "" {
		return nil
	}
	if a.FirstToken == 0 {
		a.FirstToken = time.Since(start)
	}
	if onText != nil {
		onText(text)
	}
	return nil
}

// add adds one body or event and returns its text.
func (a *Answer) add(body completionAnswer, textOf func(choice) string) string {
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

// checkFinished reports an answer that ended like a whole one and is not.
func (a *Answer) checkFinished() error {
	if a.FinishReason == "" {
		return &BrokenAnswerError{Reason: "no finish reason"}
	}
	return nil
}

// isStream tells whether the answer comes as server-sent events.
func isStream(r *http.Response) bool {
	return strings.HasPrefix(r.Header.Get("Content-Type"), contentStream)
}

// readAnswer reads the answer as its content type says.
func readAnswer(r *http.Response, start time.Time, onText func(string)) (*Answer, error) {
	if isStream(r) {
		return readStream(r, start, onText)
	}
	return readWhole(r, start)
}
