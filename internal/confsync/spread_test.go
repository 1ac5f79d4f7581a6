package confsync

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/membership"
)

// TestPeersThatDoNotAnswerDoNotHoldTheConfigurationUp replays a rolling restart in the
// middle of a change: of the peers that told of a new revision some stop and answer no
// more, and the next one must be asked long before their calls end.
func TestPeersThatDoNotAnswerDoNotHoldTheConfigurationUp(t *testing.T) {
	const silent, peers = 3, 8
	for seed := range uint64(50) {
		now := time.Unix(0, 0)
		s := NewSpread("self", seed)
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
			s.Heard(fmt.Sprint("p", i), 2)
		}
		asked, most := "", 0
		for ; s.Held() < 2 && now.Before(time.Unix(3, 0)); now = now.Add(100 * time.Millisecond) {
			for _, order := range s.Tick(now) {
				if order.Action != ActionFetch {
					continue
				}
				if asked += order.Peer + " "; order.Peer == fmt.Sprint("p", peers-1) {
					t.Errorf("seed %d: %s is leaving and was asked", seed, order.Peer)
				}
				if order.Peer >= fmt.Sprint("p", silent) {
					s.Offer(now, 2)
					s.Fetched(now, order.Peer, nil)
				}
			}
			most = max(most, len(s.fetching))
		}
		if s.Held() < 2 || now.After(time.Unix(0, 0).Add(silent*fetchPatience+500*time.Millisecond)) {
			t.Errorf("seed %d: at %v, asked %s", seed, now.Sub(time.Unix(0, 0)), asked)
		}
		if most > maxFetches {
			t.Errorf("seed %d: %d fetches at once", seed, most)
		}
	}
}
