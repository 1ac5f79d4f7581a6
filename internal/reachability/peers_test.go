package reachability

import (
	"testing"
	"time"

	"limpethub/internal/gossip"
	"limpethub/internal/logging"
)

// TestPeersOfOneTopicKnowNothingOfAnother guards against callers that are sent away from an instance which is out of touch
// with one thing, by the word of another one, or for longer than its word lasts.
func TestPeersOfOneTopicKnowNothingOfAnother(t *testing.T) {
	now := time.Unix(1000, 0)
	var told []gossip.Timed
	publish := func(f gossip.Timed) { told = append(told, f) }
	newPeers := func(self string, topic gossip.Topic) *Peers {
		return NewPeers(self, topic, publish, logging.Discard(), func() time.Time { return now })
	}
	sender, receiver := newPeers("a", gossip.TopicOutOfTouch), newPeers("b", gossip.TopicOutOfTouch)
	sender.Tell(CutOff)
	if len(told) != 1 || told[0].Topic != gossip.TopicOutOfTouch || sender.Reaches("a") {
		t.Fatalf("told %+v, want one fact of the topic, and the instance itself to know", told)
	}
	if _, isNew := receiver.HandleFact(now, told[0]); !isNew || receiver.Reaches("a") || !receiver.Reaches("c") {
		t.Errorf("new: %v, a reaches: %v, c reaches: %v, want true, false, true", isNew, receiver.Reaches("a"), receiver.Reaches("c"))
	}
	now = now.Add(lifetime)
	if !receiver.Reaches("a") {
		t.Error("a word that is over still counts")
	}
}
