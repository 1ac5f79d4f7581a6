package streamversion

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/membership"
	"limpethub/internal/request"
	"limpethub/internal/store"
)

// memoryStore is a store in memory. Its calls fail with err, if that isn't nil, after delay.
type memoryStore struct {
	store.Store
	entries  map[string]store.Entry
	leases   map[store.LeaseID]time.Time
	revision store.Revision
	delay    time.Duration
	err      error
	// writes and reads count calls, and largest is the size of the largest value.
	writes, reads, largest int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{entries: map[string]store.Entry{}, leases: map[store.LeaseID]time.Time{}}
}

// wait returns how a call fails.
func (s *memoryStore) wait(ctx context.Context) error {
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	for key, e := range s.entries {
		if time.Now().After(s.leases[e.Lease]) {
			delete(s.entries, key)
		}
	}
	return s.err
}

func (s *memoryStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.writes++
	if err := s.wait(ctx); err != nil {
		return 0, err
	}
	lease := store.LeaseID(len(s.leases) + 1)
	s.leases[lease] = time.Now().Add(ttl)
	return lease, nil
}

func (s *memoryStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	s.writes++
	if err := s.wait(ctx); err != nil {
		return 0, err
	}
	if s.entries[key].Revision != expected {
		return 0, store.ErrConflict
	}
	s.revision++
	s.largest = max(s.largest, len(value))
	s.entries[key] = store.Entry{Key: key, Value: value, Revision: s.revision, Lease: lease}
	return s.revision, nil
}

func (s *memoryStore) List(ctx context.Context, prefix string, _ bool) (store.Listing, error) {
	s.reads++
	if err := s.wait(ctx); err != nil {
		return store.Listing{}, err
	}
	var out store.Listing
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			out.Entries = append(out.Entries, e)
		}
	}
	return out, nil
}

func (s *memoryStore) WatchPrefix(context.Context, string, store.Revision) (store.Changes, error) {
	return store.Changes{}, errors.ErrUnsupported
}

// newArchiveNetwork returns keepers with an archive, which have known the given servers for long.
func newArchiveNetwork(size int, servers ...Server) *network {
	net := newNetwork(0)
	net.store = newMemoryStore()
	for i := range size {
		net.start(fmt.Sprint("i", i))
	}
	net.observeAll(servers...)
	net.passArchiving(settleTime)
	return net
}

// passArchiving lets time pass, in which instances tell archivists and write.
func (net *network) passArchiving(d time.Duration) {
	for passed := tellPeriod; passed <= d; passed += tellPeriod {
		time.Sleep(tellPeriod)
		for _, n := range net.nodes {
			if n.dead.Load() {
				continue
			}
			n.keeper.archive.tell()
			n.keeper.archive.dropOldRead()
			if passed%writePeriod == 0 {
				n.keeper.archive.write(context.Background())
			}
		}
	}
}

// restartAll ends all instances at once and starts them again.
func (net *network) restartAll(servers ...Server) {
	for name := range net.nodes {
		net.start(name)
	}
	net.observeAll(servers...)
}

// begin begins a stream at each instance.
func (net *network) begin(name string, origin request.Origin) {
	for _, n := range net.nodes {
		n.keeper.Began(request.ID(name+n.name), origin, life)
	}
}

// wantAll checks what is known of the streams of begin, each at another instance.
func (net *network) wantAll(t *testing.T, name string, want request.Origin) {
	t.Helper()
	at := net.nodes["i0"]
	for _, n := range net.nodes {
		wantOrigin(t, at, request.ID(name+n.name), want)
		at = n
	}
}

