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

// fakeForwarder delivers a number of events, then ends with err.
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

// fakeRepeats refuses ids that were begun before.
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

// lateConfiguration is there from a time on.
type lateConfiguration struct {
	from     time.Time
	accepted site.Accepted
}

func (c lateConfiguration) Current() (site.Accepted, bool) {
	return c.accepted, !time.Now().Before(c.from)
}

// TestRequestsWaitForTheFirstConfiguration asks an instance just before and long before
// it has its configuration.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	for delay, want := range map[time.Duration]int{time.Second: http.StatusOK, time.Minute: http.StatusServiceUnavailable} {
		synctest.Test(t, func(t *testing.T) {
			g := New(Options{
				Instance: "entry-1", Forwarder: &fakeForwarder{events: 1}, Configuration: lateConfiguration{time.Now().Add(delay), *configured()},
				Limits: Limits{BodyBytes: 1000, MaxTimeout: time.Hour, OpenRequests: 1, ConfigurationWait: 2 * time.Second},
				Logger: logging.Discard(), Now: time.Now,
			})
			w := httptest.NewRecorder()
			g.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"m"}`)))
			if w.Code != want {
				t.Errorf("configuration after %v: %d, want %d", delay, w.Code, want)
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

func start(t *testing.T, forwarder *fakeForwarder, accepted *site.Accepted) fixture {
	t.Helper()
	repeats := &fakeRepeats{begun: map[request.ID]bool{}}
	g := New(Options{
		Instance: "entry-1", Forwarder: forwarder, Repeats: repeats,
		Configuration: fixedConfiguration{accepted}, Directory: fixedDirectory{},
		Limits: Limits{BodyBytes: 1000, ReadTimeout: time.Minute, WriteTimeout: time.Minute, KeepAlive: time.Minute, EntriesTTL: 5 * time.Second, MaxTimeout: time.Hour, OpenRequests: 10},
		Logger: logging.Discard(), Now: time.Now,
	})
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	return fixture{forwarder: forwarder, repeats: repeats, server: server}
}

func configured() *site.Accepted { return &site.Accepted{Revision: 1, Document: testDocument()} }

type reply struct {
	status int
	header http.Header
	body   string
}

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
		t.Fatalf("body %q: %v", r.body, err)
	}
	return body.Error
}

func TestBadRequestsAreRefusedNotRun(t *testing.T) {
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
			f := start(t, &fakeForwarder{}, configured())
			got := f.post(t, tt.path, tt.body, tt.headers...)
			d := got.detail(t)
			if got.status != tt.status || d.Code != tt.code || d.Verdict != verdict.NotRun {
				t.Fatalf("got %d %s %s, want %d %s not-run", got.status, d.Code, d.Verdict, tt.status, tt.code)
			}
			if got.header.Get(verdict.Header) != "not-run" {
				t.Fatalf("header %s is %q", verdict.Header, got.header.Get(verdict.Header))
			}
			if len(f.forwarder.calls) != 0 {
				t.Fatal("a refused request was forwarded")
			}
		})
	}
}

func TestWholeAnswerJoinsEvents(t *testing.T) {
	f := start(t, &fakeForwarder{events: 3}, configured())
	got := f.post(t, "/v1/completions", `{"model":"m"}`)
	var c Completion
	if err := json.Unmarshal([]byte(got.body), &c); err != nil {
		t.Fatal(err)
	}
	if c.Choices[0].Text != "w0 w1 w2 " || c.Usage.CompletionTokens != 3 {
		t.Fatalf("got %+v", c)
	}
}

func TestWholeAnswerIsNeverSentInPart(t *testing.T) {
	f := start(t, &fakeForwarder{events: 2, err: &verdict.Error{Verdict: verdict.Ran, Code: verdict.CodeStreamCut}}, configured())
	got := f.post(t, "/v1/completions", `{"model":"m"}`)
	if strings.Contains(got.body, "w0") || got.detail(t).Verdict != verdict.Ran {
		t.Fatalf("got %q", got.body)
	}
}

func TestStreamEndsWithMarkerOnlyWhenWhole(t *testing.T) {
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
			f := start(t, &fakeForwarder{events: 2, err: tt.err}, configured())
			got := f.post(t, "/v1/completions", `{"model":"m","stream":true}`, request.HeaderID, "me")
			if !strings.Contains(got.body, "id: me/1\n") {
				t.Errorf("no event id in %q", got.body)
			}
			if has := strings.Contains(got.body, "data: [DONE]"); has != tt.wantMarker {
				t.Errorf("end marker present: %v", has)
			}
			if has := strings.Contains(got.body, "event: error"); has != tt.wantError {
				t.Errorf("error event present: %v", has)
			}
		})
	}
}

func TestNonIdempotentRepeatIsNotForwarded(t *testing.T) {
	f := start(t, &fakeForwarder{}, configured())
	first := f.post(t, "/v1/services/forms/submit?x=1", "a", request.HeaderID, "form-1")
	second := f.post(t, "/v1/services/forms/submit?x=1", "a", request.HeaderID, "form-1")
	if first.status != http.StatusCreated || second.status != http.StatusConflict {
		t.Fatalf("got %d then %d", first.status, second.status)
	}
	if len(f.forwarder.calls) != 1 || f.forwarder.calls[0].Path != "/submit?x=1" {
		t.Fatalf("calls: %+v", f.forwarder.calls)
	}
	if len(f.repeats.ended) != 1 || f.repeats.ended[0] != verdict.Ran {
		t.Fatalf("claims ended: %v", f.repeats.ended)
	}
}

func TestIdempotentPathNeedsNoClaim(t *testing.T) {
	f := start(t, &fakeForwarder{}, configured())
	f.post(t, "/v1/services/forms/lookup", "a", request.HeaderID, "q")
	f.post(t, "/v1/services/forms/lookup", "a", request.HeaderID, "q")
	if len(f.forwarder.calls) != 2 || len(f.repeats.begun) != 0 {
		t.Fatalf("%d calls, %d claims", len(f.forwarder.calls), len(f.repeats.begun))
	}
}

func TestFailedClaimedRunEndsWithItsVerdict(t *testing.T) {
	f := start(t, &fakeForwarder{err: verdict.Unclear(verdict.CodeServerFailed, errors.New("reset"), "reset")}, configured())
	f.post(t, "/v1/services/forms/submit", "a", request.HeaderID, "form-1")
	if len(f.repeats.ended) != 1 || f.repeats.ended[0] != verdict.MayHaveRun {
		t.Fatalf("claims ended: %v", f.repeats.ended)
	}
}

func TestIdempotencyKeyIsNotPassedOn(t *testing.T) {
	f := start(t, &fakeForwarder{}, configured())
	f.post(t, "/v1/services/forms/submit", "a", "Idempotency-Key", "k", "X-Idempotency-Key", "k", "Content-Type", "text/plain")
	header := f.forwarder.calls[0].Header
	if len(header) != 1 || header.Get("Content-Type") != "text/plain" {
		t.Fatalf("passed headers: %v", header)
	}
}

func TestWithoutConfigurationNothingRuns(t *testing.T) {
	f := start(t, &fakeForwarder{}, nil)
	got := f.post(t, "/v1/completions", `{"model":"m"}`)
	if got.status != http.StatusServiceUnavailable || got.detail(t).Verdict != verdict.NotRun {
		t.Fatalf("got %d %s", got.status, got.body)
	}
	resp, err := http.Get(f.server.URL + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("readyz: %d", resp.StatusCode)
	}
}

func TestEntriesAndModels(t *testing.T) {
	f := start(t, &fakeForwarder{}, configured())
	for path, want := range map[string]string{"/v1/entries?model=m": `"ttl_ms":5000`, "/v1/models": `"id":"m@1"`, "/v1/entries?model=x": "unknown_model"} {
		resp, err := http.Get(f.server.URL + path)
		if err != nil {
			t.Fatal(err)
		}
		line, err := bufio.NewReader(resp.Body).ReadString('\n')
		resp.Body.Close()
		if err != nil || !strings.Contains(line, want) {
			t.Errorf("%s: %q (%v), want %s in it", path, line, err, want)
		}
	}
}
