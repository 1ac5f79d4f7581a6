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
	// Subject is what the conclusion is about, and Crashes are how many crashes speak against it; both
	// are empty for Clear.
	Subject Subject
	Crashes int
	// First and Last are the times of the first and the last of these crashes.
	First, Last time.Time
	// Until is the end of the state Undecided or Quarantined; zero otherwise.
	Until time.Time
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
	// sameEvent is the time within which crashes count as one. Servers that lose power together end
	// together, whatever is on them.
	sameEvent = 20 * time.Millisecond
	// firstHold is how long the first quarantine lasts, from the last crash on. Each further crash
	// doubles it, up to maxHold.
	firstHold = time.Minute
	maxHold   = 15 * time.Minute
)

// Delays returns how long after a crash the state Undecided of its subjects may end.
func Delays() []time.Duration { return []time.Duration{proofDelay, proofDelayIfProven} }

// Find returns the strictest conclusion about a request with the given subjects.
//
// A crash speaks against a subject only if no culprit that the request doesn't have explains it. So
// subjects that happened to be on the same servers as one that crashes them aren't quarantined, and
// those that always come together with it only together with it.
func (e *Evidence) Find(now time.Time, subjects []Subject) Finding {
	var strictest Finding
	for _, subject := range subjects {
		if e.support(subject) == 0 {
			continue
		}
		// Of equal ones the last counts: parts at the start of prompts are in many of them.
		if f := e.findSubject(now, subject, subjects); f.State > Clear && f.State >= strictest.State {
			strictest = f
		}
	}
	return strictest
}

// List returns the findings about all subjects that are quarantined or on trial, in their order.
// Those that have only come together are all in the list.
func (e *Evidence) List(now time.Time) []Finding {
	var out []Finding
	for subject := range e.culprits() {
		if f := e.findSubject(now, subject, companions(subject, e.subjects[subject].crashes)); f.State >= Trial {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b Finding) int { return a.Subject.compare(b.Subject) })
	return out
}

// findSubject returns the conclusion about one subject of a request with the given subjects.
func (e *Evidence) findSubject(now time.Time, subject Subject, subjects []Subject) Finding {
	record := e.subjects[subject]
	culprits := e.culprits()
	against := e.unexplained(record.crashes, subjects, func(other Subject) bool { return culprits[other] })
	finding := Finding{Subject: subject, Crashes: events(against)}
	if len(against) > 0 {
		finding.First, finding.Last = against[0].At, against[len(against)-1].At
	}
	needed, delay := record.needed()
	if culprits[subject] && finding.Crashes >= needed {
		return finding.decide(now, delay, finding.Crashes-needed)
	}
	// A suspicion needs less: a culprit that has been on just the same crashes doesn't end it.
	if own := len(record.crashes); record.provenAt.IsZero() {
		against = e.unexplained(record.crashes, subjects, func(other Subject) bool { return culprits[other] && e.support(other) > own })
	}
	if !record.isSuspect(events(against)) {
		return Finding{}
	}
	return Finding{State: Suspect, Subject: subject, Crashes: events(against), First: against[0].At, Last: against[len(against)-1].At}
}

// needed returns how many crashes put a subject into quarantine, and how long after the first one.
func (r *record) needed() (crashes int, delay time.Duration) {
	if r.provenAt.IsZero() {
		return crashesToQuarantine, proofDelay
	}
	return crashesIfProven, proofDelayIfProven
}

// isSuspect reports whether a subject against which so many crashes speak is suspected.
func (r *record) isSuspect(crashes int) bool {
	if r.provenAt.IsZero() {
		return crashes > 0
	}
	return crashes >= crashesToQuarantine
}

// decide sets the state of a finding that has enough crashes, of which the given number is beyond
// those needed.
func (f Finding) decide(now time.Time, delay time.Duration, beyond int) Finding {
	if decided := f.First.Add(delay); now.Before(decided) {
		f.State, f.Until = Undecided, decided
		return f
	}
	hold := maxHold
	if doublings := min(beyond, 8); firstHold<<doublings < maxHold {
		hold = firstHold << doublings
	}
	f.State, f.Until = Quarantined, f.Last.Add(hold)
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

// events counts crashes, those within sameEvent of the first of them as one.
func events(crashes []*Crash) int {
	n := 0
	var first time.Time
	for _, c := range crashes {
		if n == 0 || c.At.Sub(first) > sameEvent {
			n++
			first = c.At
		}
	}
	return n
}
