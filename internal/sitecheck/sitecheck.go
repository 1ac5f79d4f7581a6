// Package sitecheck checks a site's configuration with all that the product knows: the
// checks of package site, and whether the planner can place one copy of everything.
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

// Load is site.Load with all checks.
func Load(base, overlay string) (site.Document, error) {
	return site.Load(base, overlay, checkFit)
}

// Verify is site.Verify with all checks.
func Verify(doc *site.Document) error {
	return site.Verify(doc, checkFit)
}

// checkFit asks the planner whether everything can be placed at once.
func checkFit(doc *site.Document) []site.Finding {
	err := placement.CheckFit(doc)
	if err == nil {
		return nil
	}
	var fit *placement.FitError
	if !errors.As(err, &fit) {
		return []site.Finding{{Path: "servers", Message: err.Error(), Mend: "see the message"}}
	}
	return []site.Finding{{
		Path:    pathOf(doc, fit.Ref),
		Message: fit.Reason,
		Mend:    "add memory, or take models out; the largest are " + largestModels(doc),
	}}
}

// largestModels names the largest models with their sizes.
func largestModels(doc *site.Document) string {
	const most = 3
	models := slices.Clone(doc.Models)
	slices.SortStableFunc(models, func(a, b site.Model) int { return cmp.Compare(b.MemoryMB, a.MemoryMB) })
	var out []string
	for _, m := range models[:min(most, len(models))] {
		out = append(out, fmt.Sprintf("%s with %d MiB", m.Ref(), m.MemoryMB))
	}
	return strings.Join(out, ", ")
}

// pathOf returns the field that holds the size of a version; the list of models if the
// sum of all is too large.
func pathOf(doc *site.Document, ref modelref.Ref) string {
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
