package scheduling

import (
	"time"

	"limpethub/internal/request"
	"limpethub/internal/scheduling/flowcontrol"
	"limpethub/internal/scheduling/predict"
	"limpethub/internal/scheduling/routing"
	"limpethub/internal/verdict"
)

// tickPeriod is how often waiting work is looked at without another event.
const tickPeriod = 50 * time.Millisecond

// Tick implements Scheduler.
func (c *core) Tick(now time.Time) []Decision { return c.advance(now) }

// Cancel implements Scheduler.
func (c *core) Cancel(now time.Time, id request.ID) []Decision {
	c.queue.Cancel(id)
	return c.expire(now, nil)
}

// advance refuses what can no longer make it and dispatches what can go now.
func (c *core) advance(now time.Time) []Decision {
	c.ticked = now
	c.forgetPeers(now)
	out := c.expire(now, nil)
	if c.queue.Len() == 0 {
		return out
	}
	for _, s := range c.sortedServers() {
		out = c.drain(now, s, out)
	}
	return out
}

func (c *core) drainAfterExpiry(now time.Time, s *server) []Decision {
	return c.drain(now, s, c.expire(now, nil))
}

// expire refuses at once what waits and can no longer make its deadline.
func (c *core) expire(now time.Time, out []Decision) []Decision {
	for item := c.queue.Expired(now); item != nil; item = c.queue.Expired(now) {
		t := c.target(keyOf(&item.Request))
		if latest := c.latestStart(now, t, &item.Request); latest.After(now) {
			c.queue.SetExpiry(item, latest)
			continue
		}
		c.queue.Remove(item)
		out = append(out, c.refuseWaiting(t, item))
	}
	return out
}

// latestStart is when the request must be on a server to make its deadline.
func (c *core) latestStart(now time.Time, t *target, r *request.Request) time.Time {
	return r.Deadline.Add(-c.service(now, t, r))
}

// service is the shortest predicted duration of a request; 0 while nothing is known. For
// discovered engines what is known of all models stands in for a model that has no copy.
func (c *core) service(now time.Time, t *target, r *request.Request) time.Duration {
	if service, known := c.fastest(now, t, r); known {
		return service
	}
	if len(r.Prefix) == 0 {
		return 0
	}
	estimate := predict.NewSpeed(&predict.Server{}, t.learned).Estimate(now, r.PromptTokens, r.MaxTokens, false)
	if !estimate.Known {
		return 0
	}
	return estimate.Total
}

func (c *core) refuseWaiting(t *target, item *flowcontrol.Item) Decision {
	a := attempt{request: item.Request, unclear: item.Unclear}
	if len(t.replicas) == 0 {
		load := time.Duration(c.document.Budgets.LoadMillis) * time.Millisecond
		return refuse(&a, verdict.CodeNoServer, c.comeBack(load), "no server got what it needs in time")
	}
	return refuse(&a, verdict.CodeCannotMeet, c.comeBack(item.Work), "waited until the deadline could no longer be met")
}

// drainTarget gives the servers of a target what waits for them.
func (c *core) drainTarget(now time.Time, t *target, out []Decision) []Decision {
	if c.queue.Len() == 0 {
		return out
	}
	// A dispatch can make a floor due, and so room for what found none before.
	for before := -1; before != len(out); {
		before = len(out)
		for _, r := range t.replicas {
			out = c.drain(now, r.server, out)
		}
	}
	return out
}

// drain gives a server what waits for it, the most urgent first, while it has room.
func (c *core) drain(now time.Time, s *server, out []Decision) []Decision {
	if c.queue.Len() == 0 || !s.usable(now) || c.full(now, s, 0) {
		return out
	}
	c.round++
	for {
		r, item := c.nextFor(now, s)
		if item == nil {
			break
		}
		candidate, ok := c.chooseOne(now, r, item)
		if !ok {
			c.passOver(r.target, item, &candidate)
			continue
		}
		c.queue.Remove(item)
		a := attempt{request: item.Request, unclear: item.Unclear}
		out = append(out, c.dispatch(now, &a, r, &candidate))
		// The dispatch may have made a floor due, and so room for a blocked class.
		c.round++
	}
	c.putBack()
	return out
}

