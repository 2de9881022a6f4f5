package gateway

import (
	"sync"
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
)

const (
	// paceGain is the weight of one answer in the mean pace of its service.
	paceGain = 0.02
	// paceTokens is the length that every answer is reported with to the balancer,
	// which looks at the time per token only.
	paceTokens = 100
	// usualPace stands for the mean of a service and model where versions are compared
	// over several models.
	usualPace = 100 * time.Millisecond
)

// asUsual returns the time that has the given ratio to usualPace.
func asUsual(ratio float64) time.Duration { return time.Duration(ratio * float64(usualPace)) }

// paceKind tells which times are alike: those to the first event of the answers of a
// service and model, or those that finish them.
type paceKind struct {
	service, model string
	first          bool
}

// paces hold the mean time that the answers of each service and model take: for
// streams the time between two events and that to the first one, for whole answers
// the latency. Engines and versions are judged by their ratio to it, since the
// absolute time says nothing across services and models.
type paces struct {
	mu   sync.Mutex
	mean map[paceKind]float64
}

func newPaces() *paces { return &paces{mean: make(map[paceKind]float64)} }

// ratio takes in the pace of one answer and returns it relative to the mean.
func (p *paces) ratio(kind paceKind, pace time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	seconds := pace.Seconds()
	mean, ok := p.mean[kind]
	if !ok || mean <= 0 {
		p.mean[kind] = seconds
		return 1
	}
	p.mean[kind] = mean + paceGain*(seconds-mean)
	return seconds / mean
}

// finished describes a whole answer to the balancer. The ratio of its pace to the
// usual one is zero when it was not measured.
func (g *Gateway) finished(t *task, to *target, ratio float64) balance.Finished {
	ended := balance.Finished{Engine: to.engine.Key(), Work: to.work, FirstTokenSeen: to.firstSeen, At: time.Now()}
	if ratio > 0 {
		seconds := ratio * (paceTokens - 1) / streamRate(to.engine.Slots)
		ended.Tokens, ended.Generation = paceTokens, time.Duration(seconds*float64(time.Second))
	}
	return ended
}
