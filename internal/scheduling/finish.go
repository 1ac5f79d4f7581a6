package scheduling

import (
	"context"
	"errors"
	"time"

	"limpethub/internal/request"
	"limpethub/internal/scheduling/limit"
	"limpethub/internal/scheduling/predict"
	"limpethub/internal/scheduling/retry"
	"limpethub/internal/verdict"
)

// Finish implements Scheduler.
func (c *core) Finish(now time.Time, o Outcome) []Decision {
	d := c.running[o.ID]
	if d == nil {
		return nil
	}
	delete(c.running, o.ID)
	d.target.running--
	s := d.replica.server
	s.load.Finished(now, d.class)
	d.begun()
	if o.Err == nil {
		c.learn(now, d, o)
	} else {
		c.learnFailure(now, d, o)
	}
	c.forgetServer(now, s)
	return c.drainAfterExpiry(now, s)
}

// learn takes a whole answer into the predictions and the limit.
func (c *core) learn(now time.Time, d *dispatched, o Outcome) {
	s := d.replica.server
	c.budgetOf(d.target).Success(now)
	s.failures = 0
	d.replica.speed.Observe(now, predict.Sample{
		PromptTokens: d.prompt, MaxTokens: d.max, Tokens: o.Tokens,
		Cached:     d.cached,
		Uncertain:  d.uncertain,
		FirstToken: o.FirstToken, Duration: o.Duration,
	})
	s.limit.Observe(now, limit.Observation{
		Expected: d.wait + d.estimate.For(o.Tokens), Actual: o.Duration, Full: d.full,
	})
	s.observeStay(o.Duration)
}

// observeStay learns how long requests stay on the server.
func (s *server) observeStay(sample time.Duration) {
	if s.stay == 0 {
		s.stay = sample
	}
	s.stay += (sample - s.stay) / 8
}

// learnFailure keeps new work away from a server that is leaving or that refuses or
// fails requests.
func (c *core) learnFailure(now time.Time, d *dispatched, o Outcome) {
	s := d.replica.server
	d.replica.speed.ObservePart(now, o.Tokens, o.Duration-o.FirstToken)
	var e *verdict.Error
	switch {
	case o.ServerLeaving:
		s.refusedUntil = now.Add(leavingHold)
	case !blamesServer(now, d, o.Err):
	case o.NotResident:
		d.replica.backoff = now.Add(notResidentBackoff)
	case errors.As(o.Err, &e) && e.Code == verdict.CodeServerRefused:
		d.replica.backoff = now.Add(firstBackoff)
	default:
		s.failed(now)
	}
}

// blamesServer reports whether a failure is the server's: not the caller's, who
// canceled or sent nonsense, nor the deadline's.
func blamesServer(now time.Time, d *dispatched, err error) bool {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) || !now.Before(d.deadline) {
		return false
	}
	var e *verdict.Error
	if !errors.As(err, &e) {
		return true
	}
	switch e.Code {
	case verdict.CodeCanceled, verdict.CodeDeadlineExpired, verdict.CodeBadRequest:
		return false
	}
	return true
}

// Progress implements Scheduler.
func (c *core) Progress(_ time.Time, id request.ID, tokens int) {
	if d := c.running[id]; d != nil {
		d.tokens = tokens
		d.begun()
	}
}

// Retry implements Scheduler. A request that a leaving server refused costs no
// budget, unless the site counts all that servers get: the server gets no more, so
// such refusals can't multiply.
func (c *core) Retry(now time.Time, r request.Request, last Outcome) []Decision {
	if c.running[r.ID] != nil || c.queue.Has(r.ID) {
		return []Decision{refuse(&attempt{request: r, unclear: true}, verdict.CodeDuplicate, 0,
			"a request with this ID is in progress")}
	}
	r.Class = min(max(r.Class, 0), len(c.document.Classes)-1)
	a := attempt{request: r, unclear: last.Verdict != verdict.NotRun, avoid: last.Server}
	if !retry.MayRepeat(last.Verdict, r.Idempotent) {
		return []Decision{giveUp(&a, last, "the request may have run and must not repeat")}
	}
	if !c.free(&last) && !c.budgetOf(c.target(keyOf(&r))).Take(now) {
		return []Decision{giveUp(&a, last, "the retry budget is used up")}
	}
	a.avoid = c.avoidable(now, &r, last.Server)
	return c.place(now, a)
}

// free reports whether another attempt costs no budget.
func (c *core) free(last *Outcome) bool {
	if last.Unsent {
		return true
	}
	return last.ServerLeaving && c.document.Budgets.RetrySpare == 0
}

// budgetOf returns the retry budget of a target: one for each service that is routed
// to, and one for all else.
func (c *core) budgetOf(t *target) *retry.Budget {
	service := t.key.service
	if c.document.Budgets.RetrySpare == 0 {
		service = ""
	}
	b := c.budgets[service]
	if b == nil {
		b = retry.NewBudget(c.document.Budgets.RetryShare)
		b.SetSpare(c.document.Budgets.RetrySpare)
		c.budgets[service] = b
	}
	return b
}

// avoidable returns the last server if another one can take the request.
func (c *core) avoidable(now time.Time, r *request.Request, last string) string {
	for _, other := range c.target(keyOf(r)).replicas {
		if other.usable(now, last) {
			return last
		}
	}
	return ""
}

// giveUp refuses a retry with the code and verdict of the last attempt.
func giveUp(a *attempt, last Outcome, why string) Decision {
	code := verdict.CodeServerFailed
	var e *verdict.Error
	if errors.As(last.Err, &e) {
		code = e.Code
	}
	err := &verdict.Error{Verdict: last.Verdict, Code: code, Message: why, RetryAfter: soonest, Err: last.Err}
	return Decision{ID: a.request.ID, Action: Refuse, Reason: why, Err: err}
}
