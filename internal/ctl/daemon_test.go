package ctl

import (
	"context"
	"encoding/json"
	"io"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"limpethub/internal/lab/bench"
	"limpethub/internal/lab/entry"
	"limpethub/internal/operatorapi"
)

// realSite is two daemons before the stand-ins of a site.
type realSite struct {
	t         *testing.T
	site      *bench.Site
	tokenFile string
}

func startRealSite(t *testing.T) *realSite {
	t.Helper()
	directory := t.TempDir()
	host, err := entry.NewInProcess(entry.Options{Directory: directory, LogLevel: "error"}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	profile := bench.Rigline()
	s, err := bench.StartSite(profile.SiteOptions())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	if err := s.StartDaemons(context.Background(), host.Start, 2, "", 1); err != nil {
		t.Fatal(err)
	}
	return &realSite{t: t, site: s, tokenFile: filepath.Join(directory, "operators")}
}

// run runs the tool against the i-th daemon.
func (r *realSite) run(i int, args ...string) result {
	r.t.Helper()
	address := r.site.Daemons[i].(*entry.Instance).OperatorAddress()
	return run(r.t, "", append([]string{"--server", "http://" + address, "--plaintext", "--token-file", r.tokenFile}, args...)...)
}

// status asks the i-th daemon for its status.
func (r *realSite) status(i int) operatorapi.Status {
	r.t.Helper()
	got := r.run(i, "status", "-o", "json")
	var status operatorapi.Status
	if err := json.Unmarshal([]byte(got.stdout), &status); err != nil {
		r.t.Fatalf("%v\n%s", err, got)
	}
	return status
}

// await asks the i-th daemon until its status is as wanted, or the test's time is over.
func (r *realSite) await(what string, i int, wanted func(operatorapi.Status) bool) {
	r.t.Helper()
	const pause = 50 * time.Millisecond
	const patience = time.Minute
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(pause) {
		if wanted(r.status(i)) {
			return
		}
	}
	r.t.Fatalf("never: %s\n%+v", what, r.status(i))
}

func atRevision(revision uint64) func(operatorapi.Status) bool {
	return func(s operatorapi.Status) bool { return s.Revision == revision }
}

// TestAgainstDaemons runs the commands against real daemons.
func TestAgainstDaemons(t *testing.T) {
	r := startRealSite(t)
	r.await("all models reachable", 1, func(s operatorapi.Status) bool {
		return s.Revision == 1 && len(s.Models) == 86 && len(unreachable(s)) == 0
	})
	for _, args := range [][]string{{"models"}, {"servers"}, {"explain", "model-01"}, {"locate", "model-01"}, {"config", "show"}} {
		if got := r.run(0, args...); got.code != ExitOK {
			t.Errorf("%v: %s", args, got)
		}
	}
	if got := r.run(0, "explain", "no-such-model"); got.code != ExitNotFound {
		t.Error(got)
	}
	r.change(t)
	// The instances learn of each other from the platform's lagging list.
	r.await("entry-2 is known", 0, func(s operatorapi.Status) bool { return stateOf(s, "entry-2") == operatorapi.InstanceAlive })
	if got := r.run(0, "drain", "entry-2"); got.code != ExitOK {
		t.Error(got)
	}
	<-r.site.Daemons[1].(*entry.Instance).Drained()
	r.await("entry-2 has left", 0, func(s operatorapi.Status) bool { return stateOf(s, "entry-2") != operatorapi.InstanceAlive })
}

// change applies a change by one daemon, sees it in force on the other, and is refused
// when it applies a second change from the former revision.
func (r *realSite) change(t *testing.T) {
	t.Helper()
	shown := r.run(0, "config", "show").stdout
	first := writeFile(t, "first.json", strings.Replace(shown, `"timeout_ms": 4000`, `"timeout_ms": 4500`, 1))
	second := writeFile(t, "second.json", strings.Replace(shown, `"timeout_ms": 4000`, `"timeout_ms": 5000`, 1))
	if got := r.run(0, "config", "apply", first, "--revision", "1"); got.code != ExitOK || !strings.Contains(got.stdout, "revision 2 is in force") {
		t.Fatal(got)
	}
	r.await("the change is in force on the other instance", 1, atRevision(2))
	if got := r.run(1, "config", "apply", second, "--revision", "1"); got.code != ExitConflict {
		t.Error(got)
	}
	broken := writeFile(t, "broken.json", strings.Replace(shown, `"timeout_ms": 4000`, `"timeout_ms": "4s"`, 1))
	if got := r.run(0, "config", "apply", broken); got.code != ExitInvalid {
		t.Error(got)
	}
	if got := r.run(0, "config", "diff", first); got.code != ExitOK || !strings.Contains(got.stdout, "0 changes to revision 2") {
		t.Error(got)
	}
}

func unreachable(s operatorapi.Status) []operatorapi.ModelStatus {
	var out []operatorapi.ModelStatus
	for _, m := range s.Models {
		if !m.Reachable() {
			out = append(out, m)
		}
	}
	return out
}

func stateOf(s operatorapi.Status, instance string) operatorapi.InstanceState {
	for _, i := range s.Instances {
		if i.Name == instance {
			return i.State
		}
	}
	return operatorapi.InstanceDead
}
