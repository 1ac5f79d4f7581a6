package placement

import (
	"fmt"
	"sort"
	"strings"

	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

// FitError says why a configuration can't be placed, with the arithmetic.
type FitError struct {
	// Ref is the version that found no place; empty when the sum is too large.
	Ref modelref.Ref
	// Reason holds the arithmetic.
	Reason string
}

// Error implements error.
func (e *FitError) Error() string {
	if e.Ref == "" {
		return "placement: " + e.Reason
	}
	return fmt.Sprintf("placement: %s can't be placed: %s", e.Ref, e.Reason)
}

// bundle is a model version with its adapters.
type bundle struct {
	model    site.Unit
	adapters []site.Unit
}

func (u bundle) size() int64 {
	total := u.model.MemoryMB
	for _, a := range u.adapters {
		total += a.MemoryMB
	}
	return total
}

// bin is one server with the memory left on it, in MiB.
type bin struct {
	name string
	free int64
}

// CheckFit reports whether every version can have one resident copy at once. An
// adapter needs its base on the same server.
func CheckFit(doc *site.Document) error {
	bins := engineBins(doc)
	bundles, err := bundlesOf(doc)
	if err != nil {
		return err
	}
	if err := checkSum(bundles, bins); err != nil {
		return err
	}
	sort.SliceStable(bundles, func(i, j int) bool { return bundles[i].size() > bundles[j].size() })
	if err := pack(bundles, bins, bestFit); err == nil {
		return nil
	}
	return pack(bundles, engineBins(doc), worstFit)
}

func engineBins(doc *site.Document) []bin {
	var out []bin
	for _, s := range doc.Servers {
		if s.Kind == site.KindEngine {
			out = append(out, bin{name: s.Name, free: s.MemoryMB})
		}
	}
	return out
}

func bundlesOf(doc *site.Document) ([]bundle, error) {
	var out []bundle
	at := map[modelref.Ref]int{}
	for _, u := range doc.Units() {
		if u.Base == "" {
			at[u.Ref] = len(out)
			out = append(out, bundle{model: u})
			continue
		}
		i, ok := at[u.Base]
		if !ok {
			return nil, &FitError{Ref: u.Ref, Reason: fmt.Sprintf("its base %s isn't configured", u.Base)}
		}
		out[i].adapters = append(out[i].adapters, u)
	}
	return out, nil
}

func checkSum(bundles []bundle, bins []bin) error {
	var need, have int64
	for _, b := range bundles {
		need += b.size()
	}
	for _, b := range bins {
		have += b.free
	}
	if need > have {
		return &FitError{Reason: fmt.Sprintf(
			"one copy of each of %d models with their adapters takes %d MiB, the %d engine servers have %d MiB",
			len(bundles), need, len(bins), have)}
	}
	return nil
}

// fitRule reports whether bin a is a better place than bin b.
type fitRule func(a, b bin) bool

func bestFit(a, b bin) bool  { return a.free < b.free }
func worstFit(a, b bin) bool { return a.free > b.free }

func pack(bundles []bundle, bins []bin, better fitRule) error {
	for _, u := range bundles {
		if i := choose(bins, u.size(), better); i >= 0 {
			bins[i].free -= u.size()
			continue
		}
		if err := split(u, bins); err != nil {
			return err
		}
	}
	return nil
}

func choose(bins []bin, size int64, better fitRule) int {
	best := -1
	for i, b := range bins {
		if b.free >= size && (best < 0 || better(b, bins[best])) {
			best = i
		}
	}
	return best
}

// split spreads a bundle's adapters over several copies of its model.
func split(u bundle, bins []bin) error {
	rest := append([]site.Unit(nil), u.adapters...)
	for placed := false; !placed || len(rest) > 0; placed = true {
		need := u.model.MemoryMB
		if len(rest) > 0 {
			need += rest[0].MemoryMB
		}
		i := choose(bins, need, worstFit)
		if i < 0 {
			return noRoom(u, rest, bins)
		}
		bins[i].free -= u.model.MemoryMB
		for len(rest) > 0 && bins[i].free >= rest[0].MemoryMB {
			bins[i].free -= rest[0].MemoryMB
			rest = rest[1:]
		}
	}
	return nil
}

// listedBins is how many servers an error lists.
const listedBins = 5

func noRoom(u bundle, rest []site.Unit, bins []bin) error {
	ref, need := u.model.Ref, u.model.MemoryMB
	if len(rest) > 0 {
		ref, need = rest[0].Ref, need+rest[0].MemoryMB
	}
	sorted := append([]bin(nil), bins...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].free > sorted[j].free })
	var left []string
	for _, b := range sorted[:min(listedBins, len(sorted))] {
		left = append(left, fmt.Sprintf("%s %d MiB", b.name, b.free))
	}
	return &FitError{Ref: ref, Reason: fmt.Sprintf(
		"it needs %d MiB on one server with its base; after the larger ones are placed the most room is left on: %s",
		need, strings.Join(left, ", "))}
}
