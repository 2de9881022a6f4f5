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
	lengths map[string]lengthRatio
}

// lengthRatio is the logarithm of the number of an answer's events for each token that its
// caller expects, as a moving mean and variance.
type lengthRatio struct {
	mean, variance float64
	answers        int
}

const (
	// lengthSmoothing is the weight of one answer in the moving averages, minLengthAnswers the
	// number of answers below which nothing is concluded from them.
	lengthSmoothing  = 0.02
	minLengthAnswers = 10
	// minLengthVariance keeps a few answers of equal length from making the estimate certain.
	minLengthVariance = 0.1
	// minCompletion is the chance to be complete in time below which an escalation is not
	// made. A caller whose answer is cut off at its deadline has waited for nothing, which is
	// worse than a doubtful answer.
	minCompletion = 0.8
)

func newAnswerLengths() *answerLengths {
	return &answerLengths{pace: make(map[paceKind]float64), lengths: make(map[string]lengthRatio)}
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
	gain := max(lengthSmoothing, 1/float64(l.answers+1))
	off := math.Log(float64(events)/float64(expectedTokens)) - l.mean
	l.mean += gain * off
	l.variance += gain * (off*off - l.variance)
	l.answers++
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
	expected := math.Log(float64(expectedTokens)*pace) + l.mean
	deviations := (math.Log(left.Seconds()) - expected) / math.Sqrt(max(l.variance, minLengthVariance))
	return math.Erfc(-deviations/math.Sqrt2) / 2
}
