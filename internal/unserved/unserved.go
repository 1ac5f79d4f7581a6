// Package unserved keeps for how long models, adapters and prompts have been asked for on one instance without being served,
// and why their last request wasn't. A mean over all requests doesn't show those that are never served.
package unserved

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

const (
	// LongAfter is from when on something counts as long unserved, and is logged.
	LongAfter = 8 * time.Second
	// leastAsks is how many requests something must have had to count as long unserved: one alone may just have come to a bad moment.
	leastAsks = 4
	// forgetAfter is how long after its last request an entry is kept.
	forgetAfter = 2 * time.Minute
	// maxEntries limits the entries of each kind. While there are as many, nothing new is recorded.
	maxEntries = 4096
	// sweepPeriod is the least time between two sweeps for entries to forget.
	sweepPeriod = 10 * time.Second
	// linesPerSweep limits the log lines between two sweeps.
	linesPerSweep = 20
)

// Kind is what requests ask for.
type Kind string

// The kinds of entries.
const (
	// Version is a model or adapter version.
	Version Kind = "version"
	// Prompt is the longest part of a prompt that other requests have too, by class of work.
	Prompt Kind = "prompt"
)

// Entry is something that was asked for and not served since.
type Entry struct {
	Kind Kind
	// Name is the version, or the class of work and the hash of the part of the prompt.
	Name string
	// Since is when the first request arrived that wasn't served, Asks is how many weren't, and LastAsk is when the last one arrived.
	Since, LastAsk time.Time
	Asks           int
	// Cause is why the last one wasn't served.
	Cause verdict.Code

	logged bool
}

// isLong reports whether the entry counts as long unserved.
func (e *Entry) isLong(now time.Time) bool {
	return e.Asks >= leastAsks && now.Sub(e.Since) >= LongAfter
}

type key struct {
	kind Kind
	name string
}

// Tracker holds the entries. It is safe for concurrent use.
type Tracker struct {
	logger *logrus.Entry
	now    func() time.Time

	mu      sync.Mutex
	entries map[key]*Entry
	counts  map[Kind]int
	sweptAt time.Time
	lines   int
}

// New returns a Tracker without entries.
func New(logger *logrus.Entry, now func() time.Time) *Tracker {
	return &Tracker{logger: logger, now: now, entries: map[key]*Entry{}, counts: map[Kind]int{}}
}

// Observe records the end of a request. cause says why it wasn't served; empty if it was.
func (t *Tracker) Observe(r *request.Request, cause verdict.Code) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for _, k := range keysOf(r) {
		if cause == "" {
			t.remove(k)
			continue
		}
		t.record(now, k, r.Arrived, cause)
	}
}

// record records a request that wasn't served.
func (t *Tracker) record(now time.Time, k key, arrived time.Time, cause verdict.Code) {
	e := t.entry(k, arrived)
	if e == nil {
		return
	}
	e.Asks++
	e.Since, e.LastAsk, e.Cause = earlier(e.Since, arrived), later(e.LastAsk, arrived), cause
	t.logOnce(now, e)
}

// keysOf returns what a request asks for: none for a call of a plain service.
func keysOf(r *request.Request) []key {
	if r.Model == "" {
		return nil
	}
	keys := []key{{kind: Version, name: string(r.Model)}}
	if n := len(r.Parts); n > 0 {
		keys = append(keys, key{kind: Prompt, name: strconv.Itoa(r.Class) + "/" + r.Parts[n-1].String()})
	}
	return keys
}

// entry returns the entry of a key, and adds it if there is room; else nil.
func (t *Tracker) entry(k key, arrived time.Time) *Entry {
	e := t.entries[k]
	if e == nil && t.counts[k.kind] < maxEntries {
		e = &Entry{Kind: k.kind, Name: k.name, Since: arrived, LastAsk: arrived}
		t.entries[k] = e
		t.counts[k.kind]++
	}
	return e
}

func (t *Tracker) remove(k key) {
	if t.entries[k] != nil {
		delete(t.entries, k)
		t.counts[k.kind]--
	}
}

// sweep forgets, once in a while, what nobody has asked for lately.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepPeriod {
		return
	}
	t.sweptAt, t.lines = now, 0
	for k, e := range t.entries {
		if now.Sub(e.LastAsk) > forgetAfter {
			t.remove(k)
		}
	}
}

func (t *Tracker) logOnce(now time.Time, e *Entry) {
	if e.logged || t.lines >= linesPerSweep || !e.isLong(now) {
		return
	}
	e.logged = true
	t.lines++
	t.logger.WithFields(logrus.Fields{
		"kind": e.Kind, "name": e.Name, "asks": e.Asks, "unserved_ms": now.Sub(e.Since).Milliseconds(), "cause": e.Cause,
	}).Warn("Asked for again and again, and not served for long")
}

// Summary is what a Tracker holds of one kind.
type Summary struct {
	// Count is how many entries there are, and Long how many of them are long unserved, by cause.
	Count int
	Long  map[verdict.Code]int
	// Worst are those unserved for longest, the longest first.
	Worst []Entry
}

// Summarize returns the summary of a kind with up to most entries in Worst.
func (t *Tracker) Summarize(kind Kind, most int) Summary {
	now := t.now()
	s := Summary{Long: map[verdict.Code]int{}}
	t.mu.Lock()
	t.sweep(now)
	for k, e := range t.entries {
		if k.kind != kind {
			continue
		}
		s.Count++
		if e.isLong(now) {
			s.Long[e.Cause]++
			s.Worst = append(s.Worst, *e)
		}
	}
	t.mu.Unlock()
	slices.SortFunc(s.Worst, func(a, b Entry) int { return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Name, b.Name)) })
	s.Worst = s.Worst[:min(most, len(s.Worst))]
	return s
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
