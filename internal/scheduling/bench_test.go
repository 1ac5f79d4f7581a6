package scheduling

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/request"
)

// benchScheduler returns a scheduler with the given number of servers. The first candidates
// of them hold the model m@1, the others one of many other models.
func benchScheduler(servers, candidates int) Scheduler {
	s := fuzzScheduler(testDocument(), DefaultPolicy)
	var list []Server
	for i := range servers {
		list = append(list, Server{Name: fmt.Sprintf("s%05d", i), Near: i%3 == 0})
	}
	s.SetServers(epoch, list)
	for i := range servers {
		resident := modelref.Ref(fmt.Sprintf("other%d@1", i%1400))
		if i < candidates {
			resident = "m@1"
		}
		r := report(resident, "shared@1")
		r.MaxBatch = 32
		s.ObserveReport(epoch, list[i].Name, r)
	}
	return s
}

// benchDecision measures an arrival and the end of one earlier request. About one request per
// candidate is outstanding. Each candidate has room for 48: its batch size of 32 times the
// initial factor of its limit, 1.5.
func benchDecision(b *testing.B, servers, candidates int) {
	s := benchScheduler(servers, candidates)
	now := epoch
	r := testRequest("")
	r.PrefixKey = 1
	ids := make([]request.ID, candidates+1)
	running := make([]string, len(ids))
	for i := range ids {
		ids[i] = request.ID(fmt.Sprintf("request-%d", i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		at := i % len(ids)
		now = now.Add(time.Millisecond)
		if running[at] != "" {
			s.Finish(now, Outcome{ID: ids[at], Server: running[at], FirstToken: 10 * time.Millisecond, Duration: 100 * time.Millisecond, Tokens: 10})
		}
		r.ID, r.Deadline = ids[at], now.Add(10*time.Second)
		running[at] = s.Arrive(now, r)[0].Server
	}
}

func BenchmarkDecision60Candidates(b *testing.B)               { benchDecision(b, 60, 60) }
func BenchmarkDecision60CandidatesOf10000Servers(b *testing.B) { benchDecision(b, 10_000, 60) }

// BenchmarkDecisionWhileRequestsWait measures the arrival of a request that must wait because 60
// servers are full, and its cancellation. Each server has room for 48 requests; see benchDecision.
func BenchmarkDecisionWhileRequestsWait(b *testing.B) {
	s := benchScheduler(60, 60)
	now := epoch
	r := testRequest("")
	r.Deadline = now.Add(time.Hour)
	for i := range 60*48 + 5 {
		r.ID = request.ID(fmt.Sprintf("request-%d", i))
		s.Arrive(now, r)
	}
	r.ID = "one-more"
	b.ReportAllocs()
	for b.Loop() {
		if d := s.Arrive(now, r); d[len(d)-1].Action != Queue {
			b.Fatalf("decisions = %+v, want the last one to queue the request", d)
		}
		s.Cancel(now, r.ID)
	}
}

func BenchmarkReport(b *testing.B) {
	s := benchScheduler(10_000, 60)
	now := epoch
	r := report("m@1", "shared@1")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		r.Sequence, r.Taken = uint64(i+2), now
		s.ObserveReport(now, "s00001", r)
	}
}

func BenchmarkDigest(b *testing.B) {
	s := benchScheduler(100, 60)
	r := testRequest("")
	for i := range 600 {
		r.ID = request.ID(fmt.Sprintf("request-%d", i))
		s.Arrive(epoch, r)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Digest()
	}
}
