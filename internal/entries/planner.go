package entries

import (
	"time"

	"limpethub/internal/membership"
)

// replanPeriod is the shortest time between two plans of cells: a plan is costly in
// a large fleet, and Pick leaves out dead members also from an old one.
const replanPeriod = 30 * time.Second

// Planner keeps the cells until members or models change. It isn't safe for
// concurrent use.
type Planner struct {
	cells    *Cells
	planned  time.Time
	members  uint64
	revision uint64
	started  bool
}

// Cells returns the cells for a version of the members and a revision of the
// configuration. models is called only when a plan is due; it lists names without
// versions.
func (p *Planner) Cells(now time.Time, version, revision uint64, members []membership.Member, models func() []string) *Cells {
	changed := !p.started || version != p.members || revision != p.revision
	if !changed || p.started && now.Sub(p.planned) < replanPeriod {
		return p.cells
	}
	p.started, p.planned, p.members, p.revision = true, now, version, revision
	p.cells = PlanCells(models(), members)
	return p.cells
}
