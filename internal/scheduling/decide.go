package scheduling

import (
	"fmt"
	"time"

	"limpethub/internal/request"
	"limpethub/internal/scheduling/admission"
	"limpethub/internal/scheduling/flowcontrol"
	"limpethub/internal/scheduling/predict"
	"limpethub/internal/scheduling/routing"
	"limpethub/internal/verdict"
)

// dispatchedRequest is a request that this instance has sent to a server and that hasn't ended.
type dispatchedRequest struct {
	target     *target
	targetCopy *targetCopy
	class      int
	deadline   time.Time
	// prefillTokens is how many tokens of the prompt the server probably has to prefill. For a
	// request without Prefix parts it is the whole prompt, even if cached is true.
	prefillTokens int
	// maxTokens is the maximum length of the answer in tokens.
	maxTokens int
	// pendingPrefillTokens is the request's part of the server's pendingPrefillTokens. Unlike
	// prefillTokens it drops to 0 when the answer begins.
	pendingPrefillTokens int
	// answerTokens is the number of tokens of the answer that have arrived.
	answerTokens int
	// cached is true if the server probably holds the prefix of PrefixKey in its cache. It is
	// always false for a request with Prefix parts.
	cached bool
	// mayBeCached is true if other instances may have brought a large part of the prompt into
	// the server's cache; see the function mayBeCached.
	mayBeCached bool
	// suspect is true until the answer begins, if the request may crash the server.
	suspect bool
	// serverFull is true if the server was at its limit once it had this request.
	serverFull bool
	// predictedWait is the predicted wait in the server.
	predictedWait time.Duration
	// predictedBacklog is the predicted time in which the server prefills earlier prompts.
	predictedBacklog time.Duration
	// estimate is the predicted duration without the wait.
	estimate predict.Estimate
	// dispatchedAt is when the request was dispatched.
	dispatchedAt time.Time
	// windowStart is when the last tokens arrived from which the server's speed was learned, and
	// windowTokens how many there were until then; zero before the first token.
	windowStart  time.Time
	windowTokens int
	// resumed is true if the request goes on with a stream.
	resumed bool
}

// attempt is a request that needs a decision, with what is known of its earlier attempts.
type attempt struct {
	request request.Request
	// mayHaveRun is true if an earlier attempt may have run.
	mayHaveRun bool
	// avoid is the server that must not get the request; empty if there is none.
	avoid string
	// waited is true if the request has waited in the queue.
	waited bool
}

// Arrive implements Scheduler. A request with the ID of a running or waiting one is refused
// as a duplicate, with a verdict that it may have run.
func (c *core) Arrive(now time.Time, r request.Request) []Decision {
	if c.dispatched[r.ID] != nil || c.queue.Has(r.ID) {
		return []Decision{refuse(&attempt{request: r, mayHaveRun: true}, verdict.CodeDuplicate, 0,
			"a request with this ID is in progress")}
	}
	r.Class = min(max(r.Class, 0), len(c.document.Classes)-1)
	c.observeDemand(now, &r)
	return c.decide(now, attempt{request: r})
}

// decide dispatches, queues or refuses a request. The requests that wait for the same servers
// are dispatched first, so that a new request never overtakes them.
func (c *core) decide(now time.Time, a attempt) []Decision {
	c.refreshPaces(now)
	out := c.expire(now, nil)
	r := &a.request
	if !now.Before(r.Deadline) {
		return append(out, refuse(&a, verdict.CodeDeadlineExpired, 0, "the deadline has passed"))
	}
	t := c.target(keyOf(r))
	t.decisions++
	if r.SoftwareVersion != "" {
		return append(out, c.decideResumed(now, t, &a)...)
	}
	out = c.dispatchWaitingFor(now, t, out)
	in := c.routingInput(now, t, r, a.avoid)
	if chosen, candidate := c.choose(now, t, &in); chosen != nil {
		return append(out, c.dispatch(now, &a, chosen, &candidate))
	}
	if owners := c.roomOwners(now, t); len(owners) > 0 && r.PassedOnBy == "" && !a.mayHaveRun {
		return append(out, Decision{
			ID: r.ID, Action: PassOn, Peers: owners, Reason: "this instance has none of the slots of the servers, which are brittle",
		})
	}
	return append(out, c.enqueue(now, t, &a)...)
}

// enqueue queues a request for which there is no server now, or refuses it. If the queue of its
// class is full, a request of the workspace with the most waiting ones may be refused instead.
func (c *core) enqueue(now time.Time, t *target, a *attempt) []Decision {
	item, refusal := c.admit(now, t, a)
	if item == nil {
		return []Decision{refusal}
	}
	var out []Decision
	if last := c.queue.GivesWay(item); last != nil {
		out = append(out, c.refuseDisplaced(now, last))
	}
	if !c.queue.Push(t.lane, item) {
		// The class holds more than its limit since a new configuration, and is full without the displaced request as well.
		c.queue.Restore(t.lane, item)
	}
	c.observeWaiting(now, &item.Request)
	if len(t.copies) == 0 {
		return append(out, Decision{ID: item.Request.ID, Action: Queue, Reason: "no server holds what it needs yet"})
	}
	return append(out, Decision{ID: item.Request.ID, Action: Queue, Reason: "no server has room"})
}

