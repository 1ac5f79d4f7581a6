package operatorapi

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"limpethub/internal/lab/fixedanswer"
)

// TestInvalidStatusIsNoSuccess guards against a drain or a release that counts as done, though the answer has a status that
// no final answer has.
func TestInvalidStatusIsNoSuccess(t *testing.T) {
	for _, status := range []string{"000", "099", "304", "600", "999"} {
		s, err := fixedanswer.Listen(fixedanswer.Options{Answer: fmt.Sprintf("HTTP/1.1 %s Odd\r\nContent-Length: 2\r\n\r\n{}", status)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		c := NewClient("http://"+s.Address(), "", http.DefaultClient)
		if err := c.Drain(t.Context(), "a"); err == nil {
			t.Errorf("status %s: a drain counts as begun", status)
		}
		var unreachable *UnreachableError
		if err := c.Release(t.Context(), "a"); !errors.As(err, &unreachable) || !unreachable.Sent {
			t.Errorf("status %s: got error %v, want one that says that the request may have been carried out", status, err)
		}
	}
}
