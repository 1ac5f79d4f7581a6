package quarantine

import (
	"slices"
	"time"
)

// State says how a request is to be treated.
type State uint8

// The states, in ascending strictness.
const (
	// Clear means that nothing speaks against the request.
	Clear State = iota
	// Suspect means that the request may go to one server at a time, where it costs little.
	Suspect
	// Undecided means that the request has to wait until Finding.Until, when it is known whether
	// other instances have proven its subjects.
	Undecided
	// Trial means that a quarantine is over: one instance may try one such request at a time.
	Trial
	// Quarantined means that no server gets the request before Finding.Until.
	Quarantined
)

var stateNames = [...]string{Clear: "clear", Suspect: "suspect", Undecided: "undecided", Trial: "trial", Quarantined: "quarantined"}

func (s State) String() string { return stateNames[s] }

// Finding is a conclusion about a request or a subject.
type Finding struct {
	State State
	// Subject is what the conclusion is about, and Crashes are how many crashes speak against it that
	// nothing else explains; both are empty for Clear.
	Subject Subject
	Crashes int
	// First and Last are the times of the first and the last of these crashes.
	First, Last time.Time
	// Until is the end of the state Undecided or Quarantined; zero otherwise.
	Until time.Time
}

// EndsAttempts reports whether the request may not go to a further server by the same attempt of its
// caller, because it has probably ended several.
func (f Finding) EndsAttempts() bool {
	return f.Subject.Kind == WholeRequest && (f.State > Suspect || f.Crashes >= crashesToSuspectRequest)
}

const (
	// crashesToQuarantine is how many crashes put a subject into quarantine that no answer has proven.
	crashesToQuarantine = 3
	// crashesIfProven is how many are needed if an answer proved the subject at any time before.
	crashesIfProven = 5
	// proofDelay is how long after the first crash other instances may take to tell that they have
	// proven the subject, and proofDelayIfProven how long a subject that was proven before has to prove
	// itself again.
	proofDelay         = 600 * time.Millisecond
	proofDelayIfProven = time.Second
	// reportDelay is how long after a crash other instances may take to tell what they had on the server.
	reportDelay = 250 * time.Millisecond
	// sameEvent is the time within which crashes count as one. Servers that lose power together end
	// together, whatever is on them.
	sameEvent = 20 * time.Millisecond
	// firstHold is how long the first quarantine of a part lasts, from the last crash on. Each further
	// crash doubles it, up to maxHold.
	firstHold = time.Minute
	maxHold   = 15 * time.Minute
	// crashesToSuspectRequest is how many crashes make a whole request suspected that no answer has
	// proven. After one, all others that were on the server would be.
	crashesToSuspectRequest = 2
)

// requestHolds are how long the quarantines of a whole request last, by how often it has been tried
// again. Each trial may crash a server, so that there are two of them, and then none as long as the
// crashes are remembered.
var requestHolds = [...]time.Duration{firstHold, maxHold, requestCrashMemory}

// Delays returns how long after a crash the state Undecided of its subjects may end.
func Delays() []time.Duration { return []time.Duration{reportDelay, proofDelay, proofDelayIfProven} }

// Find returns the strictest conclusion about a request with the given subjects.
//
// A crash speaks against a subject only if no culprit that the request doesn't have explains it. So
// subjects that happened to be on the same servers as one that crashes them aren't quarantined, and
// those that always come together with it only together with it.
func (e *Evidence) Find(now time.Time, subjects []Subject) Finding {
	var strictest Finding
	var own []int
	for _, subject := range subjects {
		if e.Crashes(subject) == 0 {
			continue
		}
		if own == nil {
			own = e.culprits().numbersOf(subjects)
		}
		// Of equal ones the last counts: parts at the start of prompts are in many of them.
		if f := e.findSubject(now, subject, own); f.State > Clear && f.State >= strictest.State {
			strictest = f
		}
	}
	return strictest
}

// List returns the findings about all subjects that are quarantined or on trial, in their order.
// Those that have only come together are all in the list.
func (e *Evidence) List(now time.Time) []Finding {
	var out []Finding
	c := e.culprits()
	for n, s := range c.subjects {
		if !s.found {
			continue
		}
		if f := e.findSubject(now, s.subject, c.companions(n)); f.State >= Trial {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b Finding) int { return a.Subject.compare(b.Subject) })
	return out
}

