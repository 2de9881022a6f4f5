package gateway

import (
	"fmt"
	"math"
	"slices"
	"sync"

	"github.com/bronzeturn/bronzeturn/route"
)

// ModelOptions sets the worth of answers and how far the confidence that a model states
// in its own answer is trusted.
type ModelOptions struct {
	// Values holds the worth of a right answer of usual length for each route priority,
	// the most urgent first, in the unit of the models' prices. The last one applies to
	// all further priorities. If it is empty, WorthOverPrice applies.
	Values []float64
	// WorthOverPrice is the worth of a right answer on the routes with the tightest
	// target, as a multiple of the largest model's price for a prompt of the request's
	// size.
	WorthOverPrice float64
	// FixedWorthShare is the share of that worth that does not grow with the length of
	// the prompt and the answer.
	FixedWorthShare float64
	// EvenConfidence is the confidence, 0 to 100, at which an answer is as likely
	// right as wrong. ConfidenceScale is the number of points that change the odds by a
	// factor of e.
	EvenConfidence, ConfidenceScale float64
	// MaxConfidence is the confidence from which on an answer is never replaced.
	MaxConfidence float64
	// LateWorthShare is the share of its worth that a larger model's answer is assumed to
	// keep if it begins exactly at the route's target. It may then be late, and every
	// request on a large model delays the others, so a doubtful answer in time is better.
	LateWorthShare float64
	// ExplorationShare is the share of escalations that go to a larger model picked at
	// random, so that the estimates for models that seem to pay less stay up to date.
	ExplorationShare float64
}

// DefaultModelOptions returns the documented defaults.
//
// No setting of a deployment states what answers are worth to its users, so their worth
// is derived from the price of the largest model, which the users pay. In three
// deployments, reviews and reports were worth 4.6 to 6.0 times that price, and any factor
// from 5 to 7 cost none of them more than 0.01 of the worth. Fixed values per priority
// that suited two deployments cost the third 0.02.
//
// ConfidenceScale follows from the noise of the confidences: those of two models for the
// same request differ by a standard deviation of 14 points, 10 for each model (27,000
// pairs).
func DefaultModelOptions() ModelOptions {
	return ModelOptions{
		WorthOverPrice: 6, FixedWorthShare: 0.3,
		EvenConfidence: 50, ConfidenceScale: 6, MaxConfidence: 70, LateWorthShare: 0.2, ExplorationShare: 0.04,
	}
}

// Check returns an error if a value of the options is not positive and finite.
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
	// onTimeShare is the share of a route's target up to which the start of a larger
	// model's answer costs none of its worth.
	onTimeShare = 0.35
	// promptTokenPrice is the price of a prompt token relative to that of a generated one.
	promptTokenPrice = 0.25
	// Priors of the chance that an answer is right: priorChance for a model that is asked
	// first, priorLargestChance for the largest one. For a model in between, the confidence is
	// assumed to exceed that of the smaller model by priorConfidenceGain points.
	priorChance, priorLargestChance = 0.5, 0.95
	priorConfidenceGain             = 15
	// priorAnswers is the weight of the prior, in answers. maxAnswers bounds the weight of
	// the mean so far against the next answer.
	priorAnswers, maxAnswers = 6, 100
	// confidenceBands is the number of bands of the smaller model's confidence for which
	// separate chances are kept.
	confidenceBands = 8
)

// ModelChoice picks the model for requests that do not name one (a cascade): first the
// smallest, then a larger one if the confidence of the small one is so low that the
// larger one's price is worth paying. The confidence is known before any of the answer
// has been sent to the caller. ModelChoice learns from the confidences that the models
// report. It is safe for concurrent use.
type ModelChoice struct {
	options ModelOptions

	mu sync.Mutex
	// chances holds the estimated chances that a model's answer is right.
	chances map[chanceKey]chance
	// sizes holds the mean size of the requests of each route.
	sizes map[string]float64
	// worths holds the mean worth of the requests to each service.
	worths map[string]float64
}

// chanceKey identifies a chance: a model that is asked first (band -1), or after a smaller
// one whose confidence is in the given band.
type chanceKey struct {
	service, model string
	band           int
}

// chance is a mean over a number of answers.
type chance struct {
	value   float64
	answers int
}

// NewModelChoice returns a ModelChoice that holds the priors only.
func NewModelChoice(o ModelOptions) *ModelChoice {
	return &ModelChoice{options: o, chances: make(map[chanceKey]chance), sizes: make(map[string]float64), worths: make(map[string]float64)}
}

