package ctl

import (
	"strings"
	"testing"

	"limpethub/internal/operatorapi"
)

// TestServerTableShowsSpeedOnlyIfServersDiffer guards against a listing that hides a slow server, or that
// changes where no server differs.
func TestServerTableShowsSpeedOnlyIfServersDiffer(t *testing.T) {
	show := func(servers ...operatorapi.ServerStatus) string {
		var out strings.Builder
		if err := serverTable(servers).write(&out); err != nil {
			t.Fatal(err)
		}
		return out.String()
	}
	usual := operatorapi.ServerStatus{Name: "desk-1"}
	if text := show(usual); strings.Contains(text, "SLOWDOWN") {
		t.Errorf("table of usual servers:\n%swant no column SLOWDOWN", text)
	}
	if text := show(usual, operatorapi.ServerStatus{Name: "desk-2", Slowdown: 2.18, Limit: 5}); !strings.Contains(text, "SLOWDOWN") || !strings.Contains(text, "2.18") {
		t.Errorf("table with a slow server:\n%swant a column SLOWDOWN with 2.18", text)
	}
}
