package placer

import (
	"maps"
	"slices"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/ledger"
	"limpethub/internal/placement"
)

// stepPlan asks the policy for moves and gives the orders that the ledger allows.
func (c *core) stepPlan(now time.Time) {
	if c.phase != phaseActive || now.Before(c.nextPlan) || c.write != nil && c.recording(now) {
		return
	}
	if !c.mayPlan(now) {
		return
	}
	c.nextPlan = now.Add(c.planDelay())
	plan := c.policy.Plan(c.input(now))
	c.logNewShortfalls(plan)
	c.plan, c.plannedAt = plan, now
	orders := c.enterMoves(now, plan.Moves)
	if len(orders) == 0 {
		return
	}
	if c.recording(now) {
		c.startWrite(now, orders)
		return
	}
	for _, p := range orders {
		c.submit(now, p)
	}
}

// planDelay is the time to the next plan: at most half the time between two loads, so
// that planning doesn't limit the rate of loads below the configured one. The lower bound
// on the rate avoids a division by zero.
func (c *core) planDelay() time.Duration {
	perLoad := time.Duration(float64(time.Second) / max(c.document.Budgets.LoadsPerSecond, 0.1))
	return min(planInterval, perLoad/2)
}

// mayPlan reports whether each server is ready for orders or has failed to answer an
// inventory request since the takeover, or takeoverInventoryTimeout has passed.
func (c *core) mayPlan(now time.Time) bool {
	if now.Sub(c.tookOverAt) >= takeoverInventoryTimeout {
		return true
	}
	for _, spec := range engineSpecs(c.document) {
		if !c.ledger.Ready(spec.Name) && !c.callsTo(spec.Name).lastFailed {
			return false
		}
	}
	return true
}

// enterMoves enters moves in the ledger and returns the orders that it allows.
func (c *core) enterMoves(now time.Time, moves []placement.Move) []ledger.Pending {
	var out []ledger.Pending
	for _, m := range moves {
		if !c.recording(now) && !c.honoursFencing(m.Server) {
			continue
		}
		if m.Action == engine.ActionLoad && !c.mayLoad(now, m.Server) {
			continue
		}
		p, err := c.enterMove(m)
		if err != nil {
			c.addEvent(event{kind: eventRefused, message: "Ledger refused a move.", server: m.Server, ref: m.Ref, reason: err.Error()})
			continue
		}
		if m.Action == engine.ActionLoad {
			c.loadBucket.take(now, c.loadRate(now))
		}
		c.ledger.MarkUnrecorded(p, !c.recording(now))
		if m.Action == engine.ActionLoad {
			c.loadReasons[copyKey{m.Server, m.Ref}] = m.Reason
		}
		c.addEvent(moveEvent(p, m.Reason))
		out = append(out, p)
	}
	return out
}

// mayLoad reports whether the limits that protect the weight store allow a load on the
// server now. It is checked here as well, because a policy may ignore its budget.
func (c *core) mayLoad(now time.Time, server string) bool {
	b := c.budget(now)
	if b.Loads == 0 {
		return false
	}
	for _, s := range c.document.Servers {
		if s.Name != server {
			continue
		}
		return !slices.ContainsFunc(b.Domains, func(d placement.DomainBudget) bool {
			return d.FailureDomain == s.FailureDomain && d.Loads == 0
		})
	}
	return false
}

func (c *core) enterMove(m placement.Move) (ledger.Pending, error) {
	switch m.Action {
	case engine.ActionLoad:
		return c.ledger.Load(m.Server, m.Ref, m.Base, m.MemoryMB)
	case engine.ActionUnload:
		return c.ledger.Unload(m.Server, m.Ref, m.Wanted)
	default:
		return c.ledger.ChangeRole(m.Server, m.Role)
	}
}

func (c *core) honoursFencing(server string) bool {
	for _, s := range c.document.Servers {
		if s.Name == server {
			return s.HonoursFencing
		}
	}
	return false
}

// logNewShortfalls adds an event for each version that has no copy and that the plan can't
// place, unless the previous plan reported the same.
func (c *core) logNewShortfalls(plan placement.Plan) {
	for _, s := range plan.Shortfalls {
		if !s.Unreachable || slices.Contains(c.plan.Shortfalls, s) {
			continue
		}
		c.addEvent(event{kind: eventShortfall, message: "Version can't be placed on any server.", ref: s.Ref, reason: s.Reason, warn: true})
	}
}

// reservedLoads is the number of concurrent loads reserved for orders that aren't in the
// ledger key. A lease holder that can't reach the store may have this many loads in
// progress on servers that its successor hasn't fenced yet. None are reserved if no server
// honours fencing, because such a holder then gives no orders.
func (c *core) reservedLoads() int {
	for _, s := range c.document.Servers {
		if s.HonoursFencing {
			return c.document.Budgets.ConcurrentLoads / 2
		}
	}
	return 0
}

