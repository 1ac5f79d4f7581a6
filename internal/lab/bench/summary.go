package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Spread is the median of repeated runs and their extremes.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
	Runs   int     `json:"runs"`
}

// NewSpread summarizes values; the zero Spread stands for none.
func NewSpread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	middle := len(sorted) / 2
	median := sorted[middle]
	if len(sorted)%2 == 0 {
		median = (sorted[middle-1] + sorted[middle]) / 2
	}
	return Spread{Median: median, Min: sorted[0], Max: sorted[len(sorted)-1], Runs: len(sorted)}
}

// Cell names one point of a comparison.
type Cell struct {
	Site   string  `json:"site"`
	Policy string  `json:"policy"`
	Load   float64 `json:"load"`
	Fault  string  `json:"fault"`
}

// Summary is what the valid runs of one cell gave.
type Summary struct {
	Cell
	// Invalid is how many runs were left out because the machine was too busy.
	Invalid int `json:"invalid"`
	// Classes holds the attainment by class.
	Classes              map[string]Spread `json:"classes"`
	Attainment           Spread            `json:"attainment"`
	InTimePerAccelerator Spread            `json:"in_time_per_accelerator"`
	FirstTokenP95        Spread            `json:"first_token_p95_ms"`
	BetweenTokensP95     Spread            `json:"between_tokens_p95_ms"`
	Moves                Spread            `json:"moves"`
	SentPerAsked         Spread            `json:"sent_per_asked"`
	RunsPerAsked         Spread            `json:"runs_per_asked"`
	// WastedShare is the part of generated tokens that belongs to no answer in time.
	WastedShare Spread `json:"wasted_share"`
	BusyShare   Spread `json:"busy_share"`
	// Failed sums failures by "code/verdict" over the valid runs.
	Failed map[string]int `json:"failed"`
	Broken []string       `json:"broken"`
}

// Summarize groups runs by cell, in the order in which cells first came.
func Summarize(runs []Figures) []Summary {
	var out []Summary
	for _, f := range runs {
		cell := Cell{Site: f.Site, Policy: f.Policy, Load: f.Load, Fault: f.Fault}
		if !slices.ContainsFunc(out, func(s Summary) bool { return s.Cell == cell }) {
			out = append(out, summarize(cell, runs))
		}
	}
	return out
}

func summarize(cell Cell, runs []Figures) Summary {
	s := Summary{Cell: cell, Classes: map[string]Spread{}, Failed: map[string]int{}}
	var valid []Figures
	for _, f := range runs {
		if (Cell{Site: f.Site, Policy: f.Policy, Load: f.Load, Fault: f.Fault}) != cell {
			continue
		}
		s.Broken = append(s.Broken, f.Broken()...)
		if !f.Valid {
			s.Invalid++
			continue
		}
		valid = append(valid, f)
	}
	spread := func(value func(Figures) float64) Spread {
		values := make([]float64, 0, len(valid))
		for _, f := range valid {
			values = append(values, value(f))
		}
		return NewSpread(values)
	}
	s.Attainment = spread(func(f Figures) float64 { return f.Attainment })
	s.InTimePerAccelerator = spread(func(f Figures) float64 { return f.InTimePerAccelerator })
	s.FirstTokenP95 = spread(func(f Figures) float64 { return f.FirstTokenP95 })
	s.BetweenTokensP95 = spread(func(f Figures) float64 { return f.BetweenTokensP95 })
	s.Moves = spread(func(f Figures) float64 { return float64(f.Moves) })
	s.SentPerAsked = spread(func(f Figures) float64 { return f.SentPerAsked })
	s.RunsPerAsked = spread(func(f Figures) float64 { return f.RunsPerAsked })
	s.WastedShare = spread(Figures.wastedShare)
	s.BusyShare = spread(func(f Figures) float64 { return f.BusyShare })
	s.setClasses(valid)
	return s
}

func (s *Summary) setClasses(valid []Figures) {
	values := map[string][]float64{}
	for _, f := range valid {
		for _, c := range f.Classes {
			values[c.Class] = append(values[c.Class], c.Attainment)
			for key, n := range c.Failed {
				s.Failed[key] += n
			}
		}
	}
	for class, attainments := range values {
		s.Classes[class] = NewSpread(attainments)
	}
}

// WriteTable prints summaries for people; classes are the columns' order.
func WriteTable(w io.Writer, summaries []Summary, classes []string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	header := "SITE\tLOAD\tFAULT\tPOLICY\tATTAINED\tSPREAD\tIN TIME/S/ACC"
	for _, class := range classes {
		header += "\t" + strings.ToUpper(class)
	}
	_, _ = fmt.Fprintln(t, header+"\tFIRST P95\tBETWEEN P95\tMOVES\tSENT/ASKED\tRUNS/ASKED\tWASTED\tBUSY\tRUNS\tINVALID")
	for _, s := range summaries {
		_, _ = fmt.Fprintf(t, "%s\t%.1f\t%s\t%s\t%.3f\t%.3f–%.3f\t%.2f", s.Site, s.Load, orDash(s.Fault), orDash(s.Policy),
			s.Attainment.Median, s.Attainment.Min, s.Attainment.Max, s.InTimePerAccelerator.Median)
		for _, class := range classes {
			_, _ = fmt.Fprintf(t, "\t%.3f", s.Classes[class].Median)
		}
		_, _ = fmt.Fprintf(t, "\t%.0f ms\t%.0f ms\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\n", s.FirstTokenP95.Median, s.BetweenTokensP95.Median,
			s.Moves.Median, s.SentPerAsked.Median, s.RunsPerAsked.Median, s.WastedShare.Median, s.BusyShare.Median, s.Attainment.Runs, s.Invalid)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("bench: write table: %w", err)
	}
	return nil
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// WriteJSON writes runs and summaries for machines.
func WriteJSON(w io.Writer, runs []Figures, summaries []Summary) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	err := encoder.Encode(struct {
		Summaries []Summary `json:"summaries"`
		Runs      []Figures `json:"runs"`
	}{summaries, runs})
	if err != nil {
		return fmt.Errorf("bench: write JSON: %w", err)
	}
	return nil
}
