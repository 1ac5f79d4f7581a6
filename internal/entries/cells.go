package entries

import (
	"encoding/binary"
	"math/bits"
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
// cost is models × instances hashes, so callers keep the result until the members
// or the models change.
func PlanCells(models []string, members []membership.Member) *Cells {
	var fleet []instanceKey
	for _, m := range members {
		if serves(m) {
			fleet = append(fleet, instanceKey{name: m.Name, hash: xxhash.Sum64String(m.Name)})
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
		c.assign(model, fleet, limit)
	}
	return c
}

// Has reports whether an instance is in a model's cell. An unknown model has no cell.
func (c *Cells) Has(model, instance string) bool { return c.byModel[model][instance] }

// Load returns how many models an instance is assigned to.
func (c *Cells) Load(instance string) int { return c.load[instance] }

type instanceKey struct {
	name string
	hash uint64
}

func loadLimit(models, instances int) int {
	total := models * CellInstances * (100 + loadSlackPercent)
	return (total + instances*100 - 1) / (instances * 100)
}

// assign takes the model's highest ranked instances that aren't full.
func (c *Cells) assign(model string, fleet []instanceKey, limit int) {
	type ranked struct {
		instance string
		rank     uint64
	}
	modelHash := xxhash.Sum64String(model)
	open := make([]ranked, 0, len(fleet))
	for _, instance := range fleet {
		if c.load[instance.name] < limit {
			open = append(open, ranked{instance: instance.name, rank: mix(modelHash, instance.hash)})
		}
	}
	sort.Slice(open, func(i, j int) bool {
		if open[i].rank != open[j].rank {
			return open[i].rank > open[j].rank
		}
		return open[i].instance < open[j].instance
	})
	chosen := make(map[string]bool, CellInstances)
	for _, r := range open[:min(CellInstances, len(open))] {
		chosen[r.instance] = true
		c.load[r.instance]++
	}
	c.byModel[model] = chosen
}

// mix hashes a pair of hashes.
func mix(a, b uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], a)
	binary.LittleEndian.PutUint64(buffer[8:], bits.Reverse64(b))
	return xxhash.Sum64(buffer[:])
}
