package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/logging"
	"limpethub/internal/modelref"
	"limpethub/internal/pause"
	"limpethub/internal/scheduling"
	"limpethub/internal/store"
)

func server(id string, startMillis, sequence int64, refs ...modelref.Ref) Server {
	return Server{ID: id, Service: "svc", Address: id + ":1", StartMillis: startMillis, Sequence: sequence, Resident: refs}
}

func ids(r *Registry) string {
	var out []string
	for _, s := range r.Servers() {
		out = append(out, s.ID)
	}
	return fmt.Sprint(out)
}

func TestOlderAnnouncementsAreIgnored(t *testing.T) {
	now := time.Now()
	r := NewRegistry()
	r.Announced(now, server("a", 5, 3, "m@1"))
	r.Announced(now, server("a", 5, 2, "old@1"))
	r.Announced(now, server("a", 4, 9, "older@1"))
	if got := r.Servers()[0].Resident; fmt.Sprint(got) != "[m@1]" {
		t.Errorf("after older announcements: resident %v, want [m@1]", got)
	}
	r.Announced(now, server("a", 6, 1))
	if got := r.Servers()[0]; got.StartMillis != 6 || len(got.Resident) != 0 {
		t.Errorf("after a restart under the same id: got %+v, want start 6 and nothing resident", got)
	}
}

func TestMissingServersAreKeptForAGracePeriodOnlyAfterAnOutage(t *testing.T) {
	now := time.Now()
	r := NewRegistry()
	r.Listed(now, []Server{server("a", 1, 1), server("b", 1, 1), server("c", 1, 1)}, false)
	r.Listed(now, []Server{server("a", 1, 2), server("b", 1, 2)}, false)
	if ids(r) != "[a b]" {
		t.Fatalf("without an outage: got %s, want [a b]", ids(r))
	}
	r.Listed(now, nil, true)
	r.Tick(now.Add(outageGracePeriod))
	if ids(r) != "[a b]" {
		t.Fatalf("right after an outage: got %s, want [a b]", ids(r))
	}
	r.Announced(now.Add(time.Second), server("b", 1, 3))
	r.Tick(now.Add(outageGracePeriod + time.Millisecond))
	if ids(r) != "[b]" {
		t.Fatalf("after the grace period: got %s, want [b]", ids(r))
	}
}

func TestResidencyOverridesTakePrecedenceOverOlderAnnouncements(t *testing.T) {
	now := time.Now()
	r := NewRegistry()
	r.Announced(now, server("a", 1, 1, "m@1", "n@1"))
	r.ResidencyChanged(now, "a", 1, "m@1", false)
	r.ResidencyChanged(now, "a", 1, "x@1", true)
	r.ResidencyChanged(now, "a", 0, "y@1", true) // This is about another process of the server.
	r.Announced(now, server("a", 1, 2, "m@1", "n@1"))
	if got := fmt.Sprint(r.Servers()[0].Resident); got != "[n@1 x@1]" {
		t.Errorf("with overrides: resident %s, want [n@1 x@1]", got)
	}
	later := now.Add(overrideLifetime + time.Second)
	r.Tick(later)
	if got := fmt.Sprint(r.Servers()[0].Resident); got != "[n@1 x@1]" {
		t.Errorf("without a newer announcement, as while the store is unreachable: resident %s, want [n@1 x@1]", got)
	}
	r.Announced(later, server("a", 1, 3, "m@1", "n@1"))
	if got := fmt.Sprint(r.Servers()[0].Resident); got != "[m@1 n@1]" {
		t.Errorf("after an announcement that is newer than the overrides: resident %s, want [m@1 n@1]", got)
	}
}

