package cli

import (
	"errors"
	"fmt"
	"time"

	"github.com/bronzeturn/bronzeturn/load"
	"github.com/bronzeturn/bronzeturn/standin"
)

// loadCommand sends requests at a steady rate.
type loadCommand struct {
	entryFlags
	Rate      float64        `default:"50" help:"Requests per second, at most 5000."`
	Duration  time.Duration  `default:"10s" help:"How long to send requests, at most 60s."`
	Mix       map[string]int `mapsep:"," default:"default=1" help:"Task kinds with their weights, such as quick=8,report=1."`
	Stream    bool           `help:"Ask for streamed answers."`
	Model     string         `help:"Model or version to ask for."`
	Prompt    string         `default:"Motor controller log: E42 after rain. Short check, please." help:"Prompt of every request."`
	MaxTokens int            `help:"Largest number of tokens to generate."`
	Deadline  time.Duration  `default:"30s" help:"Time limit for each complete answer."`
	InFlight  int            `default:"512" help:"Largest number of requests in progress. While it is reached, requests that are due are counted as not sent."`
	Seed      uint64         `default:"1" help:"Seed of the random order of kinds."`
	StandIns  bool           `name:"stand-ins" help:"The engines are stand-ins: also check that each answer belongs to its request."`
}

// options returns the options of the load run.
func (l loadCommand) options() load.Options {
	o := load.Options{
		Rate: l.Rate, Duration: l.Duration, Mix: l.Mix, Stream: l.Stream, Model: l.Model, Prompt: l.Prompt,
		MaxTokens: l.MaxTokens, Deadline: l.Deadline, InFlight: l.InFlight, Seed: l.Seed,
	}
	if l.StandIns {
		o.Check = standin.CheckAnswer
	}
	return o
}

// Run implements the command.
func (l loadCommand) Run(a *app) error {
	c, err := l.newCaller()
	if err != nil {
		return err
	}
	report, err := load.Run(a.ctx, c, l.options())
	var invalid *load.OptionError
	if errors.As(err, &invalid) {
		return usage("--%w", invalid)
	}
	if err != nil {
		return err
	}
	if err := printLoad(a.out, report); err != nil {
		return err
	}
	return report.Verdict()
}

// printLoad writes the report.
func printLoad(out printer, r load.Report) error {
	if out.json {
		return out.object(r)
	}
	out.printf("%d sent in %.1f s: %d answered completely, %d broken, %d not sent", r.Sent, r.Seconds, r.Answered, r.Broken, r.NotSent)
	rows := make([][]string, 0, len(r.Kinds))
	for _, k := range r.Kinds {
		row := []string{k.Kind, fmt.Sprint(k.Answered), fmt.Sprint(k.Tokens)}
		row = append(row, quantileCells(k.Total)...)
		if k.FirstToken != nil {
			row = append(row, quantileCells(*k.FirstToken)...)
		}
		rows = append(rows, row)
	}
	out.table([]string{"KIND", "ANSWERED", "TOKENS", "P50 MS", "P95 MS", "P99 MS", "MAX MS", "FIRST TOKEN P50", "P95", "P99", "MAX"}, rows)
	for _, code := range r.Refusals {
		out.printf("refused with %s: %d", code.Code, code.Count)
	}
	return nil
}

func quantileCells(q load.Quantiles) []string {
	cells := make([]string, 0, 4)
	for _, value := range []float64{q.P50, q.P95, q.P99, q.Max} {
		cells = append(cells, fmt.Sprintf("%.1f", value))
	}
	return cells
}
