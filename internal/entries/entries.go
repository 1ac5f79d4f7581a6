// Package entries decides which instances a caller should use, from the caller's model and
// failure domain and from the members of the fleet. It answers GET /v1/entries?model=. It has
// no goroutine, socket, clock or global random source.
package entries

import (
	"math/rand/v2"

	"limpethub/internal/membership"
)

// Sizes of answers, subsets and fleets, in instances.
const (
	// MaxEntries is the maximum number of instances in an answer.
	MaxEntries = 16
	// SubsetsAboveInstances is the fleet size above which the callers of a model are sent only
	// to the instances of its subset.
	SubsetsAboveInstances = 30
	// SubsetSize is the number of instances in a subset.
	SubsetSize = 30
)

// Query is a caller's request for instances.
type Query struct {
	// Model is the name of the model, without a version; empty for any model.
	Model string
	// FailureDomain is that of the caller or, if unknown, that of the answering instance.
	FailureDomain string
}

// Entry is one instance that a caller may use.
type Entry struct {
	Instance      string `json:"instance"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Incarnation is the incarnation number of the instance. It grows with each start of the
	// instance's process and each time that the instance refutes a report that it is dead.
	Incarnation uint64 `json:"incarnation"`
}

// Answer lists instances in the order in which the caller should try them.
type Answer struct {
	Entries []Entry `json:"entries"`
}

// Pick answers a query. Instances in the caller's failure domain come first, then those in
// others, then suspected ones. Within each of these three groups the order is random, so that
// callers spread evenly. Instances that are leaving or dead are omitted. If the model's subset
// has no usable instance, Pick chooses from the whole fleet, because any instance serves any
// request.
func Pick(q Query, members []membership.Member, subsets *Subsets, r *rand.Rand) Answer {
	usable := usableMembers(q, members, subsets)
	if len(usable) == 0 {
		usable = usableMembers(Query{FailureDomain: q.FailureDomain}, members, nil)
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

// Ranks of instances in an answer, in the order in which callers should use them.
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

// usableMembers returns the usable members, limited to the model's subset if there is one.
func usableMembers(q Query, members []membership.Member, subsets *Subsets) []membership.Member {
	useSubset := q.Model != "" && subsets != nil
	out := make([]membership.Member, 0, len(members))
	for _, m := range members {
		if !serves(m) || useSubset && !subsets.Has(q.Model, m.Name) {
			continue
		}
		out = append(out, m)
	}
	return out
}

// serves reports whether a member takes requests from callers.
func serves(m membership.Member) bool {
	return m.CallerAddress != "" && (m.State == membership.Alive || m.State == membership.Suspect)
}
