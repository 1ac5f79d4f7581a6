package httplist_test

import (
	"fmt"
	"testing"

	"limpethub/internal/instancelist/httplist"
	"limpethub/internal/lab/fixedanswer"
)

// TestOnlyStatus200HasAList guards against a list that is taken from an answer of a service in trouble.
func TestOnlyStatus200HasAList(t *testing.T) {
	for _, status := range []string{"000", "099", "204", "304", "500", "600", "999"} {
		s, err := fixedanswer.Listen(fixedanswer.Options{Answer: fmt.Sprintf("HTTP/1.1 %s Odd\r\nContent-Length: 16\r\n\r\n{\"instances\":[]}", status)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		lister, err := httplist.New(httplist.Options{Address: s.Address()})
		if err != nil {
			t.Fatal(err)
		}
		if got, err := lister.List(t.Context()); err == nil {
			t.Errorf("status %s: got the list %v, want an error", status, got)
		}
	}
}
