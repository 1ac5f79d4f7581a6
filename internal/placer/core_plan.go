package placer

import (
	"maps"
	"slices"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/ledger"
	"limpethub/internal/placement"
)

// stepPlan asks the policy for moves and orders those that the ledger allows.
func (c *core) stepPlan(now time.Time) {
	if c.phase != phaseActive || now.Before(c.nextPlan) || c.write != nil && c.recording(now) {
		return
	}
	if !c.lookedAround(now) {
		return
	}
	c.nextPlan = now.Add(c.planWait())
	plan := c.policy.Plan(c.input(now))
	c.noteShortfalls(plan)
	c.plan, c.planned = plan, now
	orders := c.enter(now, plan.Moves)
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

// planWait is the time to the next plan: short enough that it never holds back the
// weight store's rate.
func (c *core) planWait() time.Duration {
	perLoad := time.Duration(float64(time.Second) / max(c.document.Budgets.LoadsPerSecond, 0.1))
	return min(planInterval, perLoad/2)
}

// lookedAround reports whether each server answered or failed since the takeover.
func (c *core) lookedAround(now time.Time) bool {
	if now.Sub(c.took) >= firstLook {
		return true
	}
	for _, spec := range specsOf(c.document) {
		if !c.ledger.Ready(spec.Name) && !c.contact(spec.Name).failed {
			return false
		}
	}
	return true
}

// enter puts moves into the ledger and returns the orders that it allows.
func (c *core) enter(now time.Time, moves []placement.Move) []ledger.Pending {
	var out []ledger.Pending
	for _, m := range moves {
		if !c.recording(now) && !c.honours(m.Server) {
			continue
		}
		if m.Action == engine.ActionLoad && !c.mayLoad(now, m.Server) {
			continue
		}
		p, err := c.enterMove(m)
		if err != nil {
			c.note(event{kind: eventRefused, message: "Ledger doesn't allow a move.", server: m.Server, ref: m.Ref, reason: err.Error()})
			continue
		}
		if m.Action == engine.ActionLoad {
			c.bucket.takeOne(now, c.loadRate(now))
		}
		c.ledger.MarkUnrecorded(p, !c.recording(now))
		if m.Action == engine.ActionLoad {
			c.reasons[copyKey{m.Server, m.Ref}] = m.Reason
		}
		c.note(moveEvent(p, m.Reason))
		out = append(out, p)
	}
	return out
}

// mayLoad reports whether the weight store's limits allow a load now, whatever the
// policy made of its budget.
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

func (c *core) honours(server string) bool {
	for _, s := range c.document.Servers {
		if s.Name == server {
			return s.HonoursFencing
		}
	}
	return false
}

func (c *core) noteShortfalls(plan placement.Plan) {
	for _, s := range plan.Shortfalls {
		if !s.Unreachable || slices.Contains(c.plan.Shortfalls, s) {
			continue
		}
		c.note(event{kind: eventShortfall, message: "Version can't be placed.", ref: s.Ref, reason: s.Reason, warn: true})
	}
}

// reserve is how many loads at once are kept for orders that the ledger key doesn't
// show: a holder cut off from the key-value service may have so many under way on
// servers that its successor hasn't fenced.
func (c *core) reserve() int {
	for _, s := range c.document.Servers {
		if s.HonoursFencing {
			return c.document.Budgets.ConcurrentLoads / 2
		}
	}
	return 0
}

func (c *core) reserveShare() float64 {
	return float64(c.reserve()) / float64(max(c.document.Budgets.ConcurrentLoads, 1))
}

// loadRate is this holder's part of the weight store's rate, in loads per second.
func (c *core) loadRate(now time.Time) float64 {
	rate := c.document.Budgets.LoadsPerSecond
	switch {
	case !c.recording(now):
		return rate * c.reserveShare()
	case !c.ledger.AllFenced():
		return rate * (1 - c.reserveShare())
	default:
		return rate
	}
}

// budget gives the loads that may be ordered now.
func (c *core) budget(now time.Time) placement.Budget {
	limit := c.document.Budgets.ConcurrentLoads
	if !c.ledger.AllFenced() {
		limit -= c.reserve()
	}
	left := limit - c.ledger.Loads()
	if !c.recording(now) {
		left = min(left, c.reserve()-c.ledger.UnrecordedLoads())
		if !c.ledger.AllFenced() {
			left = 0
		}
	}
	if !c.bucket.available(now, c.loadRate(now)) {
		left = 0
	}
	out := placement.Budget{Loads: min(max(left, 0), 1)}
	perDomain := max(1, c.document.Budgets.ConcurrentLoads-1)
	for _, domain := range c.document.FailureDomains {
		free := max(perDomain-c.ledger.DomainLoads(domain), 0)
		out.Domains = append(out.Domains, placement.DomainBudget{FailureDomain: domain, Loads: free})
	}
	return out
}

// input collects what the policy decides from.
func (c *core) input(now time.Time) placement.Input {
	in := placement.Input{
		Now:       now,
		Document:  c.document,
		Demand:    c.tracker.Estimates(),
		Budget:    c.budget(now),
		FloorOnly: now.Sub(c.started) < demandWarmUp,
		Goals:     c.plan.Goals,
	}
	for _, a := range c.ledger.Accounts() {
		in.Servers = append(in.Servers, c.planServer(now, a))
	}
	return in
}

func (c *core) planServer(now time.Time, a ledger.Account) placement.Server {
	t := c.contact(a.Spec.Name)
	ready := a.Ready
	if !c.recording(now) && !a.Spec.HonoursFencing {
		ready = false
	}
	return placement.Server{
		Name:            a.Spec.Name,
		FailureDomain:   a.Spec.FailureDomain,
		CapacityMB:      a.CapacityMB,
		CommittedMB:     a.CommittedMB,
		TokensPerSecond: c.speed(a.Spec.Name),
		Ready:           ready,
		Reachable:       a.Known && (a.Reachable || now.Sub(t.answered) < unreachableGrace),
		Leaving:         slices.Contains(c.leaving, a.Spec.Name),
		Copies:          c.copiesOf(a),
	}
}

// speed returns what a server can do; one without a report yet counts like the mean
// of the others.
func (c *core) speed(server string) float64 {
	if own := c.speeds[server]; own > 0 || len(c.speeds) == 0 {
		return own
	}
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(c.speeds)) {
		total += c.speeds[name]
	}
	return total / float64(len(c.speeds))
}

// copiesOf lists the versions on a server as they will be once its pending orders
// are done.
func (c *core) copiesOf(a ledger.Account) []placement.Copy {
	var out []placement.Copy
	for _, h := range a.Holdings {
		copy := placement.Copy{Ref: h.Ref, State: h.State, MemoryMB: h.MemoryMB, Since: c.loaded[copyKey{a.Spec.Name, h.Ref}]}
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
		case p.Order.Action == engine.ActionUnload:
			out = append(out, placement.Copy{Ref: p.Order.Ref, State: engine.StateUnloading})
		}
	}
	return out
}
