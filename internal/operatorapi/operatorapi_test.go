package operatorapi

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/strictjson"
)

const goodToken = "0123456789abcdef-good"

// fakeController answers with fixed values and notes what was changed.
type fakeController struct {
	err     error
	applied []ApplyRequest
	drained []string
	asked   []string
	calls   int
}

var _ Controller = (*fakeController)(nil)

func (f *fakeController) Status(context.Context) (Status, error) {
	f.calls++
	return Status{Instance: "entry-1", Revision: 7}, f.err
}

func (f *fakeController) Configuration(context.Context) (site.Accepted, error) {
	f.calls++
	return site.Accepted{Revision: 7, ChangeID: "c"}, f.err
}

func (f *fakeController) Apply(_ context.Context, change ApplyRequest) (site.Accepted, error) {
	f.calls++
	f.applied = append(f.applied, change)
	return site.Accepted{Revision: change.BaseRevision + 1, ChangeID: change.ChangeID}, f.err
}

func (f *fakeController) Explain(_ context.Context, model string) (Explanation, error) {
	f.calls++
	f.asked = append(f.asked, model)
	return Explanation{Asked: model}, f.err
}

func (f *fakeController) Locate(_ context.Context, model string) (Location, error) {
	f.calls++
	f.asked = append(f.asked, model)
	return Location{Model: modelref.Ref(model)}, f.err
}

func (f *fakeController) Drain(_ context.Context, instance string) error {
	f.calls++
	f.drained = append(f.drained, instance)
	return f.err
}

func tokenFile(t *testing.T, lines ...string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tokens")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func newServer(t *testing.T, f *fakeController) *httptest.Server {
	t.Helper()
	auth, err := NewKeys(tokenFile(t, "# operators", goodToken), nil)
	if err != nil {
		t.Fatal(err)
	}
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { f.calls++ })
	server := httptest.NewServer(NewHandler(f, auth, WithMetrics(metrics)))
	t.Cleanup(server.Close)
	return server
}

// everyRoute lists a call of each route that needs a key.
var everyRoute = []struct{ method, path string }{
	{http.MethodGet, PathStatus},
	{http.MethodGet, PathConfiguration},
	{http.MethodPut, PathConfiguration},
	{http.MethodGet, PathExplain + "m"},
	{http.MethodGet, PathLocate + "m"},
	{http.MethodPost, PathInstances + "entry-1/drain"},
	{http.MethodGet, PathMetrics},
}

func TestNobodyWithoutAnOperatorsKey(t *testing.T) {
	headers := map[string]string{
		"none":        "",
		"wrong token": "Bearer 0123456789abcdef-evil",
		"prefix":      "Bearer " + goodToken[:len(goodToken)-1],
		"empty token": "Bearer ",
		"comment":     "Bearer # operators",
		"basic":       "Basic " + goodToken,
	}
	for name, header := range headers {
		t.Run(name, func(t *testing.T) {
			f := &fakeController{}
			server := newServer(t, f)
			for _, route := range everyRoute {
				status := call(t, server.URL+route.path, route.method, header)
				if status != http.StatusUnauthorized {
					t.Errorf("%s %s: status %d, want 401", route.method, route.path, status)
				}
			}
			if f.calls != 0 {
				t.Errorf("the controller was called %d times", f.calls)
			}
			if status := call(t, server.URL+PathHealth, http.MethodGet, header); status != http.StatusOK {
				t.Errorf("health: status %d, want 200", status)
			}
		})
	}
}

// TestEveryRouteIsCovered shows that everyRoute reaches the controller with a key, so
// that the test above doesn't pass on paths that don't exist.
func TestEveryRouteIsCovered(t *testing.T) {
	f := &fakeController{}
	server := newServer(t, f)
	for _, route := range everyRoute {
		if status := call(t, server.URL+route.path, route.method, "Bearer "+goodToken); status == http.StatusNotFound || status == http.StatusUnauthorized {
			t.Errorf("%s %s: status %d", route.method, route.path, status)
		}
	}
	// The empty change is refused before it reaches the controller.
	if want := len(everyRoute) - 1; f.calls != want {
		t.Errorf("%d calls reached the controller, want %d", f.calls, want)
	}
}