func TestLeavingFromPeersAppliesOnlyToTheSameProcess(t *testing.T) {
	now := time.Now()
	r := NewRegistry()
	r.Announced(now, server("a", 2, 1))
	r.Leaving("a", 1)
	if r.Servers()[0].Leaving {
		t.Error("a peer's message about an earlier process of the server was applied")
	}
	r.Leaving("a", 2)
	if !r.Servers()[0].Leaving {
		t.Error("a peer's message about the server's current process wasn't applied")
	}
}

// fakeSource is a store that can be unreachable and can compact its history.
type fakeSource struct {
	mu      sync.Mutex
	servers []Server
	// withdrawn are the servers of which each watch with changes tells that they came and went.
	withdrawn   []Server
	revision    store.Revision
	unreachable bool
	// compacted makes all watches from an earlier revision fail.
	compacted store.Revision
	// missesChanges makes watches return no changes, as broken watches do.
	missesChanges bool
	// stallNextWatch is for how long the next watch stands still before it reads anything.
	stallNextWatch time.Duration
}

func (s *fakeSource) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	f()
}

func (s *fakeSource) List(context.Context) (Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return Update{}, errors.New("away")
	}
	return Update{Announced: append([]Server(nil), s.servers...), Revision: s.revision}, nil
}

func (s *fakeSource) Watch(ctx context.Context, after store.Revision) (Update, error) {
	s.mu.Lock()
	stall := s.stallNextWatch
	s.stallNextWatch = 0
	s.mu.Unlock()
	time.Sleep(stall)
	const looks = 10
	for look := range looks + 1 {
		if look > 0 {
			pause.For(ctx, 100*time.Millisecond)
		}
		s.mu.Lock()
		unreachable, compacted, revision, missesChanges := s.unreachable, s.compacted, s.revision, s.missesChanges
		servers := append([]Server(nil), s.servers...)
		s.mu.Unlock()
		switch {
		case unreachable:
			return Update{}, errors.New("away")
		case after < compacted:
			return Update{}, store.ErrCompacted
		case revision > after && !missesChanges:
			return Update{Announced: servers, Withdrawn: s.withdrawn, Revision: revision}, nil
		}
	}
	return Update{Revision: after}, ctx.Err()
}

type fakeSink struct {
	mu      sync.Mutex
	servers []scheduling.Server
	// paused lists the servers of which a pause was reported.
	paused []string
}

func (s *fakeSink) ObservePaused(server string, _ time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = append(s.paused, server)
}

func (s *fakeSink) SetServers(servers []scheduling.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = servers
}

func (s *fakeSink) ObserveResident(string, []modelref.Ref) {}

func (s *fakeSink) names() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, server := range s.servers {
		name := server.Name
		if server.Leaving {
			name += " leaving"
		}
		out = append(out, name)
	}
	return fmt.Sprint(out)
}

func TestWatcherRecoversFromOutagesAndCompactedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{servers: []Server{server("a", 1, 1), server("b", 1, 1)}, revision: 1}
		sink := &fakeSink{}
		w := New(Options{Source: source, Sink: sink, Pooled: func(string) bool { return false }, Logger: logging.Discard()})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go w.Run(ctx)
		step := func(what, want string, wait time.Duration, change func()) {
			t.Helper()
			source.change(change)
			time.Sleep(wait)
			if got := sink.names(); got != want {
				t.Errorf("%s: servers %s, want %s", what, got, want)
			}
		}
		step("start", "[a b]", time.Second, func() {})
		step("leaving", "[a b leaving]", time.Second, func() {
			source.servers[1] = server("b", 1, 2)
			source.servers[1].Leaving = true
		})
		step("history compacted while a watch missed changes", "[a c]", 2*time.Second, func() {
			source.missesChanges, source.servers, source.compacted = true, []Server{server("a", 1, 3), server("c", 1, 1)}, source.revision
		})
		source.change(func() { source.missesChanges = false })
		step("away", "[a c]", 5*time.Second, func() { source.unreachable = true })
		step("store reachable again, announcements expired", "[a c]", time.Second, func() {
			source.unreachable, source.servers, source.compacted = false, nil, source.revision
		})
		step("one server announced itself again", "[a]", 3*time.Second, func() { source.servers = []Server{server("a", 1, 4)} })
	})
}

