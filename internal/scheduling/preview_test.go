package scheduling

import (
	"testing"
	"time"
)

// TestPreviewLeavesNoRequestBehind guards against a preview that leaves its request queued or
// counted as dispatched.
func TestPreviewLeavesNoRequestBehind(t *testing.T) {
	s := newScheduler(t, "s1", "s2")
	if got := s.Preview(epoch, testRequest("r")); got.Action != Queue || len(got.Candidates) != 0 {
		t.Fatalf("preview without a copy = %+v, want queueing without candidates", got)
	}
	s.ObserveReport(epoch, "s1", report("m@1"))
	for range 100 {
		got := s.Preview(epoch, testRequest("r"))
		if got.Action != Dispatch || got.Server != "s1" || len(got.Candidates) != 1 {
			t.Fatalf("preview with a copy on s1 = %+v, want dispatch to s1", got)
		}
	}
	if loads := s.ClassLoads(); loads[0] != (ClassLoad{}) {
		t.Fatalf("loads after previews = %+v, want none", loads)
	}
	requireOne(t, s.Arrive(epoch, testRequest("r")), Dispatch)
	if loads := s.ClassLoads(); loads[0].Running != 1 {
		t.Fatalf("loads after a dispatch = %+v, want one running request in class 0", loads)
	}
}

// TestPreviewReportsWhyAServerIsExcluded checks the reason for a leaving server.
func TestPreviewReportsWhyAServerIsExcluded(t *testing.T) {
	s := newScheduler(t, "s1")
	leaving := report("m@1")
	leaving.Leaving = true
	s.ObserveReport(epoch, "s1", leaving)
	got := s.Preview(epoch.Add(time.Second), testRequest("r"))
	if got.Action != Queue || got.Candidates[0].Excluded != "leaving" {
		t.Fatalf("preview = %+v, want queueing and s1 excluded as leaving", got)
	}
	if loads := s.ClassLoads(); loads[0].Waiting != 0 {
		t.Fatalf("loads after a preview = %+v, want nothing waiting", loads)
	}
}

// TestClassLoadsWithFewerClassesThanBefore guards against a panic if a configuration removes classes while requests of them run.
func TestClassLoadsWithFewerClassesThanBefore(t *testing.T) {
	s := newScheduler(t, "s1")
	s.ObserveReport(epoch, "s1", report("m@1"))
	document := *testDocument()
	last := len(document.Classes) - 1
	r := testRequest("r")
	r.Class = last
	requireOne(t, s.Arrive(epoch, r), Dispatch)
	document.Classes = document.Classes[:last]
	s.SetDocument(epoch, &document)
	if loads := s.ClassLoads(); len(loads) != last {
		t.Fatalf("loads of %d classes, want %d", len(loads), last)
	}
}
