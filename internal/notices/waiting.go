package notices

import (
	"time"

	"limpethub/internal/modelref"
)

const (
	// answerAfter is for how long a peer must have waited for a version before it is answered: the usual notices come sooner.
	answerAfter = 200 * time.Millisecond
	// answerPause is the least time between two answers to one peer about one version.
	answerPause = 500 * time.Millisecond
	// waitGap is the longest time between two counts of a peer that name a version for one wait.
	waitGap = time.Second
	// maxWaitsPerPeer limits the versions of a peer that are remembered, and so those that it is answered about.
	maxWaitsPerPeer = 16
)

// Waits remembers which versions peers wait for, as their counts say, and tells when to answer them. It isn't safe for concurrent
// use.
type Waits struct {
	byPeer map[string]map[modelref.Ref]*wait
}

type wait struct{ since, seenAt, answeredAt time.Time }

// NewWaits returns Waits without any.
func NewWaits() *Waits { return &Waits{byPeer: map[string]map[modelref.Ref]*wait{}} }

// Observe records that a peer waits for versions, and returns those that it should be told of now.
func (w *Waits) Observe(now time.Time, peer string, refs []modelref.Ref) (due []modelref.Ref) {
	waits := w.byPeer[peer]
	for ref, known := range waits {
		if now.Sub(known.seenAt) > waitGap {
			delete(waits, ref)
		}
	}
	for _, ref := range refs {
		known := waits[ref]
		if known == nil && len(waits) >= maxWaitsPerPeer {
			continue
		}
		if waits == nil {
			waits = map[modelref.Ref]*wait{}
			w.byPeer[peer] = waits
		}
		if known == nil {
			known = &wait{since: now}
			waits[ref] = known
		}
		known.seenAt = now
		if now.Sub(known.since) >= answerAfter && now.Sub(known.answeredAt) >= answerPause {
			due = append(due, ref)
		}
	}
	return due
}

// Answered records that a peer was told of a version.
func (w *Waits) Answered(now time.Time, peer string, ref modelref.Ref) {
	if known := w.byPeer[peer][ref]; known != nil {
		known.answeredAt = now
	}
}

// Forget drops what is known of a peer.
func (w *Waits) Forget(peer string) { delete(w.byPeer, peer) }
