package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/standin"
)

// Chat is one chat completion as a test sends it, to a daemon of its choice and
// exactly once. Programs use package caller: its client picks the daemon, tries
// another one and turns refusals into errors. Tests of the daemons need what
// that hides: the raw status, headers and body of one daemon's single answer.
// Empty headers are left out.
type Chat struct {
	Key            string
	Kind           string
	IdempotencyKey string
	Conversation   string
	Model          string
	Prompt         string
	Stream         bool
}

// Result is what the caller got. Err is set when no whole answer came.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// Send posts the request to a daemon and reads the whole answer.
func (c Chat) Send(ctx context.Context, client *http.Client, address string) Result {
	req, err := c.NewRequest(ctx, address)
	if err != nil {
		return Result{Err: err}
	}
	resp, err := client.Do(req)
	if err != nil {
		return Result{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Result{Status: resp.StatusCode, Header: resp.Header, Body: body, Err: err}
}

// NewRequest returns the HTTP request to a daemon.
func (c Chat) NewRequest(ctx context.Context, address string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+callerapi.PathChatCompletions, bytes.NewReader(c.body()))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.Key)
	for name, value := range map[string]string{
		callerapi.HeaderKind:           c.Kind,
		callerapi.HeaderIdempotencyKey: c.IdempotencyKey,
		callerapi.HeaderConversation:   c.Conversation,
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	return req, nil
}

// message is one turn of a conversation.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody is the body of a chat completion.
type chatBody struct {
	Model    string    `json:"model,omitempty"`
	Stream   bool      `json:"stream"`
	Messages []message `json:"messages"`
}

func (c Chat) body() []byte {
	data, err := json.Marshal(chatBody{Model: c.Model, Stream: c.Stream, Messages: []message{{Role: "user", Content: c.Prompt}}})
	if err != nil {
		panic(err) // Strings and booleans always encode.
	}
	return data
}

// answerPart is a whole answer or one event of a stream.
type answerPart struct {
	Choices []struct {
		Message message `json:"message"`
		Delta   message `json:"delta"`
	} `json:"choices"`
}

// Text is the content of a whole or streamed answer.
func (r Result) Text() string {
	var text strings.Builder
	for line := range strings.Lines(string(r.Body)) {
		var part answerPart
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &part) != nil {
			continue // Blank lines and the end mark are not JSON.
		}
		for _, choice := range part.Choices {
			text.WriteString(choice.Message.Content + choice.Delta.Content)
		}
	}
	return text.String()
}

// Failure is the error of a refusal, the zero value without one.
func (r Result) Failure() callerapi.ErrorDetail {
	var body callerapi.ErrorBody
	if json.Unmarshal(r.Body, &body) != nil {
		return callerapi.ErrorDetail{}
	}
	return body.Error
}

// Check returns an error unless the answer is the whole one that a stand-in
// engine gives to the request.
func (r Result) Check(c Chat) error {
	if r.Err != nil {
		return r.Err
	}
	return standin.CheckAnswer(c.body(), r.Text())
}
