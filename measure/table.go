package measure

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// introduction is the text of MEASUREMENTS.md before the tables.
const introduction = `# Measurements

Written by ` + "`go run ./cmd/bronzeturn-measure --out docs`" + `, seed 1 (goals: seeds 1 to 5). Do not edit.

The real decision code of six daemons meets a small fake of engines, raters and
prices in virtual time; see package measure. Work, true qualities and what
happens to each request are the same for every policy. Before a run, the
policies that learn have served the scenario's rated work for four hours, but
for the row "no ratings yet". A tenth of the answers is rated, 3 s later on
average, and one organisation rates 0.3 too low.

The oracle knows true qualities, costs and queues. It reaches the target at the
lowest expected cost that is in time, and then the lowest latency; it does
without hedges and admission. It looks at one request at a time, so it is no
optimum when a pool is short. The other baselines share admission and retries with the router:
strongest and cheapest only differ in the version, round robin and least
reported load in the engine.

`

// WriteTable writes the page with the goals and the tables in Markdown.
func (s *Suite) WriteTable(w io.Writer) error {
	p := &page{w: w}
	p.printf("%s", introduction)
	p.goals(s.Goals())
	for i := range Scenarios {
		p.scenario(s, &Scenarios[i])
	}
	return p.err
}

// page writes text and keeps the first error. Nothing is written after an error.
type page struct {
	w   io.Writer
	err error
}

func (p *page) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *page) goals(goals []Goal) {
	p.printf("## Goals\n\nMeans over the seeds %d to %d, with the lowest and highest of them. \"With\n"+
		"qualities known\" is the router with true qualities for priors: what it costs\n"+
		"beyond the oracle is routing, what the router costs beyond it is learning.\n\n"+
		"| goal | bound | measured | from, to | |\n|---|---|---|---|---|\n", Seed, Seed+goalSeeds-1)
	for _, g := range goals {
		met := "met"
		if !g.Met() {
			met = "**missed**"
		}
		p.printf("| %s | ≤ %.2f | %.2f | %.2f, %.2f | %s |\n", g.Name, g.Bound, g.Measured, g.Lowest, g.Highest, met)
	}
	p.printf("\nOver-admission is measured by the tests of package admission with six daemons\n" +
		"in virtual time (`go test -v -run Fleet ./admission`), times of decisions by\n" +
		"`go test -run xxx -bench Decision ./measure` and the benchmarks of selection and balance.\n\n" +
		"![cost](plots/cost.png)\n![p95 of urgent kinds](plots/urgent-p95.png)\n![latency of quick checks](plots/quick-latency.png)\n")
}

func (p *page) scenario(s *Suite, scenario *Scenario) {
	p.printf("\n## %s (%s)\n\n", scenario.Name, scenario.Deployment)
	p.printf("Work: %s.\n\n", scenario.description())
	p.printf("Without a fault:\n\n")
	p.header(s.published(scenario.Name, FaultNone, PolicyRouter))
	for _, policy := range Policies {
		p.row(string(policy), s.published(scenario.Name, FaultNone, policy))
	}
	p.printf("\nThe router under faults, and the oracle below it:\n\n")
	p.header(s.published(scenario.Name, FaultNone, PolicyRouter))
	for _, fault := range Faults {
		if scenario.supports(fault) && fault != FaultNone {
			p.row(string(fault), s.published(scenario.Name, fault, PolicyRouter))
			p.row("– oracle", s.published(scenario.Name, fault, PolicyOracle))
		}
	}
}

// description describes the workload and the faults of the scenario in one line.
func (s *Scenario) description() string {
	var parts []string
	for i := range s.streams {
		parts = append(parts, fmt.Sprintf("%s %g/s", s.streams[i].kind, s.streams[i].rate))
	}
	return strings.Join(parts, ", ") + fmt.Sprintf("; %v, the fault after %v; %s turns bad, half of %s is lost, %s is slow",
		s.Duration, s.FaultAt, s.badVersion, s.failingPool, s.slowEngine)
}

func (p *page) header(r *Result) {
	p.printf("| | cost per answer | below target | good | refused | failed | to bad | hedges |")
	for _, kind := range sortedKinds(r) {
		p.printf(" %s p50 / p95 / p99 |", kind)
	}
	p.printf("\n|---|---|---|---|---|---|---|---|%s\n", strings.Repeat("---|", len(r.Kinds)))
}

func (p *page) row(name string, r *Result) {
	p.printf("| %s | %.1f | %.1f%% | %.1f%% | %d | %d | %d | %d |", name, r.CostPerAnswer(), 100*r.BelowShare(),
		100*ratio(float64(r.GoodAnswers), float64(r.Answered)), r.Refused, r.Failed, r.BadVersionAttempts+r.HaltedVersionAttempts, r.Hedges)
	for _, kind := range sortedKinds(r) {
		k := r.Kinds[kind]
		p.printf(" %s / %s / %s |", formatDuration(k.P50), formatDuration(k.P95), formatDuration(k.P99))
	}
	p.printf("\n")
}

// formatDuration formats a duration in seconds, with about three digits.
func formatDuration(d time.Duration) string {
	if d >= 10*time.Second {
		return fmt.Sprintf("%.0f s", d.Seconds())
	}
	return fmt.Sprintf("%.2f s", d.Seconds())
}

// WriteCSV writes all figures of the cases with the published seed.
func (s *Suite) WriteCSV(w io.Writer) error {
	p := &page{w: w}
	p.printf("scenario,fault,policy,kind,offered,answered,refused,failed,cost_micros,below_target,good,to_bad,to_halted,hedges,p50_ms,p95_ms,p99_ms\n")
	for i := range Scenarios {
		for _, fault := range Faults {
			for _, policy := range Policies {
				if r := s.published(Scenarios[i].Name, fault, policy); r != nil {
					p.csvRows(r)
				}
			}
		}
	}
	return p.err
}

func (p *page) csvRows(r *Result) {
	p.printf("%s,%q,%s,all,%d,%d,%d,%d,%.0f,%d,%d,%d,%d,%d,,,\n", r.Scenario, r.Fault, r.Policy,
		r.Offered, r.Answered, r.Refused, r.Failed, r.CostMicros, r.BelowTarget, r.GoodAnswers, r.BadVersionAttempts, r.HaltedVersionAttempts, r.Hedges)
	for _, kind := range sortedKinds(r) {
		k := r.Kinds[kind]
		p.printf("%s,%q,%s,%s,%d,%d,%d,%d,%.0f,,,,,,%d,%d,%d\n", r.Scenario, r.Fault, r.Policy, kind,
			k.Offered, k.Answered, k.Refused, k.Failed, k.CostMicros, k.P50.Milliseconds(), k.P95.Milliseconds(), k.P99.Milliseconds())
	}
}