// busySource reports a change for every watch.
type busySource struct{ calls int }

func (s *busySource) List(context.Context) (Update, error) { return Update{Revision: 1}, nil }

func (s *busySource) Watch(_ context.Context, after store.Revision) (Update, error) {
	s.calls++
	time.Sleep(10 * time.Millisecond)
	return Update{Revision: after + 1}, nil
}

// TestWatchRateIsBoundedForLargeFleets guards against many instances together exceeding the
// store's rate of calls while servers change all the time. The instance that decides on
// placement must still learn of changes after batchPause, whatever the number of instances.
func TestWatchRateIsBoundedForLargeFleets(t *testing.T) {
	const length = time.Minute
	for _, c := range []struct {
		instances        int
		decidesPlacement bool
		least, most      int
	}{{8, false, 50, 60}, {68, false, 19, 24}, {68, true, 50, 60}, {3000, false, 17, 21}} {
		synctest.Test(t, func(t *testing.T) {
			source := &busySource{}
			w := New(Options{Source: source, Sink: &fakeSink{}, Logger: logging.Discard(),
				Instances: func() int { return c.instances }, DecidesPlacement: func() bool { return c.decidesPlacement }})
			ctx, cancel := context.WithTimeout(t.Context(), length)
			defer cancel()
			w.Run(ctx)
			if source.calls < c.least || source.calls > c.most {
				t.Errorf("%d instances, decides placement %v: %d calls in %v, want %d to %d", c.instances, c.decidesPlacement, source.calls, length, c.least, c.most)
			}
		})
	}
}

// TestExpiredOverridesDoNotHideAnnouncements guards against an override that hides a version
// for good. A version leaves a server and soon returns, and the peer's message about its return
// is lost. The server's announcement of the return comes within the lifetime of the override,
// and no later announcement follows that could end the override.
func TestExpiredOverridesDoNotHideAnnouncements(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	r := NewRegistry()
	r.Announced(at(0), server("a", 1, 1, "m", "n"))
	r.ResidencyChanged(at(0), "a", 1, "m", false)
	r.Announced(at(3*time.Second), server("a", 1, 2, "m", "n"))
	if got := r.Servers()[0].Resident; len(got) != 1 {
		t.Fatalf("within the override's lifetime: resident %v, want [n]", got)
	}
	r.TakeChanged()
	r.Confirmed(at(overrideLifetime / 2))
	if r.TakeChanged() {
		t.Error("the override was dropped before the end of its lifetime")
	}
	r.Tick(at(time.Hour))
	if got := r.Servers()[0].Resident; len(got) != 1 {
		t.Errorf("without an answer of the store: resident %v, want [n], because the override still holds", got)
	}
	r.Confirmed(at(overrideLifetime + time.Second))
	if got := r.Servers()[0].Resident; len(got) != 2 || !r.TakeChanged() {
		t.Errorf("after the override's lifetime: resident %v, want [m n] and TakeChanged = true", got)
	}
}

// TestProcessThatSaidItIsLeavingStaysLeaving guards against an announcement that a server wrote
// before it said in an answer that it is leaving, or that the store has kept of it: neither may
// bring requests back to that process. A restart under the same id may.
func TestProcessThatSaidItIsLeavingStaysLeaving(t *testing.T) {
	now := time.Now()
	r := NewRegistry()
	leaving := func() bool { s, _ := r.Server("a"); return s.Leaving }
	r.Announced(now, server("a", 5, 3))
	r.Leaving("a", 4)
	if leaving() {
		t.Error("leaving after an answer of an earlier process, want it ignored")
	}
	r.Leaving("a", 5)
	r.Announced(now, server("a", 5, 4))
	if !leaving() {
		t.Error("not leaving after a further announcement of the same process")
	}
	r.Removed(now, "a", 0)
	r.Announced(now, server("a", 5, 5))
	if !leaving() {
		t.Error("not leaving after its announcement was removed and came back")
	}
	r.Announced(now, server("a", 6, 1))
	if leaving() {
		t.Error("leaving after a restart")
	}
}

