package bench

import (
	"fmt"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WriteSVG plots the value of fault-free summaries over the load, a line a policy.
func WriteSVG(w io.Writer, title, axis string, summaries []Summary, value func(Summary) Spread) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "load, as a multiple of the capacity"
	p.Y.Label.Text = axis
	p.Y.Min = 0
	p.Legend.Top = true
	for i, policy := range policiesOf(summaries) {
		line, points, err := plotter.NewLinePoints(pointsOf(summaries, policy, value))
		if err != nil {
			return fmt.Errorf("bench: plot %s: %w", policy, err)
		}
		line.Color = plotutil.Color(i)
		points.Color = plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		p.Add(line, points)
		p.Legend.Add(policy, line, points)
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return fmt.Errorf("bench: plot: %w", err)
	}
	if _, err := writer.WriteTo(w); err != nil {
		return fmt.Errorf("bench: plot: %w", err)
	}
	return nil
}

// policiesOf lists the policies of fault-free summaries in their order.
func policiesOf(summaries []Summary) []string {
	var out []string
	seen := map[string]bool{}
	for _, s := range summaries {
		if s.Fault == "" && !seen[s.Policy] {
			seen[s.Policy] = true
			out = append(out, s.Policy)
		}
	}
	return out
}

func pointsOf(summaries []Summary, policy string, value func(Summary) Spread) plotter.XYs {
	var out plotter.XYs
	for _, s := range summaries {
		if s.Policy == policy && s.Fault == "" {
			out = append(out, plotter.XY{X: s.Load, Y: value(s).Median})
		}
	}
	return out
}
