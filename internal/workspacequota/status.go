package workspacequota

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// WorkspaceStatus describes the quota of one workspace as one instance knows it. Amounts are in tokens or in
// requests, whichever the limit counts.
type WorkspaceStatus struct {
	Workspace string  `json:"workspace"`
	PerSecond float64 `json:"per_second"`
	// Limiter is the instance that counts for all.
	Limiter string `json:"limiter"`
	// Balance, Admit (which share of the requests is admitted, at most 1) and Covered (the part of the limit that
	// the limiter gives out) are of the last state. StateAgeMillis is its age, in milliseconds; negative if there is
	// no state that counts.
	Balance        float64 `json:"balance"`
	Admit          float64 `json:"admit"`
	Covered        float64 `json:"covered"`
	StateAgeMillis int64   `json:"state_age_ms"`
	Counts         Counts  `json:"counts"`
}

// Status describes the workspaces with a limit, in the order of their names.
func (n *Node) Status(now time.Time) []WorkspaceStatus {
	out := make([]WorkspaceStatus, 0, len(n.ordered))
	for _, w := range n.ordered {
		s := WorkspaceStatus{Workspace: w.name, PerSecond: w.limit.PerSecond, Limiter: w.elected, StateAgeMillis: -1, Counts: w.counts}
		if age, ok := w.share.age(now); ok {
			state := &w.share.state
			s.Balance, s.Admit, s.Covered, s.StateAgeMillis = state.Balance, min(1, state.Admit), state.Covered, age.Milliseconds()
		}
		out = append(out, s)
	}
	return out
}

var (
	admittedDesc = prometheus.NewDesc("limpethub_quota_admitted_total", "What was admitted of a workspace with a limit, in tokens or requests, whichever the limit counts.", []string{"workspace"}, nil)
	refusedDesc  = prometheus.NewDesc("limpethub_quota_refused_total", "What was refused of a workspace because of its limit, in tokens or requests.", []string{"workspace"}, nil)
	returnedDesc = prometheus.NewDesc("limpethub_quota_returned_total", "What was admitted of a workspace and then not sent to a server, in tokens or requests.", []string{"workspace"}, nil)
	balanceDesc  = prometheus.NewDesc("limpethub_quota_balance", "Balance of a workspace's limit over all instances, as this one last learned of it, in tokens or requests.", []string{"workspace"}, nil)
)

var _ prometheus.Collector = (*Quotas)(nil)

// Describe implements prometheus.Collector.
func (q *Quotas) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{admittedDesc, refusedDesc, returnedDesc, balanceDesc} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (q *Quotas) Collect(out chan<- prometheus.Metric) {
	for _, s := range q.Status() {
		counter := func(d *prometheus.Desc, amount uint64) {
			out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(amount), s.Workspace)
		}
		counter(admittedDesc, s.Counts.Admitted)
		counter(refusedDesc, s.Counts.Refused)
		counter(returnedDesc, s.Counts.Returned)
		out <- prometheus.MustNewConstMetric(balanceDesc, prometheus.GaugeValue, s.Balance, s.Workspace)
	}
}
