package placement

import "sort"

// spreadRounds is how often units give work from fuller to emptier copies.
const spreadRounds = 4

// defaultSpeed stands in for the speed of a server that none is known of, in tokens
// per second.
const defaultSpeed = 1000

// spread estimates how the demand falls on the copies, as routing would have it: each
// unit's work goes to its copies by their spare capacity. Work beyond that misses.
func (b *board) spread() {
	b.work = make([][]float64, len(b.units))
	for s := range b.servers {
		b.servers[s].load = 0
		if b.servers[s].TokensPerSecond <= 0 {
			b.servers[s].TokensPerSecond = defaultSpeed
		}
	}
	for range spreadRounds {
		for u := range b.units {
			b.spreadUnit(u)
		}
	}
	b.sortParts()
	b.forgetGroups()
}

func (b *board) spreadUnit(u int) {
	copies := b.copies[u]
	tokens := b.units[u].tokens
	for k, amount := range b.work[u] {
		b.servers[copies[k]].load -= amount
	}
	if len(copies) == 0 || tokens <= 0 {
		b.work[u] = nil
		return
	}
	work := make([]float64, len(copies))
	spare, speed := 0.0, 0.0
	for _, s := range copies {
		spare += max(b.spare(s), 0)
		speed += b.servers[s].TokensPerSecond
	}
	within := min(tokens, spare)
	for k, s := range copies {
		work[k] = (tokens - within) * b.servers[s].TokensPerSecond / speed
		if spare > 0 {
			work[k] += within * max(b.spare(s), 0) / spare
		}
	}
	for k, s := range copies {
		b.servers[s].load += work[k]
	}
	b.work[u] = work
}

// spare is the work that a server can still take and finish in time; negative when it
// has too much.
func (b *board) spare(s int) float64 {
	return targetUse*b.servers[s].TokensPerSecond - b.servers[s].load
}

// workOn is the work of a unit that falls on a server, in tokens per second.
func (b *board) workOn(u, s int) float64 {
	for k, other := range b.copies[u] {
		if other == s && k < len(b.work[u]) {
			return b.work[u][k]
		}
	}
	return 0
}

// relief is the work that another copy of the unit could take off overloaded servers,
// and the mean weight of the work that misses there.
func (b *board) relief(u int) (work, weight float64) {
	for k, s := range b.copies[u] {
		excess := -b.spare(s)
		if excess <= 0 || k >= len(b.work[u]) {
			continue
		}
		part := min(excess, b.work[u][k])
		work += part
		weight += part * b.missWeight(s)
	}
	if work <= 0 {
		return 0, 0
	}
	return work, weight / work
}

// part is the work of one weight on a server, in tokens per second.
type part struct{ work, weight float64 }

// sortParts notes each server's work, the least urgent first.
func (b *board) sortParts() {
	for s := range b.servers {
		b.servers[s].parts = b.servers[s].parts[:0]
	}
	for u, copies := range b.copies {
		for k, s := range copies {
			if k < len(b.work[u]) && b.work[u][k] > 0 {
				b.servers[s].parts = append(b.servers[s].parts, part{b.work[u][k], b.units[u].weight})
			}
		}
	}
	for s := range b.servers {
		parts := b.servers[s].parts
		sort.SliceStable(parts, func(i, j int) bool { return parts[i].weight < parts[j].weight })
	}
}

// missValue is the value of the work that misses on a server when so much is too much:
// the least urgent work misses first.
func (b *board) missValue(s int, excess float64) float64 {
	value := 0.0
	for _, p := range b.servers[s].parts {
		if excess <= 0 {
			break
		}
		missed := min(excess, p.work)
		value += missed * p.weight
		excess -= missed
	}
	return value
}

// missWeight is the mean weight of the work that misses on an overloaded server.
func (b *board) missWeight(s int) float64 {
	excess := -b.spare(s)
	return b.missValue(s, excess) / excess
}

// displaced is the value of the work that misses on a server because more urgent work
// comes to it.
func (b *board) displaced(s int, work float64) float64 {
	before := max(-b.spare(s), 0)
	after := max(work-b.spare(s), 0)
	return b.missValue(s, after) - b.missValue(s, before)
}

// roomForWeight is the work of a weight that a server can still finish in time, since
// less urgent work gives way.
func (b *board) roomForWeight(s int, weight float64) float64 {
	room := targetUse * b.servers[s].TokensPerSecond
	for _, p := range b.servers[s].parts {
		if p.weight >= weight {
			room -= p.work
		}
	}
	return room
}

// byRoomFor lists the servers, the one with the most room for work of a weight first.
func (b *board) byRoomFor(weight float64) []int {
	order := make([]int, len(b.servers))
	room := make([]float64, len(b.servers))
	for s := range b.servers {
		order[s], room[s] = s, b.roomForWeight(s, weight)
	}
	sort.SliceStable(order, func(i, j int) bool { return room[order[i]] > room[order[j]] })
	return order
}
