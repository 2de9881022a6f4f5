package demo

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/caller"
	"github.com/bronzeturn/bronzeturn/load"
)

// receivedAnswer is a complete answer that a caller received.
type receivedAnswer struct {
	organisation string
	kind         string
	// version is the version, or the name of the plain service, that answered.
	version    string
	requestID  string
	usage      caller.Usage
	firstToken time.Duration
	total      time.Duration
	service    bool
	// duplicate is set if the request was not executed for this answer, which
	// repeats the one of an earlier execution with the same idempotency key.
	duplicate bool
}

// outcomes collects the results of all requests of a deployment. It is safe for
// concurrent use.
type outcomes struct {
	mu            sync.Mutex
	answers       []receivedAnswer
	refusals      map[string]int64
	brokenAnswers int64
	faults        []string
}

func newOutcomes() *outcomes { return &outcomes{refusals: make(map[string]int64)} }

func (t *outcomes) recordAnswer(r receivedAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers = append(t.answers, r)
}

// recordFailure counts a request that got no complete answer, by its refusal code
// or as a broken answer. Any other error counts as load.CodeUnavailable.
func (t *outcomes) recordFailure(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var refused *caller.RefusalError
	var broken *caller.BrokenAnswerError
	switch {
	case errors.As(err, &refused):
		t.refusals[refused.Detail.Code]++
	case errors.As(err, &broken):
		t.brokenAnswers++
	default:
		t.refusals[load.CodeUnavailable]++
	}
}

// recordFault records the violation of a guarantee that the demo checks.
func (t *outcomes) recordFault(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, fmt.Sprintf(format, args...))
}
