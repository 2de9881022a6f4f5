package gateway

import (
	"fmt"
	"math"
	"slices"
	"sync"

	"github.com/bronzeturn/bronzeturn/route"
)

// ModelOptions tell what answers are worth and how far a model's opinion of its own
// answer is to be trusted.
type ModelOptions struct {
	// Values are what a right answer of usual length is worth by the priority of its
	// route, the most urgent first, in the unit of the models' prices. The last one
	// holds for all further priorities.
	Values []float64
	// FixedPart is the part of that worth which does not grow with the length of
	// prompt and answer.
	FixedPart float64
	// EvenConfidence is the confidence, 0 to 100, at which an answer is as likely
	// right as wrong, ConfidenceScale the points by which the odds change e-fold.
	EvenConfidence, ConfidenceScale float64
	// MostConfidence is trusted whatever the prices are.
	MostConfidence float64
	// LatePart of its worth is what a larger model's answer is taken to keep when it
	// begins just at the route's target. It may be late then, and every request on a
	// large model delays the others, so a doubtful answer in time is better.
	LatePart float64
	// TryPart of the answers that a larger model has to replace go to a model that
	// seems to pay less, so that its chances stay known.
	TryPart float64
}

// DefaultModelOptions returns the documented defaults. The values are those of the
// users' sheets. The scale follows from how much two models' confidences in answers
// to the same request differ: by a standard deviation of 14 points around the mean of
// the pair, 10 for each (27,000 pairs on the users' platform).
func DefaultModelOptions() ModelOptions {
	return ModelOptions{
		Values: []float64{5, 1.2, 0.3}, FixedPart: 0.3,
		EvenConfidence: 50, ConfidenceScale: 6, MostConfidence: 70, LatePart: 0.2, TryPart: 0.04,
	}
}

// Check returns what is wrong with the options, nil for nothing.
func (o ModelOptions) Check() error {
	for i, value := range o.Values {
		if !(value > 0) || math.IsInf(value, 1) {
			return fmt.Errorf("answer value %d: %v is not above zero", i+1, value)
		}
	}
	return nil
}

const (
	// easyShare is the part of a route's target that a larger model may use up before
	// its answer is taken to lose worth.
	easyShare = 0.35
	// promptPrice is the price of a prompt's token in that of a generated one.
	promptPrice = 0.25
	// outputSize is the size of a generated token in those of the prompt, by which
	// the worth of an answer grows.
	outputSize = 10
	// sizeGain is the weight of one request in the mean size of its route's requests.
	sizeGain = 0.02
	// Before anything is known, a model asked at once is right with firstChance, the
	// largest one with largestChance, and one of the sizes between is as sure of its
	// answer as the smaller one before it and nextShift points more.
	firstChance, largestChance = 0.5, 0.95
	nextShift                  = 15
	// priorAnswers is how many answers that first guess weighs, mostAnswers the most
	// that all before weigh against the next one.
	priorAnswers, mostAnswers = 6, 100
	// doubtBands is the number of bands of the smaller model's confidence for which
	// chances are kept.
	doubtBands = 8
)

// ModelChoice picks the model size for requests that leave it open: the smallest
// first, and a larger one when the small one doubts its own answer so much that the
// larger one's price is worth paying. The doubt is known before the caller has any
// of the answer. It learns from the confidences that the models tell and is safe for
// concurrent use.
type ModelChoice struct {
	options ModelOptions

	mu sync.Mutex
	// chances are how likely each model's answer is right.
	chances map[chanceKey]chance
	// sizes are the mean sizes of the requests of each route.
	sizes map[string]float64
}

// chanceKey tells what a chance is of: a model, asked at once or after a smaller one
// with a confidence in the given band. The band is -1 when it was asked at once.
type chanceKey struct {
	service, model string
	band           int
}

// chance is the mean of so many answers.
type chance struct {
	value   float64
	answers int
}

