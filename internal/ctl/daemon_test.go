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

// daemonSite is a site of two in-process daemons, with stand-ins for the platform and the
// backend servers.
type daemonSite struct {
	t         *testing.T
	site      *bench.Site
	tokenFile string
}

func startDaemonSite(t *testing.T) *daemonSite {
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
	return &daemonSite{t: t, site: s, tokenFile: filepath.Join(directory, "operators")}
}

// run runs the tool against the i-th daemon.
func (r *daemonSite) run(i int, args ...string) result {
	r.t.Helper()
	address := r.site.Daemons[i].(*entry.Instance).OperatorAddress()
	return run(r.t, "", append([]string{"--server", "http://" + address, "--plaintext", "--token-file", r.tokenFile}, args...)...)
}

// status reads the site's status from the i-th daemon.
func (r *daemonSite) status(i int) operatorapi.Status {
	r.t.Helper()
	got := r.run(i, "status", "-o", "json")
	var status operatorapi.Status
	if err := json.Unmarshal([]byte(got.stdout), &status); err != nil {
		r.t.Fatalf("the output of status is not a JSON status: %v\n%s", err, got)
	}
	return status
}

// waitForStatus reads the status from the i-th daemon until it matches, for at most a minute.
// expected describes the status in the failure message.
func (r *daemonSite) waitForStatus(expected string, i int, matches func(operatorapi.Status) bool) {
	r.t.Helper()
	const pollInterval = 50 * time.Millisecond
	const timeout = time.Minute
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if matches(r.status(i)) {
			return
		}
	}
	r.t.Fatalf("timeout: want a status with: %s\ngot: %+v", expected, r.status(i))
}

func atRevision(revision uint64) func(operatorapi.Status) bool {
	return func(s operatorapi.Status) bool { return s.Revision == revision }
}

// TestCommandsAgainstDaemons guards against a tool that works with the fake controller only:
// it runs the commands against two daemons.
func TestCommandsAgainstDaemons(t *testing.T) {
	r := startDaemonSite(t)
	r.waitForStatus("all models reachable", 1, func(s operatorapi.Status) bool {
		return s.Revision == 1 && len(s.Models) == 86 && len(unreachableModels(s)) == 0
	})
	for _, args := range [][]string{{"models"}, {"servers"}, {"explain", "model-01"}, {"locate", "model-01"}, {"config", "show"}} {
		if got := r.run(0, args...); got.code != ExitOK {
			t.Errorf("%v: %s", args, got)
		}
	}
	if got := r.run(0, "explain", "no-such-model"); got.code != ExitNotFound {
		t.Error(got)
	}
	r.testConflictingChanges(t)
	// An instance learns of another from the platform's instance list, which lags behind.
	r.waitForStatus("entry-2 is known", 0, func(s operatorapi.Status) bool { return stateOf(s, "entry-2") == operatorapi.InstanceAlive })
	if got := r.run(0, "drain", "entry-2"); got.code != ExitOK {
		t.Error(got)
	}
	<-r.site.Daemons[1].(*entry.Instance).Drained()
	r.waitForStatus("entry-2 has left", 0, func(s operatorapi.Status) bool { return stateOf(s, "entry-2") != operatorapi.InstanceAlive })
}

// testConflictingChanges applies a change through one daemon and waits until it is in force on
// the other. There, a second change that was edited from the same revision must be refused.
func (r *daemonSite) testConflictingChanges(t *testing.T) {
	t.Helper()
	shown := r.run(0, "config", "show").stdout
	first := writeFile(t, "first.json", strings.Replace(shown, `"timeout_ms": 4000`, `"timeout_ms": 4500`, 1))
	second := writeFile(t, "second.json", strings.Replace(shown, `"timeout_ms": 4000`, `"timeout_ms": 5000`, 1))
	if got := r.run(0, "config", "apply", first, "--revision", "1"); got.code != ExitOK || !strings.Contains(got.stdout, "revision 2 is in force") {
		t.Fatal(got)
	}
	r.waitForStatus("the change is in force on the other instance", 1, atRevision(2))
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

func unreachableModels(s operatorapi.Status) []operatorapi.ModelStatus {
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
