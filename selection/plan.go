package selection

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
)

// DefaultKind is the task kind of requests that name none.
const DefaultKind = "default"

// AnyVersion is the constraint that leaves the choice to the router.
const AnyVersion = "auto"

// Bounds of inputs, chosen such that costs cannot overflow.
const (
	maxTokens = 1 << 28
	maxPrice  = 1 << 32
)

// defaultCompletionTokens is the expected length of an answer when neither the
// request, nor a measurement, nor the rules give one.
const defaultCompletionTokens = 256

// none is the index of no version, model or roll-out.
const none = -1

// Plan holds the tables compiled from one register and one set of rules. The
// tables are immutable; a Plan is safe for concurrent use.
type Plan struct {
	versions      []version
	versionByName map[string]int
	modelByName   map[string]int
	kinds         []kind
	kindByName    map[string]int
	organisations map[string]*organisation
	rollouts      []rolloutRule

	bound atomic.Pointer[binding]
}

type version struct {
	name            string
	hash            uint64
	model           int
	promptPrice     int64 // micro-units per million tokens
	completionPrice int64 // micro-units per million tokens
	contextTokens   int64 // 0 for no limit
	tokensPerSecond float64
	served          bool
	withdrawn       bool
	soleUser        bool
	users           int
	rollout         int   // index of the roll-out of this version, or none
	successors      []int // indexes of the roll-outs whose baseline is this version
}

type kind struct {
	name              string
	target            float64
	refuseBelowTarget bool
	idempotent        bool
	cascade           bool
	completionTokens  int64
	rank              []int     // by version: 1 for the most preferred, 0 for not preferred
	prior             []float64 // prior quality by version
}

type organisation struct {
	hash uint64
	// candidates are the allowed versions that are usable by the register and the
	// rules, the lowest price first.
	candidates []int
	allowed    []bool // by version
}

type rolloutRule struct {
	version  int
	baseline int
	maxShare float64
	state    bronzeturnv1.RolloutState
}

func (r *rolloutRule) halted() bool {
	return r.state == bronzeturnv1.RolloutState_ROLLOUT_STATE_HALTED
}

func (r *rolloutRule) running() bool {
	return r.state == bronzeturnv1.RolloutState_ROLLOUT_STATE_RUNNING ||
		r.state == bronzeturnv1.RolloutState_ROLLOUT_STATE_UNSPECIFIED
}

// NewPlan compiles a register and rules, which must be valid. References to unknown
// names are ignored.
func NewPlan(reg *bronzeturnv1.Register, rules *bronzeturnv1.Rules) *Plan {
	p := &Plan{
		versionByName: make(map[string]int),
		modelByName:   make(map[string]int),
		kindByName:    make(map[string]int),
		organisations: make(map[string]*organisation),
	}
	p.addVersions(reg)
	p.addEngines(reg)
	p.addWithdrawals(rules)
	p.addRollouts(rules)
	p.addKinds(reg, rules)
	p.addOrganisations(reg)
	return p
}

func (p *Plan) addVersions(reg *bronzeturnv1.Register) {
	for _, m := range reg.GetModels() {
		p.model(m.GetName())
	}
	for _, v := range reg.GetVersions() {
		p.versionByName[v.GetName()] = len(p.versions)
		p.versions = append(p.versions, version{
			name:            v.GetName(),
			hash:            xxhash.Sum64String(v.GetName()),
			model:           p.model(v.GetModel()),
			promptPrice:     min(max(v.GetPromptPriceMicros(), 0), maxPrice),
			completionPrice: min(max(v.GetCompletionPriceMicros(), 0), maxPrice),
			contextTokens:   v.GetContextTokens(),
			rollout:         none,
		})
	}
}

func (p *Plan) model(name string) int {
	i, ok := p.modelByName[name]
	if !ok {
		i = len(p.modelByName)
		p.modelByName[name] = i
	}
	return i
}

func (p *Plan) addEngines(reg *bronzeturnv1.Register) {
	for _, e := range reg.GetEngines() {
		for _, name := range e.GetVersions() {
			i, ok := p.versionByName[name]
			if !ok {
				continue
			}
			v := &p.versions[i]
			v.served = true
			if v.tokensPerSecond == 0 || e.GetTokensPerSecond() < v.tokensPerSecond {
				v.tokensPerSecond = e.GetTokensPerSecond()
			}
		}
	}
}