// TestStreamsAreResumedAfterAllInstancesEnded guards against streams that nobody knows after all instances ended amid a
// release, also those that began before it, and against calls of the store while one version serves. It
// counts the calls, which the platform charges for.
func TestStreamsAreResumedAfterAllInstancesEnded(t *testing.T) {
	for _, size := range []int{8, 68, 295} {
		synctest.Test(t, func(t *testing.T) {
			net := newArchiveNetwork(size, versions("v1")...)
			net.begin("before", v1)
			net.passArchiving(2 * time.Second)
			if net.store.writes > 0 {
				t.Errorf("%d instances: %d calls while one version serves, want none", size, net.store.writes)
			}
			net.observeAll(versions("v1", "v2")...)
			const seconds = 4
			for n := range seconds {
				net.begin(fmt.Sprint("amid", n), v2)
				net.passArchiving(time.Second)
			}
			net.passArchiving(2 * time.Second)
			limit := (size + instancesPerArchivist - 1) / instancesPerArchivist * (seconds + 2)
			t.Logf("%d instances: %d calls in %d s, largest value %d bytes", size, net.store.writes, seconds+2, net.store.largest)
			if net.store.writes > limit || net.store.largest > maxSlotBytes {
				t.Errorf("%d instances: %d calls, the largest value %d bytes, want at most %d and %d", size, net.store.writes, net.store.largest, limit, maxSlotBytes)
			}
			net.restartAll(versions("v1", "v2")...)
			net.wantAll(t, "before", v1)
			net.wantAll(t, "amid3", v2)
			net.wantAll(t, "never begun", request.Origin{})
			if net.store.reads > size {
				t.Errorf("%d instances read the archive %d times, want once each", size, net.store.reads)
			}
			net.passArchiving(slotPeriod + life + lifeMargin + leaseMargin + time.Second)
			if _ = net.store.wait(t.Context()); len(net.store.entries) > 0 {
				t.Errorf("%d slots are left after the life of their streams", len(net.store.entries))
			}
		})
	}
}

// TestStreamsAreArchivedWithoutRoomForLoad guards against streams that are never archived on an instance whose byte budget is used up all
// the time, as under load, so that nobody knows them after all instances ended.
func TestStreamsAreArchivedWithoutRoomForLoad(t *testing.T) {
	for _, size := range []int{8, 60} {
		synctest.Test(t, func(t *testing.T) {
			net := newArchiveNetwork(size, versions("v1", "v2")...)
			net.noRoom = true
			net.begin("s", v1)
			net.passArchiving(3 * time.Second)
			net.restartAll(versions("v1", "v2")...)
			net.wantAll(t, "s", v1)
		})
	}
}

// TestStreamsOfAnArchivistThatEndsAreArchived guards against streams that were told to an archivist which ended before it
// wrote them.
func TestStreamsOfAnArchivistThatEndsAreArchived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newArchiveNetwork(4, versions("v1", "v2")...)
		net.begin("s", v1)
		net.passArchiving(tellPeriod)
		archivist := archivists(net.nodes["i0"].Members(), "i0")[0]
		if net.nodes[archivist].keeper.archive.journal.next(time.Now()) == nil {
			t.Fatal("the archivist has nothing to write")
		}
		delete(net.nodes, archivist)
		net.passArchiving(3 * time.Second)
		net.start("i0")
		net.restartAll(versions("v1", "v2")...)
		for name := range net.nodes {
			wantOrigin(t, net.nodes[name], request.ID("s"+name), v1)
		}
	})
}

// TestRestartedArchivistKeepsWhatItWroteBefore guards against an instance that starts again and replaces slots whose streams
// can still be resumed.
func TestRestartedArchivistKeepsWhatItWroteBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newArchiveNetwork(1, versions("v1", "v2")...)
		for n := range 3 {
			net.begin(fmt.Sprint(n), v1)
			net.passArchiving(2 * time.Second)
			net.restartAll(versions("v1", "v2")...)
			net.passArchiving(settleTime)
		}
		for n := range 3 {
			net.wantAll(t, fmt.Sprint(n), v1)
		}
	})
}

