package notices

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/peers/digest"
)

func TestPeerThatStillWaitsIsAnsweredAgain(t *testing.T) {
	w, start := NewWaits(), time.Unix(1000, 0)
	refs := []modelref.Ref{"a@1"}
	var answeredAt []time.Duration
	for at := time.Duration(0); at < 2*time.Second; at += 100 * time.Millisecond {
		for _, ref := range w.Observe(start.Add(at), "peer", refs) {
			w.Answered(start.Add(at), "peer", ref)
			answeredAt = append(answeredAt, at)
		}
	}
	want := []time.Duration{200 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond, 1700 * time.Millisecond}
	if !slices.Equal(answeredAt, want) {
		t.Errorf("answered at %v, want %v", answeredAt, want)
	}
	if due := w.Observe(start.Add(5*time.Second), "peer", refs); len(due) > 0 {
		t.Errorf("%v is due at once after a time without waiting, want nothing", due)
	}
}

// TestWaitsOfAPeerAreBounded guards against memory and answers that grow with what one peer names.
func TestWaitsOfAPeerAreBounded(t *testing.T) {
	w, start := NewWaits(), time.Unix(1000, 0)
	var refs []modelref.Ref
	for n := range 1000 {
		refs = append(refs, modelref.Ref(fmt.Sprintf("a%d@1", n)))
	}
	w.Observe(start, "peer", refs)
	if due := w.Observe(start.Add(answerAfter), "peer", refs); len(due) != maxWaitsPerPeer {
		t.Errorf("%d versions are due, want %d", len(due), maxWaitsPerPeer)
	}
	w.Forget("peer")
	if len(w.byPeer) != 0 {
		t.Error("a peer that is gone is remembered")
	}
}

// TestAnswerIsAppliedAndNotPassedOn guards against an answer to one instance that goes to all others, and against one that hides a
// newer notice.
func TestAnswerIsAppliedAndNotPassedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	holder, peer := NewVersions(), NewVersions()
	notice := digest.Residency{Server: "s", Ref: "a@1", Present: true}
	answer := holder.Answer(7, holder.BeginAnswer(), notice)
	if isNew, passOn := peer.Receive(now, answer); !isNew || passOn {
		t.Errorf("an answer is new: %v, passed on: %v; want true, false", isNew, passOn)
	}
	if sent := holder.Take(now, 10, true); len(sent) > 0 {
		t.Errorf("the holder sends %v to others", sent)
	}
	gone := notice
	gone.Present = false
	holder.Publish(now, 7, gone)
	for _, n := range holder.Take(now, 10, false) {
		if isNew, _ := peer.Receive(now, n); !isNew {
			t.Error("a notice after the answer isn't new")
		}
	}
	if isNew, _ := peer.Receive(now, answer); isNew {
		t.Error("an answer from before the notice is new")
	}
}
