package gateway

import "github.com/bronzeturn/bronzeturn/route"

const (
	// outputTokenSize is the number of prompt tokens that a generated token counts for in the
	// size of a request, with which the worth of its answer grows.
	outputTokenSize = 10
	// sizeSmoothing is the weight of one request in the moving average of the sizes of its
	// route's requests.
	sizeSmoothing = 0.02
	// priceTokens is the number of generated tokens that a model's price refers to.
	priceTokens = 1000
)

// sizedRequest is a request for which the daemon picks the model.
type sizedRequest struct {
	route   *route.Route
	service *route.Service
	// prompt is the number of prompt tokens, output the expected number of generated ones.
	prompt, output int
	// worth is the worth of a right answer, set by ModelChoice.Sized.
	worth float64
	// delayCost is the worth that other requests lose for each second for which this one
	// occupies an engine, see ModelChoice.DelayCost.
	delayCost float64
	// completes returns the chance that a model's answer is complete before the deadline. Nil
	// means that it is certain.
	completes func(model string) float64
}

// size returns the size of the request, with which the worth of its answer grows.
func (r *sizedRequest) size() float64 { return float64(r.prompt + outputTokenSize*r.output) }

// completion returns the chance that a model's answer is complete before the deadline.
func (r *sizedRequest) completion(model string) float64 {
	if r.completes == nil {
		return 1
	}
	return r.completes(model)
}

// price returns the price of running the request on a model.
func (r *sizedRequest) price(model string) float64 {
	if r.service == nil {
		return 0
	}
	for _, m := range r.service.Models {
		if m.Name == model {
			return m.Cost * (promptTokenPrice*float64(r.prompt) + float64(r.output)) / priceTokens
		}
	}
	return 0
}

// Sized returns the request with the worth of a right answer, and records its size.
func (m *ModelChoice) Sized(r *route.Route, s *route.Service, prompt, output int) *sizedRequest {
	q := &sizedRequest{route: r, service: s, prompt: prompt, output: output}
	size := q.size()
	m.mu.Lock()
	mean, known := m.sizes[r.Name]
	if !known {
		mean = size
	}
	m.sizes[r.Name] = mean + sizeSmoothing*(size-mean)
	m.mu.Unlock()
	relative := 1.0
	if mean > 0 {
		relative = size / mean
	}
	q.worth = m.value(r, s, mean) * (m.options.FixedWorthShare + (1-m.options.FixedWorthShare)*relative)
	m.recordWorth(s, q.worth)
	return q
}

// value returns the worth of a right answer to a request of mean size of the route.
func (m *ModelChoice) value(r *route.Route, s *route.Service, size float64) float64 {
	values := m.options.Values
	if len(values) > 0 {
		return values[min(max(r.Priority, 0), len(values)-1)]
	}
	if s == nil || s.LargestCost() == 0 {
		return 1 // Without prices, the answer most likely to be right is worth most.
	}
	return m.options.WorthOverPrice * promptTokenPrice * size * s.LargestCost() / priceTokens * urgency(r, s)
}

// urgency returns the worth of a route's answers relative to those of the route with the
// tightest target. It is inversely proportional to the target, as an answer that may take
// longer is worth less to its caller. This keeps short requests with a long target off the
// large model.
func urgency(r *route.Route, s *route.Service) float64 {
	if r.Target <= 0 || s.ShortestTarget <= 0 {
		return 1
	}
	return min(s.ShortestTarget.Seconds()/r.Target.Seconds(), 1)
}
