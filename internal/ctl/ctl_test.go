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

// inForce puts the example in force as revision 7.
func (f *fixture) inForce() {
	f.t.Helper()
	doc, err := site.Load(exampleBase, exampleSite)
	if err != nil {
		f.t.Fatal(err)
	}
	f.controller.accepted = site.Accepted{Revision: 7, ChangeID: "earlier", Document: doc}
}

func TestOutput(t *testing.T) {
	g := goldie.New(t)
	for name, args := range map[string][]string{
		"status":       {"status"},
		"status-json":  {"status", "-o", "json"},
		"models":       {"models"},
		"unreachable":  {"models", "--unreachable"},
		"models-json":  {"models", "--unreachable", "--output", "json"},
		"servers":      {"servers"},
		"servers-json": {"servers", "--output", "json"},
		"explain":      {"explain", "appraisal"},
		"explain-json": {"explain", "appraisal", "-o", "json"},
		"locate":       {"locate", "appraisal"},
		"locate-json":  {"locate", "appraisal", "-o", "json"},
		"drain":        {"drain", "entry-a1"},
		"drain-json":   {"drain", "entry-a1", "-o", "json"},
		"diff":         {"config", "diff", exampleBase, exampleSite, "-o", "json"},
		"diff-changed": {"config", "diff", exampleBase, "testdata/changed.json"},
		"diff-json":    {"config", "diff", exampleBase, "testdata/changed.json", "-o", "json"},
		"apply":        {"config", "apply", exampleBase, "testdata/changed.json", "--revision", "7"},
		"apply-json":   {"config", "apply", exampleBase, "testdata/changed.json", "-o", "json"},
		"apply-same":   {"config", "apply", exampleBase, exampleSite},
		"conflict":     {"config", "apply", exampleBase, "testdata/changed.json", "--revision", "5"},
		"check":        {"config", "check", exampleBase, exampleSite},
		"check-bad":    {"config", "check", exampleBase, "testdata/bad.json"},
		"check-json":   {"config", "check", exampleBase, "testdata/bad.json", "-o", "json"},
		"settings":     {"settings", "check", "../../examples/rigline/limpethubd.json", "../../examples/tichy-vers/limpethubd.json"},
		"settings-bad": {"settings", "check", "../settings/testdata/good/plain.json", "../settings/testdata/bad/syntax.json"},
		"help":         {"--help"},
		"help-apply":   {"config", "apply", "--help"},
		"not-found":    {"explain", "no-such-model"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.inForce()
			g.Assert(t, name, []byte(f.run(args...).String()))
		})
	}
}

func TestFirstConfiguration(t *testing.T) {
	f := newFixture(t)
	r := f.run("config", "apply", exampleBase, exampleSite, "--revision", "0")
	if r.code != ExitOK || f.controller.accepted.Revision != 1 {
		t.Errorf("%s; in force %d", r, f.controller.accepted.Revision)
	}
}

func TestShowCanBeAppliedAgain(t *testing.T) {
	f := newFixture(t)
	f.inForce()
	shown := f.run("config", "show")
	if shown.code != ExitOK || !strings.HasPrefix(shown.stdout, "// Revision 7 of rigline-pnw.\n") {
		t.Fatal(shown)
	}
	edited := writeFile(t, "edited.json", strings.Replace(shown.stdout, `"load_ms": 4000`, `"load_ms": 3500`, 1))
	r := f.run("config", "apply", edited, "--revision", "7")
	if r.code != ExitOK || !strings.Contains(r.stdout, "~ budgets.load_ms: 4000 -> 3500\n1 changes") {
		t.Error(r)
	}
}

// TestRacingOperators shows that a change accepted between the fetch and the write is
// never overwritten.
func TestRacingOperators(t *testing.T) {
	f := newFixture(t)
	f.inForce()
	f.controller.beforeApply = func(f *fakeController) { f.accepted.Revision, f.accepted.ChangeID = 8, "other" }
	r := f.run("config", "apply", exampleBase, "testdata/changed.json")
	if r.code != ExitConflict || !strings.Contains(r.stderr, "revision 8 is in force, but the change was edited from revision 7") {
		t.Error(r)
	}
	if f.controller.accepted.ChangeID != "other" {
		t.Error("the other change was overwritten")
	}
}

