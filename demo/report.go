package demo

import (
	"cmp"
	"slices"

	"github.com/bronzeturn/bronzeturn/config"
	bronzeturnv1 "github.com/bronzeturn/bronzeturn/gen/bronzeturn/v1"
	"github.com/bronzeturn/bronzeturn/ledger"
	"github.com/bronzeturn/bronzeturn/load"
)

// noPool is shown as the engine pool of requests that no engine executed, such as
// plain service calls.
const noPool = "-"

// Row aggregates the answers of one kind, version and engine pool.
type Row struct {
	Kind string `json:"kind"`
	// Version is the version, or the name of the plain service, that answered.
	Version string `json:"version"`
	// Pool is the engine pool that executed the requests. Several are joined by "+".
	Pool             string `json:"pool"`
	Answers          int64  `json:"answers"`
	PromptTokens     int64  `json:"prompt_tokens"`
	CompletionTokens int64  `json:"completion_tokens"`
	// CostMicros is the price of the answers at the versions that gave them.
	CostMicros int64 `json:"cost_micros"`
	// StrongestMicros is the price of the same number of tokens at the strongest
	// version that each organisation may use.
	StrongestMicros int64           `json:"strongest_cost_micros"`
	Total           load.Quantiles  `json:"total"`
	FirstToken      *load.Quantiles `json:"first_token,omitempty"`
}

// Bills compares the bills in the ledger with the answers that callers received.
type Bills struct {
	// Recorded is the number of bills in the ledger.
	Recorded uint64 `json:"recorded"`
	// Answers is the number of answered requests, without the Repeats.
	Answers uint64 `json:"answers"`
	// Repeats is the number of answers that were given without executing the
	// request, since another one with the same idempotency key was executed.
	Repeats uint64 `json:"repeats"`
	// CostMicros is the sum of the bills for model answers, without those for plain
	// services.
	CostMicros uint64 `json:"cost_micros"`
	// StrongestMicros is the price of the same answers at the strongest version
	// that each organisation may use.
	StrongestMicros int64 `json:"strongest_cost_micros"`
}

// DeploymentReport is the result of the demo for one deployment.
type DeploymentReport struct {
	Deployment       string            `json:"deployment"`
	Rows             []Row             `json:"rows"`
	Refusals         []load.CodeReport `json:"refusals"`
	BrokenAnswers    int64             `json:"broken_answers"`
	WithdrawnVersion string            `json:"withdrawn_version"`
	Bills            Bills             `json:"bills"`
	// Faults lists the guarantees that were violated. It is empty in a correct run.
	Faults []string `json:"faults"`
}

// Report is the result of the demo.
type Report struct {
	Seconds     float64            `json:"seconds"`
	Deployments []DeploymentReport `json:"deployments"`
}

// rowKey identifies a row.
type rowKey struct{ kind, version, pool string }

// rowResults collects the figures of one row.
type rowResults struct {
	row               Row
	total, firstToken *load.Latencies
}

// reporter computes the report of a deployment from its outcomes.
type reporter struct {
	platform *Platform
	snapshot *config.Snapshot
	// pools holds the engine pools that executed each request, by request ID.
	pools map[string]string
	rows  map[rowKey]*rowResults
}

func newReporter(p *Platform) (*reporter, error) {
	snapshot, err := config.NewSnapshot(1, p.Register, p.Rules)
	if err != nil {
		return nil, err
	}
	return &reporter{platform: p, snapshot: snapshot, pools: p.poolsByRequest(), rows: make(map[rowKey]*rowResults)}, nil
}

