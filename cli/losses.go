package cli

import (
	"strconv"
	"time"

	"github.com/bronzeturn/bronzeturn/explain"
)

// lossesCommand shows how much worth requests lost, and why.
type lossesCommand struct {
	Step  time.Duration `help:"Length of an interval in the table by time." default:"2s"`
	Files []string      `arg:"" help:"Log files of the daemons." type:"existingfile"`
}

// lossesOutput is the JSON shape of the command.
type lossesOutput struct {
	ByRoute []explain.Loss `json:"by_route"`
	BySize  []explain.Loss `json:"by_size"`
	ByTime  []explain.Loss `json:"by_time"`
	Load    explain.Load   `json:"load"`
}

// Run implements the command.
func (c *lossesCommand) Run(a *app) error {
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	var t lossesOutput
	t.ByRoute, t.BySize, t.ByTime = explain.Losses(lines, c.Step)
	t.Load = explain.SumUpLoad(lines)
	if a.out.json {
		return a.out.object(t)
	}
	a.printLosses("route", t.ByRoute)
	a.printLosses("route and size", t.BySize)
	a.printLosses("time", t.ByTime)
	a.printShares("organisation", t.Load.ByOrganisation)
	a.printShares("priority", t.Load.ByPriority)
	a.printShares("data centre", t.Load.ByDataCentre)
	r := t.Load.Returns
	a.out.printf("%d refused, of which %d returned, of which %d were served", r.Refused, r.Returned, r.Served)
	return nil
}

// printShares prints one table followed by a blank line.
func (a *app) printShares(name string, shares []explain.Share) {
	header := []string{name, "requests"}
	for _, cause := range explain.Causes() {
		header = append(header, string(cause))
	}
	header = append(header, "waited", "wait p95")
	var rows [][]string
	for _, s := range shares {
		row := []string{s.Group, strconv.Itoa(s.Requests)}
		for _, cause := range explain.Causes() {
			row = append(row, strconv.Itoa(s.ByCause[cause]))
		}
		rows = append(rows, append(row, strconv.Itoa(s.Waited), s.WaitP95.Round(time.Millisecond).String()))
	}
	a.out.table(header, rows)
	a.out.printf("")
}

// printLosses prints one table followed by a blank line.
func (a *app) printLosses(name string, losses []explain.Loss) {
	header := []string{name, "requests"}
	for _, cause := range explain.Causes() {
		header = append(header, string(cause))
	}
	header = append(header, "again", "resumed", "worth", "doubt", "price")
	var rows [][]string
	for _, l := range losses {
		row := []string{l.Group, strconv.Itoa(l.Requests)}
		for _, cause := range explain.Causes() {
			row = append(row, strconv.Itoa(l.ByCause[cause]))
		}
		row = append(row, strconv.Itoa(l.Resends), strconv.Itoa(l.Resumed))
		for _, amount := range []float64{l.Worth, l.ExpectedLoss, l.Price} {
			row = append(row, strconv.FormatFloat(amount, 'f', 1, 64))
		}
		rows = append(rows, row)
	}
	a.out.table(header, rows)
	a.out.printf("")
}
