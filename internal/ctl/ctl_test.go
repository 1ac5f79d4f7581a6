package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/spf13/cobra"

	"limpethub/internal/operatorapi"
	"limpethub/internal/site"
)

// run runs the tool. The ids of its changes are change-1, change-2 and so on, so that the
// output is the same in each run.
func run(t *testing.T, configDir string, args ...string) result {
	t.Helper()
	var stdout, stderr bytes.Buffer
	changes := 0
	code := Run(context.Background(), args, Environment{
		Stdout: &stdout, Stderr: &stderr, ConfigDir: configDir,
		NewChangeID: func() string { changes++; return fmt.Sprintf("change-%d", changes) },
	})
	return result{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

// putExampleInForce makes the Rigline example the configuration in force, as revision 7.
func (f *fixture) putExampleInForce() {
	f.t.Helper()
	doc, err := site.Load(exampleBase, exampleOverlay)
	if err != nil {
		f.t.Fatal(err)
	}
	f.controller.accepted = site.Accepted{Revision: 7, ChangeID: "earlier", Document: doc}
}

// TestOutput compares the exit code, standard output and standard error of each command with a
// golden file.
func TestOutput(t *testing.T) {
	g := goldie.New(t)
	for name, args := range map[string][]string{
		"status":            {"status"},
		"status-json":       {"status", "-o", "json"},
		"models":            {"models"},
		"unreachable":       {"models", "--unreachable"},
		"models-json":       {"models", "--unreachable", "--output", "json"},
		"servers":           {"servers"},
		"servers-json":      {"servers", "--output", "json"},
		"explain":           {"explain", "appraisal"},
		"explain-json":      {"explain", "appraisal", "-o", "json"},
		"locate":            {"locate", "appraisal"},
		"locate-json":       {"locate", "appraisal", "-o", "json"},
		"drain":             {"drain", "entry-a1"},
		"quarantine":        {"quarantine", "list"},
		"release":           {"quarantine", "release", "0bc7184168bceac8"},
		"release-json":      {"quarantine", "release", "0bc7184168bceac8", "-o", "json"},
		"release-none":      {"quarantine", "release", "ffff"},
		"drain-json":        {"drain", "entry-a1", "-o", "json"},
		"diff":              {"config", "diff", exampleBase, exampleOverlay, "-o", "json"},
		"diff-changed":      {"config", "diff", exampleBase, "testdata/changed.json"},
		"diff-json":         {"config", "diff", exampleBase, "testdata/changed.json", "-o", "json"},
		"apply":             {"config", "apply", exampleBase, "testdata/changed.json", "--revision", "7"},
		"apply-json":        {"config", "apply", exampleBase, "testdata/changed.json", "-o", "json"},
		"apply-same":        {"config", "apply", exampleBase, exampleOverlay},
		"conflict":          {"config", "apply", exampleBase, "testdata/changed.json", "--revision", "5"},
		"check":             {"config", "check", exampleBase, exampleOverlay},
		"check-bad":         {"config", "check", exampleBase, "testdata/bad.json"},
		"check-json":        {"config", "check", exampleBase, "testdata/bad.json", "-o", "json"},
		"check-same":        {"config", "check", exampleBase, exampleOverlay, "--in-force", "--strict"},
		"check-warn":        {"config", "check", "testdata/warn.json"},
		"check-strict":      {"config", "check", "testdata/warn.json", "--strict", "--against", "testdata/one.json"},
		"check-warn-json":   {"config", "check", "testdata/one.json", "--against", "testdata/warn.json", "-o", "json"},
		"check-against-bad": {"config", "check", "testdata/one.json", "--against", "testdata/bad.json"},
		"settings":          {"settings", "check", "../../examples/rigline/limpethubd.json", "../../examples/tichy-vers/limpethubd.json"},
		"settings-bad":      {"settings", "check", "../settings/testdata/good/plain.json", "../settings/testdata/bad/syntax.json"},
		"help":              {"--help"},
		"help-apply":        {"config", "apply", "--help"},
		"not-found":         {"explain", "no-such-model"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.putExampleInForce()
			g.Assert(t, name, []byte(f.run(args...).String()))
		})
	}
}

// TestApplyFirstConfiguration guards against a tool that can't set up a new site, which has no
// configuration to compare with.
func TestApplyFirstConfiguration(t *testing.T) {
	f := newFixture(t)
	r := f.run("config", "apply", exampleBase, exampleOverlay, "--revision", "0")
	if r.code != ExitOK || f.controller.accepted.Revision != 1 {
		t.Errorf("want exit code 0 and revision 1 in force: got %s; revision %d in force", r, f.controller.accepted.Revision)
	}
}

// TestShownConfigurationCanBeApplied guards against config show printing a file that config
// apply does not accept, or that differs from the configuration in force.
func TestShownConfigurationCanBeApplied(t *testing.T) {
	f := newFixture(t)
	f.putExampleInForce()
	shown := f.run("config", "show")
	if shown.code != ExitOK || !strings.HasPrefix(shown.stdout, "// Revision 7 of rigline-pnw.\n") {
		t.Fatalf("want exit code 0 and a first line with revision 7 of rigline-pnw, got %s", shown)
	}
	edited := writeFile(t, "edited.json", strings.Replace(shown.stdout, `"load_ms": 4000`, `"load_ms": 3500`, 1))
	r := f.run("config", "apply", edited, "--revision", "7")
	if r.code != ExitOK || !strings.Contains(r.stdout, "~ budgets.load_ms: 4000 -> 3500\n1 changes") {
		t.Errorf("want exit code 0 and load_ms changed from 4000 to 3500 as the only change, got %s", r)
	}
}

// TestApplyRefusedAfterConcurrentChange guards against a lost update: a change that another
// operator makes after the tool has read the configuration, and before the tool sends its own
// change, must not be overwritten.
func TestApplyRefusedAfterConcurrentChange(t *testing.T) {
	f := newFixture(t)
	f.putExampleInForce()
	f.controller.beforeApply = func(f *fakeController) { f.accepted.Revision, f.accepted.ChangeID = 8, "other" }
	r := f.run("config", "apply", exampleBase, "testdata/changed.json")
	if r.code != ExitConflict || !strings.Contains(r.stderr, "revision 8 is in force, but the change was edited from revision 7") {
		t.Errorf("want exit code 4 and an error that names revisions 8 and 7, got %s", r)
	}
	if f.controller.accepted.ChangeID != "other" {
		t.Error("the other operator's change was overwritten")
	}
}

// TestApplyWithLostAnswers cuts the connection after the instance has applied the change and
// before it answers. The change must be applied only once, so all attempts must carry the same
// change id. If another operator's change follows it, the retry gets a conflict, and the tool
// must not report this as a change that had no effect.
func TestApplyWithLostAnswers(t *testing.T) {
	for _, test := range []struct {
		name        string
		lostAnswers int
		afterApply  func(f *fakeController)
		code        ExitCode
	}{
		{name: "once", lostAnswers: 1, code: ExitOK},
		{name: "always", lostAnswers: applyAttempts, code: ExitUnclear},
		{name: "then another change", lostAnswers: 1, code: ExitUnclear, afterApply: func(f *fakeController) {
			f.accepted.Revision, f.accepted.ChangeID = 9, "other"
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.putExampleInForce()
			dropper := &answerDropper{controller: f.controller, remaining: test.lostAnswers, afterApply: test.afterApply, appliedIDs: map[string]bool{}}
			f.middleware = dropper.wrap
			r := f.run("config", "apply", exampleBase, "testdata/changed.json")
			if r.code != test.code {
				t.Errorf("want exit code %d, got %s", test.code, r)
			}
			dropper.mu.Lock()
			defer dropper.mu.Unlock()
			if len(dropper.appliedIDs) != 1 {
				t.Errorf("ids of the applied changes: got %v, want the same id for all attempts", dropper.appliedIDs)
			}
			// Our change makes revision 8, and the other operator's 9. Revision 10 would be our
			// change applied again.
			if accepted, _ := f.controller.Configuration(context.Background()); accepted.Revision == 10 {
				t.Error("the change was applied again, on top of the other operator's change")
			}
		})
	}
}

// answerDropper is middleware that lets a change take effect and then cuts the connection
// instead of sending the answer.
type answerDropper struct {
	controller *fakeController
	mu         sync.Mutex
	// remaining is the number of answers still to be dropped.
	remaining int
	// afterApply, if set, runs after a change took effect and before its connection is cut.
	afterApply func(f *fakeController)
	// appliedIDs holds the ids of the changes that took effect.
	appliedIDs map[string]bool
}

func (c *answerDropper) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPut || !c.dropNext() {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(discardWriter{}, r)
		c.recordApplied()
		panic(http.ErrAbortHandler)
	})
}

