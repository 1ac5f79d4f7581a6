package daemon

import (
	"sync"
	"time"

	"limpethub/internal/cluster"
	"limpethub/internal/forward"
	"limpethub/internal/front"
	"limpethub/internal/logging"
	"limpethub/internal/membership"
	"limpethub/internal/request"
	"limpethub/internal/settings"
	"limpethub/internal/verdict"
	"limpethub/internal/workspacequota"
)

const (
	// stillRunsFor is how long after it was last alive or on the platform's list a dead instance counts as one
	// that may still run: an entry of the list lasts 45 s. While the store is away, the list lacks entries that
	// still hold.
	stillRunsFor = 45 * time.Second
	// unreadListFor is how long after the start of the process limits aren't given out if the platform's list
	// can't be read. Without the list, an instance that starts knows no others.
	unreadListFor = 10 * time.Second
)

// buildQuotas builds the parts that keep the limits of workspaces.
func (d *Daemon) buildQuotas(h *hosted) {
	members := &quotaMembers{
		self: d.settings.Instance, cluster: d.cluster, now: d.bootNow, startedAt: d.bootNow(), seen: map[string]time.Time{},
	}
	h.quotas = workspacequota.New(workspacequota.Options{
		Self: d.settings.Instance, Process: uint64(d.startedAt.UnixMilli()), Rules: quotaRules(d.settings.WorkspaceQuota),
		Sender: d.cluster, Transport: d.plugins.peers, Members: members.current, Now: d.bootNow, Seed: d.seed,
		Logger: d.log(logging.Gateway),
	})
	d.cluster.OnChange(func(membership.Transition) { h.quotas.MembersChanged() })
}

func quotaRules(s settings.WorkspaceQuota) workspacequota.Rules {
	if s.WindowSeconds <= 0 {
		return workspacequota.DefaultRules()
	}
	return workspacequota.Rules{Window: time.Duration(s.WindowSeconds * float64(time.Second)), Over: s.Over, Slack: s.Slack}
}

// quotaMembers tells which instances are alive and which may still run.
type quotaMembers struct {
	self      string
	cluster   *cluster.Cluster
	now       func() time.Time
	startedAt time.Time

	mu sync.Mutex
	// seen is when an instance was last alive or on the platform's list, or became known.
	seen map[string]time.Time
}

// current returns the members now.
func (q *quotaMembers) current() workspacequota.Members {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	members := q.cluster.Members()
	out := q.count(now, members)
	if !q.cluster.ListRead() && now.Sub(q.startedAt) < unreadListFor {
		out.Covered = 0
	}
	return out
}

func (q *quotaMembers) count(now time.Time, members []membership.Member) workspacequota.Members {
	var out workspacequota.Members
	names := make(map[string]bool, len(members))
	for _, m := range members {
		names[m.Name] = true
		if _, isKnown := q.seen[m.Name]; !isKnown || m.State != membership.Dead || m.Listed {
			q.seen[m.Name] = now
		}
		if m.State == membership.Dead && now.Sub(q.seen[m.Name]) >= stillRunsFor {
			continue
		}
		out.Known++
		if m.State == membership.Alive || m.State == membership.Leaving {
			out.Covered++
		}
		if m.State == membership.Alive {
			out.Candidates = append(out.Candidates, m.Name)
		}
		if m.Reachable() && m.Name != q.self {
			out.Peers = append(out.Peers, m.Name)
		}
	}
	for name := range q.seen {
		if !names[name] {
			delete(q.seen, name)
		}
	}
	return out
}

// quotaAdmitter counts requests against the limits of their workspaces.
type quotaAdmitter struct{ quotas *workspacequota.Quotas }

var (
	_ front.Admitter = quotaAdmitter{}
	_ forward.Quota  = quotaAdmitter{}
)

// Admit implements front.Admitter.
func (a quotaAdmitter) Admit(r *request.Request) error {
	v := a.quotas.Admit(r.Workspace, r.Cost)
	if v.Admitted {
		return nil
	}
	refused := verdict.Refused(verdict.CodeOverQuota, "workspace %s is over its limit: cost %d, balance %.0f, reason %s", r.Workspace, r.Cost, v.Balance, v.Reason)
	refused.RetryAfter = v.RetryAfter
	return refused
}

// Charge implements forward.Quota.
func (a quotaAdmitter) Charge(r *request.Request) { a.quotas.Charge(r.Workspace, r.Cost) }

// Return implements front.Admitter and forward.Quota.
func (a quotaAdmitter) Return(r *request.Request) { a.quotas.Return(r.Workspace, r.Cost) }
