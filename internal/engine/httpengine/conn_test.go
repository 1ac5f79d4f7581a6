package httpengine

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// countingConn counts the writes that reach it, and discards them.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return len(p), nil
}

// A write races with sealIfNotRun. If sealIfNotRun returned true while the write still passed, a
// request that ran would be reported as not run and sent to another server.
func TestNotRunRequestNeverReachesConnection(t *testing.T) {
	for range 2000 {
		underlying := &countingConn{}
		conn := &trackedConn{Conn: underlying}
		tracker := &sendTracker{}
		tracker.attach(conn)
		var wg sync.WaitGroup
		wg.Go(func() { _, _ = conn.Write([]byte("request")) })
		var notRun bool
		wg.Go(func() { notRun = tracker.sealIfNotRun() })
		wg.Wait()
		if notRun && underlying.writes.Load() > 0 {
			t.Fatal("sealIfNotRun returned true, but a write reached the connection")
		}
	}
}

// Documents why a connection is sealed: comparing write counts alone doesn't prove that a request
// wasn't handed over, because a write can start after the comparison.
func TestWriteCountWithoutSealIsNoProof(t *testing.T) {
	underlying := &countingConn{}
	conn := &trackedConn{Conn: underlying}
	writesBefore := conn.writeCount()
	claimedNotRun := conn.writeCount() == writesBefore
	_, _ = conn.Write([]byte("request"))
	if !claimedNotRun || underlying.writes.Load() == 0 {
		t.Fatal("want equal write counts before the write, and at least one write after it")
	}
}

func TestSecondConnectionIsSealedAfterFirstWrite(t *testing.T) {
	first, second := &trackedConn{Conn: &countingConn{}}, &trackedConn{Conn: &countingConn{}}
	tracker := &sendTracker{}
	tracker.attach(first)
	_, _ = first.Write([]byte("request"))
	tracker.attach(second)
	if _, err := second.Write([]byte("request")); err == nil {
		t.Fatal("the second connection accepted the request after the first one got bytes of it")
	}
	if tracker.sealIfNotRun() {
		t.Fatal("sealIfNotRun returned true for a request that was handed over")
	}
}

func TestRequestOnUntrackedConnectionIsNotProvedNotRun(t *testing.T) {
	tracker := &sendTracker{}
	tracker.attach(nil)
	if tracker.sealIfNotRun() {
		t.Fatal("sealIfNotRun returned true for an untracked connection")
	}
}

func TestSealedConnectionRefusesWrites(t *testing.T) {
	underlying := &countingConn{}
	conn := &trackedConn{Conn: underlying}
	tracker := &sendTracker{}
	tracker.attach(conn)
	if !tracker.sealIfNotRun() {
		t.Fatal("sealIfNotRun returned false for a request that was not written")
	}
	if _, err := conn.Write([]byte("request")); err == nil || underlying.writes.Load() > 0 {
		t.Fatal("a write passed after sealIfNotRun returned true")
	}
}
