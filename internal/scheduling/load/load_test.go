package load

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// TestTotalAddsOwnRequestsAndDigests checks that the total adds this instance's requests and a
// peer's digest, ignores a digest with an older sequence, and drops the digest when it expires.
func TestTotalAddsOwnRequestsAndDigests(t *testing.T) {
	var s Server
	s.Dispatched(epoch, 0)
	s.Dispatched(epoch, 2)
	s.ObserveDigest(epoch, "i2", []int{1, 2}, 7)
	s.ObserveDigest(epoch, "i2", []int{9, 9}, 6)
	if s.Total(epoch) != 5 || s.TotalUpTo(epoch, 0) != 2 || s.TotalUpTo(epoch, 1) != 4 {
		t.Fatalf("total %d, up to 0: %d, up to 1: %d, want 5, 2 and 4", s.Total(epoch), s.TotalUpTo(epoch, 0), s.TotalUpTo(epoch, 1))
	}
	s.Finished(at(time.Second), 2)
	if got := s.Total(at(time.Second)); got != 4 {
		t.Fatalf("total after one request finished = %d, want 4", got)
	}
	if got := s.Total(at(digestLifetime)); got != 1 {
		t.Fatalf("total after the digest expired = %d, want 1", got)
	}
}

// TestLateReportIsComparedWithTheLoadWhenItWasTaken guards against counting requests twice:
// a lagging report still shows requests that have finished since, and they must not be
// taken for requests of unknown origin.
func TestLateReportIsComparedWithTheLoadWhenItWasTaken(t *testing.T) {
	var s Server
	for range 4 {
		s.Dispatched(epoch, 0)
	}
	for range 3 {
		s.Finished(at(time.Second), 0)
	}
	// The report was taken while all four were running, so it shows no unknown requests.
	s.ObserveReport(at(2*time.Second), Report{Taken: at(500 * time.Millisecond), Total: 4})
	if got := s.Total(at(2 * time.Second)); got != 1 {
		t.Fatalf("total = %d, want 1", got)
	}
	s.ObserveReport(at(3*time.Second), Report{Taken: at(2500 * time.Millisecond), Total: 9})
	if got := s.Total(at(3 * time.Second)); got != 5 {
		t.Fatalf("total with half of 8 unknown requests = %d, want 5", got)
	}
	s.ObserveReport(at(4*time.Second), Report{Taken: at(time.Second), Total: 100})
	if got := s.Total(at(4 * time.Second)); got != 5 {
		t.Fatalf("total after a report older than the last one = %d, want 5", got)
	}
}

// TestRequestsOfADeadPeerAreLearnedFromReports checks that requests which a dead peer left
// on a server are counted again once the server's reports show them. The count is a moving
// average rounded down, so it is still below 4 after 8 reports of 4 requests.
func TestRequestsOfADeadPeerAreLearnedFromReports(t *testing.T) {
	var s Server
	s.ObserveDigest(epoch, "i2", []int{4}, 1)
	s.ForgetPeer("i2")
	if got := s.Total(epoch); got != 0 {
		t.Fatalf("total without the dead peer's digest = %d, want 0", got)
	}
	for i := range 8 {
		now := at(time.Duration(i+1) * time.Second)
		s.ObserveReport(now, Report{Taken: now, Total: 4})
	}
	if got := s.Total(at(9 * time.Second)); got < 3 {
		t.Fatalf("total after 8 reports of 4 requests = %d, want at least 3", got)
	}
}

func BenchmarkTotalUpTo(b *testing.B) {
	var s Server
	for range 8 {
		s.ObserveDigest(epoch, "i", []int{1, 1, 1}, 1)
	}
	for b.Loop() {
		s.TotalUpTo(epoch, 1)
	}
}
