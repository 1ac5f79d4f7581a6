package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/forward"
	"limpethub/internal/logging"
	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

// fakeForwarder delivers the given number of events and then returns err.
type fakeForwarder struct {
	events int
	err    error
	calls  []engine.Call
}

func (f *fakeForwarder) Stream(_ context.Context, call engine.Call, sink forward.Sink) error {
	f.calls = append(f.calls, call)
	for i := range f.events {
		data := fmt.Sprintf(`{"choices":[{"text":"w%d "}]}`, i)
		if err := sink.Event(engine.Event{Offset: i, Data: []byte(data)}); err != nil {
			return err
		}
	}
	return f.err
}

func (f *fakeForwarder) Invoke(_ context.Context, call engine.Call) (engine.Response, error) {
	f.calls = append(f.calls, call)
	return engine.Response{Status: http.StatusCreated, Header: http.Header{}, Body: []byte("done")}, f.err
}

// fakeRepeats refuses requests whose ID has already begun.
type fakeRepeats struct {
	begun map[request.ID]bool
	ended []verdict.Verdict
}

func (r *fakeRepeats) Begin(_ context.Context, req request.Request, _ string) (Claim, error) {
	if r.begun[req.ID] {
		return nil, &verdict.Error{Verdict: verdict.Ran, Code: verdict.CodeDuplicate, Message: "sent before"}
	}
	r.begun[req.ID] = true
	return r, nil
}

func (r *fakeRepeats) End(v verdict.Verdict) { r.ended = append(r.ended, v) }

type fixedConfiguration struct{ accepted *site.Accepted }

func (c fixedConfiguration) Current() (site.Accepted, bool) {
	if c.accepted == nil {
		return site.Accepted{}, false
	}
	return *c.accepted, true
}

// delayedConfiguration provides a configuration from availableFrom on.
type delayedConfiguration struct {
	availableFrom time.Time
	accepted      site.Accepted
}

func (c delayedConfiguration) Current() (site.Accepted, bool) {
	return c.accepted, !time.Now().Before(c.availableFrom)
}

