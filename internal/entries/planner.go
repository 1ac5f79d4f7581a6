package entries

import (
	"time"

	"limpethub/internal/membership"
)

// replanPeriod is the minimum time between two plans of subsets. A plan is expensive in a
// large fleet, and Pick omits dead members even if the plan is old.
const replanPeriod = 30 * time.Second

// Planner caches the subsets until the members or the models change, and for at least
// replanPeriod. It isn't safe for concurrent use.
type Planner struct {
	subsets        *Subsets
	plannedAt      time.Time
	membersVersion uint64
	configRevision uint64
	hasPlan        bool
}

// Subsets returns the subsets for a version number of the member list and a revision of the
// configuration. If either has changed and replanPeriod is over, it makes a new plan. It calls
// modelNames, which returns names without versions, only then.
func (p *Planner) Subsets(now time.Time, membersVersion, configRevision uint64, members []membership.Member, modelNames func() []string) *Subsets {
	changed := !p.hasPlan || membersVersion != p.membersVersion || configRevision != p.configRevision
	if !changed || p.hasPlan && now.Sub(p.plannedAt) < replanPeriod {
		return p.subsets
	}
	p.hasPlan, p.plannedAt, p.membersVersion, p.configRevision = true, now, membersVersion, configRevision
	p.subsets = PlanSubsets(modelNames(), members)
	return p.subsets
}
