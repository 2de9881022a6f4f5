package gateway

import (
	"slices"

	"github.com/bronzeturn/bronzeturn/route"
)

// ModelOptions set when an answer is taken from a larger model instead.
type ModelOptions struct {
	// LeastConfidence is the confidence, 0 to 100, from which on a model's own
	// opinion of its answer is trusted while engines are idle.
	LeastConfidence int
	// LateConfidence is the same when the larger model's answer would begin just
	// at the route's target. An answer that is late is worth a part only, so a
	// doubtful one in time is better, and every request on a large model delays
	// the others.
	LateConfidence int
	// NearConfidence is the confidence from which on the next size is large enough,
	// rather than the largest.
	NearConfidence int
}

// DefaultModelOptions returns the documented defaults.
func DefaultModelOptions() ModelOptions {
	return ModelOptions{LeastConfidence: 57, LateConfidence: 25, NearConfidence: 35}
}

// easyShare is the part of a route's target that a larger model may use up before
// the confidence asked for begins to fall.
const easyShare = 0.35

// least returns the confidence to ask for when the larger model's answer is
// expected to begin after the given part of the target.
func (o ModelOptions) least(share float64) float64 {
	over := min(max((share-easyShare)/(1-easyShare), 0), 1)
	return float64(o.LeastConfidence) - over*float64(o.LeastConfidence-o.LateConfidence)
}

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

// Larger returns the model that may answer instead of one with the given
// confidence, or false when there is none.
func (m *ModelChoice) Larger(r *route.Route, model string, confidence int) (string, bool) {
	at := slices.Index(r.Models, model)
	last := len(r.Models) - 1
	if at < 0 || at == last {
		return "", false
	}
	if confidence >= m.options.NearConfidence {
		return r.Models[at+1], true
	}
	return r.Models[last], true
}

// Doubts tells whether an answer should come from a larger model, whose answer is
// expected to begin after the given part of the route's target. A negative
// confidence was not told.
func (m *ModelChoice) Doubts(confidence int, share float64) bool {
	return confidence >= 0 && float64(confidence) < m.options.least(share)
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