// findSubject returns the conclusion about one subject of a request, given the numbers of the subjects that
// the request has.
func (e *Evidence) findSubject(now time.Time, subject Subject, own []int) Finding {
	record, c := e.subjects[subject], e.culprits()
	state, crashes := c.state(subject), c.crashNumbers(record.crashes)
	against := c.unexplained(crashes, own, func(other *subjectState) bool {
		switch {
		case !other.found:
			return false
		case subject.Kind == PromptPart && other.subject.Kind == PromptPart:
			return true
		}
		return !state.alone && other.explainsAsWell(state.proven, len(crashes))
	})
	if needed, delay := record.needed(); state.found && c.isEnough(subject, crashes, against) {
		f := e.finding(subject, c.pick(against))
		if reported := f.Last.Add(reportDelay); now.Before(reported) && c.mayBeExplained(now, subject, against, own) {
			f.State, f.Until = Undecided, reported
			return f
		}
		return f.decide(now, delay, record.holdEnd(f, needed))
	}
	// A suspicion needs less: a culprit that has been on just the same crashes doesn't end it.
	if !state.proven {
		against = c.unexplained(crashes, own, func(other *subjectState) bool { return other.found && len(other.crashes) > len(crashes) })
	}
	f := e.finding(subject, c.pick(against))
	f.State = Suspect
	if record.isSuspect(subject.Kind, f.Crashes) {
		return f
	}
	// A whole request is also suspected if something else explains its crashes: it may crash servers too.
	all := e.finding(subject, record.crashes)
	if subject.Kind == WholeRequest && record.isSuspect(subject.Kind, all.Crashes) {
		all.State, all.Crashes = Suspect, f.Crashes
		return all
	}
	return Finding{}
}

// finding returns a finding without a state about the crashes of a subject.
func (e *Evidence) finding(s Subject, crashes []*Crash) Finding {
	f := Finding{Subject: s, Crashes: e.count(s, crashes)}
	if len(crashes) > 0 {
		f.First, f.Last = crashes[0].At, crashes[len(crashes)-1].At
	}
	return f
}

// needed returns how many crashes put a subject into quarantine, and how long after the first one.
func (r *record) needed() (crashes int, delay time.Duration) {
	if r.provenAt.IsZero() {
		return crashesToQuarantine, proofDelay
	}
	return crashesIfProven, proofDelayIfProven
}

// isSuspect reports whether a subject of the given kind is suspected, against which so many crashes
// speak.
func (r *record) isSuspect(kind Kind, crashes int) bool {
	switch {
	case !r.provenAt.IsZero():
		return crashes >= crashesToQuarantine
	case kind == WholeRequest:
		return crashes >= crashesToSuspectRequest
	}
	return crashes > 0
}

// holdEnd returns the end of the quarantine of a finding that needed so many crashes.
func (r *record) holdEnd(f Finding, needed int) time.Time {
	if f.Subject.Kind == PromptPart {
		hold := maxHold
		if doublings := min(f.Crashes-needed, 8); firstHold<<doublings < maxHold {
			hold = firstHold << doublings
		}
		return f.Last.Add(hold)
	}
	last := r.crashes[len(r.crashes)-1].At
	if last.Before(r.triedAt) {
		last = r.triedAt
	}
	return last.Add(requestHolds[min(r.trials, len(requestHolds)-1)])
}

// decide sets the state of a finding that has enough crashes, and whose quarantine would end at
// holdEnd.
func (f Finding) decide(now time.Time, delay time.Duration, holdEnd time.Time) Finding {
	if decided := f.First.Add(delay); now.Before(decided) {
		f.State, f.Until = Undecided, decided
		return f
	}
	f.State, f.Until = Quarantined, holdEnd
	if !now.Before(f.Until) {
		f.State, f.Until = Trial, time.Time{}
	}
	return f
}

// speaksAgainst reports whether a crash still counts against a subject on it.
func (e *Evidence) speaksAgainst(c *Crash, subject Subject) bool {
	r := e.subjects[subject]
	return r != nil && c.At.After(r.provenAt)
}

// count counts crashes of a subject. Those within sameEvent of the first of them count as one, unless
// each server that ended then had the same whole request on it: that has ended all of them, where it was
// sent to several servers at once.
func (e *Evidence) count(subject Subject, crashes []*Crash) int {
	n := 0
	for len(crashes) > 0 {
		first := crashes[0]
		together := 1
		for together < len(crashes) && crashes[together].At.Sub(first.At) <= sameEvent {
			together++
		}
		if together > 1 && subject.Kind == WholeRequest && !e.othersEndedAt(first.At, subject) {
			n += together
		} else {
			n++
		}
		crashes = crashes[together:]
	}
	return n
}

// othersEndedAt reports whether a server without the subject on it ended within sameEvent of a time.
func (e *Evidence) othersEndedAt(at time.Time, subject Subject) bool {
	for _, c := range e.crashes {
		if c.At.Sub(at).Abs() <= sameEvent && !slices.Contains(c.Subjects, subject) {
			return true
		}
	}
	return false
}