// TestStartedInstancesDoNotAllWrite guards against a call of the store by each instance after a start of all, when each one
// knows no other yet.
func TestStartedInstancesDoNotAllWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newArchiveNetwork(16, versions("v1", "v2")...)
		net.restartAll(versions("v1", "v2")...)
		net.begin("s", v1)
		net.knowsOthers = false
		net.passArchiving(2 * time.Second)
		net.knowsOthers = true
		net.passArchiving(4 * time.Second)
		if net.store.writes > 4 || len(net.store.entries) != 1 {
			t.Errorf("%d calls and %d slots after a start of all instances, want those of one archivist", net.store.writes, len(net.store.entries))
		}
	})
}

// TestInstancesThatDisagreeOnArchivistsArchive guards against streams that are lost because the instance that is told of them
// holds another one to be their archivist.
func TestInstancesThatDisagreeOnArchivistsArchive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newArchiveNetwork(3, versions("v1", "v2")...)
		other := "i0"
		if archivists(net.nodes["i0"].Members(), "")[0] == other {
			other = "i1"
		}
		b := batch{LifeMillis: life.Milliseconds()}
		b.add(streamHash("s"), v1, maxBatchBytes)
		payload, err := b.encode()
		if err != nil {
			t.Fatal(err)
		}
		net.nodes[other].keeper.archive.HandleDatagram("i2", payload)
		net.passArchiving(2 * time.Second)
		net.restartAll(versions("v1", "v2")...)
		wantOrigin(t, net.nodes["i2"], "s", v1)
	})
}

// TestStoreThatFailsJoinsNothing guards against a stream that is resumed by a guess, and against a caller that waits long,
// while the store is away, refuses calls or is slow; and against an archivist that doesn't recover.
func TestStoreThatFailsJoinsNothing(t *testing.T) {
	fail := func(err error, delay time.Duration) func(*memoryStore) {
		return func(s *memoryStore) { s.err, s.delay = err, delay }
	}
	for name, begins := range map[string]func(*memoryStore){
		"away": fail(errors.New("no answer"), 0), "refuses": fail(store.ErrThrottled, 0), "silent": fail(nil, time.Minute),
		"slow": fail(nil, time.Second), "lost the lease": fail(store.ErrLeaseLost, 0), "lost writes": fail(store.ErrConflict, 0),
	} {
		synctest.Test(t, func(t *testing.T) {
			net := newArchiveNetwork(1, versions("v1", "v2")...)
			net.begin("early", v1)
			net.passArchiving(2 * time.Second)
			begins(net.store)
			if name == "lost the lease" || name == "lost writes" {
				clear(net.store.entries)
			}
			net.begin("late", v1)
			net.passArchiving(2 * time.Second)
			net.store.err, net.store.delay = nil, 0
			net.passArchiving(4 * time.Second)
			begins(net.store)
			net.restartAll(versions("v1", "v2")...)
			start := time.Now()
			net.wantAll(t, "early", request.Origin{})
			if took := time.Since(start); took > askTimeout {
				t.Errorf("%s: the caller waited %v, want at most %v", name, took, askTimeout)
			}
			time.Sleep(readTimeout + readFailureDelay)
			synctest.Wait()
			net.store.err, net.store.delay = nil, 0
			net.wantAll(t, "early", v1)
			net.wantAll(t, "late", v1)
		})
	}
}

