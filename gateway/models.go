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
	// holds for all further priorities. Without any, WorthOverPrice decides.
	Values []float64
	// WorthOverPrice is what a right answer is worth in prices of the largest model for
	// a prompt of the request's size, on the routes with the tightest target.
	WorthOverPrice float64
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

// DefaultModelOptions returns the documented defaults. Nothing that a deployment tells
// says what answers are worth to its users; that they pay for the largest model does.
// Six of its prices is what three users' reviews and reports are worth to them (4.6 to
// 6.0), and from 5 to 7 costs none of three deployments more than 0.01 of its worth. A
// table by priority that suited two users cost the third 0.02.
//
// The scale follows from how much two models' confidences in answers
// to the same request differ: by a standard deviation of 14 points around the mean of
// the pair, 10 for each (27,000 pairs on the users' platform).
func DefaultModelOptions() ModelOptions {
	return ModelOptions{
		WorthOverPrice: 6, FixedPart: 0.3,
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
	if !(o.WorthOverPrice > 0) || math.IsInf(o.WorthOverPrice, 1) {
		return fmt.Errorf("worth over price: %v is not above zero", o.WorthOverPrice)
	}
	return nil
}

const (
	// easyShare is the part of a route's target that a larger model may use up before
	// its answer is taken to lose worth.
	easyShare = 0.35
	// promptPrice is the price of a prompt's token in that of a generated one.
	promptPrice = 0.25
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

// Right returns how likely an answer with the given confidence is right, even odds when
// the model told none.
func (m *ModelChoice) Right(confidence int) float64 {
	if confidence < 0 {
		return firstChance
	}
	return m.options.right(float64(confidence))
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

// minWeight bounds the weight of a model from below. Engines read prompts in chunks
// between the steps that all their requests share, so a chunk takes a step at least
// however cheap its model: on idle engines the smallest size took 0.20 to 0.26 of the
// largest one's time for a prompt at 0.07 of its price. With other requests about it is
// more; from 0.25 to 0.6 the worth stays within 0.004. By price alone (0.07) daemons took
// engines full of small requests for idle, and worth was 0.02 lower under load.
const minWeight = 0.4

// Weight returns how much of an engine's time a model takes for each token,
// relative to the largest of the service: in the proportion of their prices.
func (m *ModelChoice) Weight(s *route.Service, model string) float64 {
	if s == nil || model == "" {
		return 1
	}
	own, largest := 0.0, s.LargestCost()
	for _, one := range s.Models {
		if one.Name == model {
			own = one.Cost
		}
	}
	if own == 0 || largest == 0 {
		return 1
	}
	return max(own/largest, minWeight)
}
