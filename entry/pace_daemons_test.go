package entry

import (
	"fmt"
	"time"

	"github.com/bronzeturn/bronzeturn/balance"
	"github.com/bronzeturn/bronzeturn/occupancy"
)

// played is one request.
type played struct {
	daemon, engine        int
	tokens                float64
	arrived, began, ended time.Time
	generation            time.Duration
	work                  balance.Work
}

// send chooses an engine as sharedBalancer does.
func (p *pacePlay) send(r *played, now time.Time) {
	s, request := p.states[r.daemon], &balance.Request{Version: "s", Work: r.work}
	decision, ok := s.Choose(p.plans[r.daemon], request, now, p.rng)
	if ok {
		names := decision.Compared(maxQueriedEngines)
		for _, name := range names {
			id := uint32(p.ids[name])
			load := p.store.LoadOfOthers(fmt.Sprintf("daemon-%d", r.daemon), id, now)
			s.PeerLoadReported(balance.PeerLoadReported{Engine: name, Requests: load.Requests, Tokens: load.Tokens, At: now})
			if pace := p.store.Pace(id, now); p.shared {
				s.PaceReported(balance.PaceReported{Engine: name, MeanLog: pace.MeanLog, Variance: pace.Variance, Weight: pace.Weight, At: now})
			}
		}
		request.NoProbe = true
		copy(request.Candidates[:], names)
		decision, _ = s.Choose(p.plans[r.daemon], request, now, p.rng)
	}
	r.engine = decision.Index
	s.Dispatched(balance.Dispatched{Engine: engineName(r.engine), Work: r.work, At: now})
	p.report(r, now)
	p.queues[r.engine] = append(p.queues[r.engine], r)
	p.begin(r.engine, now)
}

// report reports the load and the paces of a request's daemon at its engine.
func (p *pacePlay) report(r *played, now time.Time) {
	p.sequence++
	daemon, id := fmt.Sprintf("daemon-%d", r.daemon), uint32(r.engine)
	requests, tokens := p.states[r.daemon].OwnLoad(engineName(r.engine))
	p.store.Record(daemon, p.sequence, id, occupancy.Load{Requests: requests, Tokens: tokens}, now)
	if sums := p.paced[[2]int{r.daemon, r.engine}]; sums != nil {
		sums.Sequence = p.sequence
		p.store.RecordPace(daemon, id, *sums, now)
	}
}
