// Package entries decides which instances a caller should use: the answer to
// GET /v1/entries?model=. It has no goroutine, socket, clock or global random source.
package entries

import (
	"math/rand/v2"

	"limpethub/internal/membership"
)

// Bounds of answers.
const (
	// MaxEntries is how many instances one answer names.
	MaxEntries = 16
	// NarrowAbove is the fleet size above which a model's callers are sent to the
	// instances of its cell.
	NarrowAbove = 30
	// CellInstances is how many instances track the servers of one cell.
	CellInstances = 30
)

// Query is what a caller asks.
type Query struct {
	// Model is the model's name, without a version; empty for any.
	Model string
	// FailureDomain is the caller's, or else the answering instance's.
	FailureDomain string
}

// Entry is one instance that a caller may use.
type Entry struct {
	Instance      string `json:"instance"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Incarnation is that of the instance's process, unless it had to refute its death.
	Incarnation uint64 `json:"incarnation"`
}

// Answer lists instances, the ones to use first first.
type Answer struct {
	Entries []Entry `json:"entries"`
}

// Pick answers a query. Instances that are leaving or dead are left out; suspects
// come last. Within a failure domain the order is random, so that callers spread
// evenly. When a narrowed choice has nobody left, the whole fleet answers: any
// instance serves any request.
func Pick(q Query, members []membership.Member, cells *Cells, r *rand.Rand) Answer {
	usable := candidates(q, members, cells)
	if len(usable) == 0 {
		usable = candidates(Query{FailureDomain: q.FailureDomain}, members, nil)
	}
	r.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	answer := Answer{Entries: []Entry{}}
	for rank := rankNear; rank <= rankSuspect; rank++ {
		for _, m := range usable {
			if rankOf(q, m) == rank && len(answer.Entries) < MaxEntries {
				answer.Entries = append(answer.Entries, Entry{
					Instance:      m.Name,
					Address:       m.CallerAddress,
					FailureDomain: m.FailureDomain,
					Incarnation:   m.Incarnation,
				})
			}
		}
	}
	return answer
}

// Ranks of instances in an answer.
const (
	rankNear = iota
	rankFar
	rankSuspect
)

func rankOf(q Query, m membership.Member) int {
	switch {
	case m.State == membership.Suspect:
		return rankSuspect
	case m.FailureDomain == q.FailureDomain:
		return rankNear
	}
	return rankFar
}

func candidates(q Query, members []membership.Member, cells *Cells) []membership.Member {
	narrow := q.Model != "" && cells != nil
	out := make([]membership.Member, 0, len(members))
	for _, m := range members {
		if !serves(m) || narrow && !cells.Has(q.Model, m.Name) {
			continue
		}
		out = append(out, m)
	}
	return out
}

func serves(m membership.Member) bool {
	return m.CallerAddress != "" && (m.State == membership.Alive || m.State == membership.Suspect)
}
