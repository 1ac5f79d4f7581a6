package rawhttp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// strayAnswers are answers that a faulty server has given before and writes once more. The format's argument is the id of
// the earlier request.
var strayAnswers = map[string]string{
	"refusal":               "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nRetry-After: 0.2\r\nContent-Length: 4\r\n\r\nfull",
	"refusal, id last":      "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 4\r\nRequest-Id: %s\r\n\r\nfull",
	"misdirected":           "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n",
	"success with its seal": "HTTP/1.1 200 OK\r\nResponse-Seal: 3e1b\r\nRequest-Id: %s\r\nContent-Length: 3\r\n\r\nold",
}

// callTwice sends two requests on one connection. Before it answers the second one, the server writes a text.
func callTwice(t *testing.T, second *Request, text string) (status int, body string, err error) {
	t.Helper()
	s := serve(t, func(conn net.Conn, r *http.Request, number int) bool {
		if number == 2 {
			_, _ = io.WriteString(conn, text)
		}
		own := "HTTP/1.1 200 OK\r\n"
		if id := r.Header.Get("Request-Id"); id != "" {
			own += "Request-Id: " + id + "\r\n"
		}
		_, _ = io.WriteString(conn, own+"Content-Length: 3\r\n\r\nown")
		return number < 2
	})
	c := newTestClient(t)
	if _, _, _, err := c.Call(t.Context(), s.server(), getRequest("earlier"), time.Second, 100); err != nil {
		t.Fatal(err)
	}
	status, _, data, err := c.Call(t.Context(), s.server(), second, time.Second, 100)
	return status, string(data), err
}

// TestEarlierAnswerOnAKeptConnectionIsNeverTheNextOne guards against a caller who is told "not run, try again" for a request
// that runs, as the server writes an earlier answer once more, or its first part, before the answer. The second call of
// a row names no id, as orders and reports don't.
func TestEarlierAnswerOnAKeptConnectionIsNeverTheNextOne(t *testing.T) {
	for name, format := range strayAnswers {
		stray := fmt.Sprintf(format, "earlier")
		for end := 1; end <= len(stray); end++ {
			for _, id := range []string{"next", ""} {
				request := getRequest(id)
				if id == "" {
					request.Header = http.Header{}
				}
				status, body, err := callTwice(t, request, stray[:end])
				var failed *Error
				if isOwn := err == nil && status == 200 && body == "own"; !isOwn && !(errors.As(err, &failed) && failed.Sent) {
					t.Errorf("%s, %d of %d bytes, id %q: got %d %q %v, want the request's own answer or an error that says that it was sent", name, end, len(stray), id, status, body, err)
				}
			}
		}
	}
}

// TestEarlierRefusalOfTheSameRequestIsNotItsAnswer guards against a second attempt of a request that is told "not run"
// although it runs, since the server writes the refusal of the first attempt, which has the same id, once more.
func TestEarlierRefusalOfTheSameRequestIsNotItsAnswer(t *testing.T) {
	var arrived atomic.Int64
	refusal := fmt.Sprintf(strayAnswers["refusal"], "same")
	s := serve(t, func(conn net.Conn, _ *http.Request, number int) bool {
		if arrived.Add(1) == 1 {
			_, _ = io.WriteString(conn, refusal)
			return true
		}
		if number > 1 {
			_, _ = io.WriteString(conn, refusal)
		}
		_, _ = io.WriteString(conn, answer("same", "ran"))
		return true
	})
	c := newTestClient(t)
	for _, want := range []int{503, 200} {
		status, _, _, err := c.Call(t.Context(), s.server(), getRequest("same"), time.Second, 100)
		if err != nil || status != want {
			t.Errorf("got %d, %v, want %d", status, err, want)
		}
	}
	if _, _, _, err := c.Call(t.Context(), s.server(), getRequest("other"), time.Second, 100); err == nil && s.connections.Load() > 2 {
		t.Errorf("%d connections for three requests, want the kept ones to be used for other requests", s.connections.Load())
	}
}