// admit returns the item of a request that may wait, or else nil and the refusal.
func (c *core) admit(now time.Time, t *target, a *attempt) (*flowcontrol.Item, Decision) {
	r := &a.request
	serviceTime := c.predictServiceTime(now, t, r)
	prefill := c.predictPrefill(t, r)
	latest := latestStart(r, serviceTime, prefill)
	if wait, limited := c.waitForServers(now, t, t.lane.Len()); wait > 0 && !latest.After(now.Add(wait)) {
		return nil, c.refuseForNow(a, wait, limited)
	}
	wait := c.predictWait(now, t, r)
	answer := c.admission.Admit(admission.Query{
		Now: now, Deadline: r.Deadline, Wait: wait, ServiceTime: serviceTime,
		FirstEventBy: r.FirstEventBy, FirstEventTime: prefill,
	})
	if !answer.Admit {
		t.recentRefusals.add(now)
		t.refusedPrefill = prefill
		return nil, refuse(a, verdict.CodeDeadlineCannotBeMet, c.retryAfter(answer.RetryAfter),
			fmt.Sprintf("predicted wait %v and run %v exceed the time left", wait.Round(time.Millisecond), serviceTime.Round(time.Millisecond)))
	}
	item := &flowcontrol.Item{
		Request: *r, MayHaveRun: a.mayHaveRun, Work: serviceTime, PrefillTime: prefill,
		LateAt: c.lateAt(now, t, r, serviceTime, prefill), Cost: c.fairCost(r),
	}
	item.CheckAt = nextCheck(now, item, latest)
	if c.queue.Full(r.Class) && c.queue.GivesWay(item) == nil {
		return nil, refuse(a, verdict.CodeQueueFull, c.retryAfter(wait), "the queue of the class is full")
	}
	return item, Decision{}
}

// predictWait predicts how long a request would wait until a server can start it.
func (c *core) predictWait(now time.Time, t *target, r *request.Request) time.Duration {
	return c.predictQueueWait(now, t, r) + c.predictLoadWait(t) + c.predictPrefillWait(now, t, r)
}

// dispatch records that a request goes to the chosen copy.
func (c *core) dispatch(now time.Time, a *attempt, tc *targetCopy, chosen *routing.Candidate) Decision {
	s := tc.server
	c.dispatched[a.request.ID] = &dispatchedRequest{
		target: tc.target, targetCopy: tc, class: a.request.Class, deadline: a.request.Deadline,
		prefillTokens: chosen.PrefillTokens, maxTokens: a.request.MaxTokens,
		cached:           chosen.Cached,
		mayBeCached:      mayBeCached(&a.request, chosen.PrefillTokens),
		serverFull:       chosen.Ahead+1 >= chosen.Limit,
		predictedWait:    chosen.Wait,
		predictedBacklog: chosen.Backlog,
		estimate:         chosen.Estimate,
		dispatchedAt:     now,
		resumed:          a.request.SoftwareVersion != "",
	}
	if a.request.Suspect {
		c.dispatched[a.request.ID].suspect = true
		s.suspects++
	}
	if chosen.Probe {
		tc.target.lastProbe = now
	}
	if chosen.SlowProbe {
		c.slowProbeSent(now, s)
	}
	tc.target.dispatched++
	s.load.Dispatched(now, a.request.Class)
	if s.quota != nil {
		s.quota.Take(now)
	}
	c.digestsLeft[s] = digestsAfterIdle
	priority := a.request.Class
	if c.floor.Due(priority) {
		// The request is dispatched because the floor of its class is due, so the engine must
		// not hold it back in favor of more urgent classes.
		priority = 0
	}
	c.floor.Dispatched(a.request.Class, c.queue)
	c.recordService(tc.target, a)
	c.prefixes.RecordRun(now, a.request.PrefixKey, s.Name)
	c.recordSentPrompt(now, &a.request, s, chosen.PrefillTokens)
	return Decision{
		ID: a.request.ID, Action: Dispatch, Server: s.Name, Priority: priority,
		Reason: reason(now, a.request.Deadline, chosen),
	}
}

// reason describes a dispatch for the log. The predicted time is 0 if there is no prediction.
func reason(now, deadline time.Time, chosen *routing.Candidate) string {
	return fmt.Sprintf("predicted to finish in %d ms with %d ms left; %d requests ahead, limit %d",
		chosen.Finish().Milliseconds(), deadline.Sub(now).Milliseconds(), chosen.Ahead, chosen.Limit)
}

// refuse returns a refusal. Its verdict is NotRun only if no attempt may have run.
func refuse(a *attempt, code verdict.Code, retryAfter time.Duration, message string) Decision {
	err := verdict.Refused(code, "%s", message)
	err.RetryAfter = retryAfter
	if a.mayHaveRun {
		err.Verdict = verdict.MayHaveRun
	}
	return Decision{ID: a.request.ID, Action: Refuse, Reason: message, Err: err}
}

const (
	// minRetryAfter and maxRetryAfter bound how long a caller whose request was refused is
	// asked to wait before it sends the request again.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// retryAfter bounds the time to wait and adds up to a fifth at random, so that callers that
// were refused together don't come back together.
func (c *core) retryAfter(after time.Duration) time.Duration {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	return after + time.Duration(c.random.Int64N(int64(after)/5))
}
