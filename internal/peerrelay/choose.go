package peerrelay

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Peer is an instance that may take requests in.
type Peer struct {
	Name, Address string
	// Near is true if it is in the failure domain of this instance.
	Near bool
}

// maxHelpers is how many peers one instance passes requests on to, so that a large fleet doesn't open
// connections of all to all.
const maxHelpers = 6

// helpersOf returns the peers to which an instance passes requests on. Each instance prefers other peers, so
// that those that are cut off spread over those that aren't; half of them are near ones if there are as many.
func helpersOf(self string, peers []Peer) []Peer {
	ranked := slices.Clone(peers)
	rank := func(p Peer) uint64 { return xxhash.Sum64String(self + "\x00" + p.Name) }
	slices.SortFunc(ranked, func(a, b Peer) int { return cmp.Compare(rank(a), rank(b)) })
	var chosen, others []Peer
	for _, p := range ranked {
		if p.Near && len(chosen) < maxHelpers/2 {
			chosen = append(chosen, p)
			continue
		}
		others = append(others, p)
	}
	return append(chosen, others[:min(len(others), maxHelpers-len(chosen))]...)
}

// choose returns the peer that gets the next request: of two helpers at random the one with fewer requests of
// this instance, or the near one. ok is false if there is none.
//
// The load is an instance that passes on all its requests: one peer that gets them all can't serve its own
// callers any more.
func choose(helpers []Peer, inProgress map[string]int, random *rand.Rand) (chosen Peer, ok bool) {
	if len(helpers) == 0 {
		return Peer{}, false
	}
	first := random.IntN(len(helpers))
	a := helpers[first]
	if len(helpers) == 1 {
		return a, true
	}
	second := random.IntN(len(helpers) - 1)
	if second >= first {
		second++
	}
	b := helpers[second]
	switch d := inProgress[a.Name] - inProgress[b.Name]; {
	case d > 0, d == 0 && b.Near && !a.Near:
		return b, true
	}
	return a, true
}
