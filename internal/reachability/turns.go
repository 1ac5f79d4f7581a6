package reachability

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// turnLength is how long a server that doesn't answer isn't asked again, by all instances together.
	turnLength = time.Second
	// turnsValid is how many turns, the present one included, an instance can still use.
	turnsValid = 2
	// minAskPeriod and maxAskPeriod bound the time after which an instance asks a server without a turn, so that it learns
	// within some seconds that it isn't cut off any more, however few turns it has.
	minAskPeriod = 2 * time.Second
	maxAskPeriod = 10 * time.Second
)

// turns says when an instance may ask a server again that hasn't answered it. Servers name their limits in answers, so an
// instance that gets none doesn't know them, and all may be cut off at the same time. A hash that all instances
// compute alike gives each turn of a server to one of them. Where their views of each other differ, a turn may belong to
// two or to none.
type turns struct {
	// place is that of this instance among the count instances, from 0 on.
	place, count int
}

// newTurns returns the turns of the instance named self among all, whether or not they contain it.
func newTurns(self string, instances []string) turns {
	t := turns{count: 1}
	for _, name := range instances {
		if name == self {
			continue
		}
		t.count++
		if name < self {
			t.place++
		}
	}
	return t
}

// mayAsk reports whether the instance has a turn that it can use at now. It has used those that began before it asked
// the server last.
func (t turns) mayAsk(now time.Time, server string, askedAt time.Time) bool {
	newest := now.UnixNano() / int64(turnLength)
	for turn := newest; turn > newest-turnsValid; turn-- {
		if !time.Unix(0, turn*int64(turnLength)).After(askedAt) {
			return false
		}
		if t.owns(server, turn) {
			return true
		}
	}
	return false
}

func (t turns) owns(server string, turn int64) bool {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(turn))
	// WriteString of a Digest never returns an error.
	_, _ = digest.WriteString(server)
	return digest.Sum64()%uint64(t.count) == uint64(t.place)
}

// askPeriod returns after how long at most the instance asks one of its servers without a turn. Up to maxAskPeriod, all instances
// together ask a server no more often by that than by turns.
func (t turns) askPeriod(servers int) time.Duration {
	period := turnLength * time.Duration(t.count) / time.Duration(max(1, servers))
	return min(max(period, minAskPeriod), maxAskPeriod)
}

// without returns which of so many servers, in an order that all instances have alike, the instance may ask at now without a turn,
// given when it asked any last; ok is false if none. The instances do so at times that are spread over the period, each at the next
// server.
func (t turns) without(now, askedAt time.Time, servers int) (index int, ok bool) {
	if servers == 0 {
		return 0, false
	}
	period := t.askPeriod(servers)
	offset := period * time.Duration(t.place) / time.Duration(t.count)
	number := func(at time.Time) int64 { return (at.UnixNano() + int64(offset)) / int64(period) }
	if number(now) == number(askedAt) {
		return 0, false
	}
	return int((number(now) + int64(t.place)) % int64(servers)), true
}
