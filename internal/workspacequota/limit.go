// Package workspacequota keeps the limits of workspaces over all instances together, without a message
// before a request and without a store.
//
// For each workspace with a limit, one instance counts for all: the limiter. The others decide by the last
// state that they have from it, and tell it afterwards what they admitted. Limiter and Share are the two sides
// for one workspace, and Node is all that one instance decides; none of them has a clock, a socket or a
// goroutine. Quotas is the shell around a Node. See docs/design/workspace-quotas.md.
package workspacequota

import (
	"time"

	"limpethub/internal/site"
)

// Rules say how exactly limits have to be kept: within any Window, all instances together may use
// (rate × Window + burst) × (1 + Over) + Slack.
type Rules struct {
	Window time.Duration
	Over   float64
	// Slack is in tokens. It doesn't apply to limits that count requests.
	Slack float64
}

// DefaultRules returns the rules that apply unless the settings give others.
func DefaultRules() Rules { return Rules{Window: 8 * time.Second, Over: 0.1, Slack: 110_000} }

const (
	// debtShare is the share of the allowance beyond the rate that is reserved for requests admitted before all
	// instances learn that the limit is reached. The remainder is the capacity of the bucket.
	debtShare = 0.5
	// lowShare is the part of the capacity below which the demand decides which share is admitted. Above it,
	// all is admitted, so that a few large requests at usual demand cause no refusal.
	lowShare = 0.35
	// restShare is the set point of the balance in overload, as a share of the capacity.
	restShare = lowShare / 2
	// minCorrection is the minimum time constant with which the admitted share steers the balance to its set point. It
	// must exceed the propagation delay of states (about 0.4 s), or the balance oscillates. correctionOfDebt is the same
	// bound as a share of the time in which the rate refills the debt, for limits whose debt is large.
	minCorrection    = 800 * time.Millisecond
	correctionOfDebt = 0.8
)

// Limit is a limit in force, in tokens or requests.
type Limit struct {
	// PerSecond is the rate.
	PerSecond float64
	// Capacity is the most that the bucket holds, at least the burst, and Debt how far below zero it may get.
	Capacity, Debt float64
}

// NewLimit returns the limit of a workspace under the rules.
func NewLimit(l site.WorkspaceLimit, rules Rules) Limit {
	beyondRate := l.Burst + rules.Over*(l.PerSecond*rules.Window.Seconds()+l.Burst)
	if l.CountsTokens {
		beyondRate += rules.Slack
	}
	debt := min(debtShare*beyondRate, beyondRate-l.Burst)
	return Limit{PerSecond: l.PerSecond, Capacity: beyondRate - debt, Debt: debt}
}

// times returns a part of the limit.
func (l Limit) times(share float64) Limit {
	return Limit{PerSecond: share * l.PerSecond, Capacity: share * l.Capacity, Debt: share * l.Debt}
}

// correction returns the time constant, in seconds, with which the admitted share steers the balance to its set point.
func (l Limit) correction() float64 {
	if l.PerSecond <= 0 {
		return minCorrection.Seconds()
	}
	return max(minCorrection.Seconds(), correctionOfDebt*l.Debt/l.PerSecond)
}

// State is what the limiter of a workspace tells the other instances.
type State struct {
	// Limiter is the name of the limiter's instance, as a hash. Version increases with each state of that
	// instance, also over restarts.
	Limiter uint32
	Version uint64
	// Balance is the bucket's balance. It is negative if more was used than the limit allows.
	Balance float64
	// Admit is the share of the requests to be admitted; 1 or more means all of them. What is above 1 is what
	// could be admitted beyond the demand.
	Admit float64
	// Covered is the part of the limit that the limiter gives out.
	Covered float64
	// Quiet means that the workspace isn't used. No more states follow until it is.
	Quiet bool
}

// Report is what an instance has counted in a workspace since its process started. The counters are
// cumulative, so that lost and repeated messages do no harm.
type Report struct {
	// Sequence increases with each report of one process.
	Sequence uint64
	// Used is what was admitted, and Demanded what callers asked for. Neither falls.
	Used, Demanded int64
	// CountedUsed and CountedDemanded are the part of them that a limiter has acknowledged, not always this one.
	CountedUsed, CountedDemanded int64
	// State is what the instance goes by, and StateAge its age; 0 if there is none. A limiter that has just started
	// learns from them. Only Balance, Admit and Covered of the state are set.
	State    State
	StateAge time.Duration
}

// Ack answers a report.
type Ack struct {
	// Used and Demanded are those of the last report that the limiter has.
	Used, Demanded int64
	// Weight is the instance's part of the demand.
	Weight float64
}
