package gateway

import "github.com/bronzeturn/bronzeturn/route"

const (
	// outputSize is the size of a generated token in those of the prompt, by which
	// the worth of an answer grows.
	outputSize = 10
	// sizeGain is the weight of one request in the mean size of its route's requests.
	sizeGain = 0.02
	// priceTokens is the number of generated tokens that prices are for.
	priceTokens = 1000
)

// sizedRequest is a request whose model is open.
type sizedRequest struct {
	route   *route.Route
	service *route.Service
	// prompt and output are its tokens, the output as expected.
	prompt, output int
	// worth of a right answer, by ModelChoice.Sized.
	worth float64
}

// size is what the worth of the answer grows with.
func (r *sizedRequest) size() float64 { return float64(r.prompt + outputSize*r.output) }

// price of running the request on a model.
func (r *sizedRequest) price(model string) float64 {
	if r.service == nil {
		return 0
	}
	for _, m := range r.service.Models {
		if m.Name == model {
			return m.Cost * (promptPrice*float64(r.prompt) + float64(r.output)) / priceTokens
		}
	}
	return 0
}

// Sized describes a request and works out what a right answer is worth.
func (m *ModelChoice) Sized(r *route.Route, s *route.Service, prompt, output int) *sizedRequest {
	q := &sizedRequest{route: r, service: s, prompt: prompt, output: output}
	size := q.size()
	m.mu.Lock()
	mean, known := m.sizes[r.Name]
	if !known {
		mean = size
	}
	m.sizes[r.Name] = mean + sizeGain*(size-mean)
	m.mu.Unlock()
	relative := 1.0
	if mean > 0 {
		relative = size / mean
	}
	q.worth = m.value(r, s, mean) * (m.options.FixedPart + (1-m.options.FixedPart)*relative)
	return q
}

// value of a right answer to a request of the route whose size is the usual one.
func (m *ModelChoice) value(r *route.Route, s *route.Service, size float64) float64 {
	values := m.options.Values
	if len(values) > 0 {
		return values[min(max(r.Priority, 0), len(values)-1)]
	}
	if s == nil || s.LargestCost() == 0 {
		return 1 // Where nothing has a price, the answer likeliest to be right pays.
	}
	return m.options.WorthOverPrice * promptPrice * size * s.LargestCost() / priceTokens * urgency(r, s)
}

// urgency is how much a route's answers are worth next to those of the tightest target:
// who can wait twice as long for an answer of the same size loses less by it. It keeps
// small tags with a wide target from the large model.
func urgency(r *route.Route, s *route.Service) float64 {
	if r.Target <= 0 || s.ShortestTarget <= 0 {
		return 1
	}
	return min(s.ShortestTarget.Seconds()/r.Target.Seconds(), 1)
}
