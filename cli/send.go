package cli

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/bronzeturn/bronzeturn/caller"
)

// answerGrace is the time given to an answer beyond its deadline.
const answerGrace = 5 * time.Second

// entryFlags say where and as whom to call.
type entryFlags struct {
	Entry string `name:"entry" env:"BRONZETURN_ENTRY" required:"" help:"Any daemon's address for callers: IP:PORT, or an http or https URL."`
	Key   string `name:"key" env:"BRONZETURN_KEY" help:"Key of the organisation. The variable keeps it out of the process list."`
	CA    string `name:"entry-ca" type:"path" help:"Authorities that sign the daemons' certificates, PEM. Default: those of the system."`
}

// newCaller returns a client that the flags describe.
func (f entryFlags) newCaller() (*caller.Client, error) {
	c, err := caller.New(caller.Options{Entry: f.Entry, Key: f.Key, Authorities: f.CA})
	var wrong *caller.OptionError
	if errors.As(err, &wrong) {
		return nil, usage("--%w", wrong)
	}
	return c, err
}

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
	entries, err := c.Entries(a.ctx)
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
	ctx, cancel := context.WithTimeout(a.ctx, s.Deadline+answerGrace)
	defer cancel()
	if s.Service != "" {
		return s.callService(ctx, a.out, c)
	}
	return s.complete(ctx, a.out, c)
}

// params returns how the request is to be run.
func (s sendCommand) params() caller.Params {
	p := caller.Params{
		Kind:           s.Kind,
		Conversation:   s.Conversation,
		IdempotencyKey: s.IdempotencyKey,
		Priority:       s.Priority,
		Deadline:       s.Deadline,
	}
	if p.IdempotencyKey == "new" {
		p.IdempotencyKey = caller.NewIdempotencyKey()
	}
	return p
}

// complete asks a model and prints the answer, a stream as it comes.
func (s sendCommand) complete(ctx context.Context, out printer, c *caller.Client) error {
	completion := caller.Prompt(s.Prompt)
	completion.Model = s.Model
	completion.Stream = s.Stream
	completion.MaxTokens = s.MaxTokens
	streamed := false
	onText := func(text string) {
		streamed = true
		if !out.json {
			_, _ = io.WriteString(out.w, text)
		}
	}
	a, err := c.Complete(ctx, s.params(), completion, onText)
	if err != nil {
		return err
	}
	if out.json {
		return out.object(a)
	}
	if !streamed {
		onText(a.Text)
	}
	out.printf("\n")
	out.printf("version %s, %d prompt tokens, %d completion tokens, %v from %s",
		a.Version, a.Usage.Prompt, a.Usage.Completion, a.Total.Round(time.Millisecond), a.Address)
	printHeaders(out, a.Headers)
	return nil
}

// serviceOutput is the JSON shape of a plain service's answer.
type serviceOutput struct {
	Address string          `json:"address"`
	Headers []caller.Header `json:"headers"`
	Body    string          `json:"body"`
}

// callService calls a plain service and prints its answer.
func (s sendCommand) callService(ctx context.Context, out printer, c *caller.Client) error {
	a, err := c.CallService(ctx, s.params(), s.Service, []byte(s.Prompt))
	if err != nil {
		return err
	}
	if out.json {
		return out.object(serviceOutput{Address: a.Address, Headers: a.Headers, Body: string(a.Body)})
	}
	out.printf("%s", a.Body)
	printHeaders(out, a.Headers)
	return nil
}

func printHeaders(out printer, headers []caller.Header) {
	for _, h := range headers {
		out.printf("%s: %s", h.Name, h.Value)
	}
}