// First returns the model that a request is sent to first, or "" if the route names none.
// It is the smallest, or the one with the best expected gain if single is set, that is, if
// no second run is possible.
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

// Larger returns the model that should replace the answer of a smaller one with the given
// confidence, or false if that answer is good enough. A negative confidence means that the
// model reported none. begins returns the share of the route's target that will have
// passed when a model begins to answer. draw is a random number in [0, 1) that decides
// whether a model is picked for exploration.
func (m *ModelChoice) Larger(q *sizedRequest, model string, confidence int, begins func(model string) float64, draw float64) (string, bool) {
	o := &m.options
	if confidence < 0 || float64(confidence) >= o.MaxConfidence {
		return "", false
	}
	larger := q.route.Models[slices.Index(q.route.Models, model)+1:]
	best, most := "", o.chanceRight(float64(confidence))*q.worth
	for _, one := range larger {
		if q.completion(one) < minCompletion {
			continue
		}
		chance := m.chance(q, one, band(confidence)) * o.timelyShare(begins(one)) * q.completion(one)
		if gain := chance*q.worth - q.price(one) - m.delay(q, one); gain > most {
			best, most = one, gain
		}
	}
	if best != "" && draw < o.ExplorationShare {
		best = larger[int(draw/o.ExplorationShare*float64(len(larger)))]
	}
	return best, best != ""
}

// timelyShare returns the share of its worth that an answer is expected to keep if it
// begins after the given share of the route's target.
func (o *ModelOptions) timelyShare(share float64) float64 {
	over := min(max((share-onTimeShare)/(1-onTimeShare), 0), 1)
	return 1 - over*(1-o.LateWorthShare)
}

// ChanceRight returns the chance that an answer with the given confidence is right, and
// even odds if the model reported none.
func (m *ModelChoice) ChanceRight(confidence int) float64 {
	if confidence < 0 {
		return priorChance
	}
	return m.options.chanceRight(float64(confidence))
}

// chanceRight returns the chance that an answer with the given confidence is right, by a
// logistic function.
func (o *ModelOptions) chanceRight(confidence float64) float64 {
	return 1 / (1 + math.Exp((o.EvenConfidence-confidence)/o.ConfidenceScale))
}

// ObserveConfidence records the confidence of a model's answer. smaller is the confidence
// of the smaller model's answer that it replaces, or -1 if there was none.
func (m *ModelChoice) ObserveConfidence(q *sizedRequest, model string, confidence, smaller int) {
	if confidence < 0 || q.service == nil {
		return
	}
	key := chanceKey{q.service.Name, model, band(smaller)}
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.chanceOf(q, key)
	c.value += (m.options.chanceRight(float64(confidence)) - c.value) / float64(c.answers+1)
	c.answers = min(c.answers+1, maxAnswers)
	m.chances[key] = c
}

// chance returns the estimated chance that a model's answer is right.
func (m *ModelChoice) chance(q *sizedRequest, model string, band int) float64 {
	service := ""
	if q.service != nil {
		service = q.service.Name
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.chanceOf(q, chanceKey{service, model, band}).value
}

// chanceOf returns the learnt chance, or the prior. The caller holds mu.
func (m *ModelChoice) chanceOf(q *sizedRequest, key chanceKey) chance {
	if c, known := m.chances[key]; known {
		return c
	}
	first := chance{value: priorChance, answers: priorAnswers}
	switch {
	case key.model == q.route.Models[len(q.route.Models)-1]:
		first.value = priorLargestChance
	case key.band >= 0:
		middle := (float64(key.band) + 0.5) * 100 / confidenceBands
		first.value = m.options.chanceRight(middle + priorConfidenceGain)
	}
	return first
}

// band returns the band of a confidence, or -1 if the confidence is negative.
func band(confidence int) int {
	if confidence < 0 {
		return -1
	}
	return min(confidence*confidenceBands/100, confidenceBands-1)
}

// minWeight is the lower bound of a model's weight. Engines process prompts in chunks
// between the steps that all their requests share, so a chunk takes at least one step,
// however cheap its model. On idle engines the smallest model took 0.20 to 0.26 of the
// largest one's time for a prompt at 0.07 of its price, and more with other requests
// running. From 0.25 to 0.6 the worth of the answers stays within 0.004. By price alone
// (0.07) daemons took engines full of small requests for idle, and the worth under load
// was 0.02 lower.
const minWeight = 0.4

// Weight returns the engine time that a model takes per token, relative to the largest
// model of the service. It is the ratio of their prices, bounded by minWeight.
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
