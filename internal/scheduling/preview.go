package scheduling

import (
	"time"

	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// Preview describes what would be decided about a request now.
type Preview struct {
	Action Action
	// Server is where the request would run, for Dispatch.
	Server string
	// Code is why the request would be refused, for Refuse.
	Code   verdict.Code
	Reason string
	// Candidates lists all servers that hold what the request needs, including excluded ones.
	Candidates []PreviewCandidate
}

// PreviewCandidate describes a server that a request could run on.
type PreviewCandidate struct {
	Server        string
	FailureDomain string
	// Outstanding estimates the requests on the server, from all instances.
	Outstanding int
	// Finish is the predicted time to the end of the answer; 0 if there is no prediction.
	Finish time.Duration
	// Excluded is why the server is excluded before the policy's filters are applied; empty if
	// it isn't. The filters may still decline a server for which it is empty.
	Excluded string
}

// ClassLoad counts the requests of one class on this instance. Running counts all dispatched
// requests, also those whose answer hasn't begun.
type ClassLoad struct {
	Waiting, Running int
}

// Preview implements Scheduler. It leaves the waiting and dispatched requests as they are, but
// advances the random source, which the next decision uses, and counts a refusal as recent
// demand.
func (c *core) Preview(now time.Time, r request.Request) Preview {
	t := c.targets[keyOf(&r)]
	if t == nil || len(t.copies) == 0 {
		return Preview{Action: Queue, Reason: "no server holds what it needs yet"}
	}
	in := c.routingInput(now, t, &r, "")
	out := Preview{Candidates: c.previewCandidates(now, t, &in)}
	if chosen, candidate := c.choose(now, t, &in); chosen != nil {
		out.Action, out.Server = Dispatch, chosen.server.Name
		out.Reason = reason(now, r.Deadline, &candidate)
		return out
	}
	d := c.simulateEnqueue(now, t, &r)
	out.Action, out.Reason = d.Action, d.Reason
	if d.Err != nil {
		out.Code = d.Err.Code
	}
	return out
}

// simulateEnqueue returns what enqueue would decide about the request.
func (c *core) simulateEnqueue(now time.Time, t *target, r *request.Request) Decision {
	item, refusal := c.admit(now, t, &attempt{request: *r})
	if item == nil {
		return refusal
	}
	return Decision{Action: Queue, Reason: "no server has room"}
}

func (c *core) previewCandidates(now time.Time, t *target, in *routingInput) []PreviewCandidate {
	out := make([]PreviewCandidate, 0, len(t.copies))
	for _, tc := range t.copies {
		candidate := c.candidate(now, tc, in)
		out = append(out, PreviewCandidate{
			Server:        tc.server.Name,
			FailureDomain: tc.server.FailureDomain,
			Outstanding:   candidate.Total,
			Finish:        candidate.Finish(),
			Excluded:      c.exclusionReason(now, tc, in),
		})
	}
	return out
}

// exclusionReason returns why a copy is excluded before the policy's filters are applied; empty if
// it isn't.
func (c *core) exclusionReason(now time.Time, tc *targetCopy, in *routingInput) string {
	switch {
	case tc.server.leaving(now):
		return "leaving"
	case !tc.server.usable(now):
		return "unreachable or backing off"
	case now.Before(tc.backoffUntil):
		return "backing off"
	case c.full(now, tc.server, in.class, tc.server.limitFor(in.request)):
		return "no room"
	}
	return ""
}

func (c *core) ClassLoads() []ClassLoad {
	out := make([]ClassLoad, len(c.document.Classes))
	for class := range out {
		out[class].Waiting = c.queue.Length(class)
	}
	for _, d := range c.dispatched {
		// A request keeps the class that it had when it was sent. The document may have fewer now.
		if d.class < len(out) {
			out[d.class].Running++
		}
	}
	return out
}
