package rawhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// scripted is a server whose answers are written byte by byte by a test.
type scripted struct {
	listener    net.Listener
	connections atomic.Int64
}

// serve answers each request on each connection with what the script makes of it; a
// script that returns false ends the connection.
func serve(t *testing.T, script func(conn net.Conn, request *http.Request, number int) bool) *scripted {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scripted{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.run(conn, script)
		}
	}()
	return s
}

func (s *scripted) run(conn net.Conn, script func(net.Conn, *http.Request, int) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.ContentLength <= inlineBytes {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		if !script(conn, request, number) {
			return
		}
	}
}

func (s *scripted) server() Server { return Server{Name: "s", Address: s.listener.Addr().String()} }

func newTestClient(t *testing.T) *Client {
	t.Helper()
	c := New(Options{IDHeader: "Request-Id"})
	t.Cleanup(c.Close)
	return c
}

func get(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/x?y=1", Host: "h", ID: id, Header: http.Header{"Request-Id": {id}}}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestConnectionIsUsedAgainAndRequestIsSentAsGiven(t *testing.T) {
	var target, agent atomic.Value
	s := serve(t, func(conn net.Conn, r *http.Request, _ int) bool {
		target.Store(r.RequestURI)
		agent.Store(r.Header.Get("User-Agent") + r.Header.Get("Accept-Encoding"))
		_, _ = io.WriteString(conn, answer(r.Header.Get("Request-Id"), "body"))
		return true
	})
	c := newTestClient(t)
	for i := range 5 {
		status, _, body, err := c.Call(t.Context(), s.server(), get(fmt.Sprint("r", i)), time.Second, 100)
		if err != nil || status != 200 || string(body) != "body" {
			t.Fatalf("call %d: %d %q %v", i, status, body, err)
		}
	}
	if n := s.connections.Load(); n != 1 {
		t.Errorf("%d connections for 5 requests", n)
	}
	if target.Load() != "/x?y=1" || agent.Load() != "" {
		t.Errorf("sent target %q, added headers %q", target.Load(), agent.Load())
	}
}

func TestNothingSentIsProvedOnlyWithoutAConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	c := newTestClient(t)
	_, err = c.Do(t.Context(), Server{Name: "s", Address: address}, get("a"))
	var failed *Error
	if !errors.As(err, &failed) || failed.Sent {
		t.Errorf("a refused connection gave %v", err)
	}
	s := serve(t, func(net.Conn, *http.Request, int) bool { return false })
	_, err = c.Do(t.Context(), s.server(), get("a"))
	if !errors.As(err, &failed) || !failed.Sent {
		t.Errorf("a connection that closed without an answer gave %v", err)
	}
}

// TestKeptConnectionThatServerClosedCostsNoRequest: a GET on a dead kept connection must
// not be repeated unseen, but be sent on a new one at once.
func TestKeptConnectionThatServerClosedCostsNoRequest(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *http.Request, number int) bool {
		_, _ = io.WriteString(conn, answer(r.Header.Get("Request-Id"), "x"))
		return number < 1
	})
	c := newTestClient(t)
	for i := range 4 {
		if _, _, _, err := c.Call(t.Context(), s.server(), get(fmt.Sprint(i)), time.Second, 10); err != nil {
			t.Fatalf("call %d: %v", i, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestAnswerToAnotherRequestIsPassedOver(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, answer("other", "wrong"))
		_, _ = io.WriteString(conn, answer(r.Header.Get("Request-Id"), "right"))
		return true
	})
	c := newTestClient(t)
	_, _, body, err := c.Call(t.Context(), s.server(), get("mine"), time.Second, 100)
	if err != nil || string(body) != "right" {
		t.Errorf("got %q, %v", body, err)
	}
	if c.Stats.Foreign.Load() != 1 {
		t.Errorf("%d foreign answers were counted", c.Stats.Foreign.Load())
	}
}

// TestLateSecondAnswerIsNeverDelivered: bytes that come after a whole answer end the
// connection's use, also when they come while it is unused.
func TestLateSecondAnswerIsNeverDelivered(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *http.Request, number int) bool {
		id := r.Header.Get("Request-Id")
		_, _ = io.WriteString(conn, answer(id, "own "+id))
		if number == 1 {
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(conn, answer(id, "again"))
		}
		return true
	})
	c := newTestClient(t)
	for _, id := range []string{"a", "b"} {
		_, _, body, err := c.Call(t.Context(), s.server(), get(id), time.Second, 100)
		if err != nil || string(body) != "own "+id {
			t.Errorf("%s got %q, %v", id, body, err)
		}
		time.Sleep(30 * time.Millisecond)
	}
}

func TestCutAnswersAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 10\r\n\r\nshort",
		"chunks":  "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"no http": "\x00\x01 nonsense\r\n\r\n",
	} {
		s := serve(t, func(conn net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(conn, text)
			return false
		})
		if _, _, body, err := newTestClient(t).Call(t.Context(), s.server(), get("a"), time.Second, 100); err == nil {
			t.Errorf("%s: %q was taken for whole", name, body)
		}
	}
}

func TestAnswerBeforeALongBodyWasRead(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, answer(r.Header.Get("Request-Id"), "early"))
		time.Sleep(300 * time.Millisecond)
		return false
	})
	c := newTestClient(t)
	request := get("long")
	request.Method, request.Body = http.MethodPost, []byte(strings.Repeat("b", 8<<20))
	_, _, body, err := c.Call(t.Context(), s.server(), request, 5*time.Second, 100)
	if err != nil || string(body) != "early" {
		t.Fatalf("got %q, %v", body, err)
	}
	c.mu.Lock()
	kept := len(c.idle[s.server()])
	c.mu.Unlock()
	if kept != 0 {
		t.Error("a connection whose request isn't written whole is kept")
	}
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	s := serve(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	if _, err := newTestClient(t).Do(ctx, s.server(), get("a")); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the server wasn't told")
	}
}

func TestEventsAreWholeAndUnchanged(t *testing.T) {
	body := "id: 4\nevent: x\ndata: {\"a\": 1}\n\nweight: 3\r\nid:5\r\ndata: b\r\n\r\n"
	r := newEventReader(strings.NewReader(body + "id: 6\ndata: cu"))
	var got strings.Builder
	var ids []int64
	for {
		data, id, err := r.next()
		if err != nil {
			if !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("a cut event gave %v", err)
			}
			break
		}
		got.Write(data)
		ids = append(ids, id)
	}
	if got.String() != body {
		t.Errorf("events were changed: %q", got.String())
	}
	if fmt.Sprint(ids) != "[4 5]" {
		t.Errorf("ids %v", ids)
	}
	if _, _, err := newEventReader(strings.NewReader("")).next(); !errors.Is(err, io.EOF) {
		t.Errorf("the end of a whole stream gave %v", err)
	}
}

func TestConnectionIsRetiredBeforeTheServerClosesIt(t *testing.T) {
	c := newTestClient(t)
	if keep := c.keepFor(http.Header{"Keep-Alive": {"timeout=3, max=9"}}); keep <= 0 || keep >= 3*time.Second {
		t.Errorf("kept for %v of 3 s", keep)
	}
	if keep := c.keepFor(http.Header{}); keep != DefaultIdleTimeout {
		t.Errorf("kept for %v without a word of the server", keep)
	}
}
