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
	// crashMemory is how long a crash counts against parts of prompts. It is longer than maxHold, so
	// that a part which is tried again after a hold is still known.
	crashMemory = 30 * time.Minute
	// requestCrashMemory is how long it counts against whole requests. It is longer, because a request
	// may come again for as long as its caller likes, and hardly changes meanwhile.
	requestCrashMemory = 24 * time.Hour
	// proofMemory is how long a proof counts for a subject without crashes.
	proofMemory = 2 * time.Minute
	// maxCrashes limits the memory.
	maxCrashes = 512
	// maxParts and maxRequests limit how many subjects without crashes are remembered as proven. Nearly
	// each request is another one, so that only the last ones are.
	maxParts    = 8192
	maxRequests = 4096
)

// MaxSubjects limits the subjects of each kind of a Crash.
const MaxSubjects = 64

// memoryOf returns how long a crash counts against a subject.
func memoryOf(s Subject) time.Duration {
	if s.Kind == WholeRequest {
		return requestCrashMemory
	}
	return crashMemory
}

// Evidence holds what is known of crashes and proofs. It isn't safe for concurrent use.
type Evidence struct {
	crashes  map[uint64]*Crash
	subjects map[Subject]*record
	// knownCulprits is the result of culprits; nil if the evidence has changed since.
	knownCulprits *culprits
	// proven holds the last proofs of whole requests, the oldest first.
	proven []provenRequest
}

// provenRequest is a proof of a whole request.
type provenRequest struct {
	subject Subject
	at      time.Time
}

// record is what is known of one subject.
type record struct {
	// crashes are those after provenAt, in the order of their times.
	crashes []*Crash
	// provenAt is when an answer last proved the subject; zero if none has.
	provenAt time.Time
	// trials is how often the subject was tried again after a quarantine, and triedAt when last.
	trials  int
	triedAt time.Time
}

// NewEvidence returns an Evidence without any.
func NewEvidence() *Evidence {
	return &Evidence{crashes: map[uint64]*Crash{}, subjects: map[Subject]*record{}}
}

