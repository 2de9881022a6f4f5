package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/bronzeturn/bronzeturn/load"
)

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// columns are the headings of the table of a deployment.
var columns = []string{
	"KIND", "VERSION", "POOL", "ANSWERS", "TOKENS", "COST", "STRONGEST", "P50 MS", "P95 MS", "P99 MS", "FIRST TOKEN P50",
}

// microsPerUnit is the number of micro-units in one unit of the currency.
const microsPerUnit = 1_000_000

// faults returns a fault if the number of bills differs from that of the answers,
// and another if there were broken answers.
func (b Bills) faults(brokenAnswers int64) []string {
	var faults []string
	if b.Recorded != b.Answers {
		faults = append(faults, fmt.Sprintf("%d bills for %d answers", b.Recorded, b.Answers))
	}
	if brokenAnswers > 0 {
		faults = append(faults, fmt.Sprintf("%d broken answers", brokenAnswers))
	}
	return faults
}

// write writes the report as JSON or as tables.
func (r Report) write(out io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(r); err != nil {
			return fmt.Errorf("write JSON: %w", err)
		}
		return nil
	}
	for _, d := range r.Deployments {
		d.print(out)
	}
	_, err := fmt.Fprintf(out, "ended after %.1f s\n", r.Seconds)
	return err
}

// print writes the table and the summary of a deployment.
func (d DeploymentReport) print(out io.Writer) {
	fmt.Fprintf(out, "%s\n", d.Deployment)
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, strings.Join(columns, "\t"))
	for _, row := range d.Rows {
		fmt.Fprintln(w, strings.Join(row.cells(), "\t"))
	}
	_ = w.Flush()
	b := d.Bills
	fmt.Fprintf(out, "cost of models: %s billed, %s if always the strongest allowed version (%s)\n",
		formatCurrency(int64(b.CostMicros)), formatCurrency(b.StrongestMicros), costShare(int64(b.CostMicros), b.StrongestMicros))
	fmt.Fprintf(out, "withdrawn while traffic flowed: %s\n", d.WithdrawnVersion)
	fmt.Fprintf(out, "refused: %s\n", refusalText(d.Refusals))
	fmt.Fprintf(out, "bills: %d in the ledger for %d answers, %d repeats answered without a bill, %d broken answers\n",
		b.Recorded, b.Answers, b.Repeats, d.BrokenAnswers)
	for _, fault := range d.Faults {
		fmt.Fprintf(out, "FAULT: %s\n", fault)
	}
	fmt.Fprintln(out)
}

func (r Row) cells() []string {
	first := "-"
	if r.FirstToken != nil {
		first = formatMillis(r.FirstToken.P50)
	}
	return []string{
		r.Kind, r.Version, r.Pool, fmt.Sprint(r.Answers), fmt.Sprint(r.PromptTokens + r.CompletionTokens),
		formatCurrency(r.CostMicros), formatCurrency(r.StrongestMicros),
		formatMillis(r.Total.P50), formatMillis(r.Total.P95), formatMillis(r.Total.P99), first,
	}
}

func formatMillis(value float64) string { return fmt.Sprintf("%.1f", value) }

// formatCurrency formats micro-units as units of the currency.
func formatCurrency(micros int64) string {
	return fmt.Sprintf("%d.%06d", micros/microsPerUnit, micros%microsPerUnit)
}

// costShare formats a cost as a percentage of the cost of the strongest versions.
func costShare(cost, strongest int64) string {
	if strongest == 0 {
		return "nothing to compare"
	}
	return fmt.Sprintf("%.0f%% of it", 100*float64(cost)/float64(strongest))
}

func refusalText(refusals []load.CodeReport) string {
	if len(refusals) == 0 {
		return "none"
	}
	texts := make([]string, len(refusals))
	for i, r := range refusals {
		texts[i] = fmt.Sprintf("%s %d", r.Code, r.Count)
	}
	return strings.Join(texts, ", ")
}
