package connlimit

import (
	"testing"
	"time"
)

// addEntries adds connections that began to wait one second after the other, and returns them with those that were interrupted.
func addEntries(b *bound, start time.Time, n int) (entries []*entry, interrupted map[int]bool) {
	interrupted = map[int]bool{}
	for i := range n {
		e := &entry{waitingSince: start.Add(time.Duration(i) * time.Second), interrupt: func() { interrupted[i] = true }}
		b.add(e)
		entries = append(entries, e)
	}
	return entries, interrupted
}

// TestConnectionThatWaitsLongestYields guards against new callers that are locked out by connections on which nothing comes.
func TestConnectionThatWaitsLongestYields(t *testing.T) {
	b, start := newBound(3), time.Unix(1000, 0)
	entries, interrupted := addEntries(b, start, 4)
	// The first one has a request in progress, and the second one has just begun with one.
	b.requestWhole(entries[0])
	b.begins(start.Add(10*time.Second), entries[1])
	yielded, r := b.makeRoom(start.Add(11*time.Second), entries[3])
	if yielded != 1 || r != waitsForRoom || !interrupted[2] || len(interrupted) != 1 {
		t.Fatalf("got %d connections that yield, room %d, interrupted %v; want the third one alone, and a wait for its end", yielded, r, interrupted)
	}
	if yielded, r = b.makeRoom(start.Add(11*time.Second), entries[3]); yielded != 0 || r != waitsForRoom {
		t.Fatalf("got %d more, room %d; want none before the first one has ended", yielded, r)
	}
	b.remove(entries[2])
	if _, r = b.makeRoom(start.Add(11*time.Second), entries[3]); r != hasRoom {
		t.Errorf("got room %d after the end of the one that yields, want room", r)
	}
}

func TestNewConnectionWaitsForTheGraceOfOthers(t *testing.T) {
	b, start := newBound(1), time.Unix(1000, 0)
	entries, _ := addEntries(b, start, 1)
	newest := &entry{waitingSince: start, interrupt: func() {}}
	b.add(newest)
	if yielded, r := b.makeRoom(start.Add(grace/2), newest); yielded != 0 || r != waitsForRoom {
		t.Errorf("got %d connections that yield within the grace, room %d; want none and a wait", yielded, r)
	}
	if yielded, _ := b.makeRoom(start.Add(grace), newest); yielded != 1 || !b.yields(entries[0]) {
		t.Errorf("got %d connections that yield after the grace, want the older one", yielded)
	}
}

// TestNewConnectionIsRefusedBesideRequestsInProgress: a request that was read whole is never ended for another connection.
func TestNewConnectionIsRefusedBesideRequestsInProgress(t *testing.T) {
	b, start := newBound(1), time.Unix(1000, 0)
	entries, interrupted := addEntries(b, start, 2)
	b.requestWhole(entries[0])
	if _, r := b.makeRoom(start.Add(time.Hour), entries[1]); r != noRoom || len(interrupted) != 0 {
		t.Errorf("got room %d, interrupted %v; want no room and nobody", r, interrupted)
	}
	b.requestEnded(start.Add(time.Hour), entries[0])
	if yielded, _ := b.makeRoom(start.Add(2*time.Hour), entries[1]); yielded != 1 {
		t.Error("the connection doesn't yield after the end of its request")
	}
}

func TestSharesOfDescriptors(t *testing.T) {
	for _, c := range []struct{ descriptors, callers, other int }{{600, 133, 25}, {4100, 1300, 243}, {1, 66, 12}} {
		got, err := SharesOf(c.descriptors)
		if err != nil || got.Callers != c.callers || got.Other != c.other {
			t.Errorf("%d descriptors: got %+v, %v; want %d for callers and %d for each other listener", c.descriptors, got, err, c.callers, c.other)
		}
	}
}
