package peerrelay

import (
	"bufio"
	"bytes"
	"testing"

	"limpethub/internal/verdict"
)

// TestInvalidStatusOfAPeersAnswerIsABrokenAnswer guards against a server's status that no answer has, and that a peer of an
// earlier build passes on.
func TestInvalidStatusOfAPeersAnswerIsABrokenAnswer(t *testing.T) {
	for _, status := range []int{-1, 0, 99, 101, 600, 999} {
		var out bytes.Buffer
		if err := writeMessage(&out, frameHead, answerHead{Status: status}); err != nil {
			t.Fatal(err)
		}
		a := &peerAnswer{peer: "p", reader: bufio.NewReader(&out)}
		if err := a.readHead(); err == nil || verdict.Of(err) != verdict.MayHaveRun {
			t.Errorf("status %d: got %v, want an error of a request that may have run", status, err)
		}
	}
}
