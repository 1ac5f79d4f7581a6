package httpengine_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/engine/httpengine"
	"limpethub/internal/lab/fixedanswer"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// TestInvalidStatusIsABrokenConnection guards against a status that no final answer has, and that counts as a caller's answer, or as the
// success of a cancel or an order.
func TestInvalidStatusIsABrokenConnection(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		s := listen(t, fixedanswer.Options{Answer: fmt.Sprintf(
			"HTTP/1.1 %s Odd\r\n%s: a\r\n%s: busy\r\nContent-Length: 2\r\n\r\n{}", status, httpengine.HeaderRequestID, httpengine.HeaderNotRun)})
		e := httpengine.New(httpengine.Options{SilentAfter: time.Minute})
		server := serverAt(s.Address())
		calls := map[string]func() error{
			"invoke":   func() error { _, err := e.Invoke(t.Context(), server, formCall("a")); return err },
			"generate": func() error { _, err := e.Generate(t.Context(), server, completionCall("a", 1)); return err },
			"state":    func() error { _, err := e.State(t.Context(), server, "a"); return err },
			"cancel":   func() error { return e.Cancel(t.Context(), server, "a") },
			"order":    func() error { return e.Submit(t.Context(), server, engine.Order{}) },
		}
		for what, call := range calls {
			if err := call(); err == nil || verdictOf(err) != verdict.MayHaveRun {
				t.Errorf("%s, status %s: got %v, want an error of what may have run", what, status, err)
			}
		}
	}
}

// TestResetAnswerWithoutLengthIsNeverWhole guards against a reset that only the sending of a long request notices: the reader of the answer then
// sees its end, as if the server had closed the connection after the last byte.
func TestResetAnswerWithoutLengthIsNeverWhole(t *testing.T) {
	const longBodyBytes = 16 << 20
	for _, delay := range []time.Duration{0, 2 * time.Millisecond, 40 * time.Millisecond} {
		s := listen(t, fixedanswer.Options{
			Answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part", Unread: true,
			End: func(connection *net.TCPConn) {
				time.Sleep(delay)
				_ = connection.SetLinger(0)
				_ = connection.Close()
			},
		})
		e := httpengine.New(httpengine.Options{SilentAfter: time.Minute})
		for n := range 20 {
			call := engine.Call{
				Request: request.Request{ID: request.ID(fmt.Sprint(n))}, Method: http.MethodPost, Path: "/forms", Header: http.Header{},
				Body: []byte(strings.Repeat("x", longBodyBytes)),
			}
			if answer, err := e.Invoke(t.Context(), serverAt(s.Address()), call); err == nil {
				t.Errorf("reset after %v: got status %d with the body %q, want an error", delay, answer.Status, answer.Body)
			}
		}
	}
}

func listen(t *testing.T, options fixedanswer.Options) *fixedanswer.Server {
	t.Helper()
	s, err := fixedanswer.Listen(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}