// dropNext reports whether the next answer is to be dropped, and counts it.
func (c *answerDropper) dropNext() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remaining--
	return c.remaining >= 0
}

// recordApplied records the id of the change that took effect, and calls afterApply.
func (c *answerDropper) recordApplied() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controller.mu.Lock()
	defer c.controller.mu.Unlock()
	c.appliedIDs[c.controller.accepted.ChangeID] = true
	if c.afterApply != nil {
		c.afterApply(c.controller)
	}
}

// discardWriter is a ResponseWriter that drops the answer.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}

// TestExitCodesOfInstanceCalls runs each command that calls an instance against each failure.
// The failure hits every call, so config diff and config apply already fail when they read the
// configuration in force. TestApplyRefusedAfterConcurrentChange and TestApplyWithLostAnswers test
// failures of the change itself.
func TestExitCodesOfInstanceCalls(t *testing.T) {
	commands := [][]string{
		{"status"}, {"models"}, {"servers"}, {"explain", "appraisal"}, {"locate", "appraisal"}, {"drain", "entry-a1"},
		{"config", "show"}, {"config", "diff", exampleBase, exampleOverlay}, {"config", "apply", exampleBase, "testdata/changed.json"},
	}
	failures := map[string]struct {
		err  error
		code ExitCode
	}{
		"conflict":    {&operatorapi.ConflictError{BaseRevision: 1, CurrentRevision: 2}, ExitConflict},
		"invalid":     {&operatorapi.InvalidError{}, ExitInvalid},
		"unavailable": {&operatorapi.UnavailableError{Reason: "away"}, ExitUnreachable},
		"unclear":     {&operatorapi.UnclearError{Reason: "no answer"}, ExitUnclear},
		"other":       {fmt.Errorf("broken"), ExitFailure},
	}
	for _, command := range commands {
		name := strings.Join(command[:min(2, len(command))], " ")
		for failure, want := range failures {
			t.Run(name+" "+failure, func(t *testing.T) {
				f := newFixture(t)
				f.putExampleInForce()
				f.controller.err = want.err
				if r := f.run(command...); r.code != want.code {
					t.Errorf("want exit code %d, got %s", want.code, r)
				}
			})
		}
		t.Run(name+" without credentials", func(t *testing.T) {
			f := newFixture(t)
			if r := run(t, "", append([]string{"--server", f.server.URL, "--plaintext"}, command...)...); r.code != ExitUnauthorized {
				t.Errorf("want exit code 7, got %s", r)
			}
		})
		t.Run(name+" unreachable", func(t *testing.T) {
			f := newFixture(t)
			f.server.Close()
			if r := f.run(command...); r.code != ExitUnreachable {
				t.Errorf("want exit code 5, got %s", r)
			}
		})
	}
}

