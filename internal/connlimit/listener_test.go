package connlimit

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// serveLimited serves on a free port with one connection, and returns its address. Requests of the path /slow wait for release.
func serveLimited(t *testing.T, release <-chan struct{}) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.URL.Path == "/slow" {
			<-release
		}
		if r.Context().Err() != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})}
	limited := Attach(server, l, Options{Name: "test", MaxConnections: 1})
	go func() { _ = server.Serve(limited) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// statusFrom reads an answer; 0 if there is none.
func statusFrom(c net.Conn) int {
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

const wholeRequestText = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestNewCallerIsServedBesideOneThatSendsNothingMore covers what a connection may wait for when it yields.
func TestNewCallerIsServedBesideOneThatSendsNothingMore(t *testing.T) {
	for _, form := range []struct {
		name, sent string
		status     int
	}{
		{"nothing", "", 0},
		{"half a head", "GET / HTTP/1.1\r\nHo", 0},
		{"half a body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf", http.StatusServiceUnavailable},
		{"half a chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nha", http.StatusServiceUnavailable},
	} {
		t.Run(form.name, func(t *testing.T) {
			address := serveLimited(t, nil)
			first := dial(t, address)
			send(t, first, form.sent)
			time.Sleep(2 * grace)
			second := dial(t, address)
			send(t, second, wholeRequestText)
			if status := statusFrom(second); status != http.StatusOK {
				t.Errorf("the new caller got status %d, want 200", status)
			}
			if status := statusFrom(first); status != form.status {
				t.Errorf("the one that yields got status %d, want %d", status, form.status)
			}
		})
	}
}

// TestKeptConnectionYieldsAfterItsAnswer: a kept connection without a request yields, and one with a request doesn't.
func TestKeptConnectionYieldsAfterItsAnswer(t *testing.T) {
	release := make(chan struct{})
	address := serveLimited(t, release)
	first := dial(t, address)
	send(t, first, strings.Replace(wholeRequestText, " / ", " /slow ", 1))
	time.Sleep(2 * grace)
	if status := statusFrom(dial(t, address)); status != 0 {
		t.Errorf("a new caller got status %d beside a request in progress, want a close", status)
	}
	close(release)
	if status := statusFrom(first); status != http.StatusOK {
		t.Errorf("the request in progress got status %d, want 200", status)
	}
	time.Sleep(2 * grace)
	third := dial(t, address)
	send(t, third, wholeRequestText)
	if status := statusFrom(third); status != http.StatusOK {
		t.Errorf("a new caller got status %d beside a kept connection, want 200", status)
	}
}

// TestRefusalOfABodyThatWaitsForA100IsAnswered guards against a server that waits, before its answer, for a body that the handler doesn't
// want and that its caller only sends once it is told to.
func TestRefusalOfABodyThatWaitsForA100IsAnswered(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.NotFoundHandler()}
	limited := Attach(server, l, Options{Name: "test", MaxConnections: 1})
	go func() { _ = server.Serve(limited) }()
	t.Cleanup(func() { _ = server.Close() })
	c := dial(t, l.Addr().String())
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	send(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\nExpect: 100-continue\r\n\r\n")
	if status := statusFrom(c); status != http.StatusNotFound {
		t.Errorf("got status %d, want 404", status)
	}
}

// TestConnectionCanBeReset guards against a stream that breaks off and looks complete to a caller of HTTP/1.0.
func TestConnectionCanBeReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limited := Wrap(l, Options{Name: "test", MaxConnections: 1, Observer: noObserver{}})
	t.Cleanup(func() { _ = limited.Close() })
	client := dial(t, l.Addr().String())
	accepted, err := limited.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := accepted.(*Conn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	_ = accepted.Close()
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %v, want a reset", err)
	}
}
