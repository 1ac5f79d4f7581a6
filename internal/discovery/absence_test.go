package discovery

import (
	"testing"
	"time"
)

// TestServerThatLeftDuringACutIsGoneAtOnceAfterIt guards against an instance that takes its own cut for an outage of the
// store, and goes on sending requests to a server whose entry was removed meanwhile.
func TestServerThatLeftDuringACutIsGoneAtOnceAfterIt(t *testing.T) {
	for _, size := range []struct{ instances, cut int }{{3, 1}, {295, 98}} {
		withCutFleet(t, size.instances, func(t *testing.T, f *cutFleet) {
			f.cut(size.cut, true)
			time.Sleep(5500 * time.Millisecond)
			f.leaveAndForget()
			time.Sleep(2500 * time.Millisecond)
			f.cut(size.cut, false)
			// An instance is in touch again after stableWindow. The bound is over by then.
			f.wantServerGone(t, stableWindow, size.cut)
		})
	}
}

// TestServersAreKeptAfterAnOutageThatAllInstancesHad guards against servers that are given up after an outage of the store in
// which their entries expired, because an instance that has returned earlier is taken for one that stayed in touch.
func TestServersAreKeptAfterAnOutageThatAllInstancesHad(t *testing.T) {
	for _, instances := range []int{1, 3, 295} {
		withCutFleet(t, instances, func(t *testing.T, f *cutFleet) {
			f.store.change(func() { f.store.unreachable = true })
			time.Sleep(8 * time.Second)
			f.loseEntries()
			f.wantServersKept(t, instances)
		})
	}
}

// TestContactProvesOnlyWhatItCovers: a peer that returned during the absence, or has not read the store since, says nothing of it.
func TestContactProvesOnlyWhatItCovers(t *testing.T) {
	a := absence{since: at(0), until: at(8)}
	for _, c := range []struct {
		what string
		told []Contact
		want bool
	}{
		{"all the while", []Contact{{at(-100), at(8)}}, true},
		{"read a moment before the end", []Contact{{at(-100), at(7)}}, true},
		{"began a moment after the absence", []Contact{{at(1), at(8)}}, true},
		{"returned during the absence", []Contact{{at(5), at(8)}}, false},
		{"not read since the outage began", []Contact{{at(-100), at(0.5)}}, false},
		{"never", nil, false},
		{"one after the other", []Contact{{at(3.5), at(8)}, {at(-100), at(4)}}, true},
		{"one after the other, with a short gap", []Contact{{at(4), at(8)}, {at(-100), at(3)}}, true},
		{"one after the other, with a long gap", []Contact{{at(5), at(8)}, {at(-100), at(3)}}, false},
		{"a moment of service within a long gap", []Contact{{at(-100), at(3)}, {at(4.2), at(4.3)}, {at(5.5), at(8)}}, false},
		{"a gap at each end", []Contact{{at(1), at(7)}}, false},
	} {
		var known contacts
		for _, told := range c.told {
			known.add(told)
		}
		if got := a.coveredBy(known); got != c.want {
			t.Errorf("%s: covered %v, want %v", c.what, got, c.want)
		}
	}
	if (absence{until: at(8)}).coveredBy(contacts{{at(-100), at(8)}}) {
		t.Error("the time before an instance's start counts as an absence that is covered")
	}
}

// at returns a time in seconds after a common one.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}
