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

// Parts of streamed answers, which are server-sent events as in the chat completions
// protocol of language model APIs.
const (
	eventDataPrefix = "data:"
	eventDone       = "[DONE]"
	contentStream   = "text/event-stream"
	// maxEventBytes is the size limit of one line of the stream.
	maxEventBytes = 1 << 20
	// headerPrefix is the prefix of headers that daemons add to answers.
	headerPrefix = "Bronzeturn-"
)

// Usage counts the tokens of one request.
type Usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
}

// choice is one alternative of an answer, or the part of it in one event of a stream.
type choice struct {
	Message      Message `json:"message"`
	Delta        Message `json:"delta"`
	FinishReason string  `json:"finish_reason"`
}

// completionAnswer is the body of an answer in one piece, or one event of a stream.
type completionAnswer struct {
	Model   string                 `json:"model"`
	Choices []choice               `json:"choices"`
	Usage   *Usage                 `json:"usage"`
	Error   *callerapi.ErrorDetail `json:"error"`
}

// Header is one header that the daemon added to the answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Answer is a complete answer of a model. FirstToken is zero unless it was streamed.
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

// newAnswer returns an Answer with what the headers of r say.
func newAnswer(r *http.Response) *Answer {
	return &Answer{
		Address:   r.Request.URL.Host,
		RequestID: r.Header.Get(callerapi.HeaderRequestID),
		Version:   r.Header.Get(callerapi.HeaderVersion),
		Headers:   addedHeaders(r),
	}
}

// addedHeaders returns the headers that the daemon added, sorted by name.
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
		return nil, &BrokenAnswerError{Reason: "response body is incomplete or invalid", Cause: err}
	}
	return &ServiceAnswer{
		Address:   r.Request.URL.Host,
		RequestID: r.Header.Get(callerapi.HeaderRequestID),
		Headers:   addedHeaders(r),
		Body:      body,
	}, nil
}

// readWhole reads an answer in one piece.
func readWhole(r *http.Response, start time.Time) (*Answer, error) {
	a := newAnswer(r)
	var body completionAnswer
	if err := json.NewDecoder(io.LimitReader(r.Body, maxAnswerBytes)).Decode(&body); err != nil {
		return nil, &BrokenAnswerError{Reason: "response body is incomplete or invalid", Cause: err}
	}
	if body.Error != nil {
		return nil, &BrokenAnswerError{Reason: "error in the body", Detail: body.Error}
	}
	a.add(body, func(c choice) string { return c.Message.Content })
	a.Total = time.Since(start)
	return a, a.checkFinished()
}

// readStream reads server-sent events up to the final [DONE] event and passes each piece
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
	return nil, &BrokenAnswerError{Reason: "stream ended without [DONE]", Cause: scanner.Err()}
}

// addEvent adds the data of one event to the answer and passes its text to onText.
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

// add adds the content of a body or event to the answer and returns its text. textOf
// returns the text of a choice.
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

// checkFinished returns an error for an answer that ended without a finish reason.
func (a *Answer) checkFinished() error {
	if a.FinishReason == "" {
		return &BrokenAnswerError{Reason: "no finish reason"}
	}
	return nil
}

// isStream reports whether the answer is a stream of server-sent events.
func isStream(r *http.Response) bool {
	return strings.HasPrefix(r.Header.Get("Content-Type"), contentStream)
}

// readAnswer reads the answer, streamed or in one piece according to its content type.
func readAnswer(r *http.Response, start time.Time, onText func(string)) (*Answer, error) {
	if isStream(r) {
		return readStream(r, start, onText)
	}
	return readWhole(r, start)
}
