package cli

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/callerapi"
	"github.com/bronzeturn/bronzeturn/standin"
)

// Bounds of a load. They keep the tool from being used against others.
const (
	maxLoadDuration = 60 * time.Second
	maxLoadRate     = 5000
	maxInFlight     = 2048
)

// loadCommand sends requests at a steady rate.
type loadCommand struct {
	entryFlags
	Rate      float64        `default:"50" help:"Requests a second, at most 5000."`
	Duration  time.Duration  `default:"10s" help:"Time to send for, at most 60s."`
	Mix       map[string]int `mapsep:"," default:"default=1" help:"Task kinds with their weights, such as quick=8,report=1."`
	Stream    bool           `help:"Ask for streams."`
	Model     string         `help:"Model or version to ask for."`
	Prompt    string         `default:"Motor controller log: E42 after rain. Short check, please." help:"Prompt of every request."`
	MaxTokens int            `help:"Most tokens to generate."`
	Deadline  time.Duration  `default:"30s" help:"Time for each whole answer."`
	InFlight  int            `default:"512" help:"Requests in progress at most. Beyond it, due requests are counted as not sent."`
	Seed      uint64         `default:"1" help:"Seed of the order of kinds."`
	StandIns  bool           `name:"stand-ins" help:"The engines are stand-ins: check that each answer is the one to its own request."`
}

// check reports flags outside their bounds.
func (l loadCommand) check() error {
	switch {
	case !(l.Rate > 0 && l.Rate <= maxLoadRate):
		return usage("--rate must be above 0 and at most %d", maxLoadRate)
	case l.Duration <= 0 || l.Duration > maxLoadDuration:
		return usage("--duration must be above 0 and at most %v", maxLoadDuration)
	case l.InFlight < 1 || l.InFlight > maxInFlight:
		return usage("--in-flight must be from 1 to %d", maxInFlight)
	case l.Deadline <= 0:
		return usage("--deadline must be above 0")
	}
	total := 0
	for kind, weight := range l.Mix {
		if weight < 0 {
			return usage("--mix: the weight of %s is below 0", kind)
		}
		total += weight
	}
	if total == 0 {
		return usage("--mix needs a kind with a weight above 0")
	}
	return nil
}

// Run implements the command.
func (l loadCommand) Run(a *app) error {
	if err := l.check(); err != nil {
		return err
	}
	c, err := l.newCaller()
	if err != nil {
		return err
	}
	if _, err := c.addresses(a.ctx); err != nil {
		return err
	}
	run := &loadRun{command: l, caller: c, results: newLoadResults()}
	report := run.send(a.ctx)
	if err := report.print(a.out); err != nil {
		return err
	}
	return report.verdict()
}

// loadRun is one load in progress.
type loadRun struct {
	command loadCommand
	caller  *caller
	results *loadResults
}

// send sends requests when they are due, whether earlier ones are answered or
// not, and returns when all are answered.
func (r *loadRun) send(ctx context.Context) loadReport {
	random := rand.New(rand.NewPCG(r.command.Seed, 0))
	kinds := newKindPicker(r.command.Mix)
	slots := make(chan struct{}, r.command.InFlight)
	interval := time.Duration(float64(time.Second) / r.command.Rate)
	start := time.Now()
	var inFlight sync.WaitGroup
	number := 0
	for due := time.Duration(0); due < r.command.Duration && sleepUntil(ctx, start.Add(due)); due += interval {
		kind := kinds.pick(random)
		number++
		select {
		case slots <- struct{}{}:
			prompt := fmt.Sprintf("%s Request %d.", r.command.Prompt, number)
			inFlight.Go(func() {
				defer func() { <-slots }()
				r.one(ctx, kind, prompt)
			})
		default:
			r.results.notSent()
		}
	}
	inFlight.Wait()
	return r.results.report(time.Since(start))
}

// one sends one request and records what came of it.
func (r *loadRun) one(ctx context.Context, kind, prompt string) {
	ctx, cancel := context.WithTimeout(ctx, r.command.Deadline+answerGrace)
	defer cancel()
	got, err := r.exchange(ctx, kind, prompt)
	if err != nil {
		r.results.failed(err)
		return
	}
	r.results.answered(kind, got)
}

// exchange sends one request and returns its answer, checked to be whole.
func (r *loadRun) exchange(ctx context.Context, kind, prompt string) (*answer, error) {
	body, err := completionBody(r.command.Model, prompt, r.command.Stream, r.command.MaxTokens)
	if err != nil {
		return nil, err
	}
	request := call{
		path:           callerapi.PathChatCompletions,
		body:           body,
		kind:           kind,
		idempotencyKey: newIdempotencyKey(),
		deadline:       r.command.Deadline,
	}
	start := time.Now()
	response, err := r.caller.post(ctx, request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if r.command.Stream && !isStream(response) {
		return nil, &BrokenAnswerError{Reason: "not a stream"}
	}
	got, err := read(response, start, func(string) {})
	if err != nil {
		return nil, err
	}
	return got, r.checkStandIn(body, got)
}

// checkStandIn compares an answer with what a stand-in engine answers.
func (r *loadRun) checkStandIn(body []byte, got *answer) error {
	if !r.command.StandIns {
		return nil
	}
	if err := standin.CheckAnswer(body, got.Text); err != nil {
		return &BrokenAnswerError{Reason: "not the answer to this request", Cause: err}
	}
	return nil
}

// sleepUntil waits for the time and returns false when ctx ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// kindPicker draws kinds by their weights.
type kindPicker struct {
	kinds []string
	// ends are the running sums of the weights.
	ends []int
}

func newKindPicker(mix map[string]int) kindPicker {
	var p kindPicker
	for kind := range mix {
		p.kinds = append(p.kinds, kind)
	}
	sort.Strings(p.kinds)
	sum := 0
	for _, kind := range p.kinds {
		sum += mix[kind]
		p.ends = append(p.ends, sum)
	}
	return p
}

func (p kindPicker) pick(random *rand.Rand) string {
	drawn := random.IntN(p.ends[len(p.ends)-1])
	return p.kinds[sort.SearchInts(p.ends, drawn+1)]
}

// errNoAnswer reports a load without a single answer.
var errNoAnswer = errors.New("no request was answered")

// brokenLoadError reports a load in which answers were not whole.
type brokenLoadError struct{ broken int64 }

// Error implements error.
func (e *brokenLoadError) Error() string {
	return fmt.Sprintf("%d answers were not whole", e.broken)
}

// verdict returns an error when the load shows a fault. Refusals are none.
func (r loadReport) verdict() error {
	if r.Broken > 0 {
		return &brokenLoadError{broken: r.Broken}
	}
	if r.Answered == 0 {
		return errNoAnswer
	}
	return nil
}