// maxAside bounds how many waiting requests one pass sets aside.
const maxAside = 32

// passOver keeps the rest of the pass from trying the same request again. Where the
// server has no room, it has none for the rest of the class either. Where the request
// is only too late for this server, those behind it may yet make it.
func (c *core) passOver(t *target, item *flowcontrol.Item, candidate *routing.Candidate) {
	if (candidate.Ahead >= candidate.Limit && candidate.OwnAhead >= candidate.Share) || len(c.aside) >= maxAside {
		t.blocked[item.Request.Class] = c.round
		return
	}
	c.queue.SetAside(item)
	c.aside = append(c.aside, item)
}

func (c *core) putBack() {
	for _, item := range c.aside {
		c.queue.PutBack(item)
	}
	c.aside = c.aside[:0]
}

// nextFor returns what should go to the server next: the first request of a class
// whose floor is due, else the most urgent class's with the earliest deadline.
func (c *core) nextFor(now time.Time, s *server) (*replica, *flowcontrol.Item) {
	var best *replica
	var first *flowcontrol.Item
	for _, r := range s.replicas {
		if r.target.lane.Len() == 0 || now.Before(r.backoff) {
			continue
		}
		item := c.nextIn(r)
		if item != nil && (first == nil || c.before(item, first)) {
			best, first = r, item
		}
	}
	return best, first
}

// nextIn returns the first request of a target that wasn't blocked in this round.
func (c *core) nextIn(r *replica) *flowcontrol.Item {
	var first *flowcontrol.Item
	for class := range c.document.Classes {
		item := r.target.lane.First(class)
		if item == nil || r.target.blocked[class] == c.round {
			continue
		}
		if first == nil || c.before(item, first) {
			first = item
		}
	}
	return first
}

func (c *core) before(a, b *flowcontrol.Item) bool {
	classA, classB := a.Request.Class, b.Request.Class
	if classA != classB {
		dueA, dueB := c.floor.Due(classA), c.floor.Due(classB)
		if dueA != dueB {
			return dueA
		}
		return classA < classB
	}
	return a.Request.Deadline.Before(b.Request.Deadline)
}

// chooseOne asks the policy whether the waiting request may go to the replica.
func (c *core) chooseOne(now time.Time, r *replica, item *flowcontrol.Item) (routing.Candidate, bool) {
	k := c.seeker(now, r.target, &item.Request, "")
	c.candidates = append(c.candidates[:0], c.candidate(now, r, &k))
	c.choices = append(c.choices[:0], r)
	chosen, _ := c.chooseAmong(now, r.target, &k)
	return c.candidates[0], chosen != nil
}

// predictWait predicts how long a request of a class would wait here, from the work
// waiting ahead of it for the same servers and from how much this instance has on
// them at once. A class with a floor waits no longer than its floor makes it.
func (c *core) predictWait(now time.Time, t *target, class int) time.Duration {
	if c.queue.Len() == 0 || len(t.replicas) == 0 {
		return 0
	}
	var ahead, own float64
	places := 0
	for _, r := range t.replicas {
		if !r.server.usable(now) {
			continue
		}
		places += max(1, r.server.load.Own())
		for _, other := range r.server.replicas {
			sharers := float64(len(other.target.replicas))
			ahead += float64(other.target.lane.WorkUpTo(class)) / sharers
			own += float64(other.target.lane.Work(class)) / sharers
		}
	}
	if places == 0 {
		return 0
	}
	if share := c.document.Classes[class].FloorShare; share > 0 {
		ahead = min(ahead, own/share)
	}
	return time.Duration(ahead / float64(places))
}
