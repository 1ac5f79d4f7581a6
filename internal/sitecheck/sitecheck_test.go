package sitecheck

import (
	"errors"
	"strings"
	"testing"

	"limpethub/internal/site"
	"limpethub/internal/strictjson"
)

const (
	base    = "../../examples/rigline/base.json"
	overlay = "../../examples/rigline/pnw.json"
)

func TestExamples(t *testing.T) {
	for _, files := range [][2]string{
		{base, overlay},
		{"../../examples/tichy-vers/base.json", "../../examples/tichy-vers/bratislava.json"},
	} {
		doc, err := Load(files[0], files[1])
		if err != nil {
			t.Errorf("Load(%q): %v", files, err)
			continue
		}
		if err := Verify(&doc); err != nil {
			t.Errorf("Verify of the document of %q: %v", files, err)
		}
	}
}

// TestModelsFitAloneButNotTogether guards against a check that compares only the largest
// model with the largest engine, and the sum of the models with the sum of the memory. Three
// models of 6 MiB and two engines of 10 MiB pass both comparisons, but each engine has room
// for only one model.
func TestModelsFitAloneButNotTogether(t *testing.T) {
	text := `{
  "site": "s", "failure_domains": ["a"],
  "classes": [{ "name": "c", "timeout_ms": 1, "weight": 1, "queue_limit": 1 }],
  "models": [
    { "name": "x", "version": "1", "default": true, "memory_mb": 6, "class": "c" },
    { "name": "y", "version": "1", "default": true, "memory_mb": 6, "class": "c" },
    { "name": "z", "version": "1", "default": true, "memory_mb": 6, "class": "c" },
  ],
  "servers": [
    { "name": "e1", "kind": "engine", "address": "10.0.0.1:1", "failure_domain": "a", "accelerators": 1, "memory_mb": 10 },
    { "name": "e2", "kind": "engine", "address": "10.0.0.2:1", "failure_domain": "a", "accelerators": 1, "memory_mb": 10 },
  ],
  "budgets": { "loads_per_second": 1, "concurrent_loads": 1, "load_ms": 1, "store_calls_per_second": 1 },
}`
	_, err := site.Parse(site.File{Name: "f", Data: []byte(text)}, site.File{}, checkPlacement)
	var problems strictjson.Problems
	if !errors.As(err, &problems) || len(problems) != 1 {
		t.Fatalf("got %v, want one problem", err)
	}
	p := problems[0]
	if p.File != "f" || p.Line != 7 || p.Path != "models[z@1].memory_mb" || !strings.Contains(p.Message, "6 MiB") {
		t.Errorf("got %s, want a problem of models[z@1].memory_mb on line 7 of f", p)
	}
	if _, err := site.Parse(site.File{Name: "f", Data: []byte(text)}, site.File{}); err != nil {
		t.Errorf("site.Parse without the planner's check failed: %v", err)
	}
}

// TestSumIsTooLarge guards against a message without the numbers that an operator needs
// when one copy of everything takes more memory than the engines have.
func TestSumIsTooLarge(t *testing.T) {
	doc, err := site.Load(base, overlay)
	if err != nil {
		t.Fatal(err)
	}
	for i := range doc.Models {
		doc.Models[i].MemoryMB += 10_000
	}
	err = Verify(&doc)
	const want = "models: one copy of each of 26 models with their adapters takes 677690 MiB, the 12 engine servers have 589824 MiB (add memory, or remove models from the configuration; the largest are appraisal@3 with 36400 MiB, appraisal@2 with 36000 MiB, condition-report@8 with 35000 MiB)"
	if err == nil || err.Error() != want {
		t.Errorf("got  %v\nwant %s", err, want)
	}
}
