package entries

import (
	"container/heap"
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"limpethub/internal/membership"
)

// Subsets maps each model of a large fleet to its subset: the instances to which callers of the
// model are sent and that therefore track the model's servers. Every instance computes the subsets
// itself from the members and the models. Instances that know different members or models for a
// time compute slightly different subsets. This costs only additional state on instances, because
// any instance serves any request, also those outside the subset.
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

// modelLimit returns the maximum number of models per instance: the mean plus modelSlackPercent,
// rounded up.
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
	for _, c := range best {
		fleet[c.index].models++
		subset[fleet[c.index].name] = true
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

func (h bestCandidates) Len() int           { return len(h) }
func (h bestCandidates) Less(i, j int) bool { return h[i].score < h[j].score }
func (h bestCandidates) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *bestCandidates) Push(x any)        { *h = append(*h, x.(scoredCandidate)) }

func (h *bestCandidates) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// add adds a candidate if there is space or if its score is above the lowest one, whose candidate
// it then replaces.
func (h *bestCandidates) add(c scoredCandidate) {
	switch {
	case len(*h) < SubsetSize:
		heap.Push(h, c)
	case c.score > (*h)[0].score:
		(*h)[0] = c
		heap.Fix(h, 0)
	}
}

func hashPair(a, b uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	return xxhash.Sum64(buffer[:])
}