func (p *Plan) addWithdrawals(rules *bronzeturnv1.Rules) {
	for _, w := range rules.GetWithdrawals() {
		if i, ok := p.versionByName[w.GetVersion()]; ok {
			p.versions[i].withdrawn = true
		}
	}
}

func (p *Plan) addRollouts(rules *bronzeturnv1.Rules) {
	for _, r := range rules.GetRollouts() {
		v, ok := p.versionByName[r.GetVersion()]
		if !ok {
			continue
		}
		rule := rolloutRule{version: v, baseline: none, maxShare: r.GetMaxShare(), state: r.GetState()}
		p.versions[v].rollout = len(p.rollouts)
		if b, ok := p.versionByName[r.GetBaseline()]; ok {
			rule.baseline = b
			p.versions[b].successors = append(p.versions[b].successors, len(p.rollouts))
		}
		p.rollouts = append(p.rollouts, rule)
	}
}

func (p *Plan) addKinds(reg *bronzeturnv1.Register, rules *bronzeturnv1.Rules) {
	for _, k := range rules.GetKinds() {
		p.kindByName[k.GetName()] = len(p.kinds)
		compiled := kind{
			name:              k.GetName(),
			target:            k.GetQualityTarget(),
			refuseBelowTarget: k.GetBelowTarget() == bronzeturnv1.BelowTarget_BELOW_TARGET_REFUSE,
			idempotent:        k.GetIdempotent(),
			cascade:           k.GetIdempotent() && k.GetCascade(),
			completionTokens:  k.GetExpectedCompletionTokens(),
			rank:              make([]int, len(p.versions)),
			prior:             make([]float64, len(p.versions)),
		}
		for order, name := range k.GetPreferredVersions() {
			if i, ok := p.versionByName[name]; ok && compiled.rank[i] == 0 {
				compiled.rank[i] = order + 1
			}
		}
		for i, v := range reg.GetVersions() {
			compiled.prior[i] = priorQuality(v, k.GetName())
		}
		p.kinds = append(p.kinds, compiled)
	}
}

func priorQuality(v *bronzeturnv1.Version, kind string) float64 {
	for _, q := range v.GetPriorQualityByKind() {
		if q.GetKind() == kind {
			return q.GetQuality()
		}
	}
	return v.GetPriorQuality()
}

func (p *Plan) addOrganisations(reg *bronzeturnv1.Register) {
	for _, o := range reg.GetOrganisations() {
		compiled := p.newOrganisation(o)
		p.organisations[o.GetName()] = compiled
		for i, ok := range compiled.allowed {
			if ok {
				p.versions[i].users++
			}
		}
	}
	for i := range p.versions {
		p.versions[i].soleUser = p.versions[i].users <= 1
	}
}

func (p *Plan) newOrganisation(o *bronzeturnv1.Organisation) *organisation {
	compiled := &organisation{
		hash:    xxhash.Sum64String(o.GetName()),
		allowed: make([]bool, len(p.versions)),
	}
	for _, name := range o.GetAllowedVersions() {
		if i, ok := p.versionByName[name]; ok {
			compiled.allowed[i] = true
		}
	}
	for _, name := range o.GetAllowedModels() {
		m, ok := p.modelByName[name]
		for i := range p.versions {
			if ok && p.versions[i].model == m {
				compiled.allowed[i] = true
			}
		}
	}
	for i, ok := range compiled.allowed {
		if ok && p.usable(i) {
			compiled.candidates = append(compiled.candidates, i)
		}
	}
	slices.SortStableFunc(compiled.candidates, func(a, b int) int {
		return int(p.versions[a].price() - p.versions[b].price())
	})
	return compiled
}

// usable reports whether any request may run on the version.
func (p *Plan) usable(v int) bool {
	version := &p.versions[v]
	return version.served && !version.withdrawn && !p.halted(v)
}

func (p *Plan) halted(v int) bool {
	r := p.versions[v].rollout
	return r != none && p.rollouts[r].halted()
}

func (v *version) price() int64 { return v.promptPrice + v.completionPrice }

// duration returns how long the version takes to generate tokens at the lowest rate
// that the register gives for its engines, zero without one.
func (v *version) duration(tokens int64) time.Duration {
	if v.tokensPerSecond <= 0 {
		return 0
	}
	seconds := math.Min(float64(tokens)/v.tokensPerSecond, 86400)
	return time.Duration(seconds * float64(time.Second))
}
