package atmostonce

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

func newRegistry(incarnation uint64) *Registry {
	return New(Options{Instance: "1", Incarnation: incarnation, Retention: retention, Capacity: 3})
}

func expectStep(t *testing.T, s Step, action Action, v verdict.Verdict) {
	t.Helper()
	if s.Action != action || (s.Err != nil && s.Err.Verdict != v) {
		t.Fatalf("step = %+v (%v), want action %d, verdict %v", s, s.Err, action, v)
	}
}

func TestRepeatOnTheSameInstanceIsADuplicate(t *testing.T) {
	r := newRegistry(1)
	expectStep(t, r.Begin(epoch, "a", Origin{}), Run, 0)
	expectStep(t, r.Begin(epoch, "a", Origin{}), Duplicate, verdict.MayHaveRun)
	r.End(epoch, "a", verdict.Ran)
	expectStep(t, r.Begin(epoch, "a", Origin{}), Duplicate, verdict.Ran)
}

func TestNotRunRequestMayBeSentAgain(t *testing.T) {
	r := newRegistry(1)
	expectStep(t, r.Begin(epoch, "a", Origin{}), Run, 0)
	r.End(epoch, "a", verdict.NotRun)
	expectStep(t, r.Begin(epoch, "a", Origin{}), Run, 0)
}

// TestFullRegistryRefusesNewRequests guards against a full registry that drops records to
// make room, so that a remembered request could run again.
func TestFullRegistryRefusesNewRequests(t *testing.T) {
	r := newRegistry(1)
	for i := range 3 {
		id := request.ID(fmt.Sprint(i))
		expectStep(t, r.Begin(epoch, id, Origin{}), Run, 0)
		r.End(epoch, id, verdict.Ran)
	}
	expectStep(t, r.Begin(epoch, "more", Origin{}), Duplicate, verdict.NotRun)
	expectStep(t, r.Begin(epoch, "0", Origin{}), Duplicate, verdict.Ran)
	later := epoch.Add(retention + time.Second)
	expectStep(t, r.Begin(later, "more", Origin{}), Run, 0)
	if r.Len() != 1 {
		t.Fatalf("%d requests remembered, want 1", r.Len())
	}
}

// TestNeverReceivedOnlyWithProof guards against the finding NeverReceived for a
// request that the instance may have received: before a restart, or so long ago that its
// record expired.
func TestNeverReceivedOnlyWithProof(t *testing.T) {
	asker := Origin{Instance: "2", Incarnation: 9}
	for name, c := range map[string]struct {
		origin Origin
		want   Finding
	}{
		"proved":                  {Origin{Instance: "1", Incarnation: 1, Age: time.Second, AgeKnown: true}, NeverReceived},
		"restarted since then":    {Origin{Instance: "1", Incarnation: 7, Age: time.Second, AgeKnown: true}, CannotTell},
		"no incarnation":          {Origin{Instance: "1", Age: time.Second, AgeKnown: true}, CannotTell},
		"no age":                  {Origin{Instance: "1", Incarnation: 1}, CannotTell},
		"record may have expired": {Origin{Instance: "1", Incarnation: 1, Age: retention, AgeKnown: true}, CannotTell},
		"no instance named":       {Origin{}, CannotTell},
	} {
		got := newRegistry(1).AnswerPeer(epoch, Question{ID: "a", Origin: c.origin, Asker: asker})
		if got.Finding != c.want {
			t.Errorf("%s: got finding %d, want %d", name, got.Finding, c.want)
		}
	}
}

func TestOriginRoundTrip(t *testing.T) {
	for _, text := range []string{"", "i1", "i1;age=1200", "i1;age=0;incarnation=17"} {
		o, err := ParseOrigin(text)
		if err != nil || o.String() != text {
			t.Errorf("ParseOrigin(%q) = %v, %v, want an origin with the same text", text, o, err)
		}
	}
	for _, text := range []string{";age=1", "i1;age=x", "i1;other=1", "i1;age=-1", "i1;age"} {
		if _, err := ParseOrigin(text); err == nil {
			t.Errorf("ParseOrigin(%q) succeeded, want an error", text)
		}
	}
}

func BenchmarkBeginAndEnd(b *testing.B) {
	r := New(Options{Instance: "1", Incarnation: 1, Retention: retention, Capacity: 1 << 20})
	ids := make([]request.ID, 100_000)
	for i := range ids {
		ids[i] = request.ID(fmt.Sprintf("0123456789abcdef-%d", i))
	}
	now := epoch
	for i := 0; b.Loop(); i++ {
		// 1,000 requests per second for the retention of 5 minutes: 300,000 are remembered.
		now = now.Add(time.Millisecond)
		id := request.ID(fmt.Sprintf("%s-%d", ids[i%len(ids)], i))
		r.Begin(now, id, Origin{})
		r.End(now, id, verdict.Ran)
	}
}

// BenchmarkMemory reports the heap memory of one remembered request.
func BenchmarkMemory(b *testing.B) {
	const n = 100_000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := New(Options{Instance: "1", Incarnation: 1, Retention: retention, Capacity: n})
		for i := range n {
			id := request.ID(fmt.Sprintf("0123456789abcdef-%d", i))
			r.Begin(epoch, id, Origin{})
			r.End(epoch, id, verdict.Ran)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "bytes/request")
		runtime.KeepAlive(r)
	}
}
