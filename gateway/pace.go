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
)

// paceKind tells which answers are alike.
type paceKind struct{ service, model string }

// paces hold the mean time that the answers of each service and model take: for
// streams the time between two events, for whole answers the latency. Engines are
// judged by their ratio to it, since the absolute time says nothing across services
// and models.
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

// finished describes a whole answer to the balancer. The pace is zero when it
// was not measured.
func (g *Gateway) finished(t *task, to *target, pace time.Duration) balance.Finished {
	ended := balance.Finished{Engine: to.engine.ID, Work: to.work, FirstTokenSeen: to.firstSeen, At: time.Now()}
	if pace > 0 {
		seconds := g.paces.ratio(paceKind{t.service, t.model}, pace) * (paceTokens - 1) / streamRate(to.engine.Slots)
		ended.Tokens, ended.Generation = paceTokens, time.Duration(seconds*float64(time.Second))
	}
	return ended
}
