package soak

import "slices"

// Shrink looks for a shorter schedule that still fails. It removes parts of the schedule, first
// halves and then ever smaller parts, as long as the rest fails. It calls fails, which runs a
// schedule and reports whether it failed, at most budget times.
func Shrink(events []Event, budget int, fails func([]Event) bool) []Event {
	for partLength := (len(events) + 1) / 2; partLength >= 1 && budget > 0; {
		shortened := false
		for from := 0; from < len(events) && budget > 0; {
			shorter := slices.Delete(slices.Clone(events), from, min(from+partLength, len(events)))
			budget--
			if len(shorter) > 0 && fails(shorter) {
				events, shortened = shorter, true
				continue
			}
			from += partLength
		}
		switch {
		case partLength == 1 && !shortened:
			return events
		case partLength > 1:
			partLength = (partLength + 1) / 2
		}
	}
	return events
}
