package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Promise names what a judge checks.
type Promise string

// Promises of the platform's pages, and of this project's.
const (
	WholeAnswers  Promise = "answers are whole and the caller's own"
	RefusedNotRun Promise = "what is refused has not run"
	AtMostOnce    Promise = "non-idempotent requests run at most once"
	StreamOrder   Promise = "streams come in order, each event once"
	Room          Promise = "no server's memory or places are overcommitted"
	OneOrderer    Promise = "one instance at a time gives orders"
	Leaving       Promise = "a leaving server gets nothing new"
	PlannedStop   Promise = "a planned stop cuts nothing and ends in time"
	InForce       Promise = "a configuration is in force in time"
	NeverBack     Promise = "a configuration never goes back"
	Repeats       Promise = "repeats stay within their budget"
	Recovery      Promise = "all is served again after the last fault"
	StaysUp       Promise = "no process ends by itself"
)

// Violation is a promise that was broken.
type Violation struct {
	Promise Promise       `json:"promise"`
	At      time.Duration `json:"at"`
	What    string        `json:"what"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: broken at %s: %s", v.Promise, v.At, v.What)
}

// Limits are the bounds that the promises name.
type Limits struct {
	// MemoryMB and AdapterSlots are those of each engine; SizeMB is that of a model, and an
	// adapter takes 1.
	MemoryMB, SizeMB, AdapterSlots int
	// OrderLag is how long an order of an earlier holder may still be on its way.
	OrderLag time.Duration
	// LeaveLag is how long after its announcement a leaving server may get requests, and
	// InForceLag how long a configuration takes.
	LeaveLag, InForceLag time.Duration
	// StopTime bounds a planned stop.
	StopTime time.Duration
	// RepeatRatio times the requests within RepeatWindow, and RepeatSlack besides, may be
	// sent again.
	RepeatRatio  float64
	RepeatSlack  int
	RepeatWindow time.Duration
}

// Judge checks promises from what callers and servers saw. All times count from the
// start of the load. It is safe for concurrent use.
type Judge struct {
	limits Limits

	mu         sync.Mutex
	violations []Violation
	faults     []Event

	// ran lists when each request began to run, and unsafe which of them run at most once.
	ran     map[string][]time.Duration
	unsafe  map[string]bool
	refused map[string]Request
	// arrivals counts how often servers got each request; again and asked hold, oldest
	// first, when one came again and when a caller asked.
	arrivals map[string]int
	again    []time.Duration
	asked    []time.Duration

	// fences holds who ordered under each fence, and when it first did.
	fences  map[uint64]holder
	highest uint64

	leaving map[string]time.Duration
	written []version
	inForce map[process][]sighting
	stops   map[process]stop
	starts  map[process]time.Duration
}

type holder struct {
	name  string
	since time.Duration
}

// version is a configuration that the operators wrote.
type version struct {
	number int
	at     time.Duration
}

// process is one start of an instance.
type process struct{ instance, start int }

// sighting is a configuration that was seen in force.
type sighting struct {
	version int
	until   time.Duration
}

// stop is a planned stop of a process.
type stop struct{ asked, ended time.Duration }

// NewJudge makes a judge of a run with some faults.
func NewJudge(limits Limits, faults []Event) *Judge {
	return &Judge{
		limits: limits, faults: faults,
		ran: map[string][]time.Duration{}, unsafe: map[string]bool{}, refused: map[string]Request{},
		arrivals: map[string]int{}, fences: map[uint64]holder{}, leaving: map[string]time.Duration{},
		inForce: map[process][]sighting{}, stops: map[process]stop{}, starts: map[process]time.Duration{},
	}
}

// shift tells when the schedule begins: events count from there.
func (j *Judge) shift(begin time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	shifted := make([]Event, len(j.faults))
	for n, e := range j.faults {
		e.At += begin
		shifted[n] = e
	}
	j.faults = shifted
}

// Violations are the promises broken so far.
func (j *Judge) Violations() []Violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Violation(nil), j.violations...)
}

// Broken notes a violation that somebody else found.
func (j *Judge) Broken(p Promise, at time.Duration, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.broken(p, at, format, args...)
}

// mostViolations bounds what is kept of one promise: the first ones tell the cause.
const mostViolations = 20

func (j *Judge) broken(p Promise, at time.Duration, format string, args ...any) {
	n := 0
	for _, v := range j.violations {
		if v.Promise == p {
			n++
		}
	}
	if n < mostViolations {
		j.violations = append(j.violations, Violation{Promise: p, At: at, What: fmt.Sprintf(format, args...)})
	}
}

// aftermath is how long after a fault its effects excuse what depends on timing: a paused
// or new process catches up, connections are found dead.
const aftermath = 4 * time.Second

// calmSince is when the last fault that matches and began before a moment was over, with
// its aftermath.
func (j *Judge) calmSince(by time.Duration, matches func(Event) bool) (calm time.Duration) {
	for _, e := range j.faults {
		if e.At < by && matches(e) {
			calm = max(calm, e.At+e.For+aftermath)
		}
	}
	return calm
}

// interrupts matches what pauses or kills an instance.
func interrupts(instance int) func(Event) bool {
	return func(e Event) bool {
		return (e.Kind == PauseInstance || e.Kind == KillInstance) && e.Target == instance
	}
}

// hits matches faults on some scopes.
func hits(scopes ...scope) func(Event) bool {
	return func(e Event) bool { return slices.Contains(scopes, scopeOf(e.Kind)) }
}
