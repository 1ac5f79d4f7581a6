// Package crashguard keeps requests that crash servers, by a part of their prompts or as a whole, away
// from the servers. It feeds
// package quarantine with the evidence of this instance, which package crashwatch collects, and with
// that of all others, and makes requests wait, go one by one or end by its findings.
package crashguard

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/crashwatch"
	"limpethub/internal/gossip"
	"limpethub/internal/quarantine"
	"limpethub/internal/request"
)

const (
	// recentProof is how long before a crash a proof must be for the part to count among those on
	// the process. A part that was proven later is in other answers all the time.
	recentProof = time.Second
	// maxProvenParts is how many parts that were proven before an instance tells of one crash.
	maxProvenParts = 8
	// toldPeriod is how long an instance doesn't repeat a proof that it has told.
	toldPeriod = 10 * time.Second
	// forgetPeriod is the time between two times at which old evidence is dropped.
	forgetPeriod = 10 * time.Second
)

// Options configures a Guard.
type Options struct {
	// Publish spreads a fact to all instances. It must not call the Guard.
	Publish func(gossip.Timed)
	// MayTry reports whether this instance is the one to try a subject again whose quarantine is over.
	MayTry func(quarantine.Subject) bool
	Logger *logrus.Entry
	Now    func() time.Time
}

// Guard admits requests by what is known of their subjects. It is safe for concurrent use.
type Guard struct {
	options Options

	mu       sync.Mutex
	evidence *quarantine.Evidence
	// tickets holds the requests in progress that have subjects.
	tickets map[*Ticket]struct{}
	// changed is closed and replaced when a waiting request has to look again.
	changed chan struct{}
	// told is when this instance last told the others of a proof.
	told map[quarantine.Subject]time.Time
	// listed holds the findings of the last recheck, by subject.
	listed       map[quarantine.Subject]quarantine.Finding
	lastForgetAt time.Time
	refusals     uint64
}

// New returns a Guard.
func New(options Options) *Guard {
	return &Guard{
		options: options, evidence: quarantine.NewEvidence(), tickets: map[*Ticket]struct{}{},
		changed: make(chan struct{}), told: map[quarantine.Subject]time.Time{}, listed: map[quarantine.Subject]quarantine.Finding{},
	}
}

// ServerEnded takes the evidence of this instance. It is crashwatch.Options.OnEnded.
func (g *Guard) ServerEnded(ended crashwatch.Ended) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := quarantine.Crash{Process: ended.Server.ProcessNumber(), At: ended.At}
	for _, part := range ended.Parts {
		subject := quarantine.PartSubject(part)
		if provenAt := g.evidence.ProvenAt(subject); ended.At.Sub(provenAt) > recentProof {
			c.Subjects = append(c.Subjects, subject)
		}
	}
	// Those that nobody is known to have proven come first, since the number is limited.
	slices.SortStableFunc(c.Subjects, func(a, b quarantine.Subject) int {
		return g.evidence.ProvenAt(a).Compare(g.evidence.ProvenAt(b))
	})
	c.Subjects = g.limitSubjects(c.Subjects)
	if len(c.Subjects) > 0 {
		g.addCrash(c, true)
	}
}

// limitSubjects limits the subjects of a crash, which are sorted by when they were proven. Of the proven ones,
// those count that were proven longest ago: a popular part is proven again all the time, unless it has
// begun to crash servers. The lock is held.
func (g *Guard) limitSubjects(subjects []quarantine.Subject) []quarantine.Subject {
	unproven := slices.IndexFunc(subjects, func(s quarantine.Subject) bool { return !g.evidence.ProvenAt(s).IsZero() })
	if unproven < 0 {
		unproven = len(subjects)
	}
	return subjects[:min(len(subjects), unproven+maxProvenParts, quarantine.MaxSubjects)]
}

// Proven takes the parts of a request whose answer went well. It is crashwatch.Options.OnProven.
func (g *Guard) Proven(parts []request.Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Now()
	changed := false
	for _, part := range parts {
		subject := quarantine.PartSubject(part)
		if g.evidence.AddProof(now, subject, now) {
			g.tell(subject, now)
			changed = true
		}
	}
	if changed {
		g.recheck(now)
	}
	g.forget(now)
}

// Release ends the quarantine of a subject on all instances, as an operator wants. It reports whether
// the subject was known.
func (g *Guard) Release(subject quarantine.Subject) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Now()
	if !g.evidence.AddProof(now, subject, now) {
		return false
	}
	g.options.Logger.WithField("prompt_part", subject.String()).Info("Prompt part released by an operator")
	g.tell(subject, now)
	g.recheck(now)
	return true
}

