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

func (c *core) Finish(now time.Time, o Outcome) []Decision {
	d := c.dispatched[o.ID]
	if d == nil {
		return nil
	}
	delete(c.dispatched, o.ID)
	d.target.dispatched--
	s := d.targetCopy.server
	c.refreshPaces(now)
	s.load.Finished(now, d.class)
	c.clearPendingPrefill(now, d)
	d.clearSuspicion()
	if o.Unsent && s.quota != nil {
		s.quota.Return(now)
	}
	if o.Err == nil {
		c.recordSuccess(now, d, o)
	} else {
		c.recordFailure(now, d, o)
	}
	c.dropUnusedServer(now, s)
	return c.expireAndDispatch(now, s)
}

// recordSuccess learns from a complete answer: predictions, limit and retry budget.
func (c *core) recordSuccess(now time.Time, d *dispatchedRequest, o Outcome) {
	s := d.targetCopy.server
	c.budgetOf(d.target).Success(now)
	s.failures = 0
	c.learnEnd(now, d, o)
	d.targetCopy.speed.Observe(now, predict.Sample{
		PromptTokens: d.prefillTokens, MaxTokens: d.maxTokens, Tokens: o.Tokens,
		Cached:      d.cached,
		MayBeCached: d.mayBeCached,
		FirstToken:  o.FirstToken, Duration: o.Duration,
		ServerFactor: s.pace.factor,
	})
	s.limit.Observe(now, limit.Observation{
		Expected: d.predictedWait + d.estimate.TotalFor(o.Tokens), Actual: o.Duration, Full: d.serverFull,
	})
	s.observeDuration(scaled(o.Duration, 1/s.pace.factor))
}

// observeDuration updates the mean duration of requests on the server with one that was divided by its factor.
func (s *server) observeDuration(sample time.Duration) {
	if s.meanDuration == 0 {
		s.meanDuration = sample
	}
	s.meanDuration += (sample - s.meanDuration) / 8
}

// expectedDuration returns the mean duration of requests on the server at its current speed.
func (s *server) expectedDuration() time.Duration { return scaled(s.meanDuration, s.pace.factor) }

// recordFailure keeps new requests away from a server that is leaving, refuses requests or
// fails them. A failure that isn't the server's fault keeps nothing away.
func (c *core) recordFailure(now time.Time, d *dispatchedRequest, o Outcome) {
	s := d.targetCopy.server
	if s.pace.factor == 1 {
		d.targetCopy.speed.ObserveIncomplete(now, o.Tokens, o.Duration-o.FirstToken)
	}
	s.observeRejection(now, o)
	var e *verdict.Error
	switch {
	case o.ServerLeaving:
		s.leavingUntil = now.Add(leavingHold)
	case !blamesServer(now, d, o.Err):
	case o.NotResident:
		d.targetCopy.backoffUntil = now.Add(notResidentBackoff)
	case errors.As(o.Err, &e) && e.Code == verdict.CodeServerRefused:
		d.targetCopy.backoffUntil = now.Add(firstBackoff)
	default:
		s.backOff(now)
	}
}

// blamesServer reports whether the server is to blame for a failure, and not the deadline or
// the caller, who canceled the request or sent an invalid one.
func blamesServer(now time.Time, d *dispatchedRequest, err error) bool {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) || !now.Before(d.deadline) {
		return false
	}
	var e *verdict.Error
	if !errors.As(err, &e) {
		return true
	}
	switch e.Code {
	case verdict.CodeCanceled, verdict.CodeDeadlineExpired, verdict.CodeBadRequest, verdict.CodeNoConnection,
		verdict.CodeUnauthorized, verdict.CodeStaleConfiguration:
		return false
	}
	return true
}

func (c *core) Progress(now time.Time, id request.ID, tokens int) []Decision {
	d := c.dispatched[id]
	if d == nil {
		return nil
	}
	readLongPrompt := d.pendingPrefillTokens >= urgentPrefillTokens
	d.answerTokens = tokens
	c.learnProgress(now, d, tokens)
	c.clearPendingPrefill(now, d)
	d.clearSuspicion()
	if !readLongPrompt || !c.document.RequireKeys {
		return nil
	}
	return c.expireAndDispatch(now, d.targetCopy.server)
}

// clearSuspicion records that the request no longer may crash its server.
func (d *dispatchedRequest) clearSuspicion() {
	if d.suspect {
		d.suspect = false
		d.targetCopy.server.suspects--
	}
}

// Retry implements Scheduler. Some retries don't use up the budget; see retryIsFree.
func (c *core) Retry(now time.Time, r request.Request, last Outcome) []Decision {
	if c.dispatched[r.ID] != nil || c.queue.Has(r.ID) {
		return []Decision{refuse(&attempt{request: r, mayHaveRun: true}, verdict.CodeDuplicate, 0,
			"a request with this ID is in progress")}
	}
	r.Class = c.presentClass(&r)
	a := attempt{request: r, mayHaveRun: last.Verdict != verdict.NotRun, avoid: last.Server}
	if !retry.MayRetry(last.Verdict, r.Idempotent) {
		return []Decision{c.refuseRetry(now, &a, last, "the request may have run and must not repeat")}
	}
	if !c.retryIsFree(&last) && !c.takeRetry(now, &r) {
		return []Decision{c.refuseRetry(now, &a, last, "the retry budget is used up")}
	}
	a.avoid = c.serverToAvoid(now, &r, last.Server)
	return c.decide(now, a)
}

// MayRetry implements Scheduler.
func (c *core) MayRetry(now time.Time, r request.Request, last Outcome) bool {
	if !retry.MayRetry(last.Verdict, r.Idempotent) {
		return false
	}
	return c.retryIsFree(&last) || c.takeRetry(now, &r)
}

// takeRetry takes a retry from the budget and reports whether there was one.
func (c *core) takeRetry(now time.Time, r *request.Request) bool {
	b := c.budgetOf(c.target(keyOf(r)))
	if c.document.RequireKeys {
		return b.TakeFor(now, c.presentClass(r))
	}
	return b.Take(now)
}

// retryIsFree reports whether another attempt doesn't use up the retry budget. That is so if
// no part of the request reached the server, and if a leaving server refused it: the server
// gets no more requests, so such refusals can't multiply. If the site sets Budgets.RetrySpare,
// the number of retries that are allowed without any success, the budget also counts the
// retries after refusals by leaving servers.
func (c *core) retryIsFree(last *Outcome) bool {
	if last.Unsent {
		return true
	}
	return last.ServerLeaving && c.document.Budgets.RetrySpare == 0
}

// budgetOf returns the retry budget of a target. Each service has its own budget if the site
// sets Budgets.RetrySpare; otherwise all targets share one.
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

// serverToAvoid returns the server of the last attempt if another one can take the request,
// or else the empty string.
func (c *core) serverToAvoid(now time.Time, r *request.Request, last string) string {
	for _, other := range c.target(keyOf(r)).copies {
		if other.usable(now, last) && other.server.hasVersion(r) {
			return last
		}
	}
	return ""
}

// refuseRetry refuses a retry with the code and verdict of the last attempt.
func (c *core) refuseRetry(now time.Time, a *attempt, last Outcome, message string) Decision {
	code := verdict.CodeServerFailed
	var e *verdict.Error
	if errors.As(last.Err, &e) {
		code = e.Code
	}
	err := &verdict.Error{Verdict: last.Verdict, Code: code, Message: message, RetryAfter: c.RetryAfter(now, a.request), Err: last.Err}
	return Decision{ID: a.request.ID, Action: Refuse, Reason: message, Err: err}
}