// AddCrash adds a crash, or the subjects that other instances had on the same process. It returns all
// that is known of the crash, and whether anything of it is new.
func (e *Evidence) AddCrash(now time.Time, c Crash) (Crash, bool) {
	c.Subjects = slices.DeleteFunc(slices.Clone(c.Subjects), func(s Subject) bool { return now.Sub(c.At) > memoryOf(s) })
	if len(c.Subjects) == 0 {
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

// makeRoomFor reports whether a crash has room for another subject. One that matters less gives way.
func (e *Evidence) makeRoomFor(c *Crash, subject Subject) bool {
	ofKind := 0
	for _, other := range c.Subjects {
		if other.Kind == subject.Kind {
			ofKind++
		}
	}
	if ofKind < MaxSubjects {
		return true
	}
	for i, other := range c.Subjects {
		if other.Kind == subject.Kind && e.mattersMore(subject, other) {
			c.Subjects = slices.Delete(c.Subjects, i, i+1)
			e.subjects[other].remove(c)
			e.dropIfEmpty(other)
			return true
		}
	}
	return false
}

// mattersMore reports whether a subject that isn't on a crash yet matters more than another one on it:
// it isn't proven but the other one is, or other crashes speak against it, but none against the other
// one.
func (e *Evidence) mattersMore(subject, other Subject) bool {
	if isProven := !e.ProvenAt(subject).IsZero(); isProven != !e.ProvenAt(other).IsZero() {
		return !isProven
	}
	return subject.Kind == WholeRequest && e.Crashes(subject) > 0 && e.Crashes(other) <= 1
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
	if subject.Kind == PromptPart && e.subjects[subject] == nil && len(e.subjects) >= maxParts+maxRequests {
		return false
	}
	r := e.record(subject)
	if !at.After(r.provenAt) {
		return false
	}
	isFirst := r.provenAt.IsZero()
	r.provenAt, r.trials = at, 0
	if subject.Kind == WholeRequest {
		e.rememberProof(subject, at)
	}
	if len(r.crashes) > 0 {
		e.knownCulprits = nil
	}
	before := len(r.crashes)
	r.crashes = slices.DeleteFunc(r.crashes, func(c *Crash) bool { return !c.At.After(at) })
	return len(r.crashes) < before || isFirst && before > 0
}

// rememberProof forgets the oldest proofs of whole requests, so that there is room for another one.
func (e *Evidence) rememberProof(subject Subject, at time.Time) {
	e.proven = append(e.proven, provenRequest{subject: subject, at: at})
	for len(e.proven) > maxRequests {
		oldest := e.proven[0]
		e.proven = e.proven[1:]
		// One that was proven again since stands further behind, too.
		if r := e.subjects[oldest.subject]; r != nil && len(r.crashes) == 0 && r.trials == 0 && r.provenAt.Equal(oldest.at) {
			delete(e.subjects, oldest.subject)
		}
	}
}

// AddTrial records that a subject was tried again after a quarantine, for the given number of times in
// all. It reports whether that is new. The crashes may become known only later.
func (e *Evidence) AddTrial(subject Subject, trials int, at time.Time) bool {
	r := e.record(subject)
	if trials < r.trials || !at.After(r.triedAt) || !at.After(r.provenAt) {
		return false
	}
	r.trials, r.triedAt = trials, at
	return true
}

// Trials returns how often a subject was tried again.
func (e *Evidence) Trials(subject Subject) int {
	if r := e.subjects[subject]; r != nil {
		return r.trials
	}
	return 0
}

// ProvenAt returns when an answer last proved a subject; zero if none has, or if that was forgotten.
func (e *Evidence) ProvenAt(subject Subject) time.Time {
	if r := e.subjects[subject]; r != nil {
		return r.provenAt
	}
	return time.Time{}
}

// Forget drops what no longer counts.
func (e *Evidence) Forget(now time.Time) {
	for _, c := range e.crashes {
		e.forgetSubjects(now, c)
	}
	for subject, r := range e.subjects {
		if len(r.crashes) == 0 && now.Sub(r.provenAt) > proofMemory && now.Sub(r.triedAt) > requestCrashMemory {
			delete(e.subjects, subject)
		}
	}
}

// forgetSubjects drops the subjects against which a crash no longer counts, and the crash if none is
// left.
func (e *Evidence) forgetSubjects(now time.Time, c *Crash) {
	isOver := func(s Subject) bool { return now.Sub(c.At) > memoryOf(s) }
	if !slices.ContainsFunc(c.Subjects, isOver) {
		return
	}
	e.knownCulprits = nil
	c.Subjects = slices.DeleteFunc(c.Subjects, func(s Subject) bool {
		if !isOver(s) {
			return false
		}
		if r := e.subjects[s]; r != nil {
			r.remove(c)
			e.dropIfEmpty(s)
		}
		return true
	})
	if len(c.Subjects) == 0 {
		delete(e.crashes, c.Process)
	}
}

// dropIfEmpty drops what is known of a subject if no crash speaks against it and no answer has proven
// it.
func (e *Evidence) dropIfEmpty(s Subject) {
	if r := e.subjects[s]; r != nil && len(r.crashes) == 0 && r.provenAt.IsZero() && r.trials == 0 {
		delete(e.subjects, s)
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
	return slices.ContainsFunc(c.Subjects, func(p Subject) bool { return e.Crashes(p) >= crashesToQuarantine })
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
		e.dropIfEmpty(subject)
	}
}

// Crashes returns how many crashes speak against a subject.
func (e *Evidence) Crashes(subject Subject) int {
	if r := e.subjects[subject]; r != nil {
		return len(r.crashes)
	}
	return 0
}