func call(t *testing.T, url, method, authorization string) int {
	t.Helper()
	r, err := http.NewRequest(method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	if authorization != "" {
		r.Header.Set("Authorization", authorization)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}

func TestClientRoundTrip(t *testing.T) {
	f := &fakeController{}
	server := newServer(t, f)
	client := NewClient(server.URL+"/", goodToken, server.Client())
	ctx := context.Background()
	if status, err := client.Status(ctx); err != nil || status.Instance != "entry-1" {
		t.Errorf("Status = %+v, %v", status, err)
	}
	if accepted, err := client.Configuration(ctx); err != nil || accepted.Revision != 7 {
		t.Errorf("Configuration = %+v, %v", accepted, err)
	}
	change := ApplyRequest{BaseRevision: 7, ChangeID: "x", Document: validDocument(t)}
	if accepted, err := client.Apply(ctx, change); err != nil || accepted.Revision != 8 || !reflect.DeepEqual(f.applied[0], change) {
		t.Errorf("Apply = %+v, %v; received %+v", accepted, err, f.applied)
	}
	for _, name := range []string{"appraisal@2", "a/b@1", "../x", "50% off"} {
		if explanation, err := client.Explain(ctx, name); err != nil || explanation.Asked != name {
			t.Errorf("Explain(%q) = %+v, %v", name, explanation, err)
		}
		if location, err := client.Locate(ctx, name); err != nil || string(location.Model) != name {
			t.Errorf("Locate(%q) = %+v, %v", name, location, err)
		}
	}
	if err := client.Drain(ctx, "entry-2"); err != nil || !reflect.DeepEqual(f.drained, []string{"entry-2"}) {
		t.Errorf("Drain: %v; drained %v", err, f.drained)
	}
}

func validDocument(t *testing.T) site.Document {
	t.Helper()
	doc, err := site.Load("../../examples/rigline/base.json", "../../examples/rigline/pnw.json")
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// TestInvalidDocumentIsRefused shows that a tool that checks nothing can't put a broken
// configuration in force.
func TestInvalidDocumentIsRefused(t *testing.T) {
	f := &fakeController{}
	server := newServer(t, f)
	change := ApplyRequest{BaseRevision: 7, ChangeID: "x", Document: validDocument(t)}
	change.Document.Models[0].MemoryMB = 1 << 30
	_, err := NewClient(server.URL, goodToken, server.Client()).Apply(context.Background(), change)
	var invalid *InvalidError
	if !errors.As(err, &invalid) || len(invalid.Problems) == 0 {
		t.Errorf("got %v, want *InvalidError with problems", err)
	}
	if len(f.applied) != 0 {
		t.Error("the change reached the controller")
	}
}

func TestErrorsKeepTheirTypes(t *testing.T) {
	problem := strictjson.Problem{File: "base.json", Line: 3, Path: "site", Message: "is missing"}
	for _, want := range []error{
		&ConflictError{BaseRevision: 3, CurrentRevision: 5},
		&NotFoundError{Kind: "model", Name: "x"},
		&InvalidError{Problems: strictjson.Problems{problem}},
		&UnavailableError{Reason: "the key-value service is away"},
		&UnclearError{Reason: "no answer"},
	} {
		server := newServer(t, &fakeController{err: want})
		_, err := NewClient(server.URL, goodToken, server.Client()).Configuration(context.Background())
		if !reflect.DeepEqual(err, want) {
			t.Errorf("got %#v, want %#v", err, want)
		}
	}
}

func TestUnknownFieldInChangeIsRefused(t *testing.T) {
	f := &fakeController{}
	server := newServer(t, f)
	body := strings.NewReader(`{"base_revision":1,"change_id":"c","document":{"site":"s","color":"red"}}`)
	r, _ := http.NewRequest(http.MethodPut, server.URL+PathConfiguration, body)
	r.Header.Set("Authorization", "Bearer "+goodToken)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusBadRequest || len(f.applied) != 0 {
		t.Errorf("status %d, applied %d", response.StatusCode, len(f.applied))
	}
}

// TestInstanceGivesUpBeforeItsClient shows that a call that takes too long ends by the
// instance's answer, which says that nothing was changed, and not by the client's timeout.
func TestInstanceGivesUpBeforeItsClient(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"": 8 * time.Second, "2000": 1600 * time.Millisecond, "-1": 8 * time.Second, "x": 8 * time.Second,
		"999999999999999": 48 * time.Second,
	} {
		synctest.Test(t, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodGet, PathStatus, nil)
			r.Header.Set(request.HeaderTimeout, header)
			start := time.Now()
			wait := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			bounded(wait).ServeHTTP(httptest.NewRecorder(), r)
			if got := time.Since(start); got != want {
				t.Errorf("with %q the work ended after %v, want %v", header, got, want)
			}
		})
	}
	r := httptest.NewRequest(http.MethodGet, PathStatus, nil)
	sendTimeout(r, 3*time.Second)
	if got := callTimeout(r); got != 3*time.Second {
		t.Errorf("the client's 3 s arrive as %v", got)
	}
}

