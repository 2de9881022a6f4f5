// Package load generates load: it sends requests to the daemons of one system at a
// constant rate for a limited time, checks that every answer is complete, and
// reports latencies by task kind and refusals by code.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/backoff"
	"github.com/bronzeturn/bronzeturn/caller"
)

// Limits of the generated load. They prevent the use of the tool for denial of
// service attacks.
const (
	MaxDuration = 60 * time.Second
	// MaxRate is in requests per second.
	MaxRate     = 5000
	MaxInFlight = 2048
)

// answerGrace is the time after its deadline for which an answer is awaited.
const answerGrace = 5 * time.Second

// Options configures a load.
type Options struct {
	// Rate is in requests per second, above 0 and at most MaxRate.
	Rate float64
	// Duration is the time during which requests are sent, above 0 and at most
	// MaxDuration.
	Duration time.Duration
	// Mix holds the weights of the task kinds. At least one must be above 0.
	Mix map[string]int
	// Stream requests streamed answers.
	Stream bool
	// Model is the requested model or version. If it is empty, the router's rules
	// decide.
	Model string
	// Prompt is the start of every prompt, followed by the number of the request.
	Prompt    string
	MaxTokens int
	// Deadline is the time for each complete answer, above 0.
	Deadline time.Duration
	// InFlight is the maximum number of requests in progress, from 1 to MaxInFlight.
	// Requests that are due while it is reached are counted as not sent.
	InFlight int
	// Seed is the seed of the random sequence of task kinds.
	Seed uint64
	// Check returns an error if the text is not the answer to the request with the
	// body. Nil accepts any complete answer.
	Check func(body []byte, text string) error
}

// OptionError reports an option outside its bounds.
type OptionError struct {
	// Option is the flag name of the option, such as "rate".
	Option string
	Reason string
}

// Error implements error.
func (e *OptionError) Error() string { return e.Option + " " + e.Reason }

// Validate returns an *OptionError for the first option outside its bounds.
func (o Options) Validate() error {
	switch {
	case !(o.Rate > 0 && o.Rate <= MaxRate):
		return &OptionError{Option: "rate", Reason: fmt.Sprintf("must be above 0 and at most %d", MaxRate)}
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return &OptionError{Option: "duration", Reason: fmt.Sprintf("must be above 0 and at most %v", MaxDuration)}
	case o.InFlight < 1 || o.InFlight > MaxInFlight:
		return &OptionError{Option: "in-flight", Reason: fmt.Sprintf("must be from 1 to %d", MaxInFlight)}
	case o.Deadline <= 0:
		return &OptionError{Option: "deadline", Reason: "must be above 0"}
	}
	return checkMix(o.Mix)
}

func checkMix(mix map[string]int) error {
	total := 0
	for kind, weight := range mix {
		if weight < 0 {
			return &OptionError{Option: "mix", Reason: fmt.Sprintf("has a weight below 0 for %s", kind)}
		}
		total += weight
	}
	if total == 0 {
		return &OptionError{Option: "mix", Reason: "needs a kind with a weight above 0"}
	}
	return nil
}

// Run sends requests when they are due, whether or not earlier ones are answered
// (open loop), and returns when all are answered or ctx is done. If it returns an
// error, no request was sent.
func Run(ctx context.Context, c *caller.Client, o Options) (Report, error) {
	if err := o.Validate(); err != nil {
		return Report{}, err
	}
	if _, err := c.Entries(ctx); err != nil {
		return Report{}, err
	}
	r := &run{options: o, caller: c, results: newResults()}
	return r.send(ctx), nil
}

// run is one load in progress.
type run struct {
	options Options
	caller  *caller.Client
	results *results
}

func (r *run) send(ctx context.Context) Report {
	random := rand.New(rand.NewPCG(r.options.Seed, 0))
	kinds := newKindPicker(r.options.Mix)
	slots := make(chan struct{}, r.options.InFlight)
	interval := time.Duration(float64(time.Second) / r.options.Rate)
	start := time.Now()
	var inFlight sync.WaitGroup
	number := 0
	for due := time.Duration(0); due < r.options.Duration && sleepUntil(ctx, start.Add(due)); due += interval {
		kind := kinds.pick(random)
		number++
		select {
		case slots <- struct{}{}:
			prompt := fmt.Sprintf("%s Request %d.", r.options.Prompt, number)
			inFlight.Go(func() {
				defer func() { <-slots }()
				r.sendOne(ctx, kind, prompt)
			})
		default:
			r.results.notSent()
		}
	}
	inFlight.Wait()
	return r.results.report(time.Since(start))
}

// sendOne sends one request and records its result.
func (r *run) sendOne(ctx context.Context, kind, prompt string) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Deadline+answerGrace)
	defer cancel()
	got, err := r.exchange(ctx, kind, prompt)
	if err != nil {
		r.results.failed(err)
		return
	}
	r.results.answered(kind, got)
}

// exchange sends one request and returns its answer. It returns an error if the
// answer is not complete or fails Options.Check.
func (r *run) exchange(ctx context.Context, kind, prompt string) (*caller.Answer, error) {
	completion := caller.Prompt(prompt)
	completion.Model = r.options.Model
	completion.Stream = r.options.Stream
	completion.MaxTokens = r.options.MaxTokens
	params := caller.Params{Kind: kind, IdempotencyKey: caller.NewIdempotencyKey(), Deadline: r.options.Deadline}
	got, err := r.caller.Complete(ctx, params, completion, nil)
	if err != nil {
		return nil, err
	}
	return got, r.check(completion, got)
}

// check applies Options.Check to an answer.
func (r *run) check(completion caller.Completion, got *caller.Answer) error {
	if r.options.Check == nil {
		return nil
	}
	body, err := completion.Body()
	if err != nil {
		return err
	}
	if err := r.options.Check(body, got.Text); err != nil {
		return &caller.BrokenAnswerError{Reason: "not the answer to this request", Cause: err}
	}
	return nil
}

// sleepUntil sleeps until the time t. It returns false if ctx is done first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	return backoff.Sleep(ctx, wait) == nil
}
