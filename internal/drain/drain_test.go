package drain

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// accept makes a tracked connection and its other end.
func accept(t *testing.T, c *Conns, server *http.Server) (own net.Conn, other net.Conn) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := c.Attach(server, raw)
	t.Cleanup(func() { _ = listener.Close() })
	if other, err = net.Dial("tcp", raw.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if own, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	return own, other
}

// TestWhatWasReadIsAnswered replays a stop that fell between the reading of a request and
// the moment from which the server counts its connection as active.
func TestWhatWasReadIsAnswered(t *testing.T) {
	var c Conns
	server := &http.Server{}
	own, other := accept(t, &c, server)
	server.ConnState(own, http.StateIdle)
	if _, err := other.Write([]byte("G")); err != nil {
		t.Fatal(err)
	}
	if n, err := own.Read(make([]byte, 10)); n != 1 || err != nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	c.End()
	if c.Busy() != 1 {
		t.Fatalf("%d connections are busy", c.Busy())
	}
	if _, err := own.Write([]byte("answer")); err != nil {
		t.Errorf("no answer can be written: %v", err)
	}
	server.ConnState(own, http.StateIdle)
	if _, err := own.Write([]byte("more")); err == nil {
		t.Error("the connection stays open after its answer")
	}
}

func TestServerMayCloseAListenerAgain(t *testing.T) {
	var c Conns
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := c.Attach(&http.Server{}, raw)
	for range 2 {
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
	}
}

func TestNothingIsReadOnceClosed(t *testing.T) {
	var c Conns
	own, other := accept(t, &c, &http.Server{})
	c.End()
	if n, err := own.Read(make([]byte, 10)); n != 0 || err == nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
	if _, err := other.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the other side sees %v", err)
	}
}

// TestNoRequestIsLostInAnEnd ends a server again and again while callers send one request
// after the other on kept connections: each request that was begun is answered whole.
func TestNoRequestIsLostInAnEnd(t *testing.T) {
	for range 40 {
		endUnderLoad(t)
	}
}

func endUnderLoad(t *testing.T) {
	t.Helper()
	var c Conns
	var begun, answered atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		begun.Add(1)
		_, _ = io.WriteString(w, "done")
	})}
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := c.Attach(server, raw)
	go func() { _ = server.Serve(listener) }()
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() { askUntilClosed(raw.Addr().String(), &answered) })
	}
	time.Sleep(5 * time.Millisecond)
	_ = raw.Close()
	c.End()
	callers.Wait()
	_ = server.Close()
	if begun.Load() != answered.Load() {
		t.Errorf("%d requests were begun, %d answered", begun.Load(), answered.Load())
	}
}

func askUntilClosed(address string, answered *atomic.Int64) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		if _, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			return
		}
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(answer.Body); err != nil {
			return
		}
		answered.Add(1)
	}
}
