package explain

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

func testLogs(t *testing.T) []OpenLog {
	t.Helper()
	paths, err := filepath.Glob("testdata/*.log")
	if err != nil || len(paths) == 0 {
		t.Fatalf("got no log files (error %v), want at least one in testdata", err)
	}
	var out []OpenLog
	for _, path := range paths {
		out = append(out, func() (io.ReadCloser, error) { return os.Open(path) })
	}
	return out
}

// TestHistoriesMatchGoldenFiles compares what operators read about a request with the golden
// files. The ID of each request says what happened to it:
//   - refused: its deadline could not be met.
//   - not-resident: no server had a copy of its model in time.
//   - crash: its server failed while it ran.
//   - resumed: it was resumed on another server.
//   - killed: its instance was killed before it logged an end.
//   - absent: no log has a line about it.
//   - late: its deadline passed while a server worked on it.
func TestHistoriesMatchGoldenFiles(t *testing.T) {
	for _, id := range []string{"refused", "not-resident", "crash", "resumed", "killed", "absent", "late"} {
		t.Run(id, func(t *testing.T) {
			history, err := ReadHistory(id, testLogs(t))
			if err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			if err := history.Write(&out); err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, id, out.Bytes())
		})
	}
}

func TestLinesWithoutJSONAreSkipped(t *testing.T) {
	logs := []OpenLog{func() (io.ReadCloser, error) {
		return io.NopCloser(strings.NewReader("panic: x\n{broken\n\n" + `  1.5 host {"msg":"Ended","request":"a","time":"2026-01-01T00:00:00Z"}` + "\n")), nil
	}}
	history, err := ReadHistory("a", logs)
	if err != nil || len(history.Lines) != 1 {
		t.Errorf("got history %+v and error %v, want one line and no error", history, err)
	}
}
