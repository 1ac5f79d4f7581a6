package scheduling

import (
	"testing"
	"time"

	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

// TestRetryKeepsItsClassAfterTheClassesChangeOrder guards against urgent requests that are retried in the class that has their former
// number since a new configuration.
func TestRetryKeepsItsClassAfterTheClassesChangeOrder(t *testing.T) {
	s := newScheduler(t, "s1")
	s.ObserveReport(epoch, "s1", report("m@1"))
	urgent := testRequest("u")
	urgent.Idempotent = true
	requireOne(t, s.Arrive(epoch, urgent), Dispatch)
	document := testDocument()
	document.Classes = []site.Class{document.Classes[1], document.Classes[0]}
	document.Budgets.RetrySpare = 10
	s.SetDocument(epoch, document)
	failed := Outcome{ID: "u", Server: "s1", Verdict: verdict.NotRun, Err: verdict.Refused(verdict.CodeServerRefused, "full")}
	s.Finish(epoch, failed)
	s.Retry(epoch.Add(time.Millisecond), urgent, failed)
	loads := s.ClassLoads()
	t.Logf("%+v", loads)
	if loads[1].Waiting+loads[1].Running != 1 {
		t.Errorf("the urgent request counts in class %s, want %s: %+v", document.Classes[0].Name, document.Classes[1].Name, loads)
	}
}
