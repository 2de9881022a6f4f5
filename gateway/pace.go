package gateway

import (
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
)

const (
	// paceSmoothing is the weight of one answer in the moving average of the pace.
	paceSmoothing = 0.02
	// paceTokens is the length with which every answer is reported to the balancer, which
	// uses the time per token only.
	paceTokens = 100
	// basePace represents the mean pace of each service and model, so that versions
	// can be compared across models.
	basePace = 100 * time.Millisecond
)

// scaledPace returns the pace that has the given ratio to basePace.
func scaledPace(ratio float64) time.Duration { return time.Duration(ratio * float64(basePace)) }

// paceKind identifies times that can be compared: for a service and model, either the time
// to the first event (first is set), or the time between events or to the end of a
// buffered answer.
type paceKind struct {
	service, model string
	first          bool
}

// paceBaselines holds the mean pace of the answers of each service and model: for streams the
// time to the first event and the time between two events, for buffered answers the
// latency. Engines and versions are judged by their ratio to this mean, since absolute
// times cannot be compared across services and models.
type paceBaselines struct {
	mu   sync.Mutex
	mean map[paceKind]float64
}

func newPaceBaselines() *paceBaselines { return &paceBaselines{mean: make(map[paceKind]float64)} }

// ratio records the pace of one answer and returns its ratio to the mean before.
func (p *paceBaselines) ratio(kind paceKind, pace time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	seconds := pace.Seconds()
	mean, ok := p.mean[kind]
	if !ok || mean <= 0 {
		p.mean[kind] = seconds
		return 1
	}
	p.mean[kind] = mean + paceSmoothing*(seconds-mean)
	return seconds / mean
}

// finished returns the balancer's event for a complete answer. ratio is that of the
// answer's pace to the mean, or zero if it was not measured.
func (g *Gateway) finished(t *task, to *target, ratio float64) balance.Finished {
	ended := balance.Finished{Engine: to.engine.Key(), Work: to.work, FirstTokenSeen: to.firstSeen, At: time.Now()}
	if ratio > 0 {
		seconds := ratio * (paceTokens - 1) / streamRate(to.engine.Slots)
		ended.Tokens, ended.Generation = paceTokens, time.Duration(seconds*float64(time.Second))
		ended.PaceRatio = ratio
	}
	return ended
}
