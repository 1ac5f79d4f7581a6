package placement

import "sort"

// spreadIterations is the number of passes over all units. Each pass reassigns each unit's
// demand to its copies by the spare capacity that the other units leave.
const spreadIterations = 4

// defaultTokensPerSecond is the assumed throughput of a server whose throughput is unknown.
const defaultTokensPerSecond = 1000

// spreadDemand estimates how routing distributes demand over the copies: each unit's
// demand is assigned to its copies in proportion to their spare capacity. Demand beyond
// that capacity misses its deadlines. It also replaces unknown throughputs of servers by
// defaultTokensPerSecond for all later steps of the plan.
func (b *planBuilder) spreadDemand() {
	b.copyDemand = make([][]float64, len(b.units))
	for s := range b.servers {
		b.servers[s].demand = 0
		if b.servers[s].TokensPerSecond <= 0 {
			b.servers[s].TokensPerSecond = defaultTokensPerSecond
		}
	}
	for range spreadIterations {
		for u := range b.units {
			b.spreadUnitDemand(u)
		}
	}
	b.sortDemandByWeight()
	b.invalidateEvictionGroups()
}

func (b *planBuilder) spreadUnitDemand(u int) {
	copies := b.copies[u]
	demand := b.units[u].tokensPerSecond
	for k, amount := range b.copyDemand[u] {
		b.servers[copies[k]].demand -= amount
	}
	if len(copies) == 0 || demand <= 0 {
		b.copyDemand[u] = nil
		return
	}
	amounts := make([]float64, len(copies))
	totalSpare, totalCapacity := 0.0, 0.0
	for _, s := range copies {
		totalSpare += max(b.spareCapacity(s), 0)
		totalCapacity += b.servers[s].TokensPerSecond
	}
	withinCapacity := min(demand, totalSpare)
	for k, s := range copies {
		amounts[k] = (demand - withinCapacity) * b.servers[s].TokensPerSecond / totalCapacity
		if totalSpare > 0 {
			amounts[k] += withinCapacity * max(b.spareCapacity(s), 0) / totalSpare
		}
	}
	for k, s := range copies {
		b.servers[s].demand += amounts[k]
	}
	b.copyDemand[u] = amounts
}

// spareCapacity returns the demand that a server can still take and finish in time, in
// tokens per second; negative if it is overloaded.
func (b *planBuilder) spareCapacity(s int) float64 {
	return targetUtilization*b.servers[s].TokensPerSecond - b.servers[s].demand
}

// demandOn returns the unit's demand that is assigned to a server, in tokens per second.
func (b *planBuilder) demandOn(u, s int) float64 {
	for k, other := range b.copies[u] {
		if other == s && k < len(b.copyDemand[u]) {
			return b.copyDemand[u][k]
		}
	}
	return 0
}

// relievableDemand returns the demand that another copy of the unit could take off
// overloaded servers, in tokens per second, and the mean token weight of the demand
// that misses its deadlines there.
func (b *planBuilder) relievableDemand(u int) (relievable, meanWeight float64) {
	for k, s := range b.copies[u] {
		excess := -b.spareCapacity(s)
		if excess <= 0 || k >= len(b.copyDemand[u]) {
			continue
		}
		missed := min(excess, b.copyDemand[u][k])
		relievable += missed
		// Within the loop, meanWeight holds a weighted sum; it is divided at the return.
		meanWeight += missed * b.meanMissedWeight(s)
	}
	if relievable <= 0 {
		return 0, 0
	}
	return relievable, meanWeight / relievable
}

// weightedDemand is the demand for one unit on one server.
type weightedDemand struct{ tokensPerSecond, tokenWeight float64 }

// sortDemandByWeight fills demandByWeight of each server, lowest token weight first.
func (b *planBuilder) sortDemandByWeight() {
	for s := range b.servers {
		b.servers[s].demandByWeight = b.servers[s].demandByWeight[:0]
	}
	for u, copies := range b.copies {
		for k, s := range copies {
			if k < len(b.copyDemand[u]) && b.copyDemand[u][k] > 0 {
				b.servers[s].demandByWeight = append(b.servers[s].demandByWeight, weightedDemand{b.copyDemand[u][k], b.units[u].tokenWeight})
			}
		}
	}
	for s := range b.servers {
		parts := b.servers[s].demandByWeight
		sort.SliceStable(parts, func(i, j int) bool { return parts[i].tokenWeight < parts[j].tokenWeight })
	}
}

// missedValue returns the value of the demand that misses its deadlines on a server
// with the given excess demand: the demand with the lowest token weight misses first.
func (b *planBuilder) missedValue(s int, excess float64) float64 {
	value := 0.0
	for _, p := range b.servers[s].demandByWeight {
		if excess <= 0 {
			break
		}
		missed := min(excess, p.tokensPerSecond)
		value += missed * p.tokenWeight
		excess -= missed
	}
	return value
}

// meanMissedWeight returns the mean token weight of the demand that misses its
// deadlines on an overloaded server.
func (b *planBuilder) meanMissedWeight(s int) float64 {
	excess := -b.spareCapacity(s)
	return b.missedValue(s, excess) / excess
}

// displacedValue returns the value of the demand that newly misses its deadlines on a
// server when the given demand is added to it.
func (b *planBuilder) displacedValue(s int, added float64) float64 {
	before := max(-b.spareCapacity(s), 0)
	after := max(added-b.spareCapacity(s), 0)
	return b.missedValue(s, after) - b.missedValue(s, before)
}

// capacityForWeight returns the demand of a token weight that a server can still finish
// in time, in tokens per second. Demand of lower weight isn't subtracted, because requests
// of higher weight are processed first.
func (b *planBuilder) capacityForWeight(s int, weight float64) float64 {
	capacity := targetUtilization * b.servers[s].TokensPerSecond
	for _, p := range b.servers[s].demandByWeight {
		if p.tokenWeight >= weight {
			capacity -= p.tokensPerSecond
		}
	}
	return capacity
}

// serversByCapacityFor lists the servers in descending order of capacityForWeight.
func (b *planBuilder) serversByCapacityFor(weight float64) []int {
	order := make([]int, len(b.servers))
	capacity := make([]float64, len(b.servers))
	for s := range b.servers {
		order[s], capacity[s] = s, b.capacityForWeight(s, weight)
	}
	sort.SliceStable(order, func(i, j int) bool { return capacity[order[i]] > capacity[order[j]] })
	return order
}
