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

// curlLines finds the commands of the page's code blocks.
var curlLines = regexp.MustCompile(`(?m)^curl (?:.*\\\n)*.*$`)

// TestCurlLinesOfThePage runs each command of docs/CALLERS.md as it is printed.
func TestCurlLinesOfThePage(t *testing.T) {
	if _, err := exec.LookPath("curl"); err != nil {
		t.Skip("curl is not on this machine")
	}
	page, err := os.ReadFile("../../docs/CALLERS.md")
	if err != nil {
		t.Fatal(err)
	}
	commands := curlLines.FindAllString(string(page), -1)
	if len(commands) < 4 {
		t.Fatalf("%d commands on the page", len(commands))
	}
	r := newRig(t)
	instances := r.startThree()
	r.eventually("the page's model is served", func() bool { return r.complete(instances[0], "appraisal", 1).status == 200 })
	for _, command := range commands {
		run := exec.Command("sh", "-c", command)
		run.Env = append(os.Environ(), "ENTRY="+instances[0].CallerAddress())
		out, err := run.CombinedOutput()
		if err != nil {
			t.Errorf("%s\n%v %s", command, err, out)
		}
		checkPageAnswer(t, command, string(out))
	}
}

// checkPageAnswer looks for an answer. The repeat names an instance of another start,
// so that its answer is the documented refusal.
func checkPageAnswer(t *testing.T, command, out string) {
	t.Helper()
	if strings.Contains(command, "First-Instance") {
		if !strings.Contains(out, "duplicate_request") {
			t.Errorf("%s\nanswered %s", command, out)
		}
		return
	}
	var failure gateway.ErrorBody
	if json.Unmarshal([]byte(out), &failure) == nil && failure.Error.Code != "" || out == "" {
		t.Errorf("%s\nanswered %q", command, out)
	}
}
