package drain

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"limpethub/internal/callerload"
)

// TestUnreadAnswerEndsWhenItYields guards against an answer that goes on waiting for a client which doesn't read, though its memory is needed
// for others.
func TestUnreadAnswerEndsWhenItYields(t *testing.T) {
	const answerBytes = 16 << 20
	budget := callerload.New(callerload.Options{Limit: 2 * answerBytes, Now: time.Now})
	ended := make(chan error, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account := ClientOf(r.Context()).Account()
		account.EndBody()
		if err := account.Charge(answerBytes); err != nil {
			t.Error(err)
		}
		account.BeginAnswer()
		_, err := w.Write(make([]byte, answerBytes))
		ended <- err
	}))
	var conns Conns
	conns.SetBudget(budget)
	server.Listener = conns.Attach(server.Config, server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1200 * time.Millisecond) // After a second the caller isn't new.
	other := budget.Open(func(callerload.Yield) {})
	defer other.Close()
	other.EndBody()
	if err := other.Charge(answerBytes); err != nil {
		t.Errorf("an answer beside one that isn't read: %v", err)
	}
	select {
	case err := <-ended:
		if err == nil {
			t.Error("the answer that isn't read was written, want an error")
		}
	case <-time.After(5 * time.Second):
		t.Error("the answer that isn't read hasn't ended")
	}
}
