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
func (e *Evidence) culprits() map[Subject]bool {
	if e.knownCulprits == nil {
		e.knownCulprits = e.findCulprits()
	}
	return e.knownCulprits
}

// findCulprits goes through the crashes in the order of their times.
func (e *Evidence) findCulprits() map[Subject]bool {
	culprits := map[Subject]bool{}
	against := map[Subject][]*Crash{}
	for _, c := range e.inOrder() {
		for _, subject := range c.Subjects {
			if e.speaksAgainst(c, subject) {
				against[subject] = append(against[subject], c)
			}
		}
		for _, subject := range c.Subjects {
			if !culprits[subject] && e.isCulprit(subject, against, culprits) {
				culprits[subject] = true
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

// isCulprit decides about a subject by the crashes so far, which against lists by subject.
func (e *Evidence) isCulprit(subject Subject, against map[Subject][]*Crash, culprits map[Subject]bool) bool {
	crashes := against[subject]
	if len(crashes) == 0 {
		return false
	}
	needed, _ := e.subjects[subject].needed()
	if len(crashes) < needed {
		return false
	}
	unexplained := e.unexplained(crashes, companions(subject, crashes), func(other Subject) bool {
		return culprits[other] || e.explainsAsWell(subject, len(crashes), other, len(against[other]))
	})
	return events(unexplained) >= needed
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

// companions returns a subject and those that were on all processes of the crashes too.
func companions(subject Subject, crashes []*Crash) []Subject {
	out := []Subject{subject}
	for _, other := range crashes[0].Subjects {
		isMissing := func(c *Crash) bool { return !slices.Contains(c.Subjects, other) }
		if other != subject && !slices.ContainsFunc(crashes, isMissing) {
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
