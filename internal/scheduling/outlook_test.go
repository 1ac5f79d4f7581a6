package scheduling

import (
	"testing"
	"time"
)

func TestOutlookChangesNothing(t *testing.T) {
	s := newScheduler(t, "s1", "s2")
	if got := s.Outlook(epoch, testRequest("r")); got.Action != Queue || len(got.Candidates) != 0 {
		t.Fatalf("without a copy: %+v", got)
	}
	s.ObserveReport(epoch, "s1", report("m@1"))
	for range 100 {
		got := s.Outlook(epoch, testRequest("r"))
		if got.Action != Dispatch || got.Server != "s1" || len(got.Candidates) != 1 {
			t.Fatalf("with a copy: %+v", got)
		}
	}
	if loads := s.ClassLoads(); loads[0] != (ClassLoad{}) {
		t.Fatalf("an outlook left work behind: %+v", loads)
	}
	only(t, s.Arrive(epoch, testRequest("r")), Dispatch)
	if loads := s.ClassLoads(); loads[0].Running != 1 {
		t.Fatalf("loads: %+v", loads)
	}
}

func TestOutlookNamesWhatExcludes(t *testing.T) {
	s := newScheduler(t, "s1")
	leaving := report("m@1")
	leaving.Leaving = true
	s.ObserveReport(epoch, "s1", leaving)
	got := s.Outlook(epoch.Add(time.Second), testRequest("r"))
	if got.Action != Queue || got.Candidates[0].Excluded != "leaving" {
		t.Fatalf("got %+v", got)
	}
	if loads := s.ClassLoads(); loads[0].Waiting != 0 {
		t.Fatalf("an outlook left work waiting: %+v", loads)
	}
}
