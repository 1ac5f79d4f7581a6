package httpengine_test

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/engine/httpengine"
	"limpethub/internal/lab/fixedanswer"
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

func listen(t *testing.T, options fixedanswer.Options) *fixedanswer.Server {
	t.Helper()
	s, err := fixedanswer.Listen(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}
