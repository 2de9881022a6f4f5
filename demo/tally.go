package demo

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/caller"
	"github.com/bronzeturn/bronzeturn/load"
)

// receivedAnswer is one answer that a caller got.
type receivedAnswer struct {
	organisation string
	kind         string
	// version is the version, or the plain service, that answered.
	version    string
	requestID  string
	usage      caller.Usage
	firstToken time.Duration
	total      time.Duration
	service    bool
	// duplicate marks the answer to a request that was answered before.
	duplicate bool
}

// outcomes collects what came of all requests of a deployment. It is safe for
// concurrent use.
type outcomes struct {
	mu       sync.Mutex
	answers  []receivedAnswer
	refusals map[string]int64
	broken   int64
	faults   []string
}

func newOutcomes() *outcomes { return &outcomes{refusals: make(map[string]int64)} }

// recordAnswer records an answer.
func (t *outcomes) recordAnswer(r receivedAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers = append(t.answers, r)
}

// recordFailure records a request without a whole answer.
func (t *outcomes) recordFailure(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var refused *caller.RefusalError
	var broken *caller.BrokenAnswerError
	switch {
	case errors.As(err, &refused):
		t.refusals[refused.Detail.Code]++
	case errors.As(err, &broken):
		t.broken++
	default:
		t.refusals[load.CodeUnavailable]++
	}
}

// recordFault records that a promise did not hold.
func (t *outcomes) recordFault(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, fmt.Sprintf(format, args...))
}