// TestAnnouncementOlderThanARemovedServersLastIsIgnored: a store that came back from an older
// copy can list a server again that was removed since.
func TestAnnouncementOlderThanARemovedServersLastIsIgnored(t *testing.T) {
	now := time.Now()
	r := NewRegistry()
	r.Announced(now, server("a", 5, 3))
	r.Removed(now, "a", 0)
	r.Announced(now, server("a", 5, 2))
	if ids(r) != "[]" {
		t.Errorf("after an older announcement: got %s, want []", ids(r))
	}
	r.Announced(now, server("a", 5, 3))
	if ids(r) != "[a]" {
		t.Errorf("after its last announcement, written again: got %s, want [a]", ids(r))
	}
	r.Removed(now, "a", 0)
	r.Tick(now.Add(removedMemory + time.Millisecond))
	r.Announced(now, server("a", 5, 1))
	if ids(r) != "[a]" {
		t.Errorf("long after the removal: got %s, want [a]", ids(r))
	}
}

func TestPauseOfAServerEndsWithItsProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := &fakeSink{}
		w := New(Options{Sink: sink, Pooled: func(string) bool { return false }, Logger: logging.Discard()})
		w.update(cause{}, func(r *Registry) { r.Announced(time.Now(), server("a", 5, 1)) })
		w.ServerPaused(engine.Server{Name: "a", StartMillis: 4}, time.Second)
		w.ServerPaused(engine.Server{Name: "unknown", StartMillis: 4}, time.Second)
		if len(sink.paused) != 0 {
			t.Errorf("pauses of %v were reported, want none for an earlier process or an unknown server", sink.paused)
		}
		w.ServerPaused(engine.Server{Name: "a", StartMillis: 5}, time.Second)
		w.update(cause{}, func(r *Registry) { r.Announced(time.Now(), server("a", 5, 2)) })
		if got := sink.servers[0].PausedUntil; fmt.Sprint(sink.paused) != "[a]" || !got.Equal(time.Now().Add(time.Second)) {
			t.Errorf("paused %v until %v, want [a] for a second, also after its next announcement", sink.paused, got)
		}
		if !w.Paused(engine.Server{Name: "a", StartMillis: 5}) || w.Paused(engine.Server{Name: "a", StartMillis: 4}) {
			t.Error("the process that asked for the pause doesn't count as paused, or an earlier one does")
		}
		w.update(cause{}, func(r *Registry) { r.Announced(time.Now(), server("a", 6, 1)) })
		if got := sink.servers[0].PausedUntil; !got.IsZero() {
			t.Errorf("after a restart: paused until %v, want no pause", got)
		}
	})
}

// TestOnlyAnswersOfTheStoreConfirmTheServers guards against servers that are taken for all that there are although
// the store gives no answer, or another one came and went between two answers.
func TestOnlyAnswersOfTheStoreConfirmTheServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{servers: []Server{server("a", 1, 1)}, revision: 1}
		reads, confirmed := 0, 0
		var announced []Server
		w := New(Options{
			Source: source, Sink: &fakeSink{}, Pooled: func(string) bool { return false }, Logger: logging.Discard(),
			OnRead: func() func() {
				reads++
				return func() { confirmed++ }
			},
			OnAnnounced: func(servers []Server) { announced = append(announced, servers...) },
		})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go w.Run(ctx)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		source.change(func() { source.servers, source.withdrawn = nil, []Server{server("b", 1, 1)} })
		time.Sleep(5 * time.Second)
		synctest.Wait()
		before := confirmed
		if before == 0 {
			t.Error("no answer of the store confirms the servers")
		}
		if len(announced) != 1 || announced[0].ID != "b" {
			t.Errorf("got announcements %v, want that of the server that came and went", announced)
		}
		source.change(func() { source.unreachable = true })
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if confirmed > before+1 || reads < confirmed+2 {
			t.Errorf("%d of %d reads confirm the servers, %d of them before the store was out of reach", confirmed, reads, before)
		}
	})
}

