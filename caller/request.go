package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/failure"
)

// Params are the parameters of a request that daemons take from headers. All are optional.
type Params struct {
	// Kind is the task kind, as defined by the rules.
	Kind string
	// Conversation names a conversation. All its requests run on the same version.
	Conversation string
	// IdempotencyKey makes a repeated request get the outcome of the first one.
	IdempotencyKey string
	// Priority is bulk, normal or urgent. It can only lower the priority of the kind.
	Priority string
	// Deadline is the time limit for the complete answer. If zero, that of the kind applies.
	Deadline time.Duration
}

// Request is one request to a daemon.
type Request struct {
	Params
	// Path is a path of package callerapi.
	Path string
	Body []byte
}

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Completion is a request to a model.
type Completion struct {
	// Model is a model or a version. If empty, the rules of the task kind decide.
	Model     string
	Messages  []Message
	Stream    bool
	MaxTokens int
}

// Prompt returns a completion with one user message.
func Prompt(text string) Completion {
	return Completion{Messages: []Message{{Role: "user", Content: text}}}
}

// completionRequest is the JSON shape of a request to a model.
type completionRequest struct {
	Model         string         `json:"model,omitempty"`
	Messages      []Message      `json:"messages"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
	MaxTokens     int            `json:"max_tokens,omitempty"`
}

// streamOptions asks for token counts at the end of a stream.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Body returns the JSON body of the request.
func (c Completion) Body() ([]byte, error) {
	request := completionRequest{Model: c.Model, Messages: c.Messages, Stream: c.Stream, MaxTokens: c.MaxTokens}
	if c.Stream {
		request.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return body, nil
}

// Complete sends a request to a model and returns the complete answer. Each piece of
// text of a streamed answer is also passed to onText as it arrives, unless onText is nil.
func (c *Client) Complete(ctx context.Context, p Params, completion Completion, onText func(string)) (*Answer, error) {
	body, err := completion.Body()
	if err != nil {
		return nil, err
	}
	start := time.Now()
	response, err := c.Post(ctx, Request{Params: p, Path: callerapi.PathChatCompletions, Body: body})
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if completion.Stream && !isStream(response) {
		return nil, &BrokenAnswerError{Reason: "a stream was requested, but the answer is not one"}
	}
	return readAnswer(response, start, onText)
}

// CallService calls a plain service, given as NAME/PATH, and returns its answer.
func (c *Client) CallService(ctx context.Context, p Params, service string, body []byte) (*ServiceAnswer, error) {
	path := callerapi.PathServices + strings.TrimPrefix(service, "/")
	response, err := c.Post(ctx, Request{Params: p, Path: path, Body: body})
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return readService(response)
}

// Post sends the request to the best entry, and after a failure to the next ones, as long
// as that can't make the request run twice. The status of the answer is 2xx, and
// its body must be closed.
func (c *Client) Post(ctx context.Context, r Request) (*http.Response, error) {
	entries, err := c.Entries(ctx)
	if err != nil {
		return nil, err
	}
	addresses := slices.Clone(entries.Addresses)
	if len(addresses) == 0 {
		addresses = []string{c.entry}
	}
	for attempt := 1; ; attempt++ {
		answer, err := c.postTo(ctx, addresses[0], r)
		if err == nil {
			return answer, nil
		}
		addresses = append(namedEntries(err), addresses[1:]...)
		if attempt == maxAttempts || len(addresses) == 0 || ctx.Err() != nil || !r.safeToRetry(err) {
			return nil, err
		}
		c.expireEntries()
	}
}

// safeToRetry reports whether sending the request again can't make it run twice: it was
// not sent, the daemon reported that it did not run and named other entries, or no answer
// was received and its idempotency key makes the repeated request get the first outcome.
func (r Request) safeToRetry(err error) bool {
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		return !unavailable.Sent || r.IdempotencyKey != ""
	}
	return len(namedEntries(err)) > 0
}

// namedEntries returns the other entries that a daemon named when it refused a request
// that did not run, for example because the daemon is shutting down.
func namedEntries(err error) []string {
	var refused *RefusalError
	if !errors.As(err, &refused) || refused.Detail.Ran != string(failure.RanNo) {
		return nil
	}
	return refused.Detail.Entries
}

func (c *Client) postTo(ctx context.Context, address string, r Request) (*http.Response, error) {
	request, err := c.newRequest(ctx, http.MethodPost, address, r.Path, r.Body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	setHeader(request, callerapi.HeaderKind, r.Kind)
	setHeader(request, callerapi.HeaderConversation, r.Conversation)
	setHeader(request, callerapi.HeaderIdempotencyKey, r.IdempotencyKey)
	setHeader(request, callerapi.HeaderPriority, r.Priority)
	if r.Deadline > 0 {
		request.Header.Set(callerapi.HeaderDeadline, r.Deadline.String())
	}
	return c.send(request)
}

func setHeader(request *http.Request, name, value string) {
	if value != "" {
		request.Header.Set(name, value)
	}
}

func (c *Client) newRequest(ctx context.Context, method, address, path string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	if key := c.key.Reveal(); key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	return request, nil
}

// send sends the request and returns answers with a status other than 2xx as errors.
func (c *Client) send(request *http.Request) (*http.Response, error) {
	// The HTTP transport retries a request by itself only if nothing of it was written, or
	// if it has an idempotency key.
	answer, err := c.http.Do(request)
	if err != nil {
		var dialErr *dialError
		return nil, &UnavailableError{Address: request.URL.Host, Sent: !errors.As(err, &dialErr), Cause: err}
	}
	if answer.StatusCode/100 == http.StatusOK/100 {
		return answer, nil
	}
	defer drain(answer)
	return nil, refusalOf(request.URL.Host, answer)
}

// refusalOf returns the error of an answer, from its body if it is one of a daemon.
func refusalOf(address string, answer *http.Response) error {
	var body callerapi.ErrorBody
	err := json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(&body)
	if err != nil || body.Error.Code == "" {
		body.Error = callerapi.ErrorDetail{Code: string(failure.CodeInternal), Message: answer.Status, Ran: string(failure.RanUnknown)}
	}
	return &RefusalError{Status: answer.StatusCode, Address: address, Detail: body.Error}
}

// drain reads the rest of a small answer, so that its connection is reused, and closes it.
func drain(answer *http.Response) {
	_, _ = io.CopyN(io.Discard, answer.Body, maxDrainedBytes)
	_ = answer.Body.Close()
}
