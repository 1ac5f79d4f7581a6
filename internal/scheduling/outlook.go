package scheduling

import (
	"time"

	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// Outlook says what a request would do now.
type Outlook struct {
	Action Action
	// Server is where it would go, for Dispatch.
	Server string
	// Code is the cause, for Refuse.
	Code   verdict.Code
	Reason string
	// Candidates lists all servers that hold what the request needs.
	Candidates []OutlookCandidate
}

// OutlookCandidate is a server that a request could go to.
type OutlookCandidate struct {
	Server        string
	FailureDomain string
	// Outstanding estimates the requests on the server, from all instances.
	Outstanding int
	// Finish is the predicted time to the whole answer; 0 while nothing is known.
	Finish time.Duration
	// Excluded says why the server isn't eligible; empty means it is.
	Excluded string
}

// ClassLoad counts the requests of one class on this instance.
type ClassLoad struct {
	Waiting, Running int
}

// Outlook implements Scheduler. It changes nothing but the random source.
func (c *core) Outlook(now time.Time, r request.Request) Outlook {
	t := c.targets[keyOf(&r)]
	if t == nil || len(t.replicas) == 0 {
		return Outlook{Action: Queue, Reason: "no server holds what it needs yet"}
	}
	k := c.seeker(now, t, &r, "")
	out := Outlook{Candidates: c.outlookCandidates(now, t, &k)}
	if chosen, candidate := c.choose(now, t, &k); chosen != nil {
		out.Action, out.Server = Dispatch, chosen.server.Name
		out.Reason = reason(now, r.Deadline, &candidate)
		return out
	}
	d := c.outlookOfWait(now, t, r)
	out.Action, out.Reason = d.Action, d.Reason
	if d.Err != nil {
		out.Code = d.Err.Code
	}
	return out
}

// outlookOfWait queues the request and takes it out again.
func (c *core) outlookOfWait(now time.Time, t *target, r request.Request) Decision {
	d := c.wait(now, t, &attempt{request: r})
	if d.Action == Queue {
		c.queue.Cancel(r.ID)
	}
	return d
}

func (c *core) outlookCandidates(now time.Time, t *target, k *seeker) []OutlookCandidate {
	out := make([]OutlookCandidate, 0, len(t.replicas))
	for _, r := range t.replicas {
		candidate := c.candidate(now, r, k)
		out = append(out, OutlookCandidate{
			Server:        r.server.Name,
			FailureDomain: r.server.FailureDomain,
			Outstanding:   candidate.Total,
			Finish:        candidate.Finish(),
			Excluded:      c.exclusion(now, r, k),
		})
	}
	return out
}

func (c *core) exclusion(now time.Time, r *replica, k *seeker) string {
	switch {
	case r.server.leaving(now):
		return "leaving"
	case !r.server.usable(now):
		return "unreachable or backing off"
	case now.Before(r.backoff):
		return "backing off"
	case c.full(now, r.server, k.class):
		return "no room"
	}
	return ""
}

// ClassLoads implements Scheduler.
func (c *core) ClassLoads() []ClassLoad {
	out := make([]ClassLoad, len(c.document.Classes))
	for class := range out {
		out[class].Waiting = c.queue.Length(class)
	}
	for _, d := range c.running {
		out[d.class].Running++
	}
	return out
}