// TestRemovalFromPeersAppliesOnlyToOlderAnnouncements guards against a server that is lost for good because a peer's word
// of a removal arrives after the server has announced itself again, and against one that comes back because an
// instance reads late what was written before the removal.
func TestRemovalFromPeersAppliesOnlyToOlderAnnouncements(t *testing.T) {
	now := time.Now()
	r := NewRegistry()
	announce := func(id string, revision store.Revision) {
		s := server(id, 0, int64(revision))
		s.Revision = revision
		r.Announced(now, s)
	}
	announce("a", 5)
	announce("b", 9)
	for _, id := range []string{"a", "b", "unknown"} {
		r.RemovedElsewhere(now, id, 7)
	}
	if ids(r) != "[b]" {
		t.Fatalf("after a removal at revision 7: got %s, want [b], which was announced at 9", ids(r))
	}
	announce("a", 6)
	announce("unknown", 4)
	if ids(r) != "[b]" {
		t.Errorf("after announcements from before the removal: got %s, want [b]", ids(r))
	}
	announce("a", 8)
	announce("unknown", 8)
	if ids(r) != "[a b unknown]" {
		t.Errorf("after announcements from after the removal: got %s, want [a b unknown]", ids(r))
	}
}

// TestRemovedServerStaysGoneInAnOlderCopyOfTheStore guards against requests to a server that left without notice, when the store
// comes back from a copy that still has its announcement.
func TestRemovedServerStaysGoneInAnOlderCopyOfTheStore(t *testing.T) {
	now := time.Now()
	r := NewRegistry()
	announce := func(epoch store.Epoch, revision, sequence int64) {
		s := server("a", 0, sequence)
		s.Revision = store.NewRevision(epoch, revision)
		r.Announced(now, s)
	}
	announce(1, 50, 9)
	r.Removed(now, "a", store.NewRevision(1, 60))
	announce(2, 40, 8)
	announce(2, 41, 9)
	if ids(r) != "[]" {
		t.Errorf("with the announcements of an older copy: got %s, want none", ids(r))
	}
	announce(2, 70, 10)
	if ids(r) != "[a]" {
		t.Errorf("after a new announcement: got %s, want [a]", ids(r))
	}
}

// TestProcessThatStartedAfterARemovalIsKnownInAnOlderCopyOfTheStore guards against a sound server that gets no requests for a minute, because its
// new process has written less often than the one before it, which was removed before the store came back from a copy.
func TestProcessThatStartedAfterARemovalIsKnownInAnOlderCopyOfTheStore(t *testing.T) {
	now := time.Now()
	r := NewRegistry()
	before := server("a", 1000, 9)
	before.Revision = store.NewRevision(1, 50)
	r.Announced(now, before)
	r.Removed(now, "a", store.NewRevision(1, 60))
	earlier := server("a", 500, 20)
	earlier.Revision = store.NewRevision(2, 39)
	r.Announced(now, earlier)
	before.Revision = store.NewRevision(2, 40)
	r.Announced(now, before)
	if ids(r) != "[]" {
		t.Errorf("with the announcements of an older copy: got %s, want none", ids(r))
	}
	after := server("a", 2000, 1)
	after.Revision = store.NewRevision(2, 70)
	r.Announced(now, after)
	if ids(r) != "[a]" {
		t.Errorf("after the announcement of a new process: got %s, want [a]", ids(r))
	}
}