// TestRequestsWaitForTheFirstConfiguration guards against refusals by an instance that
// callers learned of shortly before it had its configuration. A configuration that comes
// after ConfigurationWait must still give a refusal.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	for delay, want := range map[time.Duration]int{time.Second: http.StatusOK, time.Minute: http.StatusServiceUnavailable} {
		synctest.Test(t, func(t *testing.T) {
			g := New(Options{
				Instance: "entry-1", Forwarder: &fakeForwarder{events: 1}, Configuration: delayedConfiguration{time.Now().Add(delay), *testConfiguration()},
				Limits: Limits{BodyBytes: 1000, MaxTimeout: time.Hour, MaxRequestsInProgress: 1, ConfigurationWait: 2 * time.Second},
				Logger: logging.Discard(), Now: time.Now,
			})
			w := httptest.NewRecorder()
			g.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"m"}`)))
			if w.Code != want {
				t.Errorf("request with the configuration available after %v: got status %d, want %d", delay, w.Code, want)
			}
		})
	}
}

type fixedDirectory struct{}

func (fixedDirectory) Entries(string, string) []Entry {
	return []Entry{{Instance: "entry-1", Address: "127.0.0.1:1", FailureDomain: "a"}}
}

func testDocument() site.Document {
	return site.Document{
		Site:    "test",
		Classes: []site.Class{{Name: "urgent", TimeoutMillis: 1000, Weight: 1, QueueLimit: 1}, {Name: "batch", TimeoutMillis: 60000, Weight: 1, QueueLimit: 1}},
		Models:  []site.Model{{Name: "m", Version: "1", Default: true, MemoryMB: 1, Class: "batch"}},
		Services: []site.Service{
			{Name: "forms", Servers: []string{"s"}, Class: "urgent", IdempotentPaths: []string{"/lookup"}},
		},
	}
}

type fixture struct {
	forwarder *fakeForwarder
	repeats   *fakeRepeats
	server    *httptest.Server
}

func startGateway(t *testing.T, forwarder *fakeForwarder, accepted *site.Accepted) fixture {
	t.Helper()
	repeats := &fakeRepeats{begun: map[request.ID]bool{}}
	g := New(Options{
		Instance: "entry-1", Forwarder: forwarder, Repeats: repeats,
		Configuration: fixedConfiguration{accepted}, Directory: fixedDirectory{},
		Limits: Limits{BodyBytes: 1000, ReadTimeout: time.Minute, WriteTimeout: time.Minute, KeepAlive: time.Minute, EntriesTTL: 5 * time.Second, MaxTimeout: time.Hour, MaxRequestsInProgress: 10},
		Logger: logging.Discard(), Now: time.Now,
	})
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	return fixture{forwarder: forwarder, repeats: repeats, server: server}
}

func testConfiguration() *site.Accepted { return &site.Accepted{Revision: 1, Document: testDocument()} }

type reply struct {
	status int
	header http.Header
	body   string
}

// post sends a request to the gateway. headers are alternating names and values.
func (f fixture) post(t *testing.T, path, body string, headers ...string) reply {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, f.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: string(text)}
}

func (r reply) detail(t *testing.T) ErrorDetail {
	t.Helper()
	var body ErrorBody
	if err := json.Unmarshal([]byte(r.body), &body); err != nil {
		t.Fatalf("got body %q, want a JSON error body: %v", r.body, err)
	}
	return body.Error
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	tests := []struct {
		name, path, body string
		headers          []string
		code             verdict.Code
		status           int
	}{
		{"not JSON", "/v1/completions", "{", nil, verdict.CodeBadRequest, 400},
		{"no model", "/v1/completions", "{}", nil, verdict.CodeBadRequest, 400},
		{"unknown model", "/v1/completions", `{"model":"x"}`, nil, verdict.CodeUnknownModel, 404},
		{"unknown class", "/v1/completions", `{"model":"m"}`, []string{request.HeaderClass, "x"}, verdict.CodeUnknownClass, 400},
		{"bad timeout", "/v1/completions", `{"model":"m"}`, []string{request.HeaderTimeout, "4s"}, verdict.CodeBadRequest, 400},
		{"bad id", "/v1/completions", `{"model":"m"}`, []string{request.HeaderID, "a/b"}, verdict.CodeBadRequest, 400},
		{"bad idempotency", "/v1/completions", `{"model":"m"}`, []string{request.HeaderIdempotent, "maybe"}, verdict.CodeBadRequest, 400},
		{"too large", "/v1/completions", strings.Repeat("x", 2000), nil, verdict.CodeTooLarge, 413},
		{"unknown service", "/v1/services/x/y", "", nil, verdict.CodeUnknownService, 404},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startGateway(t, &fakeForwarder{}, testConfiguration())
			got := f.post(t, tt.path, tt.body, tt.headers...)
			d := got.detail(t)
			if got.status != tt.status || d.Code != tt.code || d.Verdict != verdict.NotRun {
				t.Fatalf("got %d %s %s, want %d %s not-run", got.status, d.Code, d.Verdict, tt.status, tt.code)
			}
			if got.header.Get(verdict.Header) != "not-run" {
				t.Fatalf("header %s: got %q, want not-run", verdict.Header, got.header.Get(verdict.Header))
			}
			if len(f.forwarder.calls) != 0 {
				t.Fatal("the refused request was forwarded")
			}
		})
	}
}

func TestWholeAnswerJoinsEvents(t *testing.T) {
	f := startGateway(t, &fakeForwarder{events: 3}, testConfiguration())
	got := f.post(t, "/v1/completions", `{"model":"m"}`)
	var c Completion
	if err := json.Unmarshal([]byte(got.body), &c); err != nil {
		t.Fatal(err)
	}
	if c.Choices[0].Text != "w0 w1 w2 " || c.Usage.CompletionTokens != 3 {
		t.Fatalf(`got %+v, want text "w0 w1 w2 " and 3 tokens`, c)
	}
}

func TestFailedRunSendsNoPartOfWholeAnswer(t *testing.T) {
	f := startGateway(t, &fakeForwarder{events: 2, err: &verdict.Error{Verdict: verdict.Ran, Code: verdict.CodeStreamCut}}, testConfiguration())
	got := f.post(t, "/v1/completions", `{"model":"m"}`)
	if strings.Contains(got.body, "w0") || got.detail(t).Verdict != verdict.Ran {
		t.Fatalf("got body %q, want no text of the run and the verdict ran", got.body)
	}
}

func TestEndMarkerOnlyAfterCompleteStream(t *testing.T) {
	tests := []struct {
		name       string
		err        error
		wantMarker bool
		wantError  bool
	}{
		{"whole", nil, true, false},
		{"cut", &verdict.Error{Verdict: verdict.Ran, Code: verdict.CodeStreamCut}, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startGateway(t, &fakeForwarder{events: 2, err: tt.err}, testConfiguration())
			got := f.post(t, "/v1/completions", `{"model":"m","stream":true}`, request.HeaderID, "me")
			if !strings.Contains(got.body, "id: me/1\n") {
				t.Errorf("got %q, want the event ID me/1 in it", got.body)
			}
			if has := strings.Contains(got.body, "data: [DONE]"); has != tt.wantMarker {
				t.Errorf("end marker present: got %v, want the opposite; only a complete answer must have one", has)
			}
			if has := strings.Contains(got.body, "event: error"); has != tt.wantError {
				t.Errorf("error event present: got %v, want the opposite; only a failed run must have one", has)
			}
		})
	}
}

func TestNonIdempotentRepeatIsNotForwarded(t *testing.T) {
	f := startGateway(t, &fakeForwarder{}, testConfiguration())
	first := f.post(t, "/v1/services/forms/submit?x=1", "a", request.HeaderID, "form-1")
	second := f.post(t, "/v1/services/forms/submit?x=1", "a", request.HeaderID, "form-1")
	if first.status != http.StatusCreated || second.status != http.StatusConflict {
		t.Fatalf("got status %d for the request and %d for its repeat, want 201 and 409", first.status, second.status)
	}
	if len(f.forwarder.calls) != 1 || f.forwarder.calls[0].Path != "/submit?x=1" {
		t.Fatalf("got forwarded calls %+v, want one with path /submit?x=1", f.forwarder.calls)
	}
	if len(f.repeats.ended) != 1 || f.repeats.ended[0] != verdict.Ran {
		t.Fatalf("got claims ended with %v, want [ran]", f.repeats.ended)
	}
}

func TestIdempotentPathNeedsNoClaim(t *testing.T) {
	f := startGateway(t, &fakeForwarder{}, testConfiguration())
	f.post(t, "/v1/services/forms/lookup", "a", request.HeaderID, "q")
	f.post(t, "/v1/services/forms/lookup", "a", request.HeaderID, "q")
	if len(f.forwarder.calls) != 2 || len(f.repeats.begun) != 0 {
		t.Fatalf("got %d forwarded calls and %d claims, want 2 and 0", len(f.forwarder.calls), len(f.repeats.begun))
	}
}

func TestClaimEndsWithVerdictOfFailedRun(t *testing.T) {
	f := startGateway(t, &fakeForwarder{err: verdict.Unclear(verdict.CodeServerFailed, errors.New("reset"), "reset")}, testConfiguration())
	f.post(t, "/v1/services/forms/submit", "a", request.HeaderID, "form-1")
	if len(f.repeats.ended) != 1 || f.repeats.ended[0] != verdict.MayHaveRun {
		t.Fatalf("got claims ended with %v, want [may-have-run]", f.repeats.ended)
	}
}

func TestIdempotencyKeyIsNotForwarded(t *testing.T) {
	f := startGateway(t, &fakeForwarder{}, testConfiguration())
	f.post(t, "/v1/services/forms/submit", "a", "Idempotency-Key", "k", "X-Idempotency-Key", "k", "Content-Type", "text/plain")
	header := f.forwarder.calls[0].Header
	if len(header) != 1 || header.Get("Content-Type") != "text/plain" {
		t.Fatalf("got forwarded headers %v, want only Content-Type text/plain", header)
	}
}

func TestRequestsAreRefusedWithoutConfiguration(t *testing.T) {
	f := startGateway(t, &fakeForwarder{}, nil)
	got := f.post(t, "/v1/completions", `{"model":"m"}`)
	if got.status != http.StatusServiceUnavailable || got.detail(t).Verdict != verdict.NotRun {
		t.Fatalf("got status %d and body %s, want 503 and the verdict not-run", got.status, got.body)
	}
	resp, err := http.Get(f.server.URL + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("GET /readyz: got status %d, want 503", resp.StatusCode)
	}
}

func TestEntriesAndModels(t *testing.T) {
	f := startGateway(t, &fakeForwarder{}, testConfiguration())
	for path, want := range map[string]string{"/v1/entries?model=m": `"ttl_ms":5000`, "/v1/models": `"id":"m@1"`, "/v1/entries?model=x": "unknown_model"} {
		resp, err := http.Get(f.server.URL + path)
		if err != nil {
			t.Fatal(err)
		}
		line, err := bufio.NewReader(resp.Body).ReadString('\n')
		resp.Body.Close()
		if err != nil || !strings.Contains(line, want) {
			t.Errorf("GET %s: got %q (error %v), want %s in it", path, line, err, want)
		}
	}
}
