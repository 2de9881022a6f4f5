package gateway

import "github.com/bronzeturn/bronzeturn/route"

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
}

// NewModelChoice returns a choice.
func NewModelChoice(o ModelOptions) *ModelChoice {
	return &ModelChoice{options: o}
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

// minWeight bounds the weight of a model from below: however cheap, its requests
// take slots and memory.
const minWeight = 0.03

// Weight returns how much of an engine's time a model takes for each token,
// relative to the largest of the service: in the proportion of their prices.
func (m *ModelChoice) Weight(s *route.Service, model string) float64 {
	if s == nil || model == "" {
		return 1
	}
	own, largest := 0.0, 0.0
	for _, one := range s.Models {
		largest = max(largest, one.Cost)
		if one.Name == model {
			own = one.Cost
		}
	}
	if own == 0 || largest == 0 {
		return 1
	}
	return max(own/largest, minWeight)
}
