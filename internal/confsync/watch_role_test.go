package confsync

import (
	"math/rand/v2"
	"testing"
	"time"

	"limpethub/internal/membership"
)

const roleTestInterval = time.Second

// roleRun drives one watchRole that isn't chosen, in steps of 100 ms.
type roleRun struct {
	role *watchRole
	now  time.Time
	// ownReaches and othersReach are whether the store answers this instance, if it watches, and
	// another one.
	ownReaches, othersReach bool
}

const roleTestInstances = 9

func newRoleRun(seed uint64) *roleRun {
	return &roleRun{
		role: &watchRole{self: "self", rand: rand.New(rand.NewPCG(seed, 1)), progressInterval: roleTestInterval},
		now:  time.Unix(1000, 0),
	}
}

// advance runs for a time and returns how long the role was to watch in it.
func (r *roleRun) advance(d time.Duration) (watching time.Duration) {
	const step = 100 * time.Millisecond
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(step) {
		if r.ownReaches && r.role.watching() {
			r.role.observe(membership.Confirmation{At: r.now, By: "self"})
		}
		if r.othersReach {
			r.role.observe(membership.Confirmation{At: r.now.Add(-roleTestInterval), By: "other"})
		}
		r.role.tick(r.now, roleTestInstances)
		if r.role.watching() {
			watching += step
		}
	}
	return watching
}

func TestBackupBeginsSoonAfterTheLastConfirmation(t *testing.T) {
	for seed := range uint64(100) {
		r := newRoleRun(seed)
		r.othersReach, r.ownReaches = true, true
		if watched := r.advance(time.Minute); watched > 0 {
			t.Fatalf("seed %d: watched for %v while others confirmed the configuration, want not at all", seed, watched)
		}
		r.othersReach = false
		const limit = time.Second // The last confirmation is already roleTestInterval old.
		r.advance(limit)
		if !r.role.watching() {
			t.Errorf("seed %d: doesn't watch %v after the last confirmation, want by then", seed, limit+roleTestInterval)
		}
	}
}

func TestBackupStopsOnceOthersConfirm(t *testing.T) {
	for seed := range uint64(100) {
		r := newRoleRun(seed)
		r.advance(10 * time.Second)
		if !r.role.watching() {
			t.Fatalf("seed %d: doesn't watch without any confirmation", seed)
		}
		r.othersReach = true
		if r.advance(200 * time.Millisecond); r.role.watching() {
			t.Errorf("seed %d: goes on watching although only others get answers, want an end at once", seed)
		}
		r.othersReach, r.ownReaches = false, true
		r.advance(10 * time.Second)
		r.othersReach = true
		if r.advance(minBackupTime - time.Second); !r.role.watching() {
			t.Errorf("seed %d: a backup with answers stopped before %v", seed, minBackupTime)
		}
		if r.advance(maxBackupTime - minBackupTime + 2*time.Second); r.role.watching() {
			t.Errorf("seed %d: a backup still watches %v after others began to confirm", seed, maxBackupTime+time.Second)
		}
	}
}

// TestBackupGoesOnWhileItIsTheOnlyOne guards against a backup that relies on its own confirmations,
// which peers pass back to it.
func TestBackupGoesOnWhileItIsTheOnlyOne(t *testing.T) {
	r := newRoleRun(1)
	r.ownReaches = true
	r.advance(5 * time.Second)
	if watched := r.advance(10 * time.Minute); watched < 10*time.Minute {
		t.Errorf("watched for %v of 10 min as the only one that the store answers, want all the time", watched)
	}
}

// TestConfirmationOfUnknownRevisionDoesNotCount guards against an instance that believes to be up
// to date by a confirmation of a revision that it doesn't hold.
func TestConfirmationOfUnknownRevisionDoesNotCount(t *testing.T) {
	p := NewFetchPlanner("self", 1)
	now := time.Unix(1000, 0)
	p.Offer(now, 3)
	p.ObserveConfirmation(4, membership.Confirmation{At: now, By: "peer"})
	if got := p.Confirmation(); !got.At.IsZero() {
		t.Errorf("holds 3, confirmed is 4: got confirmation %+v, want none", got)
	}
	p.ObserveConfirmation(3, membership.Confirmation{At: now, By: "peer"})
	if got := p.Confirmation(); got.By != "peer" {
		t.Errorf("holds 3, confirmed is 3: got confirmation %+v, want the peer's", got)
	}
}