// TestUsageErrors checks that a wrong command line or wrong settings of the tool give exit code
// 2, nothing on standard output, and a hint at --help.
func TestUsageErrors(t *testing.T) {
	f := newFixture(t)
	url := f.server.URL
	twoTokens := writeFile(t, "two", operatorToken+"\n"+operatorToken+"2\n")
	badSettings := writeFile(t, "bad.json", `{"sever": "https://10.0.0.1:1"}`)
	for name, args := range map[string][]string{
		"unknown command":      {"stauts"},
		"unknown subcommand":   {"config", "aply"},
		"unknown flag":         {"status", "--fast"},
		"too few arguments":    {"explain"},
		"too many arguments":   {"config", "check", "a", "b", "c"},
		"unknown output":       {"status", "-o", "xml"},
		"no instance URL":      {"status"},
		"http not allowed":     {"status", "--server", url},
		"URL without https":    {"status", "--server", "10.0.0.1:8444"},
		"certificate, no key":  {"status", "--server", "https://10.0.0.1:1", "--cert-file", "x"},
		"absent token file":    {"status", "--server", url, "--plaintext", "--token-file", "testdata/none"},
		"two tokens":           {"status", "--server", url, "--plaintext", "--token-file", twoTokens},
		"absent CA":            {"status", "--server", "https://10.0.0.1:1", "--ca-file", "testdata/none"},
		"zero timeout":         {"status", "--server", url, "--plaintext", "--timeout", "0s"},
		"bad settings":         {"status", "--settings", badSettings},
		"absent settings":      {"status", "--settings", "testdata/none"},
		"revision is negative": {"config", "apply", exampleBase, exampleOverlay, "--server", url, "--plaintext", "--revision", "-2"},
	} {
		t.Run(name, func(t *testing.T) {
			r := run(t, "", args...)
			if r.code != ExitUsage || r.stdout != "" || !strings.Contains(r.stderr, "try --help") {
				t.Errorf("want exit code 2, empty standard output and a hint at --help, got %s", r)
			}
		})
	}
}

