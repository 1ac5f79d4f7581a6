package integration

import (
	"encoding/json"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"

	"limpethub/internal/gateway"
)

// curlCommand matches a curl command at the start of a line, with its continuation lines.
var curlCommand = regexp.MustCompile(`(?m)^curl (?:.*\\\n)*.*$`)

// TestCurlCommandsOfCallerPage runs each curl command of docs/CALLERS.md unchanged, so that
// the page's examples keep working.
func TestCurlCommandsOfCallerPage(t *testing.T) {
	if _, err := exec.LookPath("curl"); err != nil {
		t.Skip("curl is not installed")
	}
	page, err := os.ReadFile("../../docs/CALLERS.md")
	if err != nil {
		t.Fatal(err)
	}
	commands := curlCommand.FindAllString(string(page), -1)
	if len(commands) < 4 {
		t.Fatalf("got %d curl commands in docs/CALLERS.md, want at least 4", len(commands))
	}
	r := newRig(t)
	instances := r.startThree()
	r.eventually("the model of docs/CALLERS.md is served", func() bool { return r.complete(instances[0], "appraisal", 1).status == 200 })
	for _, command := range commands {
		run := exec.Command("sh", "-c", command)
		run.Env = append(os.Environ(), "ENTRY="+instances[0].CallerAddress())
		out, err := run.CombinedOutput()
		if err != nil {
			t.Errorf("command failed: %s\n%v %s", command, err, out)
		}
		checkPageAnswer(t, command, string(out))
	}
}

// checkPageAnswer checks that a command's output is not empty and not an error body. The
// command that repeats a request names an instance of an earlier start, so it must get the
// documented refusal instead.
func checkPageAnswer(t *testing.T, command, out string) {
	t.Helper()
	if strings.Contains(command, "First-Instance") {
		if !strings.Contains(out, "duplicate_request") {
			t.Errorf("%s\ngot %s, want the error duplicate_request", command, out)
		}
		return
	}
	var failure gateway.ErrorBody
	if json.Unmarshal([]byte(out), &failure) == nil && failure.Error.Code != "" || out == "" {
		t.Errorf("%s\ngot %q, want an answer without an error", command, out)
	}
}
