package site

import "fmt"

// checkFit requires that every model fits on some engine, and every adapter together with
// its base. Package sitecheck asks the planner whether everything fits at the same time.
func checkFit(d *Document) []Finding {
	var largest int64
	engines := 0
	for _, s := range d.Servers {
		if s.Kind == KindEngine {
			if s.MemoryMB <= 0 {
				// Another check reports the missing size; without it, nothing can be compared.
				return nil
			}
			engines++
			largest = max(largest, s.MemoryMB)
		}
	}
	if engines == 0 {
		return checkNoEngine(d)
	}
	return checkFitsLargest(d, largest)
}

func checkNoEngine(d *Document) []Finding {
	if len(d.Models) == 0 {
		return nil
	}
	return []Finding{newFinding("servers", "add a server of the kind engine", "there are %d models and no engine", len(d.Models))}
}

// checkFitsLargest requires every model version, and every adapter version together with its
// base, to fit on the largest engine.
func checkFitsLargest(d *Document, largest int64) []Finding {
	var out []Finding
	sizes := map[string]int64{}
	for i, m := range d.Models {
		sizes[string(m.Ref())] = m.MemoryMB
		if m.MemoryMB > largest {
			out = append(out, newFinding(fmt.Sprintf("models[%d].memory_mb", i), "use a smaller model or a larger engine",
				"%d MiB is more than the largest engine has, %d MiB", m.MemoryMB, largest))
		}
	}
	for i, a := range d.Adapters {
		base := sizes[string(a.Base)]
		// A base that is too large by itself is reported above, for the model.
		if base <= largest && base+a.MemoryMB > largest {
			out = append(out, newFinding(fmt.Sprintf("adapters[%d].memory_mb", i), "use a smaller adapter or a larger engine",
				"%d MiB beside its base of %d MiB is more than the largest engine has, %d MiB", a.MemoryMB, base, largest))
		}
	}
	return out
}
