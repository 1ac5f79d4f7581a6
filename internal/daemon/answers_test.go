package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/notices"
	"limpethub/internal/peers/digest"
	"limpethub/internal/residency"
)

// fixedCopies is a placement holder's account of where versions are usable.
type fixedCopies map[modelref.Ref]string

func (f fixedCopies) Holding() bool { return true }

func (f fixedCopies) UsableCopies(ref modelref.Ref, _ int) []residency.ResidencyChange {
	if f[ref] == "" {
		return nil
	}
	return []residency.ResidencyChange{{Server: f[ref], Ref: ref, Present: true, Term: 3}}
}

// TestInstanceThatWaitsForAUsableVersionIsToldWhereItIs guards against requests that wait for a version until their callers leave, on an
// instance that no notice has reached, while the version is usable on a server.
func TestInstanceThatWaitsForAUsableVersionIsToldWhereItIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder := newResidencyExtension()
		holder.copies = fixedCopies{"m/a1@1": "s1"}
		var told []digest.Residency
		room := false
		holder.answer = func(peer string, answers []digest.Residency) bool {
			if peer != "b" {
				t.Errorf("answered %s, want b", peer)
			}
			if room {
				told = append(told, answers...)
			}
			return room
		}
		counts := digest.Digest{Instance: "b", RefLoads: []digest.RefLoad{{Ref: "m/a1@1", Waiting: 1}, {Ref: "m/a2@1", Waiting: 1}, {Ref: "m@1", Running: 2}}}
		for range 10 {
			holder.answerWaiting(counts)
			time.Sleep(exchangePeriod)
			room = true
		}
		if len(told) < 3 || len(told) > 6 {
			t.Fatalf("%d notices in %v, want one each half second", len(told), 10*exchangePeriod)
		}
		waiting := notices.NewVersions()
		isNew, passOn := waiting.Receive(time.Now(), told[0])
		if told[0].Server != "s1" || told[0].Ref != "m/a1@1" || !isNew || passOn {
			t.Errorf("told %+v, new: %v, passed on: %v; want m/a1@1 on s1, new and not passed on", told[0], isNew, passOn)
		}
	})
}
