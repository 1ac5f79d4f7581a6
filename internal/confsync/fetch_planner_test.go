package confsync

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/membership"
)

// TestSilentPeersDoNotDelayTheConfiguration guards against a new revision that is delayed by
// peers that don't answer. In a rolling restart some of the peers that reported the
// revision stop. The next peer must be asked long before the calls to them time out.
func TestSilentPeersDoNotDelayTheConfiguration(t *testing.T) {
	const silentPeers, peers = 3, 8
	for seed := range uint64(50) {
		now := time.Unix(0, 0)
		s := NewFetchPlanner("self", seed)
		s.Offer(now, 1)
		members := []membership.Member{{Identity: membership.Identity{Name: "self"}, State: membership.Alive}}
		for i := range peers {
			state := membership.Alive
			if i == peers-1 {
				state = membership.Leaving
			}
			members = append(members, membership.Member{Identity: membership.Identity{Name: fmt.Sprint("p", i)}, State: state})
		}
		s.SetMembers(members)
		for i := range peers {
			s.ObserveRevision(fmt.Sprint("p", i), 2)
		}
		asked, maxFetching := "", 0
		for ; s.Held() < 2 && now.Before(time.Unix(3, 0)); now = now.Add(100 * time.Millisecond) {
			for _, order := range s.Tick(now) {
				if order.Action != ActionFetch {
					continue
				}
				if asked += order.Peer + " "; order.Peer == fmt.Sprint("p", peers-1) {
					t.Errorf("seed %d: %s was asked although it is leaving", seed, order.Peer)
				}
				if order.Peer >= fmt.Sprint("p", silentPeers) {
					s.Offer(now, 2)
					s.Fetched(now, order.Peer, nil)
				}
			}
			maxFetching = max(maxFetching, len(s.fetching))
		}
		if s.Held() < 2 || now.After(time.Unix(0, 0).Add(silentPeers*fetchHedgeDelay+500*time.Millisecond)) {
			t.Errorf("seed %d: revision 2 not held in time, at %v, asked %s", seed, now.Sub(time.Unix(0, 0)), asked)
		}
		if maxFetching > maxFetches {
			t.Errorf("seed %d: %d fetches at once, above the limit", seed, maxFetching)
		}
	}
}