// report returns the report of a deployment. The totals are those of the ledger.
func (r *reporter) report(s scenario, results *outcomes, totals []ledger.Total) DeploymentReport {
	results.mu.Lock()
	defer results.mu.Unlock()
	out := DeploymentReport{
		Deployment: s.example, WithdrawnVersion: s.withdrawnVersion, BrokenAnswers: results.brokenAnswers,
		Rows: []Row{}, Refusals: []load.CodeReport{}, Faults: append([]string{}, results.faults...),
	}
	for _, a := range results.answers {
		if a.duplicate {
			out.Bills.Repeats++
			continue
		}
		out.Bills.Answers++
		out.Bills.StrongestMicros += r.addAnswer(a)
	}
	for _, total := range totals {
		out.Bills.Recorded += total.Bills
		if _, isService := r.snapshot.Service(total.Version); !isService {
			out.Bills.CostMicros += total.CostMicros
		}
	}
	out.Rows = r.sortedRows()
	for code, count := range results.refusals {
		out.Refusals = append(out.Refusals, load.CodeReport{Code: code, Count: count})
	}
	slices.SortFunc(out.Refusals, func(a, b load.CodeReport) int { return cmp.Compare(a.Code, b.Code) })
	out.Faults = append(out.Faults, out.Bills.faults(out.BrokenAnswers)...)
	return out
}

// addAnswer adds an answer to its row. It returns the price of the answer at the
// strongest version, or zero for a plain service.
func (r *reporter) addAnswer(a receivedAnswer) int64 {
	key := rowKey{a.kind, a.version, cmp.Or(r.pools[a.requestID], noPool)}
	results := r.rows[key]
	if results == nil {
		results = &rowResults{
			row:   Row{Kind: a.kind, Version: a.version, Pool: key.pool},
			total: load.NewLatencies(), firstToken: load.NewLatencies(),
		}
		r.rows[key] = results
	}
	row := &results.row
	row.Answers++
	results.total.Record(a.total)
	if a.firstToken > 0 {
		results.firstToken.Record(a.firstToken)
	}
	cost, strongest := r.prices(a)
	row.PromptTokens += a.usage.Prompt
	row.CompletionTokens += a.usage.Completion
	row.CostMicros += cost
	row.StrongestMicros += strongest
	if a.service {
		return 0
	}
	return strongest
}

// prices returns the price of an answer at its version and at the strongest
// version that the organisation may use.
func (r *reporter) prices(a receivedAnswer) (cost, strongest int64) {
	if a.service {
		service, _ := r.snapshot.Service(a.version)
		return service.GetCallPriceMicros(), service.GetCallPriceMicros()
	}
	version, _ := r.snapshot.Version(a.version)
	return tokenPrice(version, a), tokenPrice(r.strongestVersion(a.organisation, a.kind), a)
}

// strongestVersion returns the version with the highest prior quality for the kind
// among those that the organisation may use, except for versions that are
// withdrawn or have a roll-out.
func (r *reporter) strongestVersion(organisation, kind string) *bronzeturnv1.Version {
	var best *bronzeturnv1.Version
	for _, name := range r.snapshot.AllowedVersions(organisation) {
		version, _ := r.snapshot.Version(name)
		_, withdrawn := r.snapshot.Withdrawal(name)
		_, rolledOut := r.snapshot.Rollout(name)
		if withdrawn || rolledOut {
			continue
		}
		if best == nil || priorQuality(version, kind) > priorQuality(best, kind) {
			best = version
		}
	}
	return best
}

// priorQuality returns the prior quality of a version for a kind from the register.
func priorQuality(v *bronzeturnv1.Version, kind string) float64 {
	for _, byKind := range v.GetPriorQualityByKind() {
		if byKind.GetKind() == kind {
			return byKind.GetQuality()
		}
	}
	return v.GetPriorQuality()
}

// tokensPerPriceUnit is the number of tokens to which prices refer.
const tokensPerPriceUnit = 1_000_000

// tokenPrice returns the price of the tokens of an answer. The prompt and the
// completion are rounded up separately.
func tokenPrice(v *bronzeturnv1.Version, a receivedAnswer) int64 {
	part := func(tokens, price int64) int64 { return (tokens*price + tokensPerPriceUnit - 1) / tokensPerPriceUnit }
	return part(a.usage.Prompt, v.GetPromptPriceMicros()) + part(a.usage.Completion, v.GetCompletionPriceMicros())
}

// sortedRows returns the rows ordered by kind, version and pool.
func (r *reporter) sortedRows() []Row {
	rows := make([]Row, 0, len(r.rows))
	for _, results := range r.rows {
		row := results.row
		row.Total = results.total.Quantiles()
		if results.firstToken.Count() > 0 {
			first := results.firstToken.Quantiles()
			row.FirstToken = &first
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Pool, b.Pool))
	})
	return rows
}