// TestPendingStreamsAreLimited guards against memory that grows while the store is away, and against slots that are
// larger than allowed when it is back.
func TestPendingStreamsAreLimited(t *testing.T) {
	now := time.Now()
	var j journal
	dropped := 0
	for n := range maxPending + 100 {
		dropped += j.add(now, []archived{{hash: uint64(n), origin: v1, until: now.Add(24 * time.Hour)}})
	}
	if dropped != 100 || len(j.pending) != maxPending {
		t.Errorf("%d streams wait and %d were dropped, want %d and 100", len(j.pending), dropped, maxPending)
	}
	for steps := 0; len(j.pending) > 0; steps++ {
		due := j.next(now)
		if due.write == nil {
			j.granted(now, due.ttl, 1)
			continue
		}
		if value, err := due.write.content.encode(); err != nil || len(value) > maxSlotBytes || steps > 20 {
			t.Fatalf("write %d has %d bytes, error %v, want at most %d in 20 writes", steps, len(value), err, maxSlotBytes)
		}
		j.wrote(due.write, 1)
	}
	var o outbox
	for range maxOwnStreams + 100 {
		o.add(now, archived{origin: v1, until: now.Add(time.Second)})
	}
	if len(o.streams) != maxOwnStreams {
		t.Errorf("%d own streams are kept, want %d", len(o.streams), maxOwnStreams)
	}
	if o.forget(now.Add(time.Second)); len(o.streams) > 0 {
		t.Errorf("%d streams are kept after their life", len(o.streams))
	}
}

// TestMalformedAndAmbiguousSlotsJoinNothing guards against a stream that is resumed at a version that a malformed
// value gives or that contradicts another one, and against a malformed slot that hides the others.
func TestMalformedAndAmbiguousSlotsJoinNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newArchiveNetwork(1, versions("v1", "v2")...)
		net.store.leases[99] = time.Now().Add(time.Hour)
		put := func(key string, groups ...group) {
			b := batch{Groups: groups}
			value, err := b.encode()
			if err != nil {
				t.Fatal(err)
			}
			net.store.entries["archive/"+key] = store.Entry{Key: key, Value: value, Lease: 99}
		}
		var ids batch
		ids.add(streamHash("cut"), v1, maxBatchBytes)
		cut := ids.Groups[0].Hashes
		put("a", group{Service: service, Version: "v1", Hashes: append(cut, 1)})
		put("b", group{Version: "v1", Hashes: cut}, group{Service: service, Hashes: cut})
		put("c", group{Service: service, Version: strings.Repeat("v", maxVersionBytes+1), Hashes: cut})
		put("d")
		net.store.entries["archive/e"] = store.Entry{Key: "e", Value: []byte("no slot"), Lease: 99}
		for n, origin := range []request.Origin{v1, v2} {
			var b batch
			b.add(streamHash("ambiguous"), origin, maxBatchBytes)
			b.add(streamHash(request.ID(fmt.Sprint("sound", n))), origin, maxBatchBytes)
			put(fmt.Sprint("f", n), b.Groups...)
		}
		n := net.nodes["i0"]
		wantOrigin(t, n, "cut", request.Origin{})
		wantOrigin(t, n, "ambiguous", request.Origin{})
		wantOrigin(t, n, "sound0", v1)
		wantOrigin(t, n, "sound1", v2)
		n.keeper.archive.HandleDatagram("i1", []byte{0xff})
		if n.keeper.archive.HandleDatagram("i1", net.store.entries["archive/f0"].Value); len(n.keeper.archive.journal.pending) > 0 {
			t.Error("streams without a life were taken")
		}
	})
}

// TestFewInstancesAreArchivists guards against calls of the store that grow with each instance, and against streams that all go to
// one archivist.
func TestFewInstancesAreArchivists(t *testing.T) {
	var members []membership.Member
	for n := range 295 {
		members = append(members, membership.Member{Identity: membership.Identity{Name: fmt.Sprint(n)}, State: membership.Alive})
	}
	chosen := archivists(members, "0")
	told := map[string]int{}
	for n := range 1000 {
		told[archivistOf(streamHash(request.ID(fmt.Sprint(n))), chosen)]++
	}
	if len(chosen) != 10 || len(told) != 10 {
		t.Errorf("%d archivists, of which %d are told of streams, want 10", len(chosen), len(told))
	}
	for name, count := range told {
		if count > 200 {
			t.Errorf("archivist %s is told of %d of 1000 streams", name, count)
		}
	}
}
