package httpengine_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/engine/httpengine"
	"limpethub/internal/lab/standin"
	"limpethub/internal/lab/standin/modelengine"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

const testModel = "m@1"

// newServer starts a simulated model engine that holds the test model.
func newServer(t *testing.T, change func(*modelengine.Options)) (*modelengine.Engine, *standin.Host) {
	t.Helper()
	o := modelengine.Options{
		Name: "s1", MemoryMB: 1000, StepTime: time.Millisecond, PrefillPerSecond: 1e6,
		MaxBatch: 8, MaxWaiting: 8, PrefixBlocks: 64,
	}
	if change != nil {
		change(&o)
	}
	server := modelengine.New(o)
	if err := server.Preload(testModel, "", 400); err != nil {
		t.Fatal(err)
	}
	host, err := standin.Listen(server.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Kill)
	return server, host
}

func completionCall(id request.ID, tokens int) engine.Call {
	return engine.Call{
		Request: request.Request{ID: id, Deadline: time.Now().Add(time.Minute)},
		Method:  http.MethodPost,
		Path:    "/v1/completions",
		Header:  http.Header{"Content-Type": {"application/json"}},
		Body:    fmt.Appendf(nil, `{"model":%q,"prompt":"p","max_tokens":%d}`, testModel, tokens),
	}
}

func serverAt(address string) engine.Server { return engine.Server{Name: "s1", Address: address} }

// readAllEvents reads a stream to its end and returns the concatenated data of its events.
func readAllEvents(s engine.Stream) (string, error) {
	var text strings.Builder
	for {
		event, err := s.Next()
		if err != nil {
			return text.String(), err
		}
		if event.End {
			return text.String(), s.Close()
		}
		text.Write(event.Data)
	}
}

// checkAnswer fails the test unless text holds the tokens of the request's answer from offset
// `from` to the last one, and none before. tokens is the number of tokens in the whole answer.
func checkAnswer(t *testing.T, text string, id request.ID, from, tokens int) {
	t.Helper()
	for offset := range tokens {
		if want := offset >= from; strings.Contains(text, `"`+modelengine.Token(id, offset)+`"`) != want {
			t.Fatalf("token at offset %d present: got %v, want %v, in %q", offset, !want, want, text)
		}
	}
}

func wantVerdict(t *testing.T, err error, v verdict.Verdict, code verdict.Code) {
	t.Helper()
	var e *verdict.Error
	if !errors.As(err, &e) {
		t.Fatalf("got error %v, want a *verdict.Error", err)
	}
	if e.Verdict != v || e.Code != code {
		t.Fatalf("got %v %s (%v), want %v %s", e.Verdict, e.Code, err, v, code)
	}
}

// The id has a slash and a space: it must be escaped in the path of a state query, and an event's
// id must be split from the offset at the last slash.
func TestGenerateStreamsWholeAnswer(t *testing.T) {
	_, host := newServer(t, nil)
	adapter := httpengine.New(httpengine.Options{})
	s, err := adapter.Generate(context.Background(), serverAt(host.Address()), completionCall("a/b c", 20))
	if err != nil {
		t.Fatal(err)
	}
	text, err := readAllEvents(s)
	if err != nil {
		t.Fatal(err)
	}
	checkAnswer(t, text, "a/b c", 0, 20)
	state, err := adapter.State(context.Background(), serverAt(host.Address()), "a/b c")
	if err != nil || state != engine.RunDone {
		t.Fatalf("state %q, %v, want done", state, err)
	}
}

func TestResumeContinuesSameRun(t *testing.T) {
	server, host := newServer(t, nil)
	adapter := httpengine.New(httpengine.Options{})
	s, err := adapter.Generate(context.Background(), serverAt(host.Address()), completionCall("r1", 30))
	if err != nil {
		t.Fatal(err)
	}
	for range 5 {
		if _, err := s.Next(); err != nil {
			t.Fatal(err)
		}
	}
	_ = s.Close()
	s, err = adapter.Resume(context.Background(), serverAt(host.Address()), "r1", 4)
	if err != nil {
		t.Fatal(err)
	}
	text, err := readAllEvents(s)
	if err != nil {
		t.Fatal(err)
	}
	checkAnswer(t, text, "r1", 5, 30)
	if runs := server.Runs("r1"); runs != 1 {
		t.Fatalf("%d runs, want 1", runs)
	}
}

