package daemon

import (
	"reflect"
	"testing"
	"time"

	"limpethub/internal/membership"
	"limpethub/internal/workspacequota"
)

// TestDeadInstancesMayStillRun guards against a limit that two halves of a fleet give out in full, since each one
// takes the other for ended, and against one that is withheld for ever for an instance that only an old list of
// seeds names.
func TestDeadInstancesMayStillRun(t *testing.T) {
	now := time.Unix(1000, 0)
	q := &quotaMembers{self: "self", seen: map[string]time.Time{}}
	member := func(name string, state membership.State, listed bool) membership.Member {
		return membership.Member{Identity: membership.Identity{Name: name}, State: state, Listed: listed}
	}
	members := []membership.Member{
		member("alive", membership.Alive, true), member("cut off", membership.Dead, true),
		member("leaving", membership.Leaving, true), member("seed", membership.Dead, false),
		member("self", membership.Alive, true), member("suspect", membership.Suspect, true),
	}
	want := workspacequota.Members{
		Candidates: []string{"alive", "self"}, Peers: []string{"alive", "leaving", "suspect"}, Covered: 3, Known: 6,
	}
	if got := q.count(now, members); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	want.Known = 5
	if got := q.count(now.Add(stillRunsFor), members); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v %v later, want %+v", got, stillRunsFor, want)
	}
}
