package soak

import "slices"

// Shrink looks for a shorter schedule that still fails, by leaving out parts that halve
// in size. It plays at most budget schedules; fails plays one and tells how it ended.
func Shrink(events []Event, budget int, fails func([]Event) bool) []Event {
	for part := (len(events) + 1) / 2; part >= 1 && budget > 0; {
		left := false
		for from := 0; from < len(events) && budget > 0; {
			shorter := slices.Delete(slices.Clone(events), from, min(from+part, len(events)))
			budget--
			if len(shorter) > 0 && fails(shorter) {
				events, left = shorter, true
				continue
			}
			from += part
		}
		switch {
		case part == 1 && !left:
			return events
		case part > 1:
			part = (part + 1) / 2
		}
	}
	return events
}
