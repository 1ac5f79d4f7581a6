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

// scripted is a server whose answers are written byte for byte by a test.
type scripted struct {
	listener    net.Listener
	connections atomic.Int64
}

// serve starts a server that calls the script for each request with the connection, the
// request and its number on the connection. The connection is closed if the script returns
// false.
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
		// Longer bodies stay unread, so that a script can answer before the request is fully
		// sent; see TestAnswerBeforeLongBodyIsRead.
		if request.ContentLength <= maxSyncWriteBytes {
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

func getRequest(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/x?y=1", Host: "h", ID: id, Header: http.Header{"Request-Id": {id}}}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestConnectionIsReusedAndRequestIsSentUnchanged(t *testing.T) {
	var target, addedHeaders atomic.Value
	s := serve(t, func(conn net.Conn, r *http.Request, _ int) bool {
		target.Store(r.RequestURI)
		addedHeaders.Store(r.Header.Get("User-Agent") + r.Header.Get("Accept-Encoding"))
		_, _ = io.WriteString(conn, answer(r.Header.Get("Request-Id"), "body"))
		return true
	})
	c := newTestClient(t)
	for i := range 5 {
		status, _, body, err := c.Call(t.Context(), s.server(), getRequest(fmt.Sprint("r", i)), time.Second, 100)
		if err != nil || status != 200 || string(body) != "body" {
			t.Fatalf("call %d: got %d %q %v, want 200 with body", i, status, body, err)
		}
	}
	if n := s.connections.Load(); n != 1 {
		t.Errorf("got %d connections for 5 requests, want 1", n)
	}
	if target.Load() != "/x?y=1" || addedHeaders.Load() != "" {
		t.Errorf("server got target %q, added headers %q; want the target as given and no added headers", target.Load(), addedHeaders.Load())
	}
}

func TestSentTellsRefusedConnectionFromLostAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	c := newTestClient(t)
	_, err = c.Do(t.Context(), Server{Name: "s", Address: address}, getRequest("a"))
	var failed *Error
	if !errors.As(err, &failed) || failed.Sent {
		t.Errorf("refused connection: got %v, want an *Error with Sent false", err)
	}
	s := serve(t, func(net.Conn, *http.Request, int) bool { return false })
	_, err = c.Do(t.Context(), s.server(), getRequest("a"))
	if !errors.As(err, &failed) || !failed.Sent {
		t.Errorf("connection closed without an answer: got %v, want an *Error with Sent true", err)
	}
}

// TestConnectionClosedByServerWhileIdleFailsNoRequest guards against sending a request on an
// idle connection that the server has closed. Such a request would fail as possibly sent;
// it must go out on a new connection instead.
func TestConnectionClosedByServerWhileIdleFailsNoRequest(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *http.Request, number int) bool {
		_, _ = io.WriteString(conn, answer(r.Header.Get("Request-Id"), "x"))
		// The number is at least 1, so the connection is closed after each answer.
		return number < 1
	})
	c := newTestClient(t)
	for i := range 4 {
		if _, _, _, err := c.Call(t.Context(), s.server(), getRequest(fmt.Sprint(i)), time.Second, 10); err != nil {
			t.Fatalf("call %d: got %v, want success on a new connection", i, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, answer("other", "wrong"))
		_, _ = io.WriteString(conn, answer(r.Header.Get("Request-Id"), "right"))
		return true
	})
	c := newTestClient(t)
	_, _, body, err := c.Call(t.Context(), s.server(), getRequest("mine"), time.Second, 100)
	if err != nil || string(body) != "right" {
		t.Errorf("got %q, %v; want the answer with the request's ID", body, err)
	}
	if c.Stats.ForeignAnswers.Load() != 1 {
		t.Errorf("got %d foreign answers counted, want 1", c.Stats.ForeignAnswers.Load())
	}
}

// TestLateSecondAnswerIsNeverDelivered guards against bytes that arrive after a complete
// answer, even on an idle connection, being read as the answer to the next request. The
// connection must not be reused.
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
		_, _, body, err := c.Call(t.Context(), s.server(), getRequest(id), time.Second, 100)
		if err != nil || string(body) != "own "+id {
			t.Errorf("request %s: got %q, %v; want its own answer", id, body, err)
		}
		time.Sleep(30 * time.Millisecond)
	}
}

func TestTruncatedOrMalformedAnswersAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 10\r\n\r\nshort",
		"chunks":   "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"not HTTP": "\x00\x01 nonsense\r\n\r\n",
	} {
		s := serve(t, func(conn net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(conn, text)
			return false
		})
		if _, _, body, err := newTestClient(t).Call(t.Context(), s.server(), getRequest("a"), time.Second, 100); err == nil {
			t.Errorf("%s: answer %q was returned as complete, want an error", name, body)
		}
	}
}

func TestAnswerBeforeLongBodyIsRead(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, answer(r.Header.Get("Request-Id"), "early"))
		time.Sleep(300 * time.Millisecond)
		return false
	})
	c := newTestClient(t)
	request := getRequest("long")
	request.Method, request.Body = http.MethodPost, []byte(strings.Repeat("b", 8<<20))
	_, _, body, err := c.Call(t.Context(), s.server(), request, 5*time.Second, 100)
	if err != nil || string(body) != "early" {
		t.Fatalf("got %q, %v; want the early answer", body, err)
	}
	c.mu.Lock()
	kept := len(c.idle[s.server()])
	c.mu.Unlock()
	if kept != 0 {
		t.Error("a connection with a partly written request was kept for reuse")
	}
}

func TestCanceledContextClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	s := serve(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	if _, err := newTestClient(t).Do(ctx, s.server(), getRequest("a")); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want context.Canceled", err)
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the connection wasn't closed within 1 s of the cancellation")
	}
}

func TestEventsAreCompleteAndUnchanged(t *testing.T) {
	body := "id: 4\nevent: x\ndata: {\"a\": 1}\n\nweight: 3\r\nid:5\r\ndata: b\r\n\r\n"
	r := newEventReader(strings.NewReader(body + "id: 6\ndata: cu"))
	var got strings.Builder
	var ids []int64
	for {
		data, id, err := r.next()
		if err != nil {
			if !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("truncated event: got %v, want io.ErrUnexpectedEOF", err)
			}
			break
		}
		got.Write(data)
		ids = append(ids, id)
	}
	if got.String() != body {
		t.Errorf("events were changed: got %q, want the bytes of both complete events", got.String())
	}
	if fmt.Sprint(ids) != "[4 5]" {
		t.Errorf("got ids %v, want [4 5]", ids)
	}
	if _, _, err := newEventReader(strings.NewReader("")).next(); !errors.Is(err, io.EOF) {
		t.Errorf("end of a complete stream: got %v, want io.EOF", err)
	}
}

func TestIdleConnectionExpiresBeforeServerClosesIt(t *testing.T) {
	c := newTestClient(t)
	if keep := c.keepAliveDuration(http.Header{"Keep-Alive": {"timeout=3, max=9"}}); keep <= 0 || keep >= 3*time.Second {
		t.Errorf("kept for %v, want less than the server's timeout of 3 s", keep)
	}
	if keep := c.keepAliveDuration(http.Header{}); keep != DefaultIdleTimeout {
		t.Errorf("kept for %v without a Keep-Alive header, want the default", keep)
	}
}

// TestRequestIsHeldBackOnceItsConnectionIsOpen guards against a request that reaches a server which was found to be leaving
// while the connection to it was being opened.
func TestRequestIsHeldBackOnceItsConnectionIsOpen(t *testing.T) {
	var arrived atomic.Int64
	s := serve(t, func(conn net.Conn, r *http.Request, _ int) bool {
		arrived.Add(1)
		_, _ = io.WriteString(conn, answer(r.Header.Get("Request-Id"), "body"))
		return true
	})
	c := newTestClient(t)
	leaving := errors.New("the server is leaving")
	for _, connection := range []string{"a new connection", "an idle connection"} {
		request := getRequest("held")
		request.MaySend = func() error { return leaving }
		_, err := c.Do(t.Context(), s.server(), request)
		var failed *Error
		var heldBack *HeldBackError
		if !errors.As(err, &failed) || failed.Sent || !errors.As(err, &heldBack) || !errors.Is(err, leaving) || arrived.Load() != 0 {
			t.Errorf("%s: got %v and %d requests at the server, want a HeldBackError and none", connection, err, arrived.Load())
		}
	}
	if _, _, _, err := c.Call(t.Context(), s.server(), getRequest("sent"), time.Second, 100); err != nil || s.connections.Load() != 1 {
		t.Errorf("a request that may be sent: got %v and %d connections, want an answer on the one that was kept", err, s.connections.Load())
	}
}
