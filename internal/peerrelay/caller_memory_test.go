package peerrelay

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"limpethub/internal/callerload"
	"limpethub/internal/engine"
	"limpethub/internal/forward"
	"limpethub/internal/verdict"
)

// TestBodiesOfPeersDrawOnTheMemoryForCallers guards against bodies that peers pass on and that no bound counts beside those of this
// instance's own callers.
func TestBodiesOfPeersDrawOnTheMemoryForCallers(t *testing.T) {
	budget := callerload.New(callerload.Options{Limit: 1 << 20, Now: time.Now})
	server := newServer(nil, func(_ context.Context, _ Request, sink forward.AnswerSink) error {
		return sink.WholeAnswer(&engine.AnswerHead{Status: 200}, nil)
	})
	server.options.CallerLoad = budget
	client, _ := newClient(map[string]*Server{"p": server})
	_, _, _, err := client.PassOn(t.Context(), passedOn(strings.Repeat("x", 1<<20)), nil)
	var refused *verdict.Error
	if !errors.As(err, &refused) || refused.Verdict != verdict.NotRun || refused.Code != verdict.CodePeerBusy {
		t.Errorf("a body that doesn't fit got %v, want the refusal of a busy peer", err)
	}
	// The first client leaves a busy peer alone for a while.
	other, _ := newClient(map[string]*Server{"p": server})
	answer, _, _, err := other.PassOn(t.Context(), passedOn(strings.Repeat("x", 1<<19)), nil)
	if err != nil {
		t.Fatalf("a body that fits got %v", err)
	}
	answer.Close()
	for end := time.Now().Add(5 * time.Second); budget.Held() != 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	if held := budget.Held(); held != 0 {
		t.Errorf("%d bytes are held after the answers, want none", held)
	}
}

// TestAnswersOfPeersDrawOnTheMemoryForCallers guards against answers that a peer passes back, or that this instance holds for a peer, and
// that no bound counts.
func TestAnswersOfPeersDrawOnTheMemoryForCallers(t *testing.T) {
	const limit, answerBytes = 1 << 20, 1 << 21
	here := callerload.New(callerload.Options{Limit: limit, Now: time.Now})
	there := callerload.New(callerload.Options{Limit: limit, Now: time.Now})
	var chargedThere error
	server := newServer(nil, func(_ context.Context, r Request, sink forward.AnswerSink) error {
		chargedThere = r.Account.Charge(answerBytes)
		return sink.WholeAnswer(&engine.AnswerHead{Status: 200}, make([]byte, answerBytes))
	})
	server.options.CallerLoad = there
	client, _ := newClient(map[string]*Server{"p": server})
	p := passedOn("x")
	p.Call.Account = here.Open(func(callerload.Yield) {})
	p.Call.Account.EndBody()
	answer, _, _, err := client.PassOn(t.Context(), p, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Close()
	if _, err := answer.Body(); !errors.Is(err, callerload.ErrNoRoom) {
		t.Errorf("an answer of %d bytes beside a bound of %d gave %v, want %v", answerBytes, limit, err, callerload.ErrNoRoom)
	}
	if !errors.Is(chargedThere, callerload.ErrNoRoom) {
		t.Errorf("at the peer: %v, want %v", chargedThere, callerload.ErrNoRoom)
	}
}
