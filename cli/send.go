package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/bronzeturn/bronzeturn/callerapi"
)

// answerGrace is the time given to an answer beyond its deadline.
const answerGrace = 5 * time.Second

// entriesCommand shows which addresses callers should use.
type entriesCommand struct {
	entryFlags
}

// Run implements the command.
func (e entriesCommand) Run(a *app) error {
	c, err := e.newCaller()
	if err != nil {
		return err
	}
	entries, err := c.addresses(a.ctx)
	if err != nil {
		return err
	}
	if a.out.json {
		return a.out.object(entries)
	}
	for _, address := range entries.Addresses {
		a.out.printf("%s", address)
	}
	a.out.printf("keep for %d s", entries.KeepSeconds)
	return nil
}

// sendCommand sends one request.
type sendCommand struct {
	entryFlags
	Prompt         string        `arg:"" help:"Prompt, or the body when --service is given."`
	Stream         bool          `help:"Ask for the answer as a stream."`
	Model          string        `help:"Model or version to ask for. Empty: the rules of the kind decide."`
	Kind           string        `help:"Task kind, as defined by the rules."`
	Conversation   string        `help:"Conversation whose version to keep."`
	IdempotencyKey string        `help:"Key that makes a repeat get the first outcome. \"new\" draws one."`
	Priority       string        `help:"bulk, normal or urgent. It can only lower the priority of the kind."`
	Deadline       time.Duration `default:"60s" help:"Time for the whole answer."`
	MaxTokens      int           `help:"Most tokens to generate."`
	Service        string        `placeholder:"NAME/PATH" help:"Call this plain service instead of a model."`
}

// Run implements the command.
func (s sendCommand) Run(a *app) error {
	if s.Deadline <= 0 {
		return usage("--deadline must be above zero")
	}
	c, err := s.newCaller()
	if err != nil {
		return err
	}
	r, err := s.call()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(a.ctx, s.Deadline+answerGrace)
	defer cancel()
	start := time.Now()
	response, err := c.post(ctx, r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if s.Service != "" {
		return printService(a.out, response)
	}
	return printAnswer(a.out, response, start)
}

// call returns the request to send.
func (s sendCommand) call() (call, error) {
	r := call{
		path:           callerapi.PathChatCompletions,
		kind:           s.Kind,
		conversation:   s.Conversation,
		idempotencyKey: s.IdempotencyKey,
		priority:       s.Priority,
		deadline:       s.Deadline,
	}
	if r.idempotencyKey == "new" {
		r.idempotencyKey = newIdempotencyKey()
	}
	if s.Service != "" {
		r.path = callerapi.PathServices + strings.TrimPrefix(s.Service, "/")
		r.body = []byte(s.Prompt)
		return r, nil
	}
	body, err := completionBody(s.Model, s.Prompt, s.Stream, s.MaxTokens)
	r.body = body
	return r, err
}

// completionBody returns the body of a request with one message.
func completionBody(model, prompt string, stream bool, maxTokens int) ([]byte, error) {
	request := completionRequest{
		Model:     model,
		Messages:  []message{{Role: "user", Content: prompt}},
		Stream:    stream,
		MaxTokens: maxTokens,
	}
	if stream {
		request.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return body, nil
}

// printAnswer reads and prints an answer, a stream as it comes.
func printAnswer(out printer, response *http.Response, start time.Time) error {
	onText := func(text string) {
		if !out.json {
			_, _ = io.WriteString(out.w, text)
		}
	}
	a, err := read(response, start, onText)
	if err != nil {
		return err
	}
	if out.json {
		return out.object(a)
	}
	if !isStream(response) {
		onText(a.Text)
	}
	out.printf("\n")
	out.printf("version %s, %d prompt tokens, %d completion tokens, %v from %s",
		a.Version, a.Usage.Prompt, a.Usage.Completion, a.Total.Round(time.Millisecond), a.Address)
	for _, h := range a.Headers {
		out.printf("%s: %s", h.Name, h.Value)
	}
	return nil
}

// serviceOutput is the JSON shape of a plain service's answer.
type serviceOutput struct {
	Address string   `json:"address"`
	Headers []header `json:"headers"`
	Body    string   `json:"body"`
}

// printService prints the answer of a plain service.
func printService(out printer, response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return &BrokenAnswerError{Reason: "body is not whole", Cause: err}
	}
	a := newAnswer(response)
	if out.json {
		return out.object(serviceOutput{Address: a.Address, Headers: a.Headers, Body: string(body)})
	}
	out.printf("%s", body)
	for _, h := range a.Headers {
		out.printf("%s: %s", h.Name, h.Value)
	}
	return nil
}

func sortHeaders(headers []header) {
	slices.SortFunc(headers, func(a, b header) int { return strings.Compare(a.Name, b.Name) })
}
