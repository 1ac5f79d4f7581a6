package entries

import (
	"container/heap"
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"limpethub/internal/membership"
)

// Cells says which instances track the servers of which models, in a large fleet.
// Every instance works it out by itself from the members and the models; views that
// differ give answers that differ a little, which costs only state, since any
// instance serves any request.
type Cells struct {
	byModel map[string]map[string]bool
	load    map[string]int
}

// loadSlackPercent is how far an instance's number of models may be above the mean.
const loadSlackPercent = 25

// PlanCells assigns models to instances by rendezvous hash with bounded load. It
// returns nil while the fleet is small: then every instance serves all models. Its
// cost is models × instances hashes, so callers keep the result; see Planner.
func PlanCells(models []string, members []membership.Member) *Cells {
	var fleet []candidate
	for _, m := range members {
		if serves(m) {
			fleet = append(fleet, candidate{name: m.Name, hash: xxhash.Sum64String(m.Name)})
		}
	}
	if len(fleet) <= NarrowAbove {
		return nil
	}
	sorted := append([]string(nil), models...)
	sort.Strings(sorted)
	c := &Cells{byModel: make(map[string]map[string]bool, len(sorted)), load: map[string]int{}}
	limit := loadLimit(len(sorted), len(fleet))
	for _, model := range sorted {
		c.byModel[model] = assign(model, fleet, limit)
	}
	for _, f := range fleet {
		c.load[f.name] = f.load
	}
	return c
}

// Has reports whether an instance is in a model's cell. An unknown model has no cell.
func (c *Cells) Has(model, instance string) bool { return c.byModel[model][instance] }

// Load returns how many models an instance is assigned to.
func (c *Cells) Load(instance string) int { return c.load[instance] }

// candidate is an instance while cells are planned.
type candidate struct {
	name string
	hash uint64
	// load is how many models the instance has so far.
	load int
}

func loadLimit(models, instances int) int {
	total := models * CellInstances * (100 + loadSlackPercent)
	return (total + instances*100 - 1) / (instances * 100)
}

// assign gives the model to its highest ranked instances that aren't full.
func assign(model string, fleet []candidate, limit int) map[string]bool {
	best := make(ranking, 0, CellInstances)
	modelHash := xxhash.Sum64String(model)
	for i := range fleet {
		if fleet[i].load < limit {
			best.offer(ranked{index: i, rank: mix(modelHash, fleet[i].hash)})
		}
	}
	cell := make(map[string]bool, len(best))
	for _, r := range best {
		fleet[r.index].load++
		cell[fleet[r.index].name] = true
	}
	return cell
}

// ranked is a candidate with its rank for one model.
type ranked struct {
	index int
	rank  uint64
}

// ranking holds the highest ranked candidates as a heap, the lowest of them first.
type ranking []ranked

func (r ranking) Len() int           { return len(r) }
func (r ranking) Less(i, j int) bool { return r[i].rank < r[j].rank }
func (r ranking) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *ranking) Push(x any)        { *r = append(*r, x.(ranked)) }

func (r *ranking) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

func (r *ranking) offer(c ranked) {
	switch {
	case len(*r) < CellInstances:
		heap.Push(r, c)
	case c.rank > (*r)[0].rank:
		(*r)[0] = c
		heap.Fix(r, 0)
	}
}

// mix hashes a pair of hashes.
func mix(a, b uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	return xxhash.Sum64(buffer[:])
}
