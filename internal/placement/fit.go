package placement

import (
	"fmt"
	"sort"
	"strings"

	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

// FitError says why the versions of a configuration can't all be placed: they don't fit
// into memory, or the base of an adapter isn't configured.
type FitError struct {
	// Ref is the version that can't be placed; empty when the total size is too large.
	Ref modelref.Ref
	// Reason gives the required and the available memory, or names the missing base.
	Reason string
}

func (e *FitError) Error() string {
	if e.Ref == "" {
		return "placement: " + e.Reason
	}
	return fmt.Sprintf("placement: %s can't be placed: %s", e.Ref, e.Reason)
}

// bundle is a model version with the adapters that extend it.
type bundle struct {
	model    site.Unit
	adapters []site.Unit
}

func (b bundle) memoryMB() int64 {
	totalMB := b.model.MemoryMB
	for _, a := range b.adapters {
		totalMB += a.MemoryMB
	}
	return totalMB
}

// bin is one server with the memory left on it, in MiB, as in bin packing.
type bin struct {
	name   string
	freeMB int64
}

// CheckFit checks that every configured version can have one resident copy at the same
// time, with each adapter on a server that also holds its base. It returns a *FitError
// if not. Best-fit packing is tried first, then worst-fit; since both are heuristics,
// it can refuse a configuration that a search of all packings would accept.
func CheckFit(doc *site.Document) error {
	bins := engineBins(doc)
	bundles, err := bundleUnits(doc)
	if err != nil {
		return err
	}
	if err := checkTotalMemory(bundles, bins); err != nil {
		return err
	}
	sort.SliceStable(bundles, func(i, j int) bool { return bundles[i].memoryMB() > bundles[j].memoryMB() })
	if err := pack(bundles, bins, bestFit); err == nil {
		return nil
	}
	return pack(bundles, engineBins(doc), worstFit)
}

func engineBins(doc *site.Document) []bin {
	var out []bin
	for _, s := range doc.Servers {
		if s.Kind == site.KindEngine {
			out = append(out, bin{name: s.Name, freeMB: s.MemoryMB})
		}
	}
	return out
}

func bundleUnits(doc *site.Document) ([]bundle, error) {
	var out []bundle
	modelIndex := map[modelref.Ref]int{}
	for _, u := range doc.Units() {
		if u.Base == "" {
			modelIndex[u.Ref] = len(out)
			out = append(out, bundle{model: u})
			continue
		}
		i, ok := modelIndex[u.Base]
		if !ok {
			return nil, &FitError{Ref: u.Ref, Reason: fmt.Sprintf("its base %s isn't configured", u.Base)}
		}
		out[i].adapters = append(out[i].adapters, u)
	}
	return out, nil
}

func checkTotalMemory(bundles []bundle, bins []bin) error {
	var neededMB, availableMB int64
	for _, b := range bundles {
		neededMB += b.memoryMB()
	}
	for _, b := range bins {
		availableMB += b.freeMB
	}
	if neededMB > availableMB {
		return &FitError{Reason: fmt.Sprintf(
			"one copy of each of %d models with their adapters takes %d MiB, the %d engine servers have %d MiB",
			len(bundles), neededMB, len(bins), availableMB)}
	}
	return nil
}

// binPreference reports whether bin a should be chosen over bin b.
type binPreference func(a, b bin) bool

func bestFit(a, b bin) bool  { return a.freeMB < b.freeMB }
func worstFit(a, b bin) bool { return a.freeMB > b.freeMB }

func pack(bundles []bundle, bins []bin, better binPreference) error {
	for _, item := range bundles {
		if i := chooseBin(bins, item.memoryMB(), better); i >= 0 {
			bins[i].freeMB -= item.memoryMB()
			continue
		}
		if err := splitBundle(item, bins); err != nil {
			return err
		}
	}
	return nil
}

func chooseBin(bins []bin, sizeMB int64, better binPreference) int {
	best := -1
	for i, b := range bins {
		if b.freeMB >= sizeMB && (best < 0 || better(b, bins[best])) {
			best = i
		}
	}
	return best
}

// splitBundle distributes a bundle's adapters over several copies of its model. The first
// pass places the model even if the bundle has no adapters.
func splitBundle(item bundle, bins []bin) error {
	unplaced := append([]site.Unit(nil), item.adapters...)
	for placed := false; !placed || len(unplaced) > 0; placed = true {
		neededMB := item.model.MemoryMB
		if len(unplaced) > 0 {
			neededMB += unplaced[0].MemoryMB
		}
		i := chooseBin(bins, neededMB, worstFit)
		if i < 0 {
			return noRoomError(item, unplaced, bins)
		}
		bins[i].freeMB -= item.model.MemoryMB
		for len(unplaced) > 0 && bins[i].freeMB >= unplaced[0].MemoryMB {
			bins[i].freeMB -= unplaced[0].MemoryMB
			unplaced = unplaced[1:]
		}
	}
	return nil
}

// maxListedBins is the number of servers that a FitError lists.
const maxListedBins = 5

func noRoomError(item bundle, unplaced []site.Unit, bins []bin) error {
	ref, neededMB := item.model.Ref, item.model.MemoryMB
	if len(unplaced) > 0 {
		ref, neededMB = unplaced[0].Ref, neededMB+unplaced[0].MemoryMB
	}
	sorted := append([]bin(nil), bins...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].freeMB > sorted[j].freeMB })
	var remaining []string
	for _, b := range sorted[:min(maxListedBins, len(sorted))] {
		remaining = append(remaining, fmt.Sprintf("%s %d MiB", b.name, b.freeMB))
	}
	return &FitError{Ref: ref, Reason: fmt.Sprintf(
		"it needs %d MiB on one server, an adapter together with its base; the most free memory left by the versions placed before it: %s",
		neededMB, strings.Join(remaining, ", "))}
}
