// Package sitecheck loads and verifies a site's configuration with all checks: those of
// package site, and whether the planner can place one copy of every model and adapter
// at the same time. Package site can't make the second check, because the planner depends
// on it.
package sitecheck

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"limpethub/internal/modelref"
	"limpethub/internal/placement"
	"limpethub/internal/site"
)

// Load is site.Load with the planner's check added.
func Load(base, overlay string) (site.Document, error) {
	return site.Load(base, overlay, checkPlacement)
}

// Verify is site.Verify with the planner's check added.
func Verify(doc *site.Document) error {
	return site.Verify(doc, checkPlacement)
}

// checkPlacement reports models and adapters that the planner can't place at the same time.
func checkPlacement(doc *site.Document) []site.Finding {
	err := placement.CheckFit(doc)
	if err == nil {
		return nil
	}
	var fitErr *placement.FitError
	// CheckFit is documented to return a *FitError. Any other error names no version, so it is
	// reported for the list of servers.
	if !errors.As(err, &fitErr) {
		return []site.Finding{{Path: "servers", Message: err.Error(), Correction: "correct the configuration as the message says"}}
	}
	return []site.Finding{{
		Path:       sizePath(doc, fitErr.Ref),
		Message:    fitErr.Reason,
		Correction: "add memory, or remove models from the configuration; the largest are " + largestModels(doc),
	}}
}

// largestModels lists the largest models with their sizes, for a message.
func largestModels(doc *site.Document) string {
	const maxNamed = 3
	models := slices.Clone(doc.Models)
	slices.SortStableFunc(models, func(a, b site.Model) int { return cmp.Compare(b.MemoryMB, a.MemoryMB) })
	var out []string
	for _, m := range models[:min(maxNamed, len(models))] {
		out = append(out, fmt.Sprintf("%s with %d MiB", m.Ref(), m.MemoryMB))
	}
	return strings.Join(out, ", ")
}

// sizePath returns the field that holds the size of a version. If ref is empty, which means
// that the sum of all sizes is too large, it returns the list of models.
func sizePath(doc *site.Document, ref modelref.Ref) string {
	for i, m := range doc.Models {
		if m.Ref() == ref {
			return fmt.Sprintf("models[%d].memory_mb", i)
		}
	}
	for i, a := range doc.Adapters {
		if a.Ref() == ref {
			return fmt.Sprintf("adapters[%d].memory_mb", i)
		}
	}
	return "models"
}
