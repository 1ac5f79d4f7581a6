package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCrashesToExplain is how many crashes a subject must have been on that explains those of one that was
	// proven before.
	minCrashesToExplain = 2
	// maxCountedExplained is how many crashes that another subject explains count against a whole request, all
	// together as much as one that nothing explains. A request that comes again on servers that something else
	// crashes at the same time would otherwise be found too late.
	maxCountedExplained = 2
	// crashesWhateverExplains is how many crashes put a whole request into quarantine that no answer has
	// proven, also if something else explains all of them. Two requests that crash servers and always come
	// together explain each other's; a sound one is hardly on so many before its caller leaves.
	crashesWhateverExplains = 5
)

// culprits says which subjects crash servers, as far as the evidence shows. A subject is one if at any
// time enough crashes spoke against it that nothing else explained as well: no culprit found before, and
// no subject against which as many crashes spoke by then. What is found later doesn't acquit it, only a
// proof does.
//
// It works on numbers in place of subjects and crashes, since it is made anew with each new crash, also
// while many servers end. Only subjects that were on several crashes have one: others explain nothing, and
// nearly all whole requests are on one.
type culprits struct {
	evidence *Evidence
	// crashes are all crashes, in the order of their times, and numbers their places.
	crashes []*Crash
	numbers map[*Crash]int
	// relevant holds, for each crash, the numbers of the subjects with one against which it speaks.
	relevant [][]int
	// of holds the number of each subject, and subjects the subject with each number.
	of       map[Subject]int
	subjects []subjectState
	// seen is used by companions.
	seen []int
}

// subjectState is what is known of one subject with a number.
type subjectState struct {
	subject Subject
	proven  bool
	// crashes are those that speak against the subject, so far.
	crashes []int
	// found is true for a culprit. alone is true if at any time nothing explained the crashes as well, not
	// even subjects that had come with it each time: a whole request that crashes servers too, and is found
	// later or before, then doesn't hide it.
	found, alone bool
}

// culprits returns the culprits by the evidence as it is now.
func (e *Evidence) culprits() *culprits {
	if e.knownCulprits == nil {
		c := &culprits{evidence: e, numbers: map[*Crash]int{}, of: map[Subject]int{}}
		c.number()
		c.find()
		e.knownCulprits = c
	}
	return e.knownCulprits
}

// number gives numbers to the crashes and subjects.
func (c *culprits) number() {
	for _, crash := range c.evidence.crashes {
		c.crashes = append(c.crashes, crash)
	}
	slices.SortFunc(c.crashes, func(a, b *Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process, b.Process))
	})
	c.relevant = make([][]int, len(c.crashes))
	for n, crash := range c.crashes {
		c.numbers[crash] = n
		for _, s := range crash.Subjects {
			if c.evidence.Crashes(s) >= minCrashesToExplain && c.evidence.speaksAgainst(crash, s) {
				c.relevant[n] = append(c.relevant[n], c.numberOf(s))
			}
		}
	}
	c.seen = make([]int, len(c.subjects))
}

func (c *culprits) numberOf(s Subject) int {
	n, ok := c.of[s]
	if !ok {
		n = len(c.subjects)
		c.of[s] = n
		c.subjects = append(c.subjects, subjectState{subject: s, proven: !c.evidence.ProvenAt(s).IsZero()})
	}
	return n
}

// find goes through the crashes in the order of their times.
func (c *culprits) find() {
	hasRequests := slices.ContainsFunc(c.subjects, func(s subjectState) bool { return s.subject.Kind == WholeRequest })
	for crash, relevant := range c.relevant {
		for _, n := range relevant {
			c.subjects[n].crashes = append(c.subjects[n].crashes, crash)
		}
		for _, n := range relevant {
			s := &c.subjects[n]
			if s.alone || len(s.crashes) < s.needed() {
				continue
			}
			s.found = s.found || c.isCulprit(n, c.companions(n))
			// Between parts of prompts, only whether they were found matters.
			s.alone = s.found && hasRequests && c.isCulprit(n, []int{n})
		}
	}
}

// needed returns how many crashes put the subject into quarantine.
func (s *subjectState) needed() int {
	if s.proven {
		return crashesIfProven
	}
	return crashesToQuarantine
}

// isCulprit decides about a subject by the crashes so far. The given subjects don't explain any.
func (c *culprits) isCulprit(n int, except []int) bool {
	s := &c.subjects[n]
	unexplained := c.unexplained(s.crashes, except, func(other *subjectState) bool {
		bothParts := s.subject.Kind == PromptPart && other.subject.Kind == PromptPart
		return bothParts && other.found || other.explainsAsWell(s.proven, len(s.crashes))
	})
	return c.isEnough(s.subject, s.crashes, unexplained)
}

