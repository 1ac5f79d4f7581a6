package placer

import (
	"math/rand/v2"
	"slices"

	"limpethub/internal/engine"
	"limpethub/internal/placement"
)

// chaosPolicy adds random moves to those of the inner policy, so that the invariants
// depend on the ledger alone.
type chaosPolicy struct {
	world  *world
	inner  placement.Policy
	random *rand.Rand
}

func (p *chaosPolicy) Plan(in placement.Input) placement.Plan {
	plan := p.inner.Plan(in)
	if !p.world.chaos {
		return plan
	}
	for range 2 {
		server := in.Servers[p.random.IntN(len(in.Servers))]
		move := p.loadOn(in, server)
		if p.random.IntN(2) == 0 && len(server.Copies) > 0 {
			ref := server.Copies[p.random.IntN(len(server.Copies))].Ref
			move = placement.Move{Action: engine.ActionUnload, Ref: ref}
		}
		move.Server, move.Wanted, move.Reason = server.Name, true, "chaos"
		plan.Moves = append([]placement.Move{move}, plan.Moves...)
	}
	return plan
}

// loadOn returns a load of a version that isn't on the server and might fit; if there is
// none, a load that the ledger must refuse.
func (p *chaosPolicy) loadOn(in placement.Input, server placement.Server) placement.Move {
	units := in.Document.Units()
	for _, i := range p.random.Perm(len(units)) {
		u := units[i]
		held := slices.ContainsFunc(server.Copies, func(c placement.Copy) bool { return c.Ref == u.Ref })
		if !held && server.CommittedMB+u.MemoryMB <= server.CapacityMB {
			return placement.Move{Action: engine.ActionLoad, Ref: u.Ref, Base: u.Base, MemoryMB: u.MemoryMB}
		}
	}
	return placement.Move{Action: engine.ActionLoad, Ref: units[0].Ref, MemoryMB: units[0].MemoryMB}
}
