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

// A write races with notRun. If notRun returned true while the write still passed, a request
// that ran would be reported as not run and sent to another server.
func TestNotRunRequestNeverReachesConnection(t *testing.T) {
	for range 2000 {
		underlying := &countingConn{}
		conn := &trackedConn{Conn: underlying}
		a := &attempt{}
		a.attach(conn)
		var wg sync.WaitGroup
		wg.Go(func() { _, _ = conn.Write([]byte("request")) })
		var notRun bool
		wg.Go(func() { notRun = a.notRun() })
		wg.Wait()
		if notRun && underlying.writes.Load() > 0 {
			t.Fatal("notRun returned true, but a write reached the connection")
		}
	}
}

// Guards the reason for the seal: comparing write counts alone is not enough, because a write
// can start after the comparison.
func TestWriteCountWithoutSealIsNoProof(t *testing.T) {
	underlying := &countingConn{}
	conn := &trackedConn{Conn: underlying}
	writesBefore := conn.writeCount()
	claimedNotRun := conn.writeCount() == writesBefore
	_, _ = conn.Write([]byte("request"))
	if !claimedNotRun || underlying.writes.Load() == 0 {
		t.Fatal("comparing write counts without a seal was not shown to be unsound")
	}
}

func TestSecondConnectionIsSealedAfterFirstWrite(t *testing.T) {
	first, second := &trackedConn{Conn: &countingConn{}}, &trackedConn{Conn: &countingConn{}}
	a := &attempt{}
	a.attach(first)
	_, _ = first.Write([]byte("request"))
	a.attach(second)
	if _, err := second.Write([]byte("request")); err == nil {
		t.Fatal("the second connection accepted the request after the first one got bytes of it")
	}
	if a.notRun() {
		t.Fatal("notRun returned true for a request that was handed over")
	}
}

func TestUntrackedConnectionIsNeverNotRun(t *testing.T) {
	a := &attempt{}
	a.attach(nil)
	if a.notRun() {
		t.Fatal("notRun returned true for an untracked connection")
	}
}

func TestSealedConnectionRefusesWrites(t *testing.T) {
	underlying := &countingConn{}
	conn := &trackedConn{Conn: underlying}
	a := &attempt{}
	a.attach(conn)
	if !a.notRun() {
		t.Fatal("notRun returned false for a request that was not written")
	}
	if _, err := conn.Write([]byte("request")); err == nil || underlying.writes.Load() > 0 {
		t.Fatal("a write passed after notRun returned true")
	}
}
