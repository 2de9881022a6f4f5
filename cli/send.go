package cli

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/bronzeturn/bronzeturn/caller"
)

// answerGrace is how long the client waits beyond the deadline, so that the daemon's own
// error for a missed deadline can arrive.
const answerGrace = 5 * time.Second

// entryFlags name the daemon to call and the credentials.
type entryFlags struct {
	Entry string `name:"entry" env:"BRONZETURN_ENTRY" required:"" help:"Address of any daemon for callers: IP:PORT, or an http or https URL."`
	Key   string `name:"key" env:"BRONZETURN_KEY" help:"API key of the organisation. Set by the variable, it does not show in the process list."`
	CA    string `name:"entry-ca" type:"path" help:"PEM file with the certificate authorities of the daemons. Default: those of the system."`
}

// newCaller returns a client for the daemon and credentials of the flags.
func (f entryFlags) newCaller() (*caller.Client, error) {
	c, err := caller.New(caller.Options{Entry: f.Entry, Key: f.Key, Authorities: f.CA})
	var invalid *caller.OptionError
	if errors.As(err, &invalid) {
		return nil, usage("--%w", invalid)
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
	Prompt         string        `arg:"" help:"Prompt, or the request body if --service is given."`
	Stream         bool          `help:"Ask for a streamed answer."`
	Model          string        `help:"Model or version to ask for. Default: the rules of the task kind decide."`
	Kind           string        `help:"Task kind, as defined by the rules."`
	Conversation   string        `help:"Name of the conversation. All its requests run on the same version."`
	IdempotencyKey string        `help:"Key that makes a repeated request get the first outcome. \"new\" generates one."`
	Priority       string        `help:"bulk, normal or urgent. It can only lower the priority of the task kind."`
	Deadline       time.Duration `default:"60s" help:"Time limit for the complete answer."`
	MaxTokens      int           `help:"Largest number of tokens to generate."`
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

// params returns the optional parameters of the request.
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

// complete asks a model and prints the answer. A stream is printed as it arrives.
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
