package site

import (
	"fmt"
	"sort"
)

// checkFit proves that some models can't fit: one that is bigger than every engine,
// an adapter that fits on none beside its base, or all of them together. What passes
// may still fail the planner's own check, which knows its packing.
func checkFit(d *Document) []Finding {
	var largest, total int64
	engines := 0
	for _, s := range d.Servers {
		if s.Kind == KindEngine {
			if s.MemoryMB <= 0 {
				// Another check reports it; without its size nothing can be said.
				return nil
			}
			engines++
			largest = max(largest, s.MemoryMB)
			total += s.MemoryMB
		}
	}
	if engines == 0 {
		return checkNoEngine(d)
	}
	out := checkLargest(d, largest)
	return append(out, checkTotal(d, engines, total)...)
}

func checkNoEngine(d *Document) []Finding {
	if len(d.Models) == 0 {
		return nil
	}
	return []Finding{report("servers", "add a server of the kind engine", "there are %d models and no engine", len(d.Models))}
}

// checkLargest wants each version to fit on the largest engine.
func checkLargest(d *Document, largest int64) []Finding {
	var out []Finding
	sizes := map[string]int64{}
	for i, m := range d.Models {
		sizes[string(m.Ref())] = m.MemoryMB
		if m.MemoryMB > largest {
			out = append(out, report(fmt.Sprintf("models[%d].memory_mb", i), "use a smaller model or a larger engine",
				"%d MiB is more than the largest engine has, %d MiB", m.MemoryMB, largest))
		}
	}
	for i, a := range d.Adapters {
		base := sizes[string(a.Base)]
		if base <= largest && base+a.MemoryMB > largest {
			out = append(out, report(fmt.Sprintf("adapters[%d].memory_mb", i), "use a smaller adapter or a larger engine",
				"%d MiB beside its base of %d MiB is more than the largest engine has, %d MiB", a.MemoryMB, base, largest))
		}
	}
	return out
}

// checkTotal wants one copy of everything to fit in all engines together.
func checkTotal(d *Document, engines int, total int64) []Finding {
	var models, adapters int64
	for _, m := range d.Models {
		models += m.MemoryMB
	}
	for _, a := range d.Adapters {
		adapters += a.MemoryMB
	}
	if models+adapters <= total {
		return nil
	}
	return []Finding{report("models", fmt.Sprintf("take out %d MiB, or add engines; the largest are %s", models+adapters-total, largestModels(d)),
		"%d models of %d MiB and %d adapters of %d MiB need %d MiB, but %d engines have %d MiB",
		len(d.Models), models, len(d.Adapters), adapters, models+adapters, engines, total)}
}

// largestModels names the largest models with their sizes.
func largestModels(d *Document) string {
	const most = 3
	models := append([]Model(nil), d.Models...)
	sort.SliceStable(models, func(i, j int) bool { return models[i].MemoryMB > models[j].MemoryMB })
	text := ""
	for i, m := range models[:min(most, len(models))] {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s with %d MiB", m.Ref(), m.MemoryMB)
	}
	return text
}