func TestBounds(t *testing.T) {
	f := &fakeController{}
	auth, err := NewKeys(tokenFile(t, goodToken), nil)
	if err != nil {
		t.Fatal(err)
	}
	handler := NewHandler(f, auth, WithBounds(100, 1))
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := NewClient(server.URL, goodToken, server.Client())
	change := ApplyRequest{ChangeID: "x", Document: validDocument(t)}
	if _, err := client.Apply(context.Background(), change); err == nil || !strings.Contains(err.Error(), string(CodeBadRequest)) {
		t.Errorf("a body over the bound: %v", err)
	}
	handler.calls <- struct{}{}
	_, err = client.Status(context.Background())
	var unavailable *UnavailableError
	if !errors.As(err, &unavailable) {
		t.Errorf("a call over the bound: %v", err)
	}
	<-handler.calls
	if _, err := client.Status(context.Background()); err != nil || f.calls != 1 {
		t.Errorf("after the other call has ended: %v, %d calls", err, f.calls)
	}
}

func TestUnreachableIsTyped(t *testing.T) {
	server := newServer(t, &fakeController{})
	server.Close()
	_, err := NewClient(server.URL, goodToken, server.Client()).Status(context.Background())
	var unreachable *UnreachableError
	if !errors.As(err, &unreachable) {
		t.Errorf("got %v, want *UnreachableError", err)
	}
}

func TestTokensAreReadAgain(t *testing.T) {
	path := tokenFile(t, goodToken)
	var failures int
	keys, err := NewKeys(path, func(error) { failures++ })
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	keys.now = func() time.Time { return now }
	keys.checked = now
	replace := func(content string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		now = now.Add(tokenPollInterval)
	}
	const second = "another-token-of-operators"
	replace(second)
	if keys.valid(goodToken) || !keys.valid(second) {
		t.Error("the new file is not in force")
	}
	replace("short")
	if !keys.valid(second) || failures != 1 {
		t.Errorf("a bad file must leave the former tokens valid and be told; failures %d", failures)
	}
}

func TestBadTokenFiles(t *testing.T) {
	for _, path := range []string{tokenFile(t, "short"), tokenFile(t, "# only a comment"), "/no/such/file"} {
		if _, err := NewKeys(path, nil); err == nil {
			t.Errorf("%s was accepted", path)
		}
	}
}
