package etcdstore_test

import (
	"errors"
	"fmt"
	"testing"

	"limpethub/internal/lab/fixedanswer"
	"limpethub/internal/store"
	"limpethub/internal/store/etcdstore"
)

// TestInvalidStatusSaysNothingOfAWrite guards against a write that counts as done or refused because of an answer whose status no
// final answer has.
func TestInvalidStatusSaysNothingOfAWrite(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		for _, body := range []string{`{"succeeded":true}`, `{"succeeded":false}`, `{"code":5}`, `{"code":8}`} {
			server, err := fixedanswer.Listen(fixedanswer.Options{Answer: fmt.Sprintf("HTTP/1.1 %s Odd\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Close)
			s, err := etcdstore.New(etcdstore.Options{Endpoints: []string{server.Address()}})
			if err != nil {
				t.Fatal(err)
			}
			_, err = s.CompareAndSwap(t.Context(), "a", nil, 1, 0)
			for _, refused := range []error{store.ErrConflict, store.ErrLeaseLost, store.ErrThrottled, store.ErrNotFound} {
				if err == nil || errors.Is(err, refused) {
					t.Errorf("status %s, body %s: got error %v, want one that leaves it open", status, body, err)
				}
			}
		}
	}
}
