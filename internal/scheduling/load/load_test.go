package load

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func TestTotalAddsOwnAndRemote(t *testing.T) {
	var s Server
	s.Dispatched(epoch, 0)
	s.Dispatched(epoch, 2)
	s.ObserveRemote(epoch, "i2", []int{1, 2}, 7)
	s.ObserveRemote(epoch, "i2", []int{9, 9}, 6)
	if s.Total(epoch) != 5 || s.UpTo(epoch, 0) != 2 || s.UpTo(epoch, 1) != 4 {
		t.Fatalf("total %d, up to 0: %d, up to 1: %d", s.Total(epoch), s.UpTo(epoch, 0), s.UpTo(epoch, 1))
	}
	s.Finished(at(time.Second), 2)
	if got := s.Total(at(time.Second)); got != 4 {
		t.Fatalf("total after an end = %d, want 4", got)
	}
	if got := s.Total(at(remoteLifetime)); got != 1 {
		t.Fatalf("total with the digest too old = %d, want 1", got)
	}
}

func TestLateReportIsComparedWithItsTime(t *testing.T) {
	var s Server
	for range 4 {
		s.Dispatched(epoch, 0)
	}
	for range 3 {
		s.Finished(at(time.Second), 0)
	}
	// The report tells of the time of the four; it shows nothing unknown.
	s.ObserveReport(at(2*time.Second), Report{Taken: at(500 * time.Millisecond), Total: 4})
	if got := s.Total(at(2 * time.Second)); got != 1 {
		t.Fatalf("total = %d, want 1", got)
	}
	s.ObserveReport(at(3*time.Second), Report{Taken: at(2500 * time.Millisecond), Total: 9})
	if got := s.Total(at(3 * time.Second)); got != 5 {
		t.Fatalf("total with half of 8 unknown ones = %d, want 5", got)
	}
	s.ObserveReport(at(4*time.Second), Report{Taken: at(time.Second), Total: 100})
	if got := s.Total(at(4 * time.Second)); got != 5 {
		t.Fatalf("an older report changed the total to %d", got)
	}
}

func TestDeadPeersWorkShowsInReports(t *testing.T) {
	var s Server
	s.ObserveRemote(epoch, "i2", []int{4}, 1)
	s.ForgetRemote("i2")
	if got := s.Total(epoch); got != 0 {
		t.Fatalf("total = %d, want 0", got)
	}
	for i := range 8 {
		now := at(time.Duration(i+1) * time.Second)
		s.ObserveReport(now, Report{Taken: now, Total: 4})
	}
	if got := s.Total(at(9 * time.Second)); got < 3 {
		t.Fatalf("total = %d, want nearly 4", got)
	}
}

func BenchmarkTotal(b *testing.B) {
	var s Server
	for range 8 {
		s.ObserveRemote(epoch, "i", []int{1, 1, 1}, 1)
	}
	for b.Loop() {
		s.UpTo(epoch, 1)
	}
}
