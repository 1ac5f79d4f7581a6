package scheduling

import (
	"time"

	"limpethub/internal/request"
	"limpethub/internal/scheduling/flowcontrol"
	"limpethub/internal/verdict"
)

// fairCost returns what a request counts as service to its workspace: its tokens, or what it counts
// against the limit of its workspace if that is more, since not all callers state their tokens. It
// is 0 in a deployment without workspaces, whose requests are ordered by deadline only.
func (c *core) fairCost(r *request.Request) float64 {
	if !c.document.RequireKeys {
		return 0
	}
	return float64(max(1, r.Cost, r.PromptTokens+r.MaxTokens))
}

// recordService counts a dispatch as service to its workspace. A request that didn't wait, while none
// of its class waited for the same target, has used room that no other workspace asked for, and doesn't
// count.
func (c *core) recordService(t *target, a *attempt) {
	if a.waited || t.lane.Waiting(a.request.Class) > 0 {
		t.lane.Fair(a.request.Class).Serve(a.request.Workspace, c.fairCost(&a.request))
	}
}

// sharesAhead tells which share of the work that waits in a lane goes before a new request of a
// workspace. The shares are computed once for each lane of a decision.
type sharesAhead struct {
	class int
	start float64
	known map[*target]float64
}

func (c *core) sharesAhead(t *target, r *request.Request) sharesAhead {
	start := t.lane.Fair(r.Class).NextStart(r.Workspace) + c.fairCost(r)
	clear(c.shareBuffer)
	return sharesAhead{class: r.Class, start: start, known: c.shareBuffer}
}

func (s *sharesAhead) of(t *target) float64 {
	if t.lane.Waiting(s.class) == 0 {
		return 1
	}
	share, known := s.known[t]
	if !known {
		share = t.lane.Fair(s.class).ShareAhead(s.start)
		s.known[t] = share
	}
	return share
}

// refuseDisplaced removes a waiting request that gives way to one of another workspace.
func (c *core) refuseDisplaced(now time.Time, item *flowcontrol.Item) Decision {
	c.queue.Remove(item)
	a := attempt{request: item.Request, mayHaveRun: item.MayHaveRun}
	wait := c.predictWait(now, c.target(keyOf(&item.Request)), &item.Request)
	return refuse(&a, verdict.CodeQueueFull, c.retryAfter(wait), "the queue of the class is full, and its workspace has the most requests in it")
}

// WorkspacesWaiting implements Scheduler. Requests without a workspace aren't counted.
func (c *core) WorkspacesWaiting() map[string]int {
	out := c.queue.Workspaces()
	delete(out, "")
	return out
}