// TestLostAnswer cuts the connection after the change took effect.
func TestLostAnswer(t *testing.T) {
	for _, test := range []struct {
		name string
		lost int
		then func(f *fakeController)
		code ExitCode
	}{
		{name: "once", lost: 1, code: ExitOK},
		{name: "always", lost: applyAttempts, code: ExitUnclear},
		{name: "then another change", lost: 1, code: ExitUnclear, then: func(f *fakeController) {
			f.accepted.Revision, f.accepted.ChangeID = 9, "other"
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.inForce()
			cut := &cutter{controller: f.controller, left: test.lost, then: test.then, ids: map[string]bool{}}
			f.middleware = cut.wrap
			r := f.run("config", "apply", exampleBase, "testdata/changed.json")
			if r.code != test.code {
				t.Error(r)
			}
			cut.mu.Lock()
			defer cut.mu.Unlock()
			if len(cut.ids) != 1 {
				t.Errorf("applied under %v", cut.ids)
			}
			if accepted, _ := f.controller.Configuration(context.Background()); accepted.Revision == 10 {
				t.Error("the change was applied on top of another one")
			}
		})
	}
}

// cutter cuts connections after a change took effect.
type cutter struct {
	controller *fakeController
	mu         sync.Mutex
	// left is how many answers are still to be cut.
	left int
	// then, if set, runs after the change took effect.
	then func(f *fakeController)
	// ids holds the change ids that took effect.
	ids map[string]bool
}

func (c *cutter) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPut || !c.take() {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(discard{}, r)
		c.note()
		panic(http.ErrAbortHandler)
	})
}

// take reports whether this answer is to be cut.
func (c *cutter) take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left--
	return c.left >= 0
}

func (c *cutter) note() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controller.mu.Lock()
	defer c.controller.mu.Unlock()
	c.ids[c.controller.accepted.ChangeID] = true
	if c.then != nil {
		c.then(c.controller)
	}
}

// discard is a ResponseWriter whose answer is lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

// TestExitCodesOfEveryCommand runs each command that asks an instance against each
// failure.
func TestExitCodesOfEveryCommand(t *testing.T) {
	commands := [][]string{
		{"status"}, {"models"}, {"servers"}, {"explain", "appraisal"}, {"locate", "appraisal"}, {"drain", "entry-a1"},
		{"config", "show"}, {"config", "diff", exampleBase, exampleSite}, {"config", "apply", exampleBase, "testdata/changed.json"},
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
				f.inForce()
				f.controller.err = want.err
				if r := f.run(command...); r.code != want.code {
					t.Errorf("want %d: %s", want.code, r)
				}
			})
		}
		t.Run(name+" without a key", func(t *testing.T) {
			f := newFixture(t)
			if r := run(t, "", append([]string{"--server", f.server.URL, "--plaintext"}, command...)...); r.code != ExitUnauthorized {
				t.Error(r)
			}
		})
		t.Run(name+" unreachable", func(t *testing.T) {
			f := newFixture(t)
			f.server.Close()
			if r := f.run(command...); r.code != ExitUnreachable {
				t.Error(r)
			}
		})
	}
}

