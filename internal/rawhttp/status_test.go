package rawhttp

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"limpethub/internal/lab/fixedanswer"
)

// TestInvalidStatusIsABrokenConnection guards against a status that no final answer has, and that a caller gets as an answer (600, 999) or
// that lets a caller wait for another one (000, 099), while the connection stays open.
func TestInvalidStatusIsABrokenConnection(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "600", "999"} {
		for framing, body := range map[string]string{
			"length": "Content-Length: 2\r\n\r\nok", "chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "none": "\r\nok",
		} {
			t.Run(status+" "+framing, func(t *testing.T) {
				s, err := fixedanswer.Listen(fixedanswer.Options{Answer: fmt.Sprintf("HTTP/1.1 %s Odd\r\nRequest-Id: a\r\n%s", status, body)})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(s.Close)
				began := time.Now()
				_, _, _, err = newTestClient(t).Call(t.Context(), Server{Name: "s", Address: s.Address()}, getRequest("a"), 2*time.Second, 1<<10)
				var failed *Error
				if !errors.As(err, &failed) || !failed.Sent {
					t.Errorf("got error %v, want one of a request that was sent", err)
				}
				if took := time.Since(began); took > time.Second {
					t.Errorf("it took %v, want the error at once", took)
				}
			})
		}
	}
}