// reservedShare is reservedLoads as a share of the concurrent loads allowed.
func (c *core) reservedShare() float64 {
	return float64(c.reservedLoads()) / float64(max(c.document.Budgets.ConcurrentLoads, 1))
}

// loadRate is the part of the allowed rate of loads that this lease holder may use, in
// loads per second. A holder that can't record its orders has the reserved share. A
// successor that hasn't fenced all servers has the rest, because its predecessor may
// still be using the reserved share.
func (c *core) loadRate(now time.Time) float64 {
	rate := c.document.Budgets.LoadsPerSecond
	switch {
	case !c.recording(now):
		return rate * c.reservedShare()
	case !c.ledger.AllFenced():
		return rate * (1 - c.reservedShare())
	default:
		return rate
	}
}

// budget returns the loads that may be ordered now.
func (c *core) budget(now time.Time) placement.Budget {
	limit := c.document.Budgets.ConcurrentLoads
	if !c.ledger.AllFenced() {
		limit -= c.reservedLoads()
	}
	available := limit - c.ledger.Loads()
	if !c.recording(now) {
		available = min(available, c.reservedLoads()-c.ledger.UnrecordedLoads())
		// The predecessor may be using the reserved loads, too.
		if !c.ledger.AllFenced() {
			available = 0
		}
	}
	if !c.loadBucket.available(now, c.loadRate(now)) {
		available = 0
	}
	// At most one load per plan: the load bucket holds at most one token.
	out := placement.Budget{Loads: min(max(available, 0), 1)}
	// One domain may not use all concurrent loads, so that one is left for the others.
	perDomain := max(1, c.document.Budgets.ConcurrentLoads-1)
	for _, domain := range c.document.FailureDomains {
		available := max(perDomain-c.ledger.DomainLoads(domain), 0)
		out.Domains = append(out.Domains, placement.DomainBudget{FailureDomain: domain, Loads: available})
	}
	return out
}

// input collects the policy's input.
func (c *core) input(now time.Time) placement.Input {
	in := placement.Input{
		Now:          now,
		Document:     c.document,
		Demand:       c.tracker.Estimates(),
		Budget:       c.budget(now),
		IgnoreDemand: now.Sub(c.startedAt) < demandWarmUp,
		Goals:        c.plan.Goals,
	}
	for _, a := range c.ledger.Accounts() {
		in.Servers = append(in.Servers, c.placementServer(now, a))
	}
	return in
}

func (c *core) placementServer(now time.Time, a ledger.Account) placement.Server {
	calls := c.callsTo(a.Spec.Name)
	ready := a.Ready
	if !c.recording(now) && !a.Spec.HonoursFencing {
		ready = false
	}
	return placement.Server{
		Name:            a.Spec.Name,
		FailureDomain:   a.Spec.FailureDomain,
		CapacityMB:      a.CapacityMB,
		CommittedMB:     a.CommittedMB,
		TokensPerSecond: c.throughputOf(a.Spec.Name),
		Ready:           ready,
		Reachable:       a.Known && (a.Reachable || now.Sub(calls.answeredAt) < unreachableGrace),
		Leaving:         slices.Contains(c.leaving, a.Spec.Name),
		Copies:          c.copiesOf(a),
	}
}

// throughputOf returns a server's throughput in tokens per second. A server without a
// report yet is assumed to have the mean of the others; 0 if no server has one.
func (c *core) throughputOf(server string) float64 {
	if own := c.throughputs[server]; own > 0 || len(c.throughputs) == 0 {
		return own
	}
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(c.throughputs)) {
		total += c.throughputs[name]
	}
	return total / float64(len(c.throughputs))
}

// copiesOf lists the copies on a server, with the effect of the server's pending orders.
func (c *core) copiesOf(a ledger.Account) []placement.Copy {
	var out []placement.Copy
	for _, h := range a.Holdings {
		copy := placement.Copy{Ref: h.Ref, State: h.State, MemoryMB: h.MemoryMB, LoadedAt: c.loadedAt[copyKey{a.Spec.Name, h.Ref}]}
		for _, p := range a.Pending {
			if p.Order.Ref == h.Ref && p.Order.Action == engine.ActionUnload {
				copy.State = engine.StateUnloading
			}
		}
		out = append(out, copy)
	}
	for _, p := range a.Pending {
		held := slices.ContainsFunc(a.Holdings, func(h engine.Holding) bool { return h.Ref == p.Order.Ref })
		switch {
		case held:
		case p.Order.Action == engine.ActionLoad:
			out = append(out, placement.Copy{Ref: p.Order.Ref, State: engine.StateLoading, MemoryMB: p.Order.MemoryMB})
		// A pending unload of a version that isn't listed keeps the policy from loading the
		// version on this server before the unload is settled.
		case p.Order.Action == engine.ActionUnload:
			out = append(out, placement.Copy{Ref: p.Order.Ref, State: engine.StateUnloading})
		}
	}
	return out
}
