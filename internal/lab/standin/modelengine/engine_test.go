package modelengine

import (
	"errors"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/lab/standin/weightstore"
	"limpethub/internal/modelref"
	"limpethub/internal/request"
)

func testOptions() Options {
	return Options{
		Name: "s", MemoryMB: 100, StepTime: 10 * time.Millisecond, PrefillPerSecond: 1e6,
		MaxBatch: 1, MaxWaiting: 10, PrefixBlocks: 8, UnloadTime: time.Second,
		Weights: weightstore.New(weightstore.Options{LoadsPerSecond: 1, Concurrent: 2, MBPerSecond: 10, MinLoad: time.Second}),
	}
}

func loadOrder(id string, ref modelref.Ref, memoryMB int64) engine.Order {
	return engine.Order{ID: id, Fence: 1, Action: engine.ActionLoad, Ref: ref, MemoryMB: memoryMB}
}

func outcome(e *Engine, id string) engine.OrderOutcome {
	for _, o := range e.inventory().Orders {
		if o.ID == id {
			return o
		}
	}
	return engine.OrderOutcome{}
}

func TestLoadTakesTimeAndIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(testOptions())
		for range 2 {
			if _, err := e.take(loadOrder("o1", "m@1", 60)); err != nil {
				t.Fatal(err)
			}
		}
		if got := outcome(e, "o1").State; got != engine.OrderRunning {
			t.Fatalf("state at once: %s", got)
		}
		time.Sleep(7 * time.Second)
		if got := outcome(e, "o1").State; got != engine.OrderDone || e.Stats().Loads != 1 {
			t.Fatalf("state %s, %d loads", got, e.Stats().Loads)
		}
	})
}

func TestMemoryIsAccounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(testOptions())
		_, _ = e.take(loadOrder("o1", "m@1", 60))
		_, _ = e.take(loadOrder("o2", "n@1", 50))
		stats := e.Stats()
		if outcome(e, "o2").State != engine.OrderFailed || stats.MemoryViolations != 1 || stats.PeakMemoryMB != 110 {
			t.Fatalf("outcome %+v, stats %+v", outcome(e, "o2"), stats)
		}
		time.Sleep(10 * time.Second)
		_, _ = e.take(engine.Order{ID: "o3", Action: engine.ActionUnload, Ref: "m@1"})
		_, _ = e.take(loadOrder("o4", "n@1", 50))
		if outcome(e, "o4").State != engine.OrderFailed {
			t.Fatal("memory was free while the unload was going on")
		}
		time.Sleep(2 * time.Second)
		_, _ = e.take(loadOrder("o5", "n@1", 50))
		if outcome(e, "o5").State != engine.OrderRunning {
			t.Fatalf("outcome %+v", outcome(e, "o5"))
		}
		time.Sleep(10 * time.Second)
	})
}

func TestAdaptersNeedTheirBase(t *testing.T) {
	e := New(Options{MemoryMB: 100})
	adapter := engine.Order{ID: "o1", Action: engine.ActionLoad, Ref: "a@1", Base: "m@1", MemoryMB: 1}
	_, _ = e.take(adapter)
	if got := outcome(e, "o1").Reason; got != "base is not resident" {
		t.Fatalf("reason %q", got)
	}
	if err := errors.Join(e.Preload("m@1", "", 10), e.Preload("a@1", "m@1", 1)); err != nil {
		t.Fatal(err)
	}
	_, _ = e.take(engine.Order{ID: "o2", Action: engine.ActionUnload, Ref: "m@1"})
	if got := outcome(e, "o2").Reason; got != "adapters depend on it" {
		t.Fatalf("reason %q", got)
	}
}

func TestFencingHonouredOrIgnored(t *testing.T) {
	for _, honours := range []bool{true, false} {
		e := New(Options{MemoryMB: 100, HonoursFencing: honours})
		_, _ = e.take(engine.Order{ID: "o1", Fence: 5, Action: engine.ActionFence})
		_, err := e.take(engine.Order{ID: "o2", Fence: 4, Action: engine.ActionRole, Role: "prefill"})
		var stale *engine.StaleFenceError
		if errors.As(err, &stale) != honours || (e.inventory().Role == "prefill") == honours {
			t.Fatalf("honours %v: %v, role %q", honours, err, e.inventory().Role)
		}
	}
}

func TestUrgentRunsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(testOptions())
		if err := e.Preload("m@1", "", 10); err != nil {
			t.Fatal(err)
		}
		// The engine's steps begin at the first arrival, beside the arrivals that follow.
		e.SetFaults(Faults{Paused: true})
		var runs []*run
		for _, header := range [][2]string{{"2", "900"}, {"1", "900"}, {"1", "100"}, {"0", "900"}} {
			r := httptest.NewRequest("POST", "/v1/completions", nil)
			r.Header.Set("X-Priority", header[0])
			r.Header.Set("X-Deadline-Ms", header[1])
			accepted, reason := e.accept(request.ID(header[0]+"-"+header[1]), completion{Model: "m@1", MaxTokens: 1}, r)
			if reason != "" {
				t.Fatal(reason)
			}
			runs = append(runs, accepted)
		}
		e.SetFaults(Faults{})
		var order []request.ID
		seen := map[request.ID]bool{}
		for range 100 {
			time.Sleep(time.Millisecond)
			for _, r := range runs {
				if view := e.view(r); view.ended && !seen[r.id] {
					seen[r.id] = true
					order = append(order, r.id)
				}
			}
		}
		if want := []request.ID{"0-900", "1-100", "1-900", "2-900"}; !slices.Equal(order, want) {
			t.Fatalf("order %v, want %v", order, want)
		}
	})
}

func TestPrefixCacheIsLimited(t *testing.T) {
	c := newPrefixCache(2)
	long := strings.Repeat("x", 2*blockTokens*bytesPerToken)
	if hit, total := c.touch("m@1", long); hit != 0 || total != 2*blockTokens {
		t.Fatalf("first: %d of %d", hit, total)
	}
	if hit, _ := c.touch("m@1", long); hit != 2*blockTokens {
		t.Fatalf("second: %d", hit)
	}
	if hit, _ := c.touch("n@1", long); hit != 0 {
		t.Fatalf("another model: %d", hit)
	}
	if hit, _ := c.touch("m@1", long); hit != 0 {
		t.Fatalf("after it was pushed out: %d", hit)
	}
}

func TestReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := testOptions()
		o.ReportLag = time.Second
		e := New(o)
		e.report()
		time.Sleep(2 * time.Second)
		e.SetLeaving(true)
		if e.report().Leaving {
			t.Fatal("the report doesn't lag")
		}
		time.Sleep(1100 * time.Millisecond)
		if !e.report().Leaving {
			t.Fatal("the report is too old")
		}
	})
}

func TestDuplicateRunsAreSeenAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(testOptions())
		for range 2 {
			if err := e.Preload("m@1", "", 10); err != nil {
				t.Fatal(err)
			}
			r := httptest.NewRequest("POST", "/v1/completions", nil)
			if _, reason := e.accept("q", completion{Model: "m@1", MaxTokens: 1}, r); reason != "" {
				t.Fatal(reason)
			}
			time.Sleep(time.Second)
			e.Restart()
		}
		if e.Runs("q") != 2 || e.Stats().Duplicates != 1 {
			t.Fatalf("%d runs, stats %+v", e.Runs("q"), e.Stats())
		}
	})
}
