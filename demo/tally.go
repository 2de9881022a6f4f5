package demo

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/caller"
	"github.com/bronzeturn/bronzeturn/load"
)

// received is one answer that a caller got.
type received struct {
	organisation string
	kind         string
	// version is the version, or the plain service, that answered.
	version    string
	requestID  string
	usage      caller.Usage
	firstToken time.Duration
	total      time.Duration
	service    bool
	// repeat marks the answer to a request that was answered before.
	repeat bool
}

// tally collects what came of all requests of a deployment. It is safe for
// concurrent use.
type tally struct {
	mu       sync.Mutex
	answers  []received
	refusals map[string]int64
	broken   int64
	faults   []string
}

func newTally() *tally { return &tally{refusals: make(map[string]int64)} }

// answered records an answer.
func (t *tally) answered(r received) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers = append(t.answers, r)
}

// failed records a request without a whole answer.
func (t *tally) failed(err error) {
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

// fault records that a promise did not hold.
func (t *tally) fault(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, fmt.Sprintf(format, args...))
}
