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
// Instances with different views compute slightly different subsets. This costs only additional
// state on instances, because any instance serves any request, also those outside the subset.
type Subsets struct {
	byModel     map[string]map[string]bool
	modelCounts map[string]int
}

// modelSlackPercent is how far, in percent, the number of models of an instance may exceed the
// mean.
const modelSlackPercent = 25

// PlanSubsets assigns models to instances by rendezvous hashing with bounded load. It returns
// nil for a small fleet, in which every instance tracks the servers of all models. It computes
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
	subsets := &Subsets{byModel: make(map[string]map[string]bool, len(sorted)), modelCounts: map[string]int{}}
	limit := modelLimit(len(sorted), len(fleet))
	for _, model := range sorted {
		subsets.byModel[model] = assign(model, fleet, limit)
	}
	for _, f := range fleet {
		subsets.modelCounts[f.name] = f.models
	}
	return subsets
}

// Has reports whether an instance is in a model's subset. An unknown model has no subset.
func (s *Subsets) Has(model, instance string) bool { return s.byModel[model][instance] }

// ModelCount returns the number of models that an instance is assigned to.
func (s *Subsets) ModelCount(instance string) int { return s.modelCounts[instance] }

// candidate is an instance to which PlanSubsets may assign models.
type candidate struct {
	name string
	hash uint64
	// models is the number of models assigned to the instance so far.
	models int
}

// modelLimit returns the maximum number of models per instance, rounded up.
func modelLimit(models, instances int) int {
	total := models * SubsetSize * (100 + modelSlackPercent)
	return (total + instances*100 - 1) / (instances * 100)
}

// assign assigns the model to the instances with the highest scores among those below the limit.
func assign(model string, fleet []candidate, limit int) map[string]bool {
	best := make(bestCandidates, 0, SubsetSize)
	modelHash := xxhash.Sum64String(model)
	for i := range fleet {
		if fleet[i].models < limit {
			best.add(scoredCandidate{index: i, score: hashPair(modelHash, fleet[i].hash)})
		}
	}
	subset := make(map[string]bool, len(best))
	for _, r := range best {
		fleet[r.index].models++
		subset[fleet[r.index].name] = true
	}
	return subset
}

// scoredCandidate is a candidate, by its index, with its score for one model. A higher score is
// better.
type scoredCandidate struct {
	index int
	score uint64
}

// bestCandidates is a min-heap, by score, of the SubsetSize candidates with the highest scores.
type bestCandidates []scoredCandidate

func (r bestCandidates) Len() int           { return len(r) }
func (r bestCandidates) Less(i, j int) bool { return r[i].score < r[j].score }
func (r bestCandidates) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *bestCandidates) Push(x any)        { *r = append(*r, x.(scoredCandidate)) }

func (r *bestCandidates) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// add adds a candidate if there is space or if its score is above the lowest one, whose candidate
// it then replaces.
func (r *bestCandidates) add(c scoredCandidate) {
	switch {
	case len(*r) < SubsetSize:
		heap.Push(r, c)
	case c.score > (*r)[0].score:
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
