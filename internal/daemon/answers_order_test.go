package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/discovery"
	"limpethub/internal/modelref"
	"limpethub/internal/notices"
	"limpethub/internal/peers/digest"
	"limpethub/internal/residency"
)

// removedMeanwhile is a placement holder's account of a copy whose removal is published right after the account was read.
type removedMeanwhile struct{ publish func() }

func (removedMeanwhile) Holding() bool { return true }

func (r removedMeanwhile) UsableCopies(ref modelref.Ref, _ int) []residency.ResidencyChange {
	copies := []residency.ResidencyChange{{Server: "s1", Ref: ref, Present: true, Term: 3}}
	r.publish()
	return copies
}

// TestAnswerDoesNotOverruleALaterRemoval guards against an answer that says that a version is usable, which was read before the version
// was removed and is ordered after the notice of the removal: its receiver would ignore that notice.
func TestAnswerDoesNotOverruleALaterRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder := newResidencyExtension()
		holder.watcher = discovery.New(discovery.Options{})
		removed := false
		holder.copies = removedMeanwhile{publish: func() {
			removed = true
			holder.PublishChanges([]residency.ResidencyChange{{Server: "s1", Ref: "m@1", Term: 3}})
		}}
		var told []digest.Residency
		holder.answer = func(_ string, answers []digest.Residency) bool {
			told = append(told, answers...)
			return true
		}
		counts := digest.Digest{Instance: "b", RefLoads: []digest.RefLoad{{Ref: "m@1", Waiting: 1}}}
		for range 3 {
			holder.answerWaiting(counts)
			time.Sleep(exchangePeriod)
		}
		if !removed {
			t.Fatal("the account was never read")
		}
		peer, present := notices.NewVersions(), false
		for _, notice := range append(told[:1:1], holder.versions.Take(time.Now(), 10, true)...) {
			if isNew, _ := peer.Receive(time.Now(), notice); isNew {
				present = notice.Present
			}
		}
		if present {
			t.Error("the peer takes the version for usable, want removed")
		}
	})
}
