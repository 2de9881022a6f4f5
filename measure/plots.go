package measure

import (
	"fmt"
	"image/color"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Sizes of the plots.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 9 * vg.Millimeter
)

// plotColors are the colours of the policies, in the order in which they are plotted.
var plotColors = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff}, color.RGBA{R: 0x33, G: 0x33, B: 0x33, A: 0xff},
	color.RGBA{R: 0xc0, G: 0x39, B: 0x2b, A: 0xff}, color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	color.RGBA{R: 0x2e, G: 0x8b, B: 0x57, A: 0xff}, color.RGBA{R: 0x8e, G: 0x6c, B: 0xb0, A: 0xff},
}

// WritePlots writes the plots as PNG files to a directory.
func (s *Suite) WritePlots(dir string) error {
	for name, draw := range map[string]func() (*plot.Plot, error){
		"cost.png": s.plotCost, "urgent-p95.png": s.plotUrgent, "quick-latency.png": s.plotLatency,
	} {
		p, err := draw()
		if err != nil {
			return fmt.Errorf("plot %s: %w", name, err)
		}
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, name)); err != nil {
			return fmt.Errorf("plot %s: %w", name, err)
		}
	}
	return nil
}

// bars adds a bar chart with one group per label and one bar per policy in each.
func bars(p *plot.Plot, labels []string, series []Policy, value func(label int, policy Policy) float64) error {
	for i, policy := range series {
		values := make(plotter.Values, len(labels))
		for j := range labels {
			values[j] = value(j, policy)
		}
		chart, err := plotter.NewBarChart(values, barWidth/vg.Length(len(series))*2)
		if err != nil {
			return err
		}
		chart.LineStyle.Width = 0
		chart.Color = plotColors[i%len(plotColors)]
		chart.Offset = barWidth * 2 / vg.Length(len(series)) * vg.Length(2*i-len(series)+1) / 2
		p.Add(chart)
		p.Legend.Add(string(policy), chart)
	}
	p.NominalX(labels...)
	p.X.Min, p.X.Max = -0.6, float64(len(labels))-0.4
	p.Legend.Top, p.Legend.Left = true, true
	return nil
}

// plotCost plots the cost per answer relative to that of the oracle.
func (s *Suite) plotCost() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Cost per answer, oracle = 1 (cheapest only misses the target)"
	var labels []string
	for i := range Scenarios {
		labels = append(labels, Scenarios[i].Name)
	}
	series := []Policy{PolicyRouter, PolicyOracle, PolicyStrongest, PolicyCheapest}
	err := bars(p, labels, series, func(i int, policy Policy) float64 {
		return ratio(s.published(labels[i], FaultNone, policy).CostPerAnswer(), s.published(labels[i], FaultNone, PolicyOracle).CostPerAnswer())
	})
	return p, err
}

// plotUrgent plots the p95 latency of urgent kinds at peak load.
func (s *Suite) plotUrgent() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "p95 of urgent kinds at about 85% load"
	p.Y.Label.Text = "seconds"
	groups := []struct{ scenario, kind string }{
		{"kiosk peak", "quick"}, {"morning burst", "sheet"}, {"morning burst", "price"},
	}
	var labels []string
	for _, g := range groups {
		labels = append(labels, g.kind)
	}
	err := bars(p, labels, Policies, func(i int, policy Policy) float64 {
		return s.published(groups[i].scenario, FaultNone, policy).Kinds[groups[i].kind].P95.Seconds()
	})
	return p, err
}

// plotLatency plots the latency distribution of the kind "quick" in the scenario
// "kiosk peak".
func (s *Suite) plotLatency() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Latency of quick checks at the kiosk peak"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "share answered"
	for i, policy := range Policies {
		k := s.published("kiosk peak", FaultNone, policy).Kinds["quick"]
		line, err := plotter.NewLine(distribution(k))
		if err != nil {
			return nil, err
		}
		line.Color = plotColors[i%len(plotColors)]
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(string(policy), line)
	}
	p.Legend.YOffs = vg.Centimeter
	return p, nil
}

// distribution returns points of the cumulative latency distribution. Requests
// without an answer count in the total, so it may end below 1.
func distribution(k *KindResult) plotter.XYs {
	const points = 200
	var xys plotter.XYs
	n := len(k.latencies)
	for i := range points {
		at := i * (n - 1) / (points - 1)
		xys = append(xys, plotter.XY{X: k.latencies[at].Seconds(), Y: float64(at+1) / float64(k.Offered)})
	}
	return xys
}
