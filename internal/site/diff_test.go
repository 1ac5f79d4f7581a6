package site

import (
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

func mustLoad(t *testing.T, overlay string) Document {
	t.Helper()
	doc, err := Load(goodBase, overlay)
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

func TestDiff(t *testing.T) {
	before, after := mustLoad(t, ""), mustLoad(t, "testdata/good/overlay.json")
	after.FailureDomains = []string{"b", "a"}
	changes, err := Diff(&before, &after)
	if err != nil {
		t.Fatal(err)
	}
	lines := make([]string, len(changes))
	for i, c := range changes {
		lines[i] = c.String()
	}
	goldie.New(t, goldie.WithFixtureDir("testdata/good")).Assert(t, "diff", []byte(strings.Join(lines, "\n")+"\n"))
}

func TestDiffIgnoresOrderOfModelsAndServers(t *testing.T) {
	before, after := mustLoad(t, ""), mustLoad(t, "")
	slices.Reverse(after.Models)
	slices.Reverse(after.Servers)
	changes, err := Diff(&before, &after)
	if err != nil || len(changes) != 0 {
		t.Errorf("models and servers in another order: got %v, %v, want no changes", changes, err)
	}
	slices.Reverse(after.Classes)
	changes, err = Diff(&before, &after)
	if err != nil || len(changes) != 1 || changes[0].Field != fieldOrder {
		t.Errorf("classes in another order: got %v, %v, want one change of the order", changes, err)
	}
}
