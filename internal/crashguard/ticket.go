package crashguard

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/intake"
	"limpethub/internal/quarantine"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

const (
	// patience is how long a request waits for another one with the same suspected subject.
	patience = time.Second
	// trialRetryAfter is when callers should come back while another request tries whether a subject
	// still crashes servers.
	trialRetryAfter = 5 * time.Second
)

// Ticket is a request in progress.
type Ticket struct {
	guard *Guard
	// subjects are what may be held against the request.
	subjects []quarantine.Subject
	// ctx is canceled with a *verdict.Error if a subject of the request comes into quarantine before
	// its answer has begun.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// suspect is true if the request was last let through although one of its subjects is suspected or
	// on trial, and trial in the latter case; tried is that subject.
	suspect, trial bool
	tried          quarantine.Subject
	// onServer is true while an attempt is on a server, and survived once an answer has begun.
	onServer, survived bool
	// refused is true once Wait has refused the request, which is counted then.
	refused bool
}

// Enter registers a request. The caller must use Context for it, call Wait before each time that it
// asks for a server, and call Leave at its end.
func (g *Guard) Enter(ctx context.Context, r *request.Request) *Ticket {
	t := &Ticket{guard: g, subjects: subjectsOf(r.Identity, r.Parts)}
	t.ctx, t.cancel = context.WithCancelCause(ctx)
	if len(t.subjects) == 0 {
		return t
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tickets[t] = struct{}{}
	return t
}

// subjectsOf returns the subjects of a request: the request itself, if its identity is known, and the
// parts of its prompt.
func subjectsOf(identity request.Identity, parts []request.Part) []quarantine.Subject {
	out := make([]quarantine.Subject, 0, len(parts)+1)
	if identity != 0 {
		out = append(out, quarantine.RequestSubject(identity))
	}
	for _, part := range parts {
		out = append(out, quarantine.PartSubject(part))
	}
	return out
}

// Context is the context of the request.
func (t *Ticket) Context() context.Context { return t.ctx }

// Suspect reports whether the request should go where it costs little if it crashes the server.
func (t *Ticket) Suspect() bool {
	t.guard.mu.Lock()
	defer t.guard.mu.Unlock()
	return t.suspect
}

// Leave ends the ticket.
func (t *Ticket) Leave() {
	t.cancel(nil)
	g := t.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.tickets, t)
	if t.suspect {
		g.wakeWaiting()
	}
}

// wakeWaiting makes waiting requests look again. The lock is held.
func (g *Guard) wakeWaiting() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Wait waits until the request may ask for a server. Its error is a *verdict.Error with NotRun: no
// server gets the request, or its context has ended.
func (t *Ticket) Wait() error {
	if len(t.subjects) == 0 {
		return nil
	}
	deadline := t.guard.options.Now().Add(patience)
	for {
		changed, wait, err := t.look(deadline)
		if err != nil || changed == nil {
			return err
		}
		intake.Leave(t.ctx)
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-t.ctx.Done():
			timer.Stop()
			return t.canceled()
		}
		timer.Stop()
	}
}

// canceled returns why the request ended while it waited: it came into quarantine, or nobody
// waits for it any more. In both cases nothing was sent meanwhile.
func (t *Ticket) canceled() error {
	var refused *verdict.Error
	if errors.As(context.Cause(t.ctx), &refused) {
		return refused
	}
	return verdict.Refused(verdict.CodeCanceled, "the request ended while another one with the same suspected subject was tried")
}

// look decides once. It returns a nil channel if the request may go on, and otherwise the channel
// and the time after which to look again.
func (t *Ticket) look(deadline time.Time) (changed <-chan struct{}, wait time.Duration, err error) {
	g := t.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	var refused *verdict.Error
	if errors.As(context.Cause(t.ctx), &refused) {
		return nil, 0, refused // The guard has ended, and counted, the request already.
	}
	now := g.options.Now()
	f := g.evidence.Find(now, t.subjects)
	t.suspect, t.trial = false, false
	switch f.State {
	case quarantine.Clear:
		return nil, 0, nil
	case quarantine.Suspect:
		if now.Before(deadline) && g.isBusy(f.Subject, t) {
			return g.changed, deadline.Sub(now), nil
		}
		t.suspect = true
		return nil, 0, nil
	case quarantine.Undecided:
		return g.changed, f.Until.Sub(now), nil
	case quarantine.Trial:
		if g.options.MayTry(f.Subject) && !g.isBusy(f.Subject, t) {
			t.suspect, t.trial, t.tried = true, true, f.Subject
			return nil, 0, nil
		}
	}
	g.refusals[f.Subject.Kind]++
	t.refused = true
	return nil, 0, refusal(f, now)
}

