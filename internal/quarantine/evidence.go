// Package quarantine decides which parts of prompts, and which whole requests, crash backend servers,
// so that they can be kept away from servers. It draws its conclusions from evidence that all
// instances share: which subjects were on a server process when it ended, and which ones an answer has
// proven not to crash servers. The same evidence gives the same conclusion on each instance.
//
// It has no goroutine, clock or socket: its caller passes the time and the evidence.
package quarantine

import (
	"slices"
	"time"
)

// Crash is a server process that ended while requests with the given subjects were on it and no answer
// had proven them yet.
type Crash struct {
	// Process identifies the process. All instances give the same process the same number.
	Process  uint64
	At       time.Time
	Subjects []Subject
}

const (
	// crashMemory is how long a crash counts. It is longer than maxHold, so that a subject which is
	// tried again after a hold is still known.
	crashMemory = 30 * time.Minute
	// proofMemory is how long a proof counts for a subject without crashes.
	proofMemory = 2 * time.Minute
	// maxCrashes and maxSubjectsPerCrash limit the memory.
	maxCrashes          = 512
	maxSubjectsPerCrash = MaxSubjects
	// maxSubjects limits how many subjects without crashes are remembered as proven.
	maxSubjects = 8192
)

// MaxSubjects limits the subjects of a Crash.
const MaxSubjects = 64

// Evidence holds what is known of crashes and proofs. It isn't safe for concurrent use.
type Evidence struct {
	crashes  map[uint64]*Crash
	subjects map[Subject]*record
	// knownCulprits is the result of culprits; nil if the evidence has changed since.
	knownCulprits map[Subject]bool
}

// record is what is known of one subject.
type record struct {
	// crashes are those after provenAt, in the order of their times.
	crashes []*Crash
	// provenAt is when an answer last proved the subject; zero if none has.
	provenAt time.Time
}

// NewEvidence returns an Evidence without any.
func NewEvidence() *Evidence {
	return &Evidence{crashes: map[uint64]*Crash{}, subjects: map[Subject]*record{}}
}

// AddCrash adds a crash, or the subjects that other instances had on the same process. It returns all
// that is known of the crash, and whether anything of it is new.
func (e *Evidence) AddCrash(now time.Time, c Crash) (Crash, bool) {
	if now.Sub(c.At) > crashMemory {
		return c, false
	}
	known := e.crashes[c.Process]
	if known == nil {
		e.makeRoom(now)
		known = &Crash{Process: c.Process, At: c.At}
		e.crashes[c.Process] = known
	}
	changed := false
	for _, subject := range c.Subjects {
		if slices.Contains(known.Subjects, subject) || !e.makeRoomFor(known, subject) {
			continue
		}
		known.Subjects = append(known.Subjects, subject)
		e.record(subject).add(known)
		changed = true
	}
	if changed {
		e.knownCulprits = nil
	}
	return *known, changed
}

// makeRoomFor reports whether a crash has room for another subject. A proven subject gives way to one that
// isn't.
func (e *Evidence) makeRoomFor(c *Crash, subject Subject) bool {
	if len(c.Subjects) < maxSubjectsPerCrash {
		return true
	}
	if !e.ProvenAt(subject).IsZero() {
		return false
	}
	for i, other := range c.Subjects {
		if !e.ProvenAt(other).IsZero() {
			c.Subjects = slices.Delete(c.Subjects, i, i+1)
			e.subjects[other].remove(c)
			return true
		}
	}
	return false
}

func (e *Evidence) record(subject Subject) *record {
	r := e.subjects[subject]
	if r == nil {
		r = &record{}
		e.subjects[subject] = r
	}
	return r
}

func (r *record) add(c *Crash) {
	if !c.At.After(r.provenAt) {
		return
	}
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, func(a, b *Crash) int { return a.At.Compare(b.At) })
}

func (r *record) remove(c *Crash) {
	r.crashes = slices.DeleteFunc(r.crashes, func(other *Crash) bool { return other == c })
}

// AddProof records that an answer to a prompt with the subject went well at the given time. It
// reports whether that says something new about crashes, so that other instances should know it.
func (e *Evidence) AddProof(now time.Time, subject Subject, at time.Time) bool {
	if at.After(now) {
		at = now
	}
	r := e.subjects[subject]
	if r == nil && len(e.subjects) >= maxSubjects {
		return false
	}
	r = e.record(subject)
	if !at.After(r.provenAt) {
		return false
	}
	isFirst := r.provenAt.IsZero()
	r.provenAt = at
	if len(r.crashes) > 0 {
		e.knownCulprits = nil
	}
	before := len(r.crashes)
	r.crashes = slices.DeleteFunc(r.crashes, func(c *Crash) bool { return !c.At.After(at) })
	return len(r.crashes) < before || isFirst && before > 0
}

// ProvenAt returns when an answer last proved a subject; zero if none has, or if that was forgotten.
func (e *Evidence) ProvenAt(subject Subject) time.Time {
	if r := e.subjects[subject]; r != nil {
		return r.provenAt
	}
	return time.Time{}
}

// Crashes returns the known crashes.
func (e *Evidence) Crashes() []Crash {
	out := make([]Crash, 0, len(e.crashes))
	for _, c := range e.crashes {
		out = append(out, *c)
	}
	return out
}

// Forget drops what no longer counts.
func (e *Evidence) Forget(now time.Time) {
	for _, c := range e.crashes {
		if now.Sub(c.At) > crashMemory {
			e.dropCrash(c)
		}
	}
	for subject, r := range e.subjects {
		if len(r.crashes) == 0 && now.Sub(r.provenAt) > proofMemory {
			delete(e.subjects, subject)
		}
	}
}

// makeRoom drops old evidence while there is no room for another crash. Crashes that a quarantine
// may rest on are dropped last.
func (e *Evidence) makeRoom(now time.Time) {
	if len(e.crashes) < maxCrashes {
		return
	}
	e.Forget(now)
	var oldest *Crash
	for _, c := range e.crashes {
		if oldest == nil || e.goesBefore(c, oldest) {
			oldest = c
		}
	}
	if len(e.crashes) >= maxCrashes {
		e.dropCrash(oldest)
	}
}

// goesBefore reports whether crash a is dropped before b.
func (e *Evidence) goesBefore(a, b *Crash) bool {
	if keepA, keepB := e.mayQuarantine(a), e.mayQuarantine(b); keepA != keepB {
		return keepB
	}
	return a.At.Before(b.At)
}

func (e *Evidence) mayQuarantine(c *Crash) bool {
	return slices.ContainsFunc(c.Subjects, func(p Subject) bool { return e.support(p) >= crashesToQuarantine })
}

func (e *Evidence) dropCrash(c *Crash) {
	delete(e.crashes, c.Process)
	e.knownCulprits = nil
	for _, subject := range c.Subjects {
		r := e.subjects[subject]
		if r == nil {
			continue
		}
		r.remove(c)
		if len(r.crashes) == 0 && r.provenAt.IsZero() {
			delete(e.subjects, subject)
		}
	}
}

// support returns how many crashes speak against a subject.
func (e *Evidence) support(subject Subject) int {
	if r := e.subjects[subject]; r != nil {
		return len(r.crashes)
	}
	return 0
}
