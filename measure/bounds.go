package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
)

// boundMargin is the relative amount by which a figure may exceed its bound. Runs
// are deterministic on one machine, but rounding differs between processors that
// fuse multiplications and additions and those that do not.
const boundMargin = 0.02

// Figures holds the results of one case that must not get worse. Lower is better
// for all of them.
type Figures struct {
	Case                  string  `json:"case"`
	CostPerAnswer         float64 `json:"cost_micros_per_answer"`
	BelowTargetShare      float64 `json:"below_target_share"`
	BadAnswerShare        float64 `json:"bad_answer_share"`
	RefusedOrFailedShare  float64 `json:"refused_or_failed_share"`
	BadVersionAttempts    float64 `json:"attempts_at_bad_version"`
	HaltedVersionAttempts float64 `json:"attempts_at_halted_version"`
	// UrgentP95 and UrgentP99 are the highest latency quantiles of any urgent kind,
	// in milliseconds, or of any kind if the scenario has no urgent one.
	UrgentP95 float64 `json:"urgent_p95_ms"`
	UrgentP99 float64 `json:"urgent_p99_ms"`
}

// BoundCases returns the short cases that CI checks.
func BoundCases() []Case {
	faults := []Fault{FaultHalfPoolLost, FaultVersionBad, FaultRolloutHalted, FaultBulkOverrun}
	var cases []Case
	for i := range Scenarios {
		cases = append(cases, Case{Scenario: Scenarios[i].Short(), Fault: faults[i], Policy: PolicyRouter, Seed: Seed})
	}
	return cases
}

// NewFigures returns the figures of a result.
func NewFigures(r *Result) Figures {
	f := Figures{
		Case:                  fmt.Sprintf("%s, %s", r.Scenario, r.Fault),
		CostPerAnswer:         r.CostPerAnswer(),
		BelowTargetShare:      r.BelowShare(),
		BadAnswerShare:        1 - ratio(float64(r.GoodAnswers), float64(r.Answered)),
		RefusedOrFailedShare:  ratio(float64(r.Refused+r.Failed), float64(r.Offered)),
		BadVersionAttempts:    float64(r.BadVersionAttempts),
		HaltedVersionAttempts: float64(r.HaltedVersionAttempts),
	}
	anyUrgent := false
	for _, k := range r.Kinds {
		anyUrgent = anyUrgent || k.Urgent
	}
	for _, k := range r.Kinds {
		if k.Urgent || !anyUrgent {
			f.UrgentP95 = max(f.UrgentP95, k.P95.Seconds()*1000)
			f.UrgentP99 = max(f.UrgentP99, k.P99.Seconds()*1000)
		}
	}
	return f
}

// Regressions describes the figures of f that exceed the bound by more than
// boundMargin.
func (f Figures) Regressions(bound Figures) []string {
	var regressions []string
	for _, c := range []struct {
		name       string
		got, bound float64
	}{
		{"cost per answer", f.CostPerAnswer, bound.CostPerAnswer},
		{"share below the target", f.BelowTargetShare, bound.BelowTargetShare},
		{"share of bad answers", f.BadAnswerShare, bound.BadAnswerShare},
		{"share refused or failed", f.RefusedOrFailedShare, bound.RefusedOrFailedShare},
		{"attempts at the bad version", f.BadVersionAttempts, bound.BadVersionAttempts},
		{"attempts at the halted version", f.HaltedVersionAttempts, bound.HaltedVersionAttempts},
		{"p95", f.UrgentP95, bound.UrgentP95},
		{"p99", f.UrgentP99, bound.UrgentP99},
	} {
		if c.got > c.bound*(1+boundMargin) && c.got > math.Nextafter(c.bound, math.Inf(1)) {
			regressions = append(regressions, fmt.Sprintf("%s: %.4g, bound %.4g", c.name, c.got, c.bound))
		}
	}
	return regressions
}

// WriteBounds runs the BoundCases and writes their figures as JSON.
func WriteBounds(w io.Writer) error {
	var all []Figures
	for _, c := range BoundCases() {
		r, err := Run(c)
		if err != nil {
			return err
		}
		all = append(all, NewFigures(r))
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(all)
}

// ReadBounds reads figures in the format of WriteBounds.
func ReadBounds(r io.Reader) ([]Figures, error) {
	var all []Figures
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&all); err != nil {
		return nil, fmt.Errorf("bounds: %w", err)
	}
	return all, nil
}
