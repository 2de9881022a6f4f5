package gateway

import (
	"math"
	"sync"
	"time"
)

// answerLengths learns how long streamed answers take, to tell whether one would be complete
// before its deadline. It is safe for concurrent use.
type answerLengths struct {
	mu sync.Mutex
	// pace holds the mean time between two events by service and model.
	pace map[paceKind]float64
	// lengths holds the relation of events to expected tokens by service.
	lengths map[string]lengthRelation
}

// lengthRelation is the linear regression of the logarithm of the number of an answer's events
// on that of the tokens that its caller expects, by moving means. Callers' estimates are often
// far off, so answers with high estimates are mostly shorter than their ratio to the mean says.
type lengthRelation struct {
	x, y, xx, xy, yy float64
	answers          int
}

const (
	// lengthSmoothing is the weight of one answer in the moving means, minLengthAnswers the
	// number of answers below which nothing is concluded from them.
	lengthSmoothing  = 0.02
	minLengthAnswers = 10
	// minLengthVariance keeps a few answers of equal length from making the estimate certain.
	minLengthVariance = 0.1
	// proportional is the weight, as a variance of logarithms, of the prior assumption that lengths
	// are in proportion to the estimates.
	proportional = 0.05
	// minCompletion is the chance to be complete in time below which an escalation is not
	// made. A caller whose answer is cut off at its deadline has waited for nothing, which is
	// worse than a doubtful answer.
	minCompletion = 0.5
)

// add adds an answer.
func (l *lengthRelation) add(x, y float64) {
	gain := max(lengthSmoothing, 1/float64(l.answers+1))
	l.x += gain * (x - l.x)
	l.y += gain * (y - l.y)
	l.xx += gain * (x*x - l.xx)
	l.xy += gain * (x*y - l.xy)
	l.yy += gain * (y*y - l.yy)
	l.answers++
}

// predict returns the expected value for x and the variance around it.
func (l *lengthRelation) predict(x float64) (mean, variance float64) {
	varX, covariance := l.xx-l.x*l.x, l.xy-l.x*l.y
	slope := min(max((covariance+proportional)/(varX+proportional), 0), 1)
	variance = l.yy - l.y*l.y - 2*slope*covariance + slope*slope*varX
	return l.y + slope*(x-l.x), max(variance, minLengthVariance)
}

func newAnswerLengths() *answerLengths {
	return &answerLengths{pace: make(map[paceKind]float64), lengths: make(map[string]lengthRelation)}
}

// observe records a complete answer of a number of events, for which its caller expected a
// number of tokens.
func (a *answerLengths) observe(service, model string, expectedTokens, events int, pace time.Duration) {
	if expectedTokens <= 0 || events < 2 || pace <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	kind := paceKind{service, model, false}
	if mean, known := a.pace[kind]; known {
		a.pace[kind] = mean + lengthSmoothing*(pace.Seconds()-mean)
	} else {
		a.pace[kind] = pace.Seconds()
	}
	l := a.lengths[service]
	l.add(math.Log(float64(expectedTokens)), math.Log(float64(events)))
	a.lengths[service] = l
}

// completes returns the chance that an answer of a model is complete within the time left, by
// the log-normal distribution of the lengths of earlier answers. It is 1 as long as too
// little is known.
func (a *answerLengths) completes(service, model string, expectedTokens int, left time.Duration) float64 {
	a.mu.Lock()
	pace, known := a.pace[paceKind{service, model, false}]
	l := a.lengths[service]
	a.mu.Unlock()
	if !known || l.answers < minLengthAnswers || expectedTokens <= 0 {
		return 1
	}
	if left <= 0 {
		return 0
	}
	events, variance := l.predict(math.Log(float64(expectedTokens)))
	deviations := (math.Log(left.Seconds()/pace) - events) / math.Sqrt(variance)
	return math.Erfc(-deviations/math.Sqrt2) / 2
}
