package bench

import (
	"cmp"
	"fmt"
	"slices"

	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

// minCopies is how many copies each unit gets at least, where memory allows.
const minCopies = 2

// packer places units on engines.
type packer struct {
	servers    []site.Server
	popularity map[modelref.Ref]float64
	held       map[string]map[modelref.Ref]bool
	free       map[string]int64
	load       map[string]float64
	copies     map[modelref.Ref]int
	out        map[string][]site.Unit
}

// Place puts copies of all units on the document's engines: each model with all its
// adapters, then again in another failure domain, then, if the memory is to be filled,
// more of what is asked for most.
func Place(document *site.Document, popularity map[modelref.Ref]float64, fill bool) (map[string][]site.Unit, error) {
	p := &packer{
		popularity: popularity,
		held:       map[string]map[modelref.Ref]bool{},
		free:       map[string]int64{},
		load:       map[string]float64{},
		copies:     map[modelref.Ref]int{},
		out:        map[string][]site.Unit{},
	}
	for _, server := range document.Servers {
		if server.Kind == site.KindEngine {
			p.servers = append(p.servers, server)
			p.held[server.Name] = map[modelref.Ref]bool{}
			p.free[server.Name] = server.MemoryMB
		}
	}
	units := document.Units()
	for range minCopies {
		for _, unit := range units {
			if unit.Base == "" && !p.addBundle(unit, units) {
				return nil, fmt.Errorf("bench: no room for %s", unit.Ref)
			}
		}
	}
	if fill {
		p.fill(units)
	}
	return p.out, nil
}

// addBundle places a model with all its adapters on one server.
func (p *packer) addBundle(model site.Unit, units []site.Unit) bool {
	bundle := model
	var adapters []site.Unit
	for _, unit := range units {
		if unit.Base == model.Ref {
			adapters = append(adapters, unit)
			bundle.MemoryMB += unit.MemoryMB
		}
	}
	i := p.best(bundle)
	if i < 0 {
		return false
	}
	p.put(p.servers[i].Name, model)
	for _, adapter := range adapters {
		p.put(p.servers[i].Name, adapter)
	}
	return true
}

// fill adds copies of the units whose copies are asked for most, until none fits.
func (p *packer) fill(units []site.Unit) {
	for {
		byNeed := slices.Clone(units)
		slices.SortStableFunc(byNeed, func(a, b site.Unit) int { return cmp.Compare(p.perCopy(b.Ref), p.perCopy(a.Ref)) })
		if !slices.ContainsFunc(byNeed, p.add) {
			return
		}
	}
}

func (p *packer) perCopy(ref modelref.Ref) float64 {
	return p.popularity[ref] / float64(max(1, p.copies[ref]))
}

// add places one more copy if a server can take it. It reports whether it did.
func (p *packer) add(unit site.Unit) bool {
	i := p.best(unit)
	if i < 0 {
		return false
	}
	p.put(p.servers[i].Name, unit)
	return true
}

// best is the least loaded server that can take a unit, in a failure domain without
// a copy if there is one; -1 if none can.
func (p *packer) best(unit site.Unit) int {
	best := -1
	for i, server := range p.servers {
		if p.canTake(server.Name, unit) && (best < 0 || p.better(server, p.servers[best], unit)) {
			best = i
		}
	}
	return best
}

func (p *packer) put(server string, unit site.Unit) {
	p.held[server][unit.Ref] = true
	p.free[server] -= unit.MemoryMB
	p.copies[unit.Ref]++
	p.load[server] += p.perCopy(unit.Ref)
	p.out[server] = append(p.out[server], unit)
}

func (p *packer) canTake(server string, unit site.Unit) bool {
	if p.held[server][unit.Ref] || p.free[server] < unit.MemoryMB {
		return false
	}
	return unit.Base == "" || p.held[server][unit.Base]
}

func (p *packer) better(a, b site.Server, unit site.Unit) bool {
	if p.copies[unit.Ref] == 1 {
		takenA, takenB := p.domainHolds(a.FailureDomain, unit), p.domainHolds(b.FailureDomain, unit)
		if takenA != takenB {
			return takenB
		}
	}
	return p.load[a.Name] < p.load[b.Name]
}

func (p *packer) domainHolds(domain string, unit site.Unit) bool {
	for _, server := range p.servers {
		if server.FailureDomain == domain && p.held[server.Name][unit.Ref] {
			return true
		}
	}
	return false
}
