package cli

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/bronzeturn/bronzeturn/explain"
)

// lossesCommand tells where worth went.
type lossesCommand struct {
	Step  time.Duration `help:"Length of the intervals of the table by time." default:"2s"`
	Files []string      `arg:"" help:"Log files of the daemons." type:"existingfile"`
}

// lossTables is the output as JSON.
type lossTables struct {
	ByRoute []explain.Loss `json:"by_route"`
	BySize  []explain.Loss `json:"by_size"`
	ByTime  []explain.Loss `json:"by_time"`
}

// Run implements the command.
func (c *lossesCommand) Run(a *app) error {
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	var t lossTables
	t.ByRoute, t.BySize, t.ByTime = explain.Losses(lines, c.Step)
	if a.out.json {
		return a.out.object(t)
	}
	for _, table := range []struct {
		name string
		rows []explain.Loss
	}{{"route", t.ByRoute}, {"route and size", t.BySize}, {"time", t.ByTime}} {
		if err := a.lossTable(table.name, table.rows); err != nil {
			return err
		}
	}
	return nil
}

// lossTable prints one table.
func (a *app) lossTable(name string, rows []explain.Loss) error {
	w := tabwriter.NewWriter(a.out.w, 0, 0, 2, ' ', 0)
	header := name + "\trequests"
	for _, cause := range explain.Causes() {
		header += "\t" + string(cause)
	}
	header += "\tagain\tresumed\tworth\tdoubt\tprice\n"
	_, _ = fmt.Fprint(w, header) // Errors show at Flush.
	for _, row := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%d", row.Group, row.Requests)
		for _, cause := range explain.Causes() {
			_, _ = fmt.Fprintf(w, "\t%d", row.ByCause[cause])
		}
		_, _ = fmt.Fprintf(w, "\t%d\t%d\t%.1f\t%.1f\t%.1f\n", row.Again, row.Resumed, row.Worth, row.Doubt, row.Price)
	}
	_, _ = fmt.Fprintln(w)
	return w.Flush()
}