// isEnough reports whether crashes put a subject into quarantine, given those that nothing else
// explains.
func (c *culprits) isEnough(s Subject, crashes, unexplained []int) bool {
	needed, _ := c.evidence.subjects[s].needed()
	own := c.evidence.count(s, c.pick(unexplained))
	if s.Kind == WholeRequest {
		all := c.evidence.count(s, c.pick(crashes))
		if all-own >= maxCountedExplained {
			own++
		}
		if all >= crashesWhateverExplains && c.evidence.ProvenAt(s).IsZero() {
			return true
		}
	}
	return own >= needed
}

// mayBeExplained reports whether another part, which the request doesn't have, explains the crashes that speak against a part of
// it as well if it was on the last of them too: another instance may have had the request with it, and hasn't told so yet.
func (c *culprits) mayBeExplained(now time.Time, s Subject, against, own []int) bool {
	if s.Kind != PromptPart {
		return false
	}
	state := c.state(s)
	recent := func(crash int) bool { return now.Sub(c.crashes[crash].At) < reportDelay }
	fresh := len(slices.DeleteFunc(slices.Clone(against), func(crash int) bool { return !recent(crash) }))
	told := slices.DeleteFunc(slices.Clone(against), recent)
	unexplained := c.unexplained(told, own, func(other *subjectState) bool {
		return other.subject.Kind == PromptPart && (state.proven || !other.proven) && len(other.crashes)+fresh >= len(state.crashes)
	})
	return len(unexplained) < len(told) && !c.isEnough(s, state.crashes, unexplained)
}

func (c *culprits) pick(numbers []int) []*Crash {
	out := make([]*Crash, len(numbers))
	for i, n := range numbers {
		out[i] = c.crashes[n]
	}
	return out
}

// explainsAsWell reports whether the subject explains the crashes of another one, of which the number and
// whether it was proven are given, as well as that one itself. A subject that no answer has proven
// explains them better than one that was proven before, however often that one was on servers that ended:
// while servers end one after the other, popular parts are on all of them.
func (s *subjectState) explainsAsWell(isProven bool, crashes int) bool {
	switch {
	case isProven && !s.proven:
		return len(s.crashes) >= minCrashesToExplain
	case !isProven && s.proven:
		return false
	}
	return len(s.crashes) >= crashes
}

// companions returns a subject and those that were on all of its crashes so far too. Another whole request
// is none of a whole request: they don't come together, so that the next crash tells which of them it is.
func (c *culprits) companions(n int) []int {
	s := &c.subjects[n]
	clear(c.seen)
	for _, crash := range s.crashes {
		for _, other := range c.relevant[crash] {
			c.seen[other]++
		}
	}
	out := []int{n}
	for other, times := range c.seen {
		bothRequests := s.subject.Kind == WholeRequest && c.subjects[other].subject.Kind == WholeRequest
		if other != n && times == len(s.crashes) && !bothRequests {
			out = append(out, other)
		}
	}
	return out
}

// unexplained returns those of the crashes that no other subject explains: one that isn't among the given
// ones, against which the crash speaks, and for which explains is true.
func (c *culprits) unexplained(crashes, except []int, explains func(other *subjectState) bool) []int {
	var out []int
	for _, crash := range crashes {
		isExplained := slices.ContainsFunc(c.relevant[crash], func(other int) bool {
			return explains(&c.subjects[other]) && !slices.Contains(except, other)
		})
		if !isExplained {
			out = append(out, crash)
		}
	}
	return out
}

// state returns what was found of a subject.
func (c *culprits) state(s Subject) subjectState {
	if n, ok := c.of[s]; ok {
		return c.subjects[n]
	}
	return subjectState{subject: s, proven: !c.evidence.ProvenAt(s).IsZero()}
}

// numbersOf returns the numbers of those subjects that have one.
func (c *culprits) numbersOf(subjects []Subject) []int {
	var out []int
	for _, s := range subjects {
		if n, ok := c.of[s]; ok {
			out = append(out, n)
		}
	}
	return out
}

// crashNumbers returns the numbers of crashes.
func (c *culprits) crashNumbers(crashes []*Crash) []int {
	out := make([]int, len(crashes))
	for i, crash := range crashes {
		out[i] = c.numbers[crash]
	}
	return out
}