// addCrash adds a crash that this instance has seen or heard of, and returns all that is known of
// it and whether anything is new. The lock is held.
func (g *Guard) addCrash(c quarantine.Crash, own bool) (quarantine.Crash, bool) {
	now := g.options.Now()
	joined, isNew := g.evidence.AddCrash(now, c)
	if !isNew {
		return joined, false
	}
	if own {
		g.options.Publish(crashFact(joined))
	}
	for _, subject := range c.Subjects {
		if provenAt := g.evidence.ProvenAt(subject); !provenAt.IsZero() && now.Sub(g.told[subject]) > toldPeriod {
			g.tell(subject, provenAt)
		}
	}
	g.recheck(now)
	for _, delay := range quarantine.Delays() {
		time.AfterFunc(delay, g.recheckNow)
	}
	return joined, true
}

// tell tells the other instances of a proof. The lock is held.
func (g *Guard) tell(subject quarantine.Subject, at time.Time) {
	g.told[subject] = g.options.Now()
	g.options.Publish(gossip.Timed{Topic: gossip.TopicProof, Key: subject.Hash, At: at})
}

// HandleCrash joins what a peer says of a crash. It is the cluster's handler of gossip.TopicCrash.
func (g *Guard) HandleCrash(_ time.Time, f gossip.Timed) (gossip.Timed, bool) {
	c, ok := decodeCrash(f)
	if !ok {
		g.options.Logger.WithField("bytes", len(f.Value)).Warn("Ignored a peer's word of a crash: its parts are malformed")
		return f, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	joined, isNew := g.addCrash(c, false)
	return crashFact(joined), isNew
}

// HandleProof joins what a peer says of a proof. It is the cluster's handler of gossip.TopicProof.
func (g *Guard) HandleProof(now time.Time, f gossip.Timed) (gossip.Timed, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	subject := quarantine.PartSubject(request.Part(f.Key))
	isNew := g.evidence.AddProof(now, subject, f.At)
	if isNew {
		g.told[subject] = now
		g.recheck(now)
	}
	return f, isNew
}

// hashBytes is the size of a subject's hash in a fact.
const hashBytes = 8

func crashFact(c quarantine.Crash) gossip.Timed {
	value := make([]byte, 0, hashBytes*len(c.Subjects))
	for _, subject := range c.Subjects {
		value = binary.LittleEndian.AppendUint64(value, subject.Hash)
	}
	return gossip.Timed{Topic: gossip.TopicCrash, Key: c.Process, Value: value, At: c.At}
}

func decodeCrash(f gossip.Timed) (quarantine.Crash, bool) {
	c := quarantine.Crash{Process: f.Key, At: f.At}
	if len(f.Value)%hashBytes != 0 {
		return c, false
	}
	for value := f.Value; len(value) > 0; value = value[hashBytes:] {
		part := request.Part(binary.LittleEndian.Uint64(value))
		c.Subjects = append(c.Subjects, quarantine.PartSubject(part))
	}
	return c, true
}

func (g *Guard) recheckNow() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recheck(g.options.Now())
}

// recheck ends the requests whose subjects are in quarantine now, makes waiting ones look again, and
// logs what has changed. The lock is held.
func (g *Guard) recheck(now time.Time) {
	for t := range g.tickets {
		if t.survived || t.trial || t.ctx.Err() != nil {
			continue
		}
		if f := g.evidence.Find(now, t.subjects); f.State == quarantine.Quarantined {
			g.refusals++
			t.cancel(refusal(f, now))
		}
	}
	close(g.changed)
	g.changed = make(chan struct{})
	g.logChanges(now)
}

func (g *Guard) logChanges(now time.Time) {
	current := map[quarantine.Subject]quarantine.Finding{}
	for _, f := range g.evidence.List(now) {
		current[f.Subject] = f
		if before, ok := g.listed[f.Subject]; ok && before.Crashes == f.Crashes {
			continue
		}
		g.options.Logger.WithFields(fields(f, now)).Warn("Prompt part in quarantine: servers ended with it")
	}
	for subject := range g.listed {
		if _, ok := current[subject]; !ok {
			g.options.Logger.WithField("prompt_part", subject.String()).Info("Prompt part no longer in quarantine")
		}
	}
	g.listed = current
}

func fields(f quarantine.Finding, now time.Time) logrus.Fields {
	out := logrus.Fields{
		"prompt_part": f.Subject.String(), "crashes": f.Crashes,
		"first_ms_ago": now.Sub(f.First).Milliseconds(), "last_ms_ago": now.Sub(f.Last).Milliseconds(),
	}
	if !f.Until.IsZero() {
		out["for_ms"] = f.Until.Sub(now).Milliseconds()
	}
	return out
}

// forget drops old evidence now and then. The lock is held.
func (g *Guard) forget(now time.Time) {
	if now.Sub(g.lastForgetAt) < forgetPeriod {
		return
	}
	g.lastForgetAt = now
	g.evidence.Forget(now)
	for subject, at := range g.told {
		if now.Sub(at) > toldPeriod {
			delete(g.told, subject)
		}
	}
}

// Quarantined returns the subjects that are held back, or are tried again after a quarantine.
func (g *Guard) Quarantined() []quarantine.Finding {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evidence.List(g.options.Now())
}

// Refusals returns how many requests were refused or ended because of their subjects.
func (g *Guard) Refusals() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refusals
}
