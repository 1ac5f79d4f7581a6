package discovery

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestServerThatLeftDuringACutIsGoneThoughThePeersWereRestarted guards against an instance that goes on sending requests to a server
// whose entry was removed during a cut, because all other instances were restarted meanwhile, so that no process by itself has
// read the store all the while.
func TestServerThatLeftDuringACutIsGoneThoughThePeersWereRestarted(t *testing.T) {
	for _, size := range []struct{ instances, cut int }{{2, 1}, {3, 1}, {3, 2}, {8, 2}, {86, 28}, {295, 98}} {
		// The end of the cut falls at different points of a series of attempts, each of which takes readTime and a delay.
		step := 100 * time.Millisecond
		if size.instances > 8 {
			step *= 4
		}
		for offset := time.Duration(0); offset < readTime+maxRetryDelay; offset += step {
			t.Run(fmt.Sprint(size, offset), func(t *testing.T) {
				withCutFleet(t, size.instances, func(t *testing.T, f *cutFleet) { testLeavingBehindRestarts(t, f, size.cut, offset) })
			})
		}
	}
}

func testLeavingBehindRestarts(t *testing.T, f *cutFleet, cut int, offset time.Duration) {
	f.setReconnects(len(f.sources))
	f.cut(cut, true)
	time.Sleep(2*time.Second + offset)
	f.rollAllBut(cut, 4*time.Second)
	f.leaveAndForget()
	time.Sleep(2500 * time.Millisecond)
	f.cut(cut, false)
	f.wantServerGone(t, stableWindow, cut)
}

// TestServersAreKeptAfterAnOutageBesideRestarts guards against servers that are given up after an outage in which their entries
// expired, because what restarted instances tell is taken for a proof that the store was in service.
func TestServersAreKeptAfterAnOutageBesideRestarts(t *testing.T) {
	for _, size := range []struct{ instances, stay int }{{1, 1}, {3, 1}, {8, 2}, {86, 20}, {295, 30}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			withCutFleet(t, size.instances, func(t *testing.T, f *cutFleet) {
				f.rollAllBut(size.stay, 4*time.Second)
				f.store.change(func() { f.store.unreachable = true })
				time.Sleep(8 * time.Second)
				f.loseEntries()
				go f.rollAllBut(size.stay, time.Second)
				f.wantServersKept(t, size.stay)
			})
		})
	}
}

// TestServerThatLeftDuringACutIsGoneThoughEachPeerMissedReads guards against the same requests where each other instance had
// a cut of its own, at another time.
func TestServerThatLeftDuringACutIsGoneThoughEachPeerMissedReads(t *testing.T) {
	withCutFleet(t, 3, func(t *testing.T, f *cutFleet) {
		f.cut(1, true)
		for _, peer := range f.sources[1:] {
			time.Sleep(500 * time.Millisecond)
			peer.cut.Store(true)
			time.Sleep(2500 * time.Millisecond)
			peer.cut.Store(false)
			time.Sleep(1500 * time.Millisecond)
		}
		f.leaveAndForget()
		time.Sleep(2500 * time.Millisecond)
		f.cut(1, false)
		f.wantServerGone(t, stableWindow, 1)
	})
}

// TestAnEarlierOutageIsNoPartOfALaterAbsence guards against an instance that keeps a server which left during its cut, because nobody can tell of an
// outage that all instances had long before, and that ended with a watch.
func TestAnEarlierOutageIsNoPartOfALaterAbsence(t *testing.T) {
	withCutFleet(t, 3, func(t *testing.T, f *cutFleet) {
		f.setReconnects(1)
		f.store.change(func() { f.store.unreachable = true })
		time.Sleep(3 * time.Second)
		f.store.change(func() { f.store.unreachable = false })
		time.Sleep(6 * time.Second)
		f.cut(1, true)
		time.Sleep(5500 * time.Millisecond)
		f.leaveAndForget()
		time.Sleep(2500 * time.Millisecond)
		f.cut(1, false)
		// With a proof the server is gone as soon as the listing is there.
		f.wantServerGone(t, time.Second, 1)
	})
}

// TestServerThatLeftDuringACutIsGoneWithoutAnyProof guards against the same requests where nobody can tell what happened: a
// single instance, or instances that were cut off alike. The end of the cut falls at each point of a series of attempts.
func TestServerThatLeftDuringACutIsGoneWithoutAnyProof(t *testing.T) {
	for _, instances := range []int{1, 3} {
		for offset := range 15 {
			cutFor := 6*time.Second + time.Duration(offset)*100*time.Millisecond
			t.Run(fmt.Sprintf("%d instances, cut for %v", instances, cutFor), func(t *testing.T) {
				withCutFleet(t, instances, func(t *testing.T, f *cutFleet) {
					f.setReconnects(len(f.sources))
					f.cut(instances, true)
					time.Sleep(cutFor - 2500*time.Millisecond)
					f.leaveAndForget()
					time.Sleep(2500 * time.Millisecond)
					f.cut(instances, false)
					f.wantServerGone(t, stableWindow, instances)
				})
			})
		}
	}
}

// TestServerThatReturnsLateIsReadBeforeItIsGivenUp guards against a server that announces itself again within two seconds of
// an outage, and is given up unread, because the instance pauses for longer between reads.
func TestServerThatReturnsLateIsReadBeforeItIsGivenUp(t *testing.T) {
	const instances = 86 // pause for two seconds
	withCutFleet(t, instances, func(t *testing.T, f *cutFleet) {
		f.store.change(func() { f.store.unreachable = true })
		time.Sleep(8 * time.Second)
		f.loseEntries()
		time.Sleep(1900 * time.Millisecond)
		f.store.change(func() { f.store.servers = []Server{server("a", 1, 9), server("b", 1, 9)} })
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			for n, sink := range f.sinks {
				if got := sink.names(); got != "[a b]" {
					t.Fatalf("instance %d knows %s, want [a b]", n, got)
				}
			}
		}
	})
}

// TestInstanceThatStoodStillKnowsNothingOfThatTime guards against a process that stood still and counts that time as one in which the
// store was in service.
func TestInstanceThatStoodStillKnowsNothingOfThatTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f := startCutFleet(ctx, 1)
		f.store.change(func() { f.store.stallNextWatch = 3 * time.Second })
		began := time.Now()
		time.Sleep(10 * time.Second)
		stood := absence{since: began.Add(2 * time.Second), until: began.Add(4 * time.Second)}
		if known := f.watchers[0].Contacts(); len(known) == 0 || stood.coveredBy(known) {
			t.Errorf("contacts %v cover the time in which the process stood still", known)
		}
	})
}
