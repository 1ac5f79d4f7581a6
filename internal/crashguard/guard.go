// Package crashguard keeps requests that crash servers, by a part of their prompts or as a whole, away
// from the servers. It feeds
// package quarantine with the evidence of this instance, which package crashwatch collects, and with
// that of all others, and makes requests wait, go one by one or end by its findings.
package crashguard

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/crashwatch"
	"limpethub/internal/gossip"
	"limpethub/internal/quarantine"
)

const (
	// recentProof is how long before a crash a proof must be for the part to count among those on
	// the process. A part that was proven later is in other answers all the time.
	recentProof = time.Second
	// maxProven is how many subjects of each kind that were proven before an instance tells of one crash.
	maxProven = 8
	// toldPeriod is how long an instance doesn't repeat a proof that was told, unless a later one clears a
	// subject of another crash.
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
	// told are the proofs that the others were told last, by this instance or a peer.
	told map[quarantine.Subject]toldProof
	// listed holds the findings of the last recheck, by subject.
	listed       map[quarantine.Subject]quarantine.Finding
	lastForgetAt time.Time
	// refusals counts the requests refused or ended, by the kind of subject.
	refusals map[quarantine.Kind]uint64
}

// toldProof is a proof that the other instances were told of.
type toldProof struct {
	toldAt, provenAt time.Time
}

// New returns a Guard.
func New(options Options) *Guard {
	return &Guard{
		options: options, evidence: quarantine.NewEvidence(), tickets: map[*Ticket]struct{}{},
		changed: make(chan struct{}), told: map[quarantine.Subject]toldProof{}, listed: map[quarantine.Subject]quarantine.Finding{},
		refusals: map[quarantine.Kind]uint64{},
	}
}

// ServerEnded takes the evidence of this instance. It is crashwatch.Options.OnEnded.
func (g *Guard) ServerEnded(ended crashwatch.Ended) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := quarantine.Crash{Process: ended.Server.ProcessNumber(), At: ended.At}
	var parts, requests []quarantine.Subject
	for _, part := range ended.Parts {
		parts = append(parts, quarantine.PartSubject(part))
	}
	for _, identity := range ended.Identities {
		requests = append(requests, quarantine.RequestSubject(identity))
	}
	c.Subjects = append(g.limitSubjects(ended.At, parts), g.limitSubjects(ended.At, requests)...)
	if len(c.Subjects) > 0 {
		g.addCrash(c, true)
	}
}

// limitSubjects returns the subjects of one kind that this instance tells of a crash, since their number
// is limited. Those that nobody is known to have proven come first, of these the ones that were on other
// crashes. Of the proven ones, those count that were proven longest ago: a popular one is proven again
// all the time, unless it has begun to crash servers. The lock is held.
func (g *Guard) limitSubjects(endedAt time.Time, subjects []quarantine.Subject) []quarantine.Subject {
	subjects = slices.DeleteFunc(subjects, func(s quarantine.Subject) bool { return endedAt.Sub(g.evidence.ProvenAt(s)) <= recentProof })
	slices.SortStableFunc(subjects, func(a, b quarantine.Subject) int {
		return cmp.Or(g.evidence.ProvenAt(a).Compare(g.evidence.ProvenAt(b)), cmp.Compare(g.evidence.Crashes(b), g.evidence.Crashes(a)))
	})
	unproven := slices.IndexFunc(subjects, func(s quarantine.Subject) bool { return !g.evidence.ProvenAt(s).IsZero() })
	if unproven < 0 {
		unproven = len(subjects)
	}
	return subjects[:min(len(subjects), unproven+maxProven, quarantine.MaxSubjects)]
}

// Proven takes a request whose answer went well. It is crashwatch.Options.OnProven.
func (g *Guard) Proven(proven crashwatch.Proven) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Now()
	changed := false
	for _, subject := range subjectsOf(proven.Identity, proven.Parts) {
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
	log := g.options.Logger.WithField(fieldOf(subject), subject.String())
	if subject.Kind == quarantine.WholeRequest {
		log.Info("Request released by an operator")
	} else {
		log.Info("Prompt part released by an operator")
	}
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
		g.publishCrash(c, joined)
	}
	for _, subject := range c.Subjects {
		if provenAt := g.evidence.ProvenAt(subject); g.mustTell(now, subject, provenAt, c.At) {
			g.tell(subject, provenAt)
		}
	}
	g.recheck(now)
	for _, delay := range quarantine.Delays() {
		time.AfterFunc(delay, g.recheckNow)
	}
	return joined, true
}

// mustTell reports whether the others have to be told of the last proof of a subject, now that a crash is known: if they
// weren't told of any lately, or if that proof clears the subject of the crash, and the one told before it doesn't. The
// lock is held.
func (g *Guard) mustTell(now time.Time, subject quarantine.Subject, provenAt, crashAt time.Time) bool {
	if provenAt.IsZero() {
		return false
	}
	told := g.told[subject]
	return now.Sub(told.toldAt) > toldPeriod || provenAt.After(crashAt) && !told.provenAt.After(crashAt)
}

// tell tells the other instances of a proof. The lock is held.
func (g *Guard) tell(subject quarantine.Subject, at time.Time) {
	g.told[subject] = toldProof{toldAt: g.options.Now(), provenAt: at}
	g.options.Publish(proofFact(subject, at))
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
		if t.survived || t.trial || t.refused || t.ctx.Err() != nil {
			continue
		}
		if f := g.evidence.Find(now, t.subjects); f.State == quarantine.Quarantined {
			g.refusals[f.Subject.Kind]++
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
		log := g.options.Logger.WithFields(fields(f, now))
		if f.Subject.Kind == quarantine.WholeRequest {
			log.Warn("Request in quarantine: servers ended under it")
		} else {
			log.Warn("Prompt part in quarantine: servers ended with it")
		}
	}
	for subject := range g.listed {
		if _, ok := current[subject]; ok {
			continue
		}
		log := g.options.Logger.WithField(fieldOf(subject), subject.String())
		if subject.Kind == quarantine.WholeRequest {
			log.Info("Request no longer in quarantine")
		} else {
			log.Info("Prompt part no longer in quarantine")
		}
	}
	g.listed = current
}

// fieldOf returns the field that names a subject in logs.
func fieldOf(s quarantine.Subject) string {
	if s.Kind == quarantine.WholeRequest {
		return "identity"
	}
	return "prompt_part"
}

func fields(f quarantine.Finding, now time.Time) logrus.Fields {
	out := logrus.Fields{
		fieldOf(f.Subject): f.Subject.String(), "crashes": f.Crashes,
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
	for subject, told := range g.told {
		if now.Sub(told.toldAt) > toldPeriod {
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

// Refusals returns how many requests were refused or ended because of a subject of the given kind.
func (g *Guard) Refusals(kind quarantine.Kind) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refusals[kind]
}
