package bench

import (
	"strings"
	"testing"

	"limpethub/internal/modelref"
)

func TestPlaceFitsMemoryAndCoversAllUnits(t *testing.T) {
	for _, profile := range []Profile{Rigline(), TichyVers()} {
		placement, err := Place(&profile.Document, profile.Shape.Popularity(&profile.Document), true)
		if err != nil {
			t.Fatal(err)
		}
		copies := map[modelref.Ref]int{}
		for server, units := range placement {
			held := map[modelref.Ref]bool{}
			var used int64
			for _, unit := range units {
				if unit.Base != "" && !held[unit.Base] {
					t.Errorf("%s: %s before its base", server, unit.Ref)
				}
				held[unit.Ref] = true
				used += unit.MemoryMB
				copies[unit.Ref]++
			}
			if used > serverMemoryMB {
				t.Errorf("%s holds %d MB", server, used)
			}
		}
		for _, unit := range profile.Document.Units() {
			if copies[unit.Ref] < minCopies {
				t.Errorf("%s: %s has %d copies", profile.Name, unit.Ref, copies[unit.Ref])
			}
		}
	}
}

func TestBusyShare(t *testing.T) {
	from, err := parseCPUTimes("cpu  100 0 100 700 100 0 0 0 0 0")
	if err != nil {
		t.Fatal(err)
	}
	to, err := parseCPUTimes("cpu  200 0 200 1200 200 0 0 0 50 0")
	if err != nil {
		t.Fatal(err)
	}
	if got := busyShare(from, to); got != 0.25 {
		t.Fatalf("busy share %v, want 0.25", got)
	}
	if _, err := parseCPUTimes("intr 1 2 3"); err == nil {
		t.Fatal("a malformed line was taken")
	}
}

func TestSummaryLeavesInvalidRunsOut(t *testing.T) {
	run := func(attainment float64, valid bool) Figures {
		return Figures{Policy: "p", Load: 1, Attainment: attainment, Valid: valid, Classes: []ClassFigures{{Class: "c", Attainment: attainment}}}
	}
	summaries := Summarize([]Figures{run(0.2, true), run(0.9, false), run(0.4, true), run(0.3, true)})
	if len(summaries) != 1 {
		t.Fatalf("%d cells, want 1", len(summaries))
	}
	got := summaries[0]
	want := Spread{Median: 0.3, Min: 0.2, Max: 0.4, Runs: 3}
	if got.Attainment != want || got.Classes["c"] != want || got.Invalid != 1 {
		t.Fatalf("summary %+v", got)
	}
}

func TestBrokenPromisesAreListed(t *testing.T) {
	f := Figures{Duplicates: 1, Foreign: 1, Disordered: 1, Cut: 1, MemoryViolations: 1, LoadViolations: 1}
	if got := len(f.Broken()); got != 6 {
		t.Fatalf("%d promises broken, want 6", got)
	}
	if got := (Figures{}).Broken(); got != nil {
		t.Fatalf("broken without cause: %v", got)
	}
}

func TestOutputs(t *testing.T) {
	summaries := Summarize([]Figures{{Policy: "p", Load: 1, Valid: true}, {Policy: "p", Load: 2, Valid: true}})
	var table, svg strings.Builder
	if err := WriteTable(&table, summaries, nil); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Count(table.String(), "\n"); lines != 3 {
		t.Fatalf("%d lines, want 3", lines)
	}
	err := WriteSVG(&svg, "title", "attainment", summaries, func(s Summary) Spread { return s.Attainment })
	if err != nil || !strings.Contains(svg.String(), "<svg") {
		t.Fatalf("plot: %v", err)
	}
}
