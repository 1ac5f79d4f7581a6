package quarantine

import (
	"cmp"
	"slices"
)

// minCrashesToExplain is how many crashes a subject must have been on that explains those of a subject that
// was proven before.
const minCrashesToExplain = 2

// culprits returns the subjects that crash servers, as far as the evidence shows. A subject is one if at
// any time enough crashes spoke against it that nothing else explained as well: no culprit found
// before, and no subject against which as many crashes spoke by then. What is found later doesn't
// acquit it, only a proof does.
func (e *Evidence) culprits() map[Subject]culprit {
	if e.knownCulprits == nil {
		e.knownCulprits = e.findCulprits()
	}
	return e.knownCulprits
}

// culprit says how a subject was found.
type culprit struct {
	// found is true for a subject that is a culprit.
	found bool
	// alone is true if at any time nothing explained the crashes as well, not even subjects that had
	// come with it each time. A whole request that crashes servers too, and is found later or before,
	// then doesn't hide it.
	alone bool
}

// findCulprits goes through the crashes in the order of their times.
func (e *Evidence) findCulprits() map[Subject]culprit {
	culprits := map[Subject]culprit{}
	against := map[Subject][]*Crash{}
	for _, c := range e.inOrder() {
		for _, subject := range c.Subjects {
			if e.speaksAgainst(c, subject) {
				against[subject] = append(against[subject], c)
			}
		}
		for _, subject := range c.Subjects {
			known := culprits[subject]
			if known.found && known.alone {
				continue
			}
			crashes := against[subject]
			known.found = known.found || e.isCulprit(subject, companions(subject, crashes), against, culprits)
			known.alone = known.alone || e.isCulprit(subject, []Subject{subject}, against, culprits)
			if known.found {
				culprits[subject] = known
			}
		}
	}
	return culprits
}

// inOrder returns the crashes in the order of their times.
func (e *Evidence) inOrder() []*Crash {
	out := make([]*Crash, 0, len(e.crashes))
	for _, c := range e.crashes {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process, b.Process))
	})
	return out
}

// isCulprit decides about a subject by the crashes so far, which against lists by subject. The given
// subjects don't explain any.
func (e *Evidence) isCulprit(subject Subject, except []Subject, against map[Subject][]*Crash, culprits map[Subject]culprit) bool {
	crashes := against[subject]
	if len(crashes) == 0 {
		return false
	}
	needed, _ := e.subjects[subject].needed()
	if len(crashes) < needed {
		return false
	}
	unexplained := e.unexplained(crashes, except, func(other Subject) bool {
		return bothParts(subject, other) && culprits[other].found || e.explainsAsWell(subject, len(crashes), other, len(against[other]))
	})
	return e.isEnough(subject, crashes, unexplained)
}

func bothParts(a, b Subject) bool { return a.Kind == PromptPart && b.Kind == PromptPart }

// maxCountedExplained is how many crashes that another subject explains count against a whole request,
// all together as much as one that nothing explains. A request that comes again on servers that
// something else crashes at the same time would otherwise be found too late.
const maxCountedExplained = 2

// crashesWhateverExplains is how many crashes put a whole request into quarantine that no answer has
// proven, also if something else explains all of them. Two requests that crash servers and always come
// together explain each other's; a sound one is hardly on so many before its caller leaves.
const crashesWhateverExplains = 5

// isEnough reports whether crashes put a subject into quarantine, given those that nothing else
// explains.
func (e *Evidence) isEnough(subject Subject, crashes, unexplained []*Crash) bool {
	needed, _ := e.subjects[subject].needed()
	own := e.count(subject, unexplained)
	if subject.Kind == WholeRequest {
		all := e.count(subject, crashes)
		if all-own >= maxCountedExplained {
			own++
		}
		if all >= crashesWhateverExplains && e.ProvenAt(subject).IsZero() {
			return true
		}
	}
	return own >= needed
}

// explainsAsWell reports whether another subject explains the crashes of a subject as well as the subject
// itself, given how many crashes speak against each. A subject that no answer has proven explains them
// better than one that was proven before, however often that one was on servers that ended: while
// servers end one after the other, popular parts are on all of them.
func (e *Evidence) explainsAsWell(subject Subject, crashes int, other Subject, otherCrashes int) bool {
	isProven, otherIsProven := !e.ProvenAt(subject).IsZero(), !e.ProvenAt(other).IsZero()
	switch {
	case isProven && !otherIsProven:
		return otherCrashes >= minCrashesToExplain
	case !isProven && otherIsProven:
		return false
	}
	return otherCrashes >= crashes
}

// companions returns a subject and those that were on all processes of the crashes too. Another whole
// request is none of a whole request: they don't come together, so that the next crash tells which of
// them it is.
func companions(subject Subject, crashes []*Crash) []Subject {
	out := []Subject{subject}
	if len(crashes) < crashesToQuarantine {
		return out
	}
	for _, other := range crashes[0].Subjects {
		isMissing := func(c *Crash) bool { return !slices.Contains(c.Subjects, other) }
		if other != subject && (subject.Kind != WholeRequest || other.Kind != WholeRequest) && !slices.ContainsFunc(crashes, isMissing) {
			out = append(out, other)
		}
	}
	return out
}

// unexplained returns those of the crashes that no other subject explains: one that isn't among the
// given ones, against which the crash speaks, and for which explains is true.
func (e *Evidence) unexplained(crashes []*Crash, subjects []Subject, explains func(other Subject) bool) []*Crash {
	var out []*Crash
	for _, c := range crashes {
		isExplained := slices.ContainsFunc(c.Subjects, func(other Subject) bool {
			return explains(other) && !slices.Contains(subjects, other) && e.speaksAgainst(c, other)
		})
		if !isExplained {
			out = append(out, c)
		}
	}
	return out
}
