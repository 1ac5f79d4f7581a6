package unserved

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

type fixture struct {
	now  time.Time
	t    *Tracker
	logs *logrustest.Hook
	// seriesCount counts the series that were gathered.
	seriesCount int
}

func newFixture() *fixture {
	logger := logrus.New()
	logger.Out = io.Discard
	f := &fixture{now: time.Unix(1000, 0), logs: logrustest.NewLocal(logger)}
	f.t = New(logrus.NewEntry(logger), func() time.Time { return f.now })
	return f
}

// ask lets a request arrive now and end after a time.
func (f *fixture) ask(model string, part request.Part, takes time.Duration, cause verdict.Code) {
	r := &request.Request{Model: modelref.Ref(model), Class: 1, Parts: []request.Part{1, part}, Arrived: f.now}
	f.now = f.now.Add(takes)
	f.t.Observe(r, cause)
}

// TestVersionThatIsNeverServedShowsBesideThoseThatAre guards against a version that nobody gets an answer from and that no figure
// shows, since all others are served.
func TestVersionThatIsNeverServedShowsBesideThoseThatAre(t *testing.T) {
	f := newFixture()
	for n := range 5 {
		f.ask("never@1", 7, 0, verdict.CodeNoServer)
		f.ask("mostly@1", 8, 0, verdict.CodeServersPaused)
		if n != 4 {
			f.ask("mostly@1", 8, 0, "")
		}
		f.now = f.now.Add(2 * time.Second)
	}
	versions := f.t.Summarize(Version, 5)
	if versions.Count != 2 || versions.Long[verdict.CodeNoServer] != 1 || len(versions.Long) != 1 {
		t.Errorf("versions: %+v, want 2, and one of them unserved for long for want of a server", versions)
	}
	if len(versions.Worst) != 1 || versions.Worst[0].Name != "never@1" || versions.Worst[0].Asks != 5 {
		t.Errorf("worst: %+v, want never@1 with 5 requests", versions.Worst)
	}
	prompts := f.t.Summarize(Prompt, 5)
	if len(prompts.Worst) != 1 || prompts.Worst[0].Name != "1/"+request.Part(7).String() {
		t.Errorf("worst prompts: %+v, want the one of never@1", prompts.Worst)
	}
	if got := f.series(t, "limpethub_unserved_seconds"); len(got) != 2 || got["prompt"] != 10 || got["version"] != 10 {
		t.Errorf("seconds unserved by kind: %v, want 10 of a version and of a prompt", got)
	}
}

// series returns the values of a metric by kind; of several with the same kind, the sum.
func (f *fixture) series(t *testing.T, name string) map[string]float64 {
	t.Helper()
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(f.t)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]float64{}
	for _, family := range families {
		if name != "" && family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetName() == "kind" {
					out[label.GetValue()] += metric.GetGauge().GetValue()
				}
			}
			f.seriesCount++
		}
	}
	return out
}

func TestLongUnservedIsLoggedOnceUntilServed(t *testing.T) {
	f := newFixture()
	lines := func() (n int) {
		for _, e := range f.logs.AllEntries() {
			if e.Data["name"] == "a@1" {
				n++
			}
		}
		return n
	}
	for range 10 {
		f.ask("a@1", 7, 2*time.Second, verdict.CodeNoServer)
	}
	if lines() != 1 {
		t.Errorf("%d lines after 20 s, want 1", lines())
	}
	f.ask("a@1", 7, time.Second, "")
	if count := f.t.Summarize(Version, 5).Count; count != 0 {
		t.Errorf("%d entries after an answer, want none", count)
	}
	for range 10 {
		f.ask("a@1", 7, 2*time.Second, verdict.CodeNoServer)
	}
	if lines() != 2 {
		t.Errorf("%d lines after the second time, want 2", lines())
	}
}

// TestEntriesAreBounded guards against memory, series and log lines that grow with the names that callers send.
func TestEntriesAreBounded(t *testing.T) {
	f := newFixture()
	for range leastAsks {
		for n := range 2 * maxEntries {
			f.ask(fmt.Sprintf("m%d@1", n), request.Part(n), 0, verdict.CodeNoServer)
		}
		f.now = f.now.Add(LongAfter / 2)
	}
	if count := f.t.Summarize(Version, 5).Count; count != maxEntries {
		t.Errorf("%d entries, want %d", count, maxEntries)
	}
	if f.series(t, ""); f.seriesCount > 20 {
		t.Errorf("%d series, want 20 at most", f.seriesCount)
	}
	if n := len(f.logs.AllEntries()); n > 2*linesPerSweep {
		t.Errorf("%d log lines, want %d at most", n, 2*linesPerSweep)
	}
	f.now = f.now.Add(forgetAfter + sweepPeriod)
	if count := f.t.Summarize(Version, 5).Count; count != 0 {
		t.Errorf("%d entries long after the last request, want none", count)
	}
}
