package scheduling

import (
	"time"

	"limpethub/internal/request"
	"limpethub/internal/scheduling/flowcontrol"
	"limpethub/internal/scheduling/predict"
	"limpethub/internal/scheduling/routing"
	"limpethub/internal/verdict"
)

// tickPeriod is how often waiting requests are checked if there is no other event.
const tickPeriod = 50 * time.Millisecond

func (c *core) Tick(now time.Time) []Decision { return c.advance(now) }

func (c *core) Cancel(now time.Time, id request.ID) []Decision {
	c.queue.Cancel(id)
	return c.expire(now, nil)
}

// advance refuses waiting requests that can no longer meet their deadline, and dispatches
// those that have room now.
func (c *core) advance(now time.Time) []Decision {
	c.lastAdvance = now
	c.expirePeers(now)
	c.recheckPaused(now)
	out := c.expire(now, nil)
	if c.queue.Len() == 0 {
		return out
	}
	for _, s := range c.serversWithWaiting() {
		out = c.dispatchWaiting(now, s, out)
	}
	return out
}

// expireAndDispatch refuses waiting requests that can no longer meet their deadline, and
// dispatches those that the server has room for.
func (c *core) expireAndDispatch(now time.Time, s *server) []Decision {
	return c.dispatchWaiting(now, s, c.expire(now, nil))
}

// expire refuses waiting requests that can no longer meet their deadline, and marks those that
// can no longer meet their latency objective. A request whose predicted duration has become
// shorter gets a later time for its next check instead.
func (c *core) expire(now time.Time, out []Decision) []Decision {
	for item := c.queue.DueForCheck(now); item != nil; item = c.queue.DueForCheck(now) {
		t := c.target(keyOf(&item.Request))
		pause, limited := c.waitForServers(now, t, 0)
		r := &item.Request
		if c.versionIsGone(now, t, r) {
			c.queue.Remove(item)
			out = append(out, c.refuseVersion(&attempt{request: item.Request, mayHaveRun: item.MayHaveRun}))
			continue
		}
		if !item.LateAt.IsZero() && !now.Before(item.LateAt) {
			c.queue.MarkLate(item)
		}
		if latest := latestStart(r, c.predictServiceTime(now, t, r), c.predictPrefill(t, r)); latest.After(now.Add(pause)) {
			c.queue.SetCheckAt(item, nextCheck(now, item, latest))
			continue
		}
		c.queue.Remove(item)
		if pause > 0 {
			out = append(out, c.refuseForNow(&attempt{request: item.Request, mayHaveRun: item.MayHaveRun}, pause, limited))
			continue
		}
		out = append(out, c.refuseWaiting(t, item))
	}
	return out
}

// latestStart returns when the request must be on a server to meet its deadline, and to send the
// first event before its caller leaves.
func latestStart(r *request.Request, serviceTime, prefill time.Duration) time.Time {
	latest := r.Deadline.Add(-serviceTime)
	if r.FirstEventBy.IsZero() {
		return latest
	}
	return earlier(latest, r.FirstEventBy.Add(-prefill))
}

// lateAt returns from when a waiting request can't meet its latency objective any more; zero if it
// has none. A server that is at its limit for the request makes a stream wait before it begins.
func (c *core) lateAt(now time.Time, t *target, r *request.Request, serviceTime, prefill time.Duration) time.Time {
	switch {
	case r.Objective.IsZero():
		return time.Time{}
	case r.FirstEventBy.IsZero():
		return r.Objective.Add(-serviceTime)
	}
	return r.Objective.Add(-prefill - shortestWaitAtLimit(now, t, r))
}