func TestCancelEndsRun(t *testing.T) {
	_, host := newServer(t, nil)
	adapter := httpengine.New(httpengine.Options{})
	s, err := adapter.Generate(context.Background(), serverAt(host.Address()), completionCall("c1", 1_000_000))
	if err != nil {
		t.Fatal(err)
	}
	if err := adapter.Cancel(context.Background(), serverAt(host.Address()), "c1"); err != nil {
		t.Fatal(err)
	}
	_, err = readAllEvents(s)
	if err == nil {
		t.Fatal("the stream of a canceled run ended like a complete answer")
	}
	state, err := adapter.State(context.Background(), serverAt(host.Address()), "c1")
	if err != nil || state != engine.RunCanceled {
		t.Fatalf("state %q, %v, want canceled", state, err)
	}
}

func TestOrdersAreFencedAndNeedToken(t *testing.T) {
	_, host := newServer(t, func(o *modelengine.Options) {
		o.HonoursFencing = true
		o.OrderToken = "secret"
	})
	ctx := context.Background()
	adapter := httpengine.New(httpengine.Options{OrderToken: "secret"})
	order := engine.Order{ID: "o1", Fence: 5, Action: engine.ActionLoad, Ref: "n@1", MemoryMB: 300}
	if err := adapter.Submit(ctx, serverAt(host.Address()), order); err != nil {
		t.Fatal(err)
	}
	var stale *engine.StaleFenceError
	err := adapter.Submit(ctx, serverAt(host.Address()), engine.Order{ID: "o2", Fence: 4, Action: engine.ActionFence})
	if !errors.As(err, &stale) || stale.HighestFence != 5 {
		t.Fatalf("order with an old fencing number: %v, want StaleFenceError with Seen 5", err)
	}
	// Without the token, an order with a sufficient fencing number is refused too.
	withoutToken := httpengine.New(httpengine.Options{})
	err = withoutToken.Submit(ctx, serverAt(host.Address()), engine.Order{ID: "o3", Fence: 6, Action: engine.ActionFence})
	if err == nil || errors.As(err, &stale) && stale.HighestFence == 6 {
		t.Fatalf("order without the token: %v, want an error that doesn't say that fencing number 6 was received", err)
	}
	inventory, err := adapter.Inventory(ctx, serverAt(host.Address()))
	if err != nil {
		t.Fatal(err)
	}
	if inventory.Fence != 5 || len(inventory.Orders) != 1 || len(inventory.Holdings) != 2 {
		t.Fatalf("inventory %+v, want fence 5, 1 order, 2 holdings", inventory)
	}
}

func TestLeavingServerRefuses(t *testing.T) {
	server, host := newServer(t, nil)
	server.SetLeaving(true)
	adapter := httpengine.New(httpengine.Options{})
	_, err := adapter.Generate(context.Background(), serverAt(host.Address()), completionCall("l1", 3))
	wantVerdict(t, err, verdict.NotRun, verdict.CodeServerRefused)
	if !engine.IsLeaving(err) {
		t.Fatalf("got %v, want a refusal with the reason leaving", err)
	}
	if runs := server.Runs("l1"); runs != 0 {
		t.Fatalf("%d runs, want 0", runs)
	}
}

// The server has no record of the run, which may be because of a restart, so it may have run.
func TestResumeOfUnknownRunMayHaveRun(t *testing.T) {
	_, host := newServer(t, nil)
	adapter := httpengine.New(httpengine.Options{})
	_, err := adapter.Resume(context.Background(), serverAt(host.Address()), "nobody", -1)
	wantVerdict(t, err, verdict.MayHaveRun, verdict.CodeRunUnknown)
}
