package gateway

import (
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/route"
)

// ModelOptions set when an answer is taken from a larger model instead.
type ModelOptions struct {
	// LeastConfidence is the confidence, 0 to 100, from which on a model's own
	// opinion of its answer is trusted.
	LeastConfidence int
}

// DefaultModelOptions returns the documented defaults.
func DefaultModelOptions() ModelOptions { return ModelOptions{LeastConfidence: 65} }

// ModelChoice picks the model size for requests that leave it open: the smallest
// first, and the largest when the small one doubts its own answer. The doubt is
// known before the caller has any of the answer.
type ModelChoice struct {
	options ModelOptions

	mu sync.Mutex
	// pace is the mean time between two events of each model's streams in
	// seconds.
	pace map[string]float64
}

// paceGain is the weight of one stream in the mean pace of its model.
const paceGain = 0.05

// NewModelChoice returns a choice.
func NewModelChoice(o ModelOptions) *ModelChoice {
	return &ModelChoice{options: o, pace: make(map[string]float64)}
}

// First returns the model that a request is run on first, "" when the route
// names none.
func (m *ModelChoice) First(r *route.Route) string {
	if len(r.Models) == 0 {
		return ""
	}
	return r.Models[0]
}

// Larger returns the model that an answer is taken from instead, or false when
// the answer is good enough or there is no larger model.
func (m *ModelChoice) Larger(r *route.Route, model string, confidence int) (string, bool) {
	if len(r.Models) == 0 || confidence < 0 || confidence >= m.options.LeastConfidence {
		return "", false
	}
	largest := r.Models[len(r.Models)-1]
	return largest, largest != model
}

// Observe takes in the pace of one stream.
func (m *ModelChoice) Observe(model string, events int, generation time.Duration) {
	if model == "" || events < 2 || generation <= 0 {
		return
	}
	pace := generation.Seconds() / float64(events-1)
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.pace[model]; ok {
		pace = old + paceGain*(pace-old)
	}
	m.pace[model] = pace
}

// Weight returns how much of an engine's time a model takes, relative to the
// largest of the route; 1 while it is not known.
func (m *ModelChoice) Weight(r *route.Route, model string) float64 {
	if model == "" || len(r.Models) == 0 {
		return 1
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	own, largest := m.pace[model], m.pace[r.Models[len(r.Models)-1]]
	if own == 0 || largest == 0 {
		return 1
	}
	return min(own/largest, 1)
}
