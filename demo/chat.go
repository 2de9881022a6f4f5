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

// Chat is a chat completion request that is sent exactly once, to a given daemon.
// It is meant for tests of the daemons, which need the raw status, headers and
// body of a single response. Programs use package caller instead, whose client
// selects the daemon, fails over to another one and turns refusals into errors.
// A header whose field is empty is not sent.
type Chat struct {
	Key            string
	Kind           string
	IdempotencyKey string
	Conversation   string
	Model          string
	Prompt         string
	Stream         bool
}

// Result is the response to a Chat. Err is set if no complete response was
// received.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// Send posts the request to the daemon at the address and reads the complete
// response.
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

// NewRequest returns the HTTP request to the daemon at the address.
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

// message is a message of a chat completion.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody is the body of a chat completion request.
type chatBody struct {
	Model    string    `json:"model,omitempty"`
	Stream   bool      `json:"stream"`
	Messages []message `json:"messages"`
}

func (c Chat) body() []byte {
	data, err := json.Marshal(chatBody{Model: c.Model, Stream: c.Stream, Messages: []message{{Role: "user", Content: c.Prompt}}})
	if err != nil {
		panic(err) // Strings and booleans can always be encoded.
	}
	return data
}

// answerPart is a complete answer or one event of a streamed answer.
type answerPart struct {
	Choices []struct {
		Message message `json:"message"`
		Delta   message `json:"delta"`
	} `json:"choices"`
}

// Text returns the content of the answer, whether it was streamed or not.
func (r Result) Text() string {
	var text strings.Builder
	for line := range strings.Lines(string(r.Body)) {
		var part answerPart
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &part) != nil {
			continue // Blank lines and the [DONE] event are not JSON.
		}
		for _, choice := range part.Choices {
			text.WriteString(choice.Message.Content + choice.Delta.Content)
		}
	}
	return text.String()
}

// Failure returns the error detail in the body of a refusal, or the zero value if
// there is none.
func (r Result) Failure() callerapi.ErrorDetail {
	var body callerapi.ErrorBody
	if json.Unmarshal(r.Body, &body) != nil {
		return callerapi.ErrorDetail{}
	}
	return body.Error
}

// Check returns an error unless the result is the complete answer that a stand-in
// engine gives to the request.
func (r Result) Check(c Chat) error {
	if r.Err != nil {
		return r.Err
	}
	return standin.CheckAnswer(c.body(), r.Text())
}
