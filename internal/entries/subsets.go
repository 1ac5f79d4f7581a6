package entries

import (
	"container/heap"
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"limpethub/internal/membership"
)

// Subsets maps each model to its subset: the instances that track the model's servers in a
// large fleet. Every instance computes the subsets itself from the members and the models.
// Instances with different views compute slightly different subsets. This costs only
// additional state, because any instance serves any request.
type Subsets struct {
	byModel map[string]map[string]bool
	load    map[string]int
}

// loadSlackPercent is how far the number of models of an instance may exceed the mean.
const loadSlackPercent = 25

// PlanSubsets assigns models to instances by rendezvous hashing with bounded load. It returns
// nil for a small fleet, in which every instance serves all models. It computes
// models × instances hashes, so callers keep the result; see Planner.
func PlanSubsets(models []string, members []membership.Member) *Subsets {
	var fleet []candidate
	for _, m := range members {
		if serves(m) {
			fleet = append(fleet, candidate{name: m.Name, hash: xxhash.Sum64String(m.Name)})
		}
	}
	if len(fleet) <= SubsetsAboveInstances {
		return nil
	}
	sorted := append([]string(nil), models...)
	sort.Strings(sorted)
	c := &Subsets{byModel: make(map[string]map[string]bool, len(sorted)), load: map[string]int{}}
	limit := loadLimit(len(sorted), len(fleet))
	for _, model := range sorted {
		c.byModel[model] = assign(model, fleet, limit)
	}
	for _, f := range fleet {
		c.load[f.name] = f.load
	}
	return c
}

// Has reports whether an instance is in a model's subset. An unknown model has no subset.
func (c *Subsets) Has(model, instance string) bool { return c.byModel[model][instance] }

// ModelCount returns the number of models that an instance is assigned to.
func (c *Subsets) ModelCount(instance string) int { return c.load[instance] }

// candidate is an instance to which PlanCells may assign models.
type candidate struct {
	name string
	hash uint64
	// load is the number of models assigned to the instance so far.
	load int
}

// loadLimit returns the maximum number of models per instance, rounded up.
func loadLimit(models, instances int) int {
	total := models * SubsetSize * (100 + loadSlackPercent)
	return (total + instances*100 - 1) / (instances * 100)
}

// assign assigns the model to the highest ranked instances that are below the limit.
func assign(model string, fleet []candidate, limit int) map[string]bool {
	best := make(ranking, 0, SubsetSize)
	modelHash := xxhash.Sum64String(model)
	for i := range fleet {
		if fleet[i].load < limit {
			best.add(ranked{index: i, rank: hashPair(modelHash, fleet[i].hash)})
		}
	}
	subset := make(map[string]bool, len(best))
	for _, r := range best {
		fleet[r.index].load++
		subset[fleet[r.index].name] = true
	}
	return subset
}

// ranked is a candidate, by its index, with its rank for one model.
type ranked struct {
	index int
	rank  uint64
}

// ranking is a heap of the highest ranked candidates, with the lowest of them first.
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

// add adds a candidate if there is space or if it ranks above the lowest one, which it
// replaces.
func (r *ranking) add(c ranked) {
	switch {
	case len(*r) < SubsetSize:
		heap.Push(r, c)
	case c.rank > (*r)[0].rank:
		(*r)[0] = c
		heap.Fix(r, 0)
	}
}

func hashPair(a, b uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	return xxhash.Sum64(buffer[:])
}
