package load

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/caller"
)

// CodeUnavailable is the code under which requests without any answer are counted.
const CodeUnavailable = "no answer"

// kindResults holds the results of one task kind.
type kindResults struct {
	total      *Latencies
	firstToken *Latencies
	tokens     int64
}

// results collects the results of all requests. It is safe for concurrent use.
type results struct {
	mu           sync.Mutex
	kinds        map[string]*kindResults
	codes        map[string]int64
	notSentCount int64
	broken       int64
	success      int64
}

func newResults() *results {
	return &results{kinds: make(map[string]*kindResults), codes: make(map[string]int64)}
}

func (r *results) notSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notSentCount++
}

// failed counts a request without a complete answer.
func (r *results) failed(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var refused *caller.RefusalError
	var broken *caller.BrokenAnswerError
	switch {
	case errors.As(err, &refused):
		r.codes[refused.Detail.Code]++
	case errors.As(err, &broken):
		r.broken++
	default:
		r.codes[CodeUnavailable]++
	}
}

// answered records a complete answer.
func (r *results) answered(kind string, a *caller.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[kind]
	if k == nil {
		k = &kindResults{total: NewLatencies(), firstToken: NewLatencies()}
		r.kinds[kind] = k
	}
	r.success++
	k.tokens += a.Usage.Completion
	k.total.Record(a.Total)
	if a.FirstToken > 0 {
		k.firstToken.Record(a.FirstToken)
	}
}

// KindReport is the result of one task kind.
type KindReport struct {
	Kind       string     `json:"kind"`
	Answered   int64      `json:"answered"`
	Tokens     int64      `json:"completion_tokens"`
	Total      Quantiles  `json:"total"`
	FirstToken *Quantiles `json:"first_token,omitempty"`
}

// CodeReport counts the refusals of one code.
type CodeReport struct {
	Code  string `json:"code"`
	Count int64  `json:"count"`
}

// Report is the result of a load. Sent is the sum of Answered, Broken and all
// Refusals.
type Report struct {
	Seconds  float64      `json:"seconds"`
	Sent     int64        `json:"sent"`
	Answered int64        `json:"answered"`
	Broken   int64        `json:"broken"`
	NotSent  int64        `json:"not_sent"`
	Kinds    []KindReport `json:"kinds"`
	Refusals []CodeReport `json:"refusals"`
}

// report returns the results so far.
func (r *results) report(took time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Report{
		Seconds: took.Seconds(), Answered: r.success, Broken: r.broken, NotSent: r.notSentCount,
		Sent: r.success + r.broken, Kinds: []KindReport{}, Refusals: []CodeReport{},
	}
	for code, count := range r.codes {
		out.Sent += count
		out.Refusals = append(out.Refusals, CodeReport{Code: code, Count: count})
	}
	for kind, k := range r.kinds {
		out.Kinds = append(out.Kinds, k.report(kind))
	}
	slices.SortFunc(out.Refusals, func(a, b CodeReport) int { return strings.Compare(a.Code, b.Code) })
	slices.SortFunc(out.Kinds, func(a, b KindReport) int { return strings.Compare(a.Kind, b.Kind) })
	return out
}

func (k *kindResults) report(kind string) KindReport {
	out := KindReport{Kind: kind, Answered: k.total.Count(), Tokens: k.tokens, Total: k.total.Quantiles()}
	if k.firstToken.Count() > 0 {
		first := k.firstToken.Quantiles()
		out.FirstToken = &first
	}
	return out
}

// ErrNoAnswer reports a load without any complete answer.
var ErrNoAnswer = errors.New("no request was answered")

// BrokenError reports a load in which some answers were broken: incomplete,
// malformed or not the answer to the request.
type BrokenError struct{ Broken int64 }

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("%d answers were incomplete or failed the check", e.Broken)
}

// Verdict returns a *BrokenError if any answer was broken, ErrNoAnswer if there was
// none, and nil otherwise. Refusals are not errors.
func (r Report) Verdict() error {
	if r.Broken > 0 {
		return &BrokenError{Broken: r.Broken}
	}
	if r.Answered == 0 {
		return ErrNoAnswer
	}
	return nil
}
