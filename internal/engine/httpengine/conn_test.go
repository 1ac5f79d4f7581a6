package httpengine

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// countingConn counts the writes that reach it.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return len(p), nil
}

// A writer races with the judge. Whenever the judge says that nothing was handed
// over, nothing may ever reach the connection below.
func TestSealedConnectionTakesNothing(t *testing.T) {
	for range 2000 {
		below := &countingConn{}
		conn := &trackedConn{Conn: below}
		a := &attempt{}
		a.attach(conn)
		var both sync.WaitGroup
		both.Go(func() { _, _ = conn.Write([]byte("request")) })
		var notRun bool
		both.Go(func() { notRun = a.notRun() })
		both.Wait()
		if notRun && below.writes.Load() > 0 {
			t.Fatal("said not handed over, but a byte reached the connection")
		}
	}
}

// The broken variant judges by what was written so far, without a seal.
func TestJudgingWithoutSealIsCaught(t *testing.T) {
	below := &countingConn{}
	conn := &trackedConn{Conn: below}
	before := conn.count()
	claimed := conn.count() == before
	_, _ = conn.Write([]byte("request"))
	if !claimed || below.writes.Load() == 0 {
		t.Fatal("the variant without a seal wasn't caught")
	}
}

func TestSecondConnectionIsBarredAfterFirstTookBytes(t *testing.T) {
	first, second := &trackedConn{Conn: &countingConn{}}, &trackedConn{Conn: &countingConn{}}
	a := &attempt{}
	a.attach(first)
	_, _ = first.Write([]byte("request"))
	a.attach(second)
	if _, err := second.Write([]byte("request")); err == nil {
		t.Fatal("the request was handed to a second connection")
	}
	if a.notRun() {
		t.Fatal("a request that was handed over counts as not run")
	}
}

func TestUnknownConnectionProvesNothing(t *testing.T) {
	a := &attempt{}
	a.attach(nil)
	if a.notRun() {
		t.Fatal("an unknown connection was taken as proof")
	}
}

func TestSealBarsLaterWrite(t *testing.T) {
	below := &countingConn{}
	conn := &trackedConn{Conn: below}
	a := &attempt{}
	a.attach(conn)
	if !a.notRun() {
		t.Fatal("an unwritten request counts as handed over")
	}
	if _, err := conn.Write([]byte("request")); err == nil || below.writes.Load() > 0 {
		t.Fatal("a byte was written after the verdict")
	}
}