// isBusy reports whether another request with the subject is on a server or was let through as a
// suspect, and its answer hasn't begun. The lock is held.
func (g *Guard) isBusy(subject quarantine.Subject, except *Ticket) bool {
	for t := range g.tickets {
		if t != except && (t.onServer || t.suspect) && !t.survived && slices.Contains(t.subjects, subject) {
			return true
		}
	}
	return false
}

// MaySend reports whether the request may go to the server that was chosen for it, and if so records
// that it does. If not, Wait has to be called again: a subject has become suspected since.
func (t *Ticket) MaySend() bool {
	if len(t.subjects) == 0 {
		return true
	}
	g := t.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if !t.suspect {
		f := g.evidence.Find(g.options.Now(), t.subjects)
		if f.State > quarantine.Suspect || f.State == quarantine.Suspect && g.isBusy(f.Subject, t) {
			return false
		}
		t.suspect = f.State == quarantine.Suspect
	}
	if t.trial && t.tried.Kind == quarantine.WholeRequest {
		g.recordTrial(t.tried)
	}
	t.onServer, t.survived = true, false
	return true
}

// recordTrial records that a request is tried again, and tells the other instances. It counts when it is
// sent, since its caller may leave before anything shows. The lock is held.
func (g *Guard) recordTrial(subject quarantine.Subject) {
	now := g.options.Now()
	trials := g.evidence.Trials(subject) + 1
	g.evidence.AddTrial(subject, trials, now)
	g.options.Publish(trialFact(subject, trials, now))
	g.options.Logger.WithFields(logrus.Fields{"identity": subject.String(), "trials": trials}).Info("Request in quarantine is tried again")
}

// AnswerBegun records that the answer of the current attempt has begun.
func (t *Ticket) AnswerBegun() {
	if len(t.subjects) == 0 {
		return
	}
	t.guard.mu.Lock()
	defer t.guard.mu.Unlock()
	t.survived = true
}

// AttemptEnded records that the current attempt has ended.
func (t *Ticket) AttemptEnded() {
	if len(t.subjects) == 0 {
		return
	}
	g := t.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	t.onServer = false
	if t.suspect {
		g.wakeWaiting()
	}
}

// MayBeCause reports whether the request may be what ended its server, so that it matters for the next
// attempt whether the server has: if no answer has proven all parts of its prompt, or if other servers
// have ended under the request.
func (t *Ticket) MayBeCause() bool {
	g := t.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(t.subjects, func(s quarantine.Subject) bool {
		return g.evidence.ProvenAt(s).IsZero() && (s.Kind == quarantine.PromptPart || g.evidence.Crashes(s) > 0)
	})
}

// EndsAttempts reports whether the request may not go to a further server by the same attempt of its
// caller, because servers have ended under it.
func (t *Ticket) EndsAttempts() bool {
	g := t.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evidence.Find(g.options.Now(), t.subjects).EndsAttempts()
}

// refusal returns the error of a request that no server gets.
func refusal(f quarantine.Finding, now time.Time) *verdict.Error {
	code, text := verdict.CodePromptQuarantined, "part %s of the prompt"
	if f.Subject.Kind == quarantine.WholeRequest {
		code, text = verdict.CodeRequestQuarantined, "the request, whose identity is %s,"
	}
	err := verdict.Refused(code, text+" was on %d servers when they ended, first %s and last %s ago, and in no answer since",
		f.Subject, f.Crashes, ago(now, f.First), ago(now, f.Last))
	err.RetryAfter = trialRetryAfter
	if !f.Until.IsZero() {
		err.RetryAfter = max(f.Until.Sub(now), trialRetryAfter)
	}
	return err
}

func ago(now, at time.Time) string { return fmt.Sprint(now.Sub(at).Round(time.Millisecond)) }