// NewModelChoice returns a choice that has learnt nothing yet.
func NewModelChoice(o ModelOptions) *ModelChoice {
	return &ModelChoice{options: o, chances: make(map[chanceKey]chance), sizes: make(map[string]float64)}
}

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
			return m.Cost * (promptPrice*float64(r.prompt) + float64(r.output)) / 1000
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
	q.worth = m.value(r.Priority) * (m.options.FixedPart + (1-m.options.FixedPart)*relative)
	return q
}

// value of a right answer of usual length.
func (m *ModelChoice) value(priority int) float64 {
	values := m.options.Values
	if len(values) == 0 {
		return 1
	}
	return values[min(max(priority, 0), len(values)-1)]
}

// First returns the model that a request is run on first, "" when the route names
// none: the smallest, or the one that pays best by itself when no second run is
// possible.
func (m *ModelChoice) First(q *sizedRequest, single bool) string {
	models := q.route.Models
	if len(models) == 0 {
		return ""
	}
	if !single {
		return models[0]
	}
	best, most := models[0], math.Inf(-1)
	for _, model := range models {
		if gain := m.chance(q, model, -1)*q.worth - q.price(model); gain > most {
			best, most = model, gain
		}
	}
	return best
}

// Larger returns the model that should answer instead of one with the given
// confidence, or false when that one's answer will do. A negative confidence was not
// told. Begins returns the part of the route's target that will have passed when a
// model begins to answer. The draw, in [0, 1), decides about trying a model that
// seems to pay less.
func (m *ModelChoice) Larger(q *sizedRequest, model string, confidence int, begins func(model string) float64, draw float64) (string, bool) {
	o := &m.options
	if confidence < 0 || float64(confidence) >= o.MostConfidence {
		return "", false
	}
	larger := q.route.Models[slices.Index(q.route.Models, model)+1:]
	best, most := "", o.right(float64(confidence))*q.worth
	for _, one := range larger {
		chance := m.chance(q, one, band(confidence)) * o.timely(begins(one))
		if gain := chance*q.worth - q.price(one); gain > most {
			best, most = one, gain
		}
	}
	if best != "" && draw < o.TryPart {
		best = larger[int(draw/o.TryPart*float64(len(larger)))]
	}
	return best, best != ""
}

// timely returns the part of its worth that an answer is expected to keep when it
// begins after the given part of the route's target.
func (o *ModelOptions) timely(share float64) float64 {
	over := min(max((share-easyShare)/(1-easyShare), 0), 1)
	return 1 - over*(1-o.LatePart)
}

// right returns how likely an answer with the given confidence is right.
func (o *ModelOptions) right(confidence float64) float64 {
	return 1 / (1 + math.Exp((o.EvenConfidence-confidence)/o.ConfidenceScale))
}

// Told takes in the confidence of a model's answer. The smaller model's confidence
// is that of the answer it replaces, -1 when there was none.
func (m *ModelChoice) Told(q *sizedRequest, model string, confidence, smaller int) {
	if confidence < 0 || q.service == nil {
		return
	}
	key := chanceKey{q.service.Name, model, band(smaller)}
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.chanceOf(q, key)
	c.value += (m.options.right(float64(confidence)) - c.value) / float64(c.answers+1)
	c.answers = min(c.answers+1, mostAnswers)
	m.chances[key] = c
}

// chance returns how likely a model's answer is right.
func (m *ModelChoice) chance(q *sizedRequest, model string, band int) float64 {
	service := ""
	if q.service != nil {
		service = q.service.Name
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.chanceOf(q, chanceKey{service, model, band}).value
}

// chanceOf returns what was learnt, or the chance to begin with. The caller holds mu.
func (m *ModelChoice) chanceOf(q *sizedRequest, key chanceKey) chance {
	if c, known := m.chances[key]; known {
		return c
	}
	first := chance{value: firstChance, answers: priorAnswers}
	switch {
	case key.model == q.route.Models[len(q.route.Models)-1]:
		first.value = largestChance
	case key.band >= 0:
		middle := (float64(key.band) + 0.5) * 100 / doubtBands
		first.value = m.options.right(middle + nextShift)
	}
	return first
}

// band returns the band of a confidence, -1 for none.
func band(confidence int) int {
	if confidence < 0 {
		return -1
	}
	return min(confidence*doubtBands/100, doubtBands-1)
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