func TestUsage(t *testing.T) {
	f := newFixture(t)
	url := f.server.URL
	twoTokens := writeFile(t, "two", token+"\n"+token+"2\n")
	badSettings := writeFile(t, "bad.json", `{"sever": "https://10.0.0.1:1"}`)
	for name, args := range map[string][]string{
		"unknown command":      {"stauts"},
		"unknown subcommand":   {"config", "aply"},
		"unknown flag":         {"status", "--fast"},
		"too few arguments":    {"explain"},
		"too many arguments":   {"config", "check", "a", "b", "c"},
		"unknown output":       {"status", "-o", "xml"},
		"no server":            {"status"},
		"plain text":           {"status", "--server", url},
		"no URL":               {"status", "--server", "10.0.0.1:8444"},
		"half a certificate":   {"status", "--server", "https://10.0.0.1:1", "--cert-file", "x"},
		"absent token file":    {"status", "--server", url, "--plaintext", "--token-file", "testdata/none"},
		"two tokens":           {"status", "--server", url, "--plaintext", "--token-file", twoTokens},
		"absent CA":            {"status", "--server", "https://10.0.0.1:1", "--ca-file", "testdata/none"},
		"no time":              {"status", "--server", url, "--plaintext", "--timeout", "0s"},
		"bad settings":         {"status", "--settings", badSettings},
		"absent settings":      {"status", "--settings", "testdata/none"},
		"revision is negative": {"config", "apply", exampleBase, exampleSite, "--server", url, "--plaintext", "--revision", "-2"},
	} {
		t.Run(name, func(t *testing.T) {
			r := run(t, "", args...)
			if r.code != ExitUsage || r.stdout != "" || !strings.Contains(r.stderr, "try --help") {
				t.Error(r)
			}
		})
	}
}

func TestSettingsFile(t *testing.T) {
	f := newFixture(t)
	settings := fmt.Sprintf(`{
		// An instance of the test.
		"server": %q, "plaintext": true, "token_file": %q,
	}`, f.server.URL, f.tokenFile)
	configDir := filepath.Dir(filepath.Dir(writeFile(t, settingsName, settings)))
	if r := run(t, configDir, "locate", "appraisal"); r.code != ExitOK {
		t.Errorf("from the configuration directory: %s", r)
	}
	if r := run(t, t.TempDir(), "locate", "appraisal"); r.code != ExitUsage {
		t.Errorf("from an empty configuration directory: %s", r)
	}
	if r := run(t, configDir, "locate", "appraisal", "--token-file", "testdata/none"); r.code != ExitUsage {
		t.Errorf("a flag must go before the file: %s", r)
	}
}

func TestCompletion(t *testing.T) {
	f := newFixture(t)
	for command, want := range map[string]string{"explain": "appraisal-skagit@1", "locate": "appraisal@2", "drain": "entry-b1"} {
		r := f.run("__complete", command, "")
		if r.code != ExitOK || !strings.Contains(r.stdout, want+"\n") {
			t.Errorf("%s: %s", command, r)
		}
	}
	for _, shell := range []string{"bash", "zsh", "fish", "powershell"} {
		if r := run(t, "", "completion", shell); r.code != ExitOK || r.stdout == "" {
			t.Errorf("%s: exit code %d", shell, r.code)
		}
	}
}

// TestExamplesOfSettings shows that the examples' client settings are read.
func TestExamplesOfSettings(t *testing.T) {
	for _, example := range []string{"rigline", "tichy-vers"} {
		tool := &tool{}
		tool.rootCommand()
		tool.flags.settings = "../../examples/" + example + "/limpethubctl.json"
		if s, err := tool.clientSettings(); err != nil || s.Server == "" {
			t.Errorf("%s: %+v, %v", example, s, err)
		}
	}
}

// TestJSONOutputIsJSON shows that --output json writes one JSON value and nothing
// else, also when a check failed.
func TestJSONOutputIsJSON(t *testing.T) {
	paths, err := filepath.Glob("testdata/*-json.golden")
	if err != nil || len(paths) == 0 {
		t.Fatalf("%d files, %v", len(paths), err)
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

// TestEveryCommandIsDocumented looks for each command and exit code in docs/CLI.md.
func TestEveryCommandIsDocumented(t *testing.T) {
	data, err := os.ReadFile("../../docs/CLI.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	var check func(c *cobra.Command)
	check = func(c *cobra.Command) {
		if !c.HasSubCommands() && !strings.Contains(page, "\n"+c.CommandPath()) {
			t.Errorf("%s is not on the page", c.CommandPath())
		}
		for _, sub := range c.Commands() {
			check(sub)
		}
	}
	check((&tool{}).rootCommand())
	for code := ExitOK; code <= ExitNotFound; code++ {
		if !strings.Contains(page, fmt.Sprintf("\n| %d | ", code)) {
			t.Errorf("exit code %d is not on the page", code)
		}
	}
}
