package gateway

import (
	"time"

	"github.com/bronzeturn/bronzeturn/route"
)

// Work at an engine delays the requests in progress there and those that follow. As long as
// the engine's backlog takes less than freeBacklogShare of the service's shortest target, the
// requests are on time all the same, since engines generate the answers in progress together
// and a new request waits only for the prompts ahead of it. From fullBacklogShare on, each
// delay makes some of them late.
const (
	freeBacklogShare = 0.25
	fullBacklogShare = 1
)

// DelayCost returns the worth that other requests lose for each second of an engine's time,
// from the backlog and the number of requests in progress at the engine. A delay of the
// shortest target makes all of them late, and a shorter one a part in proportion. Without it,
// a burst of long prompts whose target allows for the wait occupies the engines with
// escalations while requests with a shorter target become late.
func (m *ModelChoice) DelayCost(s *route.Service, backlog time.Duration, requests float64) float64 {
	if s == nil || s.ShortestTarget <= 0 {
		return 0
	}
	target := s.ShortestTarget.Seconds()
	affected := (backlog.Seconds()/target - freeBacklogShare) / (fullBacklogShare - freeBacklogShare)
	m.mu.Lock()
	worth := m.worths[s.Name]
	m.mu.Unlock()
	return min(max(affected, 0), 1) * requests * worth * (1 - m.options.LateWorthShare) / target
}

// delay returns the worth that other requests lose if the request runs on a model.
func (m *ModelChoice) delay(q *sizedRequest, model string) float64 {
	if q.delayCost == 0 {
		return 0
	}
	return q.delayCost * m.Weight(q.service, model) * q.engineTime().Seconds()
}

// engineTime returns the time for which the request occupies an engine with the largest model.
func (q *sizedRequest) engineTime() time.Duration {
	tokens := PromptTokenWork*float64(q.prompt) + float64(q.output)
	return time.Duration(tokens / engineRate * float64(time.Second))
}

// recordWorth adds the worth of a request to the mean of its service.
func (m *ModelChoice) recordWorth(s *route.Service, worth float64) {
	if s == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	mean, known := m.worths[s.Name]
	if !known {
		mean = worth
	}
	m.worths[s.Name] = mean + sizeSmoothing*(worth-mean)
}
