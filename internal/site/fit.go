package site

import "fmt"

// checkFit lists what can't fit by itself: models that are bigger than every engine, and
// adapters that fit on none beside their base. Whether everything fits together is for
// the planner; see package sitecheck.
func checkFit(d *Document) []Finding {
	var largest int64
	engines := 0
	for _, s := range d.Servers {
		if s.Kind == KindEngine {
			if s.MemoryMB <= 0 {
				// Another check reports it; without its size nothing can be said.
				return nil
			}
			engines++
			largest = max(largest, s.MemoryMB)
		}
	}
	if engines == 0 {
		return checkNoEngine(d)
	}
	return checkLargest(d, largest)
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
