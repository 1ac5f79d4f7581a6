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

// dispatched is a request that this instance has on a server.
type dispatched struct {
	target   *target
	replica  *replica
	class    int
	deadline time.Time
	// prompt is how many tokens of the prompt the server probably has to read.
	prompt int
	max    int
	// unread is what the server's unread tokens count for the request until its answer
	// begins.
	unread int
	// tokens is how many events have come.
	tokens int
	cached bool
	// uncertain is true when others may have brought a large part of the prompt into the
	// server's cache.
	uncertain bool
	full      bool
	// wait is the predicted wait in the server.
	wait time.Duration
	// estimate is what was predicted without a wait.
	estimate predict.Estimate
}

// attempt is a request on its way to a server or into the queue.
type attempt struct {
	request request.Request
	// unclear is true when an earlier attempt may have run.
	unclear bool
	// avoid is the server of the last attempt, if another one can take the request.
	avoid string
}

// Arrive implements Scheduler. A request whose ID is running or waiting here is
// refused as a duplicate that may have run.
func (c *core) Arrive(now time.Time, r request.Request) []Decision {
	if c.running[r.ID] != nil || c.queue.Has(r.ID) {
		return []Decision{refuse(&attempt{request: r, unclear: true}, verdict.CodeDuplicate, 0,
			"a request with this ID is in progress")}
	}
	r.Class = min(max(r.Class, 0), len(c.document.Classes)-1)
	return c.place(now, attempt{request: r})
}

// place dispatches, queues or refuses a request. Work that waits for the same
// servers goes first, so that a newcomer never overtakes it.
func (c *core) place(now time.Time, a attempt) []Decision {
	out := c.expire(now, nil)
	r := &a.request
	if !now.Before(r.Deadline) {
		return append(out, refuse(&a, verdict.CodeDeadlineExpired, 0, "the deadline has passed"))
	}
	t := c.target(keyOf(r))
	t.turn++
	out = c.drainTarget(now, t, out)
	k := c.seeker(now, t, r, a.avoid)
	if chosen, candidate := c.choose(now, t, &k); chosen != nil {
		return append(out, c.dispatch(now, &a, chosen, &candidate))
	}
	return append(out, c.wait(now, t, &a))
}

// wait queues a request that found no server, or refuses it.
func (c *core) wait(now time.Time, t *target, a *attempt) Decision {
	r := &a.request
	service := c.service(now, t, r)
	reading := c.predictReading(t, r)
	wait := c.predictWait(now, t, r.Class) + c.predictLoad(t) + c.readingAhead(now, t, r.Class)
	answer := c.admit.Admit(admission.Query{Now: now, Deadline: r.Deadline, Wait: wait, Service: service})
	if !answer.Admit {
		t.refused.add(now)
		return refuse(a, verdict.CodeCannotMeet, c.comeBack(answer.RetryAfter),
			fmt.Sprintf("predicted wait %v and run %v exceed the time left", wait.Round(time.Millisecond), service.Round(time.Millisecond)))
	}
	item := &flowcontrol.Item{Request: *r, Unclear: a.unclear, Work: service, Reading: reading, Expiry: r.Deadline.Add(-service)}
	if !c.queue.Push(t.lane, item) {
		return refuse(a, verdict.CodeQueueFull, c.comeBack(wait), "the queue of the class is full")
	}
	if len(t.replicas) == 0 {
		return Decision{ID: r.ID, Action: Queue, Reason: "no server holds what it needs yet"}
	}
	return Decision{ID: r.ID, Action: Queue, Reason: "no server has room"}
}

// dispatch sends a request to the chosen replica.
func (c *core) dispatch(now time.Time, a *attempt, r *replica, chosen *routing.Candidate) Decision {
	s := r.server
	c.running[a.request.ID] = &dispatched{
		target: r.target, replica: r, class: a.request.Class, deadline: a.request.Deadline,
		prompt: chosen.Unread, max: a.request.MaxTokens,
		cached:    chosen.Cached,
		uncertain: mayBeCached(&a.request, chosen.Unread),
		full:      chosen.Ahead+1 >= chosen.Limit,
		wait:      chosen.Wait,
		estimate:  chosen.Estimate,
	}
	if chosen.Probe {
		r.target.probed = now
	}
	r.target.running++
	s.load.Dispatched(now, a.request.Class)
	c.busy[s] = digestsAfterIdle
	priority := a.request.Class
	if c.floor.Due(priority) {
		// The engine must not hold back what is due by its floor.
		priority = 0
	}
	c.floor.Dispatched(a.request.Class, c.queue)
	c.prefixes.Ran(now, a.request.PrefixKey, s.Name)
	c.sendPrefix(now, &a.request, s, chosen.Unread)
	return Decision{
		ID: a.request.ID, Action: Dispatch, Server: s.Name, Priority: priority,
		Reason: reason(now, a.request.Deadline, chosen),
	}
}

func reason(now, deadline time.Time, chosen *routing.Candidate) string {
	return fmt.Sprintf("predicted %d ms of %d left, %d of %d on the server",
		chosen.Finish().Milliseconds(), deadline.Sub(now).Milliseconds(), chosen.Ahead, chosen.Limit)
}

// refuse builds a refusal. It says NotRun only if no attempt may have run.
func refuse(a *attempt, code verdict.Code, retryAfter time.Duration, why string) Decision {
	err := verdict.Refused(code, "%s", why)
	err.RetryAfter = retryAfter
	if a.unclear {
		err.Verdict = verdict.MayHaveRun
	}
	return Decision{ID: a.request.ID, Action: Refuse, Reason: why, Err: err}
}

const (
	// soonest and latest bound the time after which a refused caller may come back.
	soonest = 200 * time.Millisecond
	latest  = 30 * time.Second
)

// comeBack bounds a time to come back and spreads it by a fifth, so that callers
// refused together don't return together.
func (c *core) comeBack(after time.Duration) time.Duration {
	after = min(max(after, soonest), latest)
	return after + time.Duration(c.random.Int64N(int64(after)/5))
}
