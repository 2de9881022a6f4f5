package selection

import (
	"sync/atomic"
	"time"

	"github.com/bronzeturn/bronzeturn/cascade"
	"github.com/bronzeturn/bronzeturn/quality"
	"github.com/bronzeturn/bronzeturn/rollout"
)

// Policy chooses versions and learns from the ratings of their answers. It is safe
// for concurrent use.
type Policy struct {
	options Options
	quality *quality.Store
	rollout *rollout.Controller
	current atomic.Pointer[Plan]
}

// binding joins the tables of a plan with the learnt state of one policy.
type binding struct {
	policy *Policy
	rows   []row // indexed by kind*versions+version
	tracks []*rollout.Track
}

// row holds the fields of one version and kind that the scan reads, adjacent in
// memory.
type row struct {
	cell            *quality.Cell
	accepted        *quality.Cell // of answers that pass the check; nil for kinds without cascade
	track           *rollout.Track
	promptPrice     int64
	completionPrice int64
	contextTokens   int64
	model           int32
	rank            int32
	inRollout       bool
}

// NewPolicy returns a policy that uses the given state. It panics if the options
// are invalid; call Options.Validate first.
func NewPolicy(o Options, q *quality.Store, r *rollout.Controller) *Policy {
	if err := o.Validate(); err != nil {
		panic(err)
	}
	if o.ExploreShare == 0 {
		o.ExploreShare = DefaultExploreShare
	}
	return &Policy{options: o, quality: q, rollout: r}
}

// SetPlan makes p the plan against which ratings are evaluated, and applies its
// priors. Call it whenever a new configuration is applied.
func (y *Policy) SetPlan(p *Plan) {
	y.bind(p)
	y.current.Store(p)
}

// binding returns the binding of a plan, creating it at the first use.
func (y *Policy) binding(p *Plan) *binding {
	if b := p.bound.Load(); b != nil && b.policy == y {
		return b
	}
	y.current.CompareAndSwap(nil, p)
	return y.bind(p)
}

func (y *Policy) bind(p *Plan) *binding {
	n := len(p.versions)
	b := &binding{
		policy: y,
		rows:   make([]row, n*len(p.kinds)),
		tracks: make([]*rollout.Track, n),
	}
	for v := range p.versions {
		b.tracks[v] = y.rollout.Track(p.versions[v].name)
		for k := range p.kinds {
			y.bindRow(p, b, k, v)
		}
	}
	p.bound.Store(b)
	return b
}

func (y *Policy) bindRow(p *Plan, b *binding, k, v int) {
	kind, version := &p.kinds[k], &p.versions[v]
	prior := kind.prior[v]
	r := row{
		cell:            y.quality.Cell(version.name, kind.name),
		track:           b.tracks[v],
		promptPrice:     version.promptPrice,
		completionPrice: version.completionPrice,
		contextTokens:   version.contextTokens,
		model:           int32(version.model),
		rank:            int32(kind.rank[v]),
		inRollout:       version.rollout != none,
	}
	r.cell.SetPrior(prior, version.soleUser)
	if kind.cascade {
		r.accepted = y.quality.AcceptedCell(version.name, kind.name)
		r.accepted.SetPrior(cascade.PriorAccepted(prior), version.soleUser)
		r.accepted.SetFlaggedShare(cascade.PriorFlagged(prior))
	}
	b.rows[k*len(p.versions)+v] = r
}

// ObserveRating processes one rating on a daemon that does not exchange ratings with
// others: it updates the quality estimate and evaluates the version.
func (y *Policy) ObserveRating(e quality.Rating) (rollout.Change, error) {
	if err := y.quality.AddRating(e); err != nil {
		return rollout.Unchanged, err
	}
	return y.EvaluateVersion(quality.Counts{
		Organisation: e.Organisation,
		Version:      e.Version,
		Kind:         e.Kind,
		Accepted:     e.Accepted,
		Sum:          e.Score,
		Weight:       1,
	}, e.At), nil
}

// EvaluateVersion runs the sequential test of a version and advances its roll-out,
// given ratings that the estimates already include. Only one daemon per version
// calls it.
func (y *Policy) EvaluateVersion(c quality.Counts, now time.Time) rollout.Change {
	p := y.current.Load()
	if p == nil {
		return rollout.Unchanged
	}
	v, known := p.versionByName[c.Version]
	k, hasKind := p.kindByName[c.Kind]
	if !known || !hasKind {
		return rollout.Unchanged
	}
	b := y.binding(p)
	reference := p.reference(k, v)
	change := b.tracks[v].Judge(rollout.Ratings{
		Organisation: c.Organisation,
		Sum:          c.Sum,
		Count:        c.Weight,
		Reference:    reference,
		SoleUser:     p.versions[v].soleUser,
		At:           now,
	})
	if change == rollout.Cleared {
		b.clearRatings(p, v)
	}
	if change != rollout.Unchanged {
		return change
	}
	return b.advance(p, k, v, reference, now)
}

// reference returns the mean score that a version is tested against: the target,
// or its own prior when that is below the target.
func (p *Plan) reference(k, v int) float64 {
	return min(p.kinds[k].target, p.kinds[k].prior[v])
}

// clearRatings discards the ratings of a version for all kinds.
func (b *binding) clearRatings(p *Plan, v int) {
	n := len(p.versions)
	for i := v; i < len(b.rows); i += n {
		b.rows[i].cell.ClearRatings()
		if b.rows[i].accepted != nil {
			b.rows[i].accepted.ClearRatings()
		}
	}
}

// advance advances the running roll-out of a version, if there is one.
func (b *binding) advance(p *Plan, k, v int, reference float64, now time.Time) rollout.Change {
	r := p.versions[v].rollout
	if r == none || !p.rollouts[r].running() {
		return rollout.Unchanged
	}
	e := b.rows[k*len(p.versions)+v].cell.Estimate(now)
	return b.tracks[v].Advance(e, reference, p.rollouts[r].maxShare, now)
}
