package room

import (
	"fmt"
	"testing"
	"time"
)

func names(n int) []string {
	out := make([]string, 0, n)
	for i := range n {
		out = append(out, fmt.Sprint("i", i))
	}
	return out
}

// TestSlotsOfAServerAreDealtOutOnce: the parts of all instances add up to the slots, at any size.
func TestSlotsOfAServerAreDealtOutOnce(t *testing.T) {
	for _, instances := range []int{1, 6, 8, 17, 68, 295} {
		for _, slots := range []int{1, 6, 24, 64} {
			all, total, withSlots := names(instances), 0, 0
			for _, self := range all {
				owned := Owned("s", slots, all, self)
				if owned > 0 {
					withSlots++
				}
				total += owned
			}
			if owners := Owners("s", slots, all); total != slots || len(owners) != withSlots {
				t.Errorf("%d instances, %d slots: dealt out %d to %d instances, %d named as owners", instances, slots, total, withSlots, len(owners))
			}
		}
	}
	if got := Owned("s", 6, names(3), "unknown"); got != 0 {
		t.Errorf("an instance that isn't among those that share has %d slots, want none", got)
	}
}

// TestInstancesThatComeAndGoMoveFewSlots: while instances know different lists, hardly more is dealt out than there is.
func TestInstancesThatComeAndGoMoveFewSlots(t *testing.T) {
	before, after := names(8), names(8)[:7]
	for n := range 20 {
		server := fmt.Sprint("s", n)
		total := 0
		for k, self := range after {
			list := before
			if k%2 == 0 {
				list = after
			}
			total += Owned(server, 6, list, self)
		}
		if total > 7 {
			t.Errorf("%s: %d of 6 slots are dealt out while instances know different lists, want at most 7", server, total)
		}
	}
}

func TestRoomShrinksForAWhileAfterARejection(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Room
	r.SetOwned(4)
	if r.Full(now, 3) || !r.Full(now, 4) {
		t.Error("want room for 4 requests")
	}
	r.Rejected(now, 2)
	if r.Full(now, 1) || !r.Full(now, 2) {
		t.Error("after a rejection beside 2 others: want room for 2")
	}
	if now = now.Add(rejectedPause); r.Full(now, 3) {
		t.Error("a pause later: want room for 4")
	}
	r.BrokenOff(now)
	if !r.Full(now, 3) || r.Full(now.Add(lingerTime), 3) {
		t.Error("a request whose answer broke off must count for a while")
	}
}