// TestSettingsFile checks that the settings file in the user's configuration directory is read,
// and that flags override it.
func TestSettingsFile(t *testing.T) {
	f := newFixture(t)
	settings := fmt.Sprintf(`{
		// An instance of the test.
		"server": %q, "plaintext": true, "token_file": %q,
	}`, f.server.URL, f.tokenFile)
	configDir := filepath.Dir(filepath.Dir(writeFile(t, defaultSettingsFile, settings)))
	if r := run(t, configDir, "locate", "appraisal"); r.code != ExitOK {
		t.Errorf("with a settings file in the configuration directory: want exit code 0, got %s", r)
	}
	if r := run(t, t.TempDir(), "locate", "appraisal"); r.code != ExitUsage {
		t.Errorf("with an empty configuration directory: want exit code 2, got %s", r)
	}
	if r := run(t, configDir, "locate", "appraisal", "--token-file", "testdata/none"); r.code != ExitUsage {
		t.Errorf("with --token-file naming a missing file: want exit code 2, because flags override the settings file, got %s", r)
	}
}

// TestCompletion checks the names that the shell completion offers, and that there is a
// completion script for each shell.
func TestCompletion(t *testing.T) {
	f := newFixture(t)
	for command, want := range map[string]string{"explain": "appraisal-skagit@1", "locate": "appraisal@2", "drain": "entry-b1"} {
		r := f.run("__complete", command, "")
		if r.code != ExitOK || !strings.Contains(r.stdout, want+"\n") {
			t.Errorf("completion of %s: want exit code 0 and the name %s, got %s", command, want, r)
		}
	}
	for _, shell := range []string{"bash", "zsh", "fish", "powershell"} {
		if r := run(t, "", "completion", shell); r.code != ExitOK || r.stdout == "" {
			t.Errorf("completion script for %s: want exit code 0 and a script, got exit code %d", shell, r.code)
		}
	}
}

// TestExampleClientSettings checks that the tool accepts its settings files in examples/.
func TestExampleClientSettings(t *testing.T) {
	for _, example := range []string{"rigline", "tichy-vers"} {
		// rootCommand sets flags.changed, which loadClientSettings calls.
		cli := &tool{}
		cli.rootCommand()
		cli.flags.settingsFile = "../../examples/" + example + "/limpethubctl.json"
		if s, err := cli.loadClientSettings(); err != nil || s.InstanceURL == "" {
			t.Errorf("settings file of example %s: want an instance URL, got %+v, error %v", example, s, err)
		}
	}
}

// TestJSONOutputIsOneValue checks in the golden files that --output json writes exactly one
// JSON value to standard output, also when a configuration is not valid.
func TestJSONOutputIsOneValue(t *testing.T) {
	paths, err := filepath.Glob("testdata/*-json.golden")
	if err != nil || len(paths) == 0 {
		t.Fatalf("want at least one golden file of JSON output, got %d, error %v", len(paths), err)
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		_, rest, _ := strings.Cut(string(data), "--- stdout\n")
		stdout, _, _ := strings.Cut(rest, "--- stderr\n")
		if !json.Valid([]byte(stdout)) {
			t.Errorf("%s: standard output is not one JSON value", path)
		}
	}
}

// TestEveryCommandIsDocumented checks that docs/CLI.md has each command and each exit code.
func TestEveryCommandIsDocumented(t *testing.T) {
	data, err := os.ReadFile("../../docs/CLI.md")
	if err != nil {
		t.Fatal(err)
	}
	cliPage := string(data)
	var check func(c *cobra.Command)
	check = func(c *cobra.Command) {
		if !c.HasSubCommands() && !strings.Contains(cliPage, "\n"+c.CommandPath()) {
			t.Errorf("command %s is missing from docs/CLI.md", c.CommandPath())
		}
		for _, sub := range c.Commands() {
			check(sub)
		}
	}
	check((&tool{}).rootCommand())
	for code := ExitOK; code <= ExitNotFound; code++ {
		if !strings.Contains(cliPage, fmt.Sprintf("\n| %d | ", code)) {
			t.Errorf("exit code %d is missing from docs/CLI.md", code)
		}
	}
}
