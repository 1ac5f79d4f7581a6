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

// inProcessSite is a site of two in-process instances, with stand-ins for the platform and the
// backend servers.
type inProcessSite struct {
	t         *testing.T
	site      *bench.Site
	tokenFile string
}

func startInProcessSite(t *testing.T) *inProcessSite {
	t.Helper()
	directory := t.TempDir()
	factory, err := entry.NewInProcess(entry.Options{Directory: directory, LogLevel: "error"}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	profile := bench.Rigline()
	s, err := bench.StartSite(profile.SiteOptions())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	// The policy "" is the default routing policy; 1 is the seed.
	if err := s.StartDaemons(context.Background(), factory.Start, 2, "", 1); err != nil {
		t.Fatal(err)
	}
	// The factory writes the operator token to this file when it starts an instance.
	return &inProcessSite{t: t, site: s, tokenFile: filepath.Join(directory, "operators")}
}

// run runs the tool against the i-th instance.
func (s *inProcessSite) run(i int, args ...string) result {
	s.t.Helper()
	address := s.site.Daemons[i].(*entry.Instance).OperatorAddress()
	return run(s.t, "", append([]string{"--server", "http://" + address, "--plaintext", "--token-file", s.tokenFile}, args...)...)
}

// status reads the site's status from the i-th instance.
func (s *inProcessSite) status(i int) operatorapi.Status {
	s.t.Helper()
	got := s.run(i, "status", "-o", "json")
	var status operatorapi.Status
	if err := json.Unmarshal([]byte(got.stdout), &status); err != nil {
		s.t.Fatalf("the output of status is not a JSON status: %v\n%s", err, got)
	}
	return status
}

// waitForStatus reads the status from the i-th instance until it matches, for at most a minute.
// expected describes the status in the failure message.
func (s *inProcessSite) waitForStatus(expected string, i int, matches func(operatorapi.Status) bool) {
	s.t.Helper()
	const pollInterval = 50 * time.Millisecond
	const timeout = time.Minute
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if matches(s.status(i)) {
			return
		}
	}
	s.t.Fatalf("timeout: want a status with: %s\ngot: %+v", expected, s.status(i))
}

func atRevision(revision uint64) func(operatorapi.Status) bool {
	return func(s operatorapi.Status) bool { return s.Revision == revision }
}

// TestCommandsAgainstInstances guards against a tool that works with the fake controller only:
// it runs the commands against two instances.
func TestCommandsAgainstInstances(t *testing.T) {
	testSite := startInProcessSite(t)
	testSite.waitForStatus("revision 1, and 86 models and adapters, each with a resident copy", 1, func(s operatorapi.Status) bool {
		return s.Revision == 1 && len(s.Models) == 86 && len(modelsWithoutResidentCopy(s)) == 0
	})
	for _, args := range [][]string{{"models"}, {"servers"}, {"explain", "model-01"}, {"locate", "model-01"}, {"config", "show"}} {
		if got := testSite.run(0, args...); got.code != ExitOK {
			t.Errorf("%v: want exit code 0, got %s", args, got)
		}
	}
	if got := testSite.run(0, "explain", "no-such-model"); got.code != ExitNotFound {
		t.Errorf("explain of an unknown model: want exit code 8, got %s", got)
	}
	testSite.testConflictingChanges(t)
	// An instance learns of another from the platform's instance list, which lags behind.
	testSite.waitForStatus("entry-2 is alive", 0, func(s operatorapi.Status) bool { return stateOf(s, "entry-2") == operatorapi.InstanceAlive })
	if got := testSite.run(0, "drain", "entry-2"); got.code != ExitOK {
		t.Errorf("drain: want exit code 0, got %s", got)
	}
	<-testSite.site.Daemons[1].(*entry.Instance).Drained()
	testSite.waitForStatus("entry-2 is no longer alive", 0, func(s operatorapi.Status) bool { return stateOf(s, "entry-2") != operatorapi.InstanceAlive })
}

// testConflictingChanges applies a change through one instance and waits until it is in force on
// the other. There, a second change that was edited from the same revision must be refused.
func (s *inProcessSite) testConflictingChanges(t *testing.T) {
	t.Helper()
	shown := s.run(0, "config", "show").stdout
	first := writeFile(t, "first.json", strings.Replace(shown, `"timeout_ms": 4000`, `"timeout_ms": 4500`, 1))
	second := writeFile(t, "second.json", strings.Replace(shown, `"timeout_ms": 4000`, `"timeout_ms": 5000`, 1))
	if got := s.run(0, "config", "apply", first, "--revision", "1"); got.code != ExitOK || !strings.Contains(got.stdout, "revision 2 is in force") {
		t.Fatalf("first change: want exit code 0 and revision 2 in force, got %s", got)
	}
	s.waitForStatus("the change is in force on the other instance", 1, atRevision(2))
	if got := s.run(1, "config", "apply", second, "--revision", "1"); got.code != ExitConflict {
		t.Errorf("second change from revision 1: want exit code 4, got %s", got)
	}
	broken := writeFile(t, "broken.json", strings.Replace(shown, `"timeout_ms": 4000`, `"timeout_ms": "4s"`, 1))
	if got := s.run(0, "config", "apply", broken); got.code != ExitInvalid {
		t.Errorf("configuration that is not valid: want exit code 3, got %s", got)
	}
	if got := s.run(0, "config", "diff", first); got.code != ExitOK || !strings.Contains(got.stdout, "0 changes from revision 2") {
		t.Errorf("diff of the configuration in force: want exit code 0 and no changes from revision 2, got %s", got)
	}
}

func modelsWithoutResidentCopy(s operatorapi.Status) []operatorapi.ModelStatus {
	var out []operatorapi.ModelStatus
	for _, m := range s.Models {
		if !m.HasResidentCopy() {
			out = append(out, m)
		}
	}
	return out
}

// stateOf returns the state of an instance, and InstanceDead if it is not in the list.
func stateOf(s operatorapi.Status, instance string) operatorapi.InstanceState {
	for _, i := range s.Instances {
		if i.Name == instance {
			return i.State
		}
	}
	return operatorapi.InstanceDead
}