// shortestWaitAtLimit returns the shortest predicted wait of a request in a server of the target
// that is at its limit for it.
func shortestWaitAtLimit(now time.Time, t *target, r *request.Request) time.Duration {
	shortest, found := time.Duration(0), false
	for _, tc := range t.copies {
		if !tc.server.usable(now) {
			continue
		}
		limit := tc.server.limitFor(r)
		if wait := tc.server.predictServerWait(limit, limit-1); !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	return shortest
}

// nextCheck returns when an item that must be on a server at latest is to be checked next.
func nextCheck(now time.Time, item *flowcontrol.Item, latest time.Time) time.Time {
	if item.Request.SoftwareVersion != "" {
		latest = earlier(latest, now.Add(versionCheckPeriod))
	}
	if item.Late || item.LateAt.IsZero() {
		return latest
	}
	return earlier(latest, item.LateAt)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// predictServiceTime predicts the duration of a request on its fastest server; 0 if there is
// no prediction. For a request whose prompt parts are known (Prefix), it falls back on what was
// learned of the model on other servers or of all targets, so that it also has a prediction for
// a model without copies.
func (c *core) predictServiceTime(now time.Time, t *target, r *request.Request) time.Duration {
	if serviceTime, known := c.shortestDuration(now, t, r); known {
		return serviceTime
	}
	if len(r.Prefix) == 0 {
		return 0
	}
	estimate := predict.NewSpeed(&predict.Server{}, t.prediction).Estimate(now, r.PromptTokens, r.MaxTokens, false)
	if !estimate.Known {
		return 0
	}
	return estimate.Total
}

// refuseWaiting refuses a request that has waited until its deadline could no longer be met. Its
// caller is asked to retry after the time of a load or, if the target has copies, after the
// predicted duration of the request.
func (c *core) refuseWaiting(t *target, item *flowcontrol.Item) Decision {
	a := attempt{request: item.Request, mayHaveRun: item.MayHaveRun}
	if len(t.copies) == 0 {
		load := time.Duration(c.document.Budgets.LoadMillis) * time.Millisecond
		return refuse(&a, verdict.CodeNoServer, c.retryAfter(load), "no server got what it needs in time")
	}
	return refuse(&a, verdict.CodeDeadlineCannotBeMet, c.retryAfter(item.Work), "waited until the deadline could no longer be met")
}

// dispatchWaitingFor dispatches waiting requests to the servers of a target.
func (c *core) dispatchWaitingFor(now time.Time, t *target, out []Decision) []Decision {
	if c.queue.Len() == 0 {
		return out
	}
	// A dispatch can make the floor of a class due, and its requests then have room where they
	// had none before.
	for before := -1; before != len(out); {
		before = len(out)
		for _, tc := range t.copies {
			out = c.dispatchWaiting(now, tc.server, out)
		}
	}
	return out
}

// dispatchWaiting dispatches waiting requests to a server while it has room, in the order of
// goesBefore.
func (c *core) dispatchWaiting(now time.Time, s *server, out []Decision) []Decision {
	if c.queue.Len() == 0 || !s.usable(now) || c.full(now, s, 0, s.limit.Value()) {
		return out
	}
	c.pass++
	for !s.atLimit(now) {
		tc, item := c.nextForServer(now, s)
		if item == nil {
			break
		}
		if !s.hasVersion(&item.Request) {
			c.hide(item)
			continue
		}
		if !c.hasTurn(now, s, &item.Request) {
			// The others of the class have no turn either.
			tc.target.blockedInPass[item.Request.Class] = c.pass
			continue
		}
		candidate, ok := c.policyAccepts(now, tc, item)
		if !ok {
			c.skip(tc.target, item, &candidate)
			continue
		}
		c.queue.Remove(item)
		a := attempt{request: item.Request, mayHaveRun: item.MayHaveRun, waited: true}
		out = append(out, c.dispatch(now, &a, tc, &candidate))
		// The dispatch may have made the floor of a blocked class due.
		c.pass++
	}
	c.restoreSkipped()
	return out
}

// maxSkipped bounds how many waiting requests one call of dispatchWaiting hides.
const maxSkipped = 32

// skip keeps the rest of the pass from trying the same request again. If the server has no
// room for the request (the condition of routing.room), it has none for the rest of its class either, so
// the class is blocked. If the server has room but the policy declines the request for it,
// because it would finish too late or the server's backlog is too long, the request is hidden from
// its lane, since the policy may accept the requests behind it. The class is also blocked once
// maxSkipped requests are hidden, which bounds the work.
func (c *core) skip(t *target, item *flowcontrol.Item, candidate *routing.Candidate) {
	full := candidate.Ahead >= candidate.Limit &&
		!routing.WithinShare(candidate.Ahead, candidate.OwnAhead, candidate.Limit, candidate.Share)
	if full || len(c.skipped) >= maxSkipped {
		t.blockedInPass[item.Request.Class] = c.pass
		return
	}
	c.hide(item)
}

// hide keeps a request out of its lane for the rest of the pass.
func (c *core) hide(item *flowcontrol.Item) {
	c.queue.Hide(item)
	c.skipped = append(c.skipped, item)
}

// restoreSkipped makes the requests that skip has hidden visible in their lanes again.
func (c *core) restoreSkipped() {
	for _, item := range c.skipped {
		c.queue.Unhide(item)
	}
	c.skipped = c.skipped[:0]
}

// nextForServer returns the waiting request that should go to the server next, and the copy it
// would use: the first one in the order of goesBefore among those that aren't blocked.
func (c *core) nextForServer(now time.Time, s *server) (*targetCopy, *flowcontrol.Item) {
	var copyOfFirst *targetCopy
	var first *flowcontrol.Item
	for _, tc := range s.copies {
		if tc.target.lane.Len() == 0 || now.Before(tc.backoffUntil) {
			continue
		}
		item := c.nextForCopy(tc)
		if item != nil && (first == nil || c.goesBefore(item, first)) {
			copyOfFirst, first = tc, item
		}
	}
	return copyOfFirst, first
}

// nextForCopy returns the next request for the copy's target among the classes that aren't
// blocked in this pass.
func (c *core) nextForCopy(tc *targetCopy) *flowcontrol.Item {
	var first *flowcontrol.Item
	for class := range c.document.Classes {
		item := tc.target.lane.First(class)
		if item == nil || tc.target.blockedInPass[class] == c.pass {
			continue
		}
		if first == nil || c.goesBefore(item, first) {
			first = item
		}
	}
	return first
}

// goesBefore reports whether a is dispatched before b: first a class whose floor is due, then
// the more urgent class, then one that can still meet its objective, then the workspace with less
// service, then the earlier deadline. Without workspaces all starts are equal.
func (c *core) goesBefore(a, b *flowcontrol.Item) bool {
	classA, classB := a.Request.Class, b.Request.Class
	if classA != classB {
		dueA, dueB := c.floor.Due(classA), c.floor.Due(classB)
		if dueA != dueB {
			return dueA
		}
		return classA < classB
	}
	if a.Late != b.Late {
		return b.Late
	}
	if startA, startB := a.Start(), b.Start(); startA != startB {
		return startA < startB
	}
	return a.Request.Deadline.Before(b.Request.Deadline)
}

// policyAccepts asks the policy whether the waiting request may go to the copy.
func (c *core) policyAccepts(now time.Time, tc *targetCopy, item *flowcontrol.Item) (routing.Candidate, bool) {
	in := c.routingInput(now, tc.target, &item.Request, "")
	c.candidates = append(c.candidates[:0], c.candidate(now, tc, &in))
	c.candidateCopies = append(c.candidateCopies[:0], tc)
	chosen, _ := c.chooseAmong(now, tc.target, &in)
	return c.candidates[0], chosen != nil
}

// predictQueueWait predicts how long a request would wait on this instance. It divides the work of
// the waiting requests that go before it and can use the same servers by the number of requests that
// this instance has on those servers. The work of each target is split evenly over its copies. The
// share of the dispatches that a floor guarantees bounds the predicted wait of its class.
func (c *core) predictQueueWait(now time.Time, t *target, r *request.Request) time.Duration {
	if c.queue.Len() == 0 || len(t.copies) == 0 {
		return 0
	}
	class := r.Class
	shares := c.sharesAhead(t, r)
	var ahead, ownClass float64
	concurrency := 0
	for _, tc := range t.copies {
		if !tc.server.usable(now) {
			continue
		}
		concurrency += max(1, tc.server.load.Own())
		for _, other := range tc.server.copies {
			copyCount := float64(len(other.target.copies))
			ahead += float64(other.target.lane.WorkUpTo(class, shares.of(other.target))) / copyCount
			ownClass += float64(other.target.lane.Work(class)) / copyCount
		}
	}
	if concurrency == 0 {
		return 0
	}
	if share := c.document.Classes[class].FloorShare; share > 0 {
		ahead = min(ahead, ownClass/share)
	}
	return time.Duration(ahead / float64(concurrency))
}
