package daemon

import (
	"testing"
	"time"

	"limpethub/internal/reachability"
)

// TestProofStateDoesNotFlap guards against facts that are told again and again by an instance whose proofs are about half
// as old as they may be, and against callers that go on coming until the bound.
func TestProofStateDoesNotFlap(t *testing.T) {
	const bound = 5 * time.Second
	state, changes := reachability.Direct, 0
	for n := range 100 {
		age := bound/2 + time.Duration(n%5-2)*100*time.Millisecond
		if next := proofState(state, age, bound, true); next != state {
			state, changes = next, changes+1
		}
	}
	if state != reachability.CutOff || changes != 1 {
		t.Errorf("state %v after %d changes, want cut off after 1", state, changes)
	}
	if got := proofState(state, bound/4, bound, true); got != reachability.Direct {
		t.Errorf("with a young proof: %v, want direct", got)
	}
	if got := proofState(state, time.Hour, bound, false); got != reachability.Direct {
		t.Errorf("where none is needed: %v, want direct", got)
	}
}
