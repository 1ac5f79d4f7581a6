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

const testToken = "0123456789abcdef-good"

// fakeController answers with fixed values and records the calls. handledCalls counts all
// calls that passed the checks of the handler, including those of the metrics handler.
type fakeController struct {
	err          error
	applied      []ApplyRequest
	drained      []string
	requested    []string
	handledCalls int
}

var _ Controller = (*fakeController)(nil)

func (f *fakeController) Status(context.Context) (Status, error) {
	f.handledCalls++
	return Status{Instance: "entry-1", Revision: 7}, f.err
}

func (f *fakeController) Configuration(context.Context) (site.Accepted, error) {
	f.handledCalls++
	return site.Accepted{Revision: 7, ChangeID: "c"}, f.err
}

func (f *fakeController) Apply(_ context.Context, change ApplyRequest) (site.Accepted, error) {
	f.handledCalls++
	f.applied = append(f.applied, change)
	return site.Accepted{Revision: change.BaseRevision + 1, ChangeID: change.ChangeID}, f.err
}

func (f *fakeController) Quarantine(context.Context) (Quarantine, error) {
	f.handledCalls++
	return Quarantine{Parts: []Quarantined{{Part: "a1", Crashes: 3}}}, f.err
}

func (f *fakeController) Release(_ context.Context, part string) error {
	f.handledCalls++
	f.requested = append(f.requested, part)
	return f.err
}

func (f *fakeController) Explain(_ context.Context, model string) (Explanation, error) {
	f.handledCalls++
	f.requested = append(f.requested, model)
	return Explanation{Asked: model}, f.err
}

func (f *fakeController) Locate(_ context.Context, model string) (Location, error) {
	f.handledCalls++
	f.requested = append(f.requested, model)
	return Location{Model: modelref.Ref(model)}, f.err
}

func (f *fakeController) Drain(_ context.Context, instance string) error {
	f.handledCalls++
	f.drained = append(f.drained, instance)
	return f.err
}

func writeTokenFile(t *testing.T, lines ...string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tokens")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func newServer(t *testing.T, f *fakeController) *httptest.Server {
	t.Helper()
	auth, err := NewAuthenticator(writeTokenFile(t, "# operators", testToken), nil)
	if err != nil {
		t.Fatal(err)
	}
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { f.handledCalls++ })
	server := httptest.NewServer(NewHandler(f, auth, WithMetrics(metrics)))
	t.Cleanup(server.Close)
	return server
}

// protectedRoutes lists one call of each route that requires credentials of an operator.
var protectedRoutes = []struct{ method, path string }{
	{http.MethodGet, PathStatus},
	{http.MethodGet, PathConfiguration},
	{http.MethodPut, PathConfiguration},
	{http.MethodGet, PathExplain + "m"},
	{http.MethodGet, PathLocate + "m"},
	{http.MethodPost, PathInstances + "entry-1/drain"},
	{http.MethodGet, PathMetrics},
}

func TestCallsWithoutCredentialsAreRefused(t *testing.T) {
	headers := map[string]string{
		"none":        "",
		"wrong token": "Bearer 0123456789abcdef-evil",
		"prefix":      "Bearer " + testToken[:len(testToken)-1],
		"empty token": "Bearer ",
		"comment":     "Bearer # operators",
		"basic":       "Basic " + testToken,
	}
	for name, header := range headers {
		t.Run(name, func(t *testing.T) {
			f := &fakeController{}
			server := newServer(t, f)
			for _, route := range protectedRoutes {
				status := callStatus(t, server.URL+route.path, route.method, header)
				if status != http.StatusUnauthorized {
					t.Errorf("%s %s: status %d, want 401", route.method, route.path, status)
				}
			}
			if f.handledCalls != 0 {
				t.Errorf("%d calls passed the check of credentials, want 0", f.handledCalls)
			}
			if status := callStatus(t, server.URL+PathHealth, http.MethodGet, header); status != http.StatusOK {
				t.Errorf("health: status %d, want 200", status)
			}
		})
	}
}

// TestProtectedRoutesExist checks that all protectedRoutes exist and accept the token.
// Otherwise TestCallsWithoutCredentialsAreRefused could pass on mistyped paths.
func TestProtectedRoutesExist(t *testing.T) {
	f := &fakeController{}
	server := newServer(t, f)
	for _, route := range protectedRoutes {
		if status := callStatus(t, server.URL+route.path, route.method, "Bearer "+testToken); status == http.StatusNotFound || status == http.StatusUnauthorized {
			t.Errorf("%s %s with a valid token: status %d, want neither 401 nor 404", route.method, route.path, status)
		}
	}
	// The PUT has no body and is refused before it reaches the controller.
	if want := len(protectedRoutes) - 1; f.handledCalls != want {
		t.Errorf("%d calls reached the controller or the metrics handler, want %d", f.handledCalls, want)
	}
}

func callStatus(t *testing.T, url, method, authorization string) int {
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
	client := NewClient(server.URL+"/", testToken, server.Client())
	ctx := context.Background()
	if status, err := client.Status(ctx); err != nil || status.Instance != "entry-1" {
		t.Errorf("Status: got %+v and error %v, want instance entry-1 and no error", status, err)
	}
	if accepted, err := client.Configuration(ctx); err != nil || accepted.Revision != 7 {
		t.Errorf("Configuration: got %+v and error %v, want revision 7 and no error", accepted, err)
	}
	change := ApplyRequest{BaseRevision: 7, ChangeID: "x", Document: validDocument(t)}
	if accepted, err := client.Apply(ctx, change); err != nil || accepted.Revision != 8 || !reflect.DeepEqual(f.applied[0], change) {
		t.Errorf("Apply: got %+v, error %v and received changes %+v; want revision 8, no error and the change as sent", accepted, err, f.applied)
	}
	for _, name := range []string{"appraisal@2", "a/b@1", "../x", "50% off"} {
		if explanation, err := client.Explain(ctx, name); err != nil || explanation.Asked != name {
			t.Errorf("Explain(%q): got %+v and error %v, want the same name and no error", name, explanation, err)
		}
		if location, err := client.Locate(ctx, name); err != nil || string(location.Model) != name {
			t.Errorf("Locate(%q): got %+v and error %v, want the same name and no error", name, location, err)
		}
	}
	if err := client.Drain(ctx, "entry-2"); err != nil || !reflect.DeepEqual(f.drained, []string{"entry-2"}) {
		t.Errorf("Drain: got error %v and drained instances %v, want no error and [entry-2]", err, f.drained)
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

// TestInvalidDocumentIsRefused guards against a client that doesn't validate: it must not
// be able to put an invalid configuration in force.
func TestInvalidDocumentIsRefused(t *testing.T) {
	f := &fakeController{}
	server := newServer(t, f)
	change := ApplyRequest{BaseRevision: 7, ChangeID: "x", Document: validDocument(t)}
	change.Document.Models[0].MemoryMB = 1 << 30
	_, err := NewClient(server.URL, testToken, server.Client()).Apply(context.Background(), change)
	var invalid *InvalidError
	if !errors.As(err, &invalid) || len(invalid.Problems) == 0 {
		t.Errorf("got %v, want *InvalidError with problems", err)
	}
	if len(f.applied) != 0 {
		t.Error("the change reached the controller")
	}
}

func TestClientRestoresErrorTypes(t *testing.T) {
	problem := strictjson.Problem{File: "base.json", Line: 3, Path: "site", Message: "is missing"}
	for _, want := range []error{
		&ConflictError{BaseRevision: 3, CurrentRevision: 5},
		&NotFoundError{Kind: "model", Name: "x"},
		&InvalidError{Problems: strictjson.Problems{problem}},
		&UnavailableError{Reason: "the key-value store is unreachable"},
		&UnclearError{Reason: "no answer"},
	} {
		server := newServer(t, &fakeController{err: want})
		_, err := NewClient(server.URL, testToken, server.Client()).Configuration(context.Background())
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
	r.Header.Set("Authorization", "Bearer "+testToken)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusBadRequest || len(f.applied) != 0 {
		t.Errorf("got status %d and %d applied changes, want 400 and 0", response.StatusCode, len(f.applied))
	}
}

// TestCallEndsBeforeClientTimeout guards against a client timeout during a slow call: the
// client would not learn whether its change took effect. The instance must stop the work
// earlier and answer.
func TestCallEndsBeforeClientTimeout(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"": 8 * time.Second, "2000": 1600 * time.Millisecond, "-1": 8 * time.Second, "x": 8 * time.Second,
		"999999999999999": 48 * time.Second,
	} {
		synctest.Test(t, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodGet, PathStatus, nil)
			r.Header.Set(request.HeaderTimeout, header)
			start := time.Now()
			wait := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			limitDuration(wait).ServeHTTP(httptest.NewRecorder(), r)
			if got := time.Since(start); got != want {
				t.Errorf("timeout header %q: the work ended after %v, want %v", header, got, want)
			}
		})
	}
	r := httptest.NewRequest(http.MethodGet, PathStatus, nil)
	setTimeoutHeader(r, 3*time.Second)
	if got := clientTimeout(r); got != 3*time.Second {
		t.Errorf("got a client timeout of %v, want 3s", got)
	}
}

func TestBodySizeAndCallLimits(t *testing.T) {
	f := &fakeController{}
	auth, err := NewAuthenticator(writeTokenFile(t, testToken), nil)
	if err != nil {
		t.Fatal(err)
	}
	handler := NewHandler(f, auth, WithLimits(100, 1))
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := NewClient(server.URL, testToken, server.Client())
	change := ApplyRequest{ChangeID: "x", Document: validDocument(t)}
	if _, err := client.Apply(context.Background(), change); err == nil || !strings.Contains(err.Error(), string(CodeBadRequest)) {
		t.Errorf("body over the size limit: got %v, want an error with code bad_request", err)
	}
	handler.callSlots <- struct{}{}
	_, err = client.Status(context.Background())
	var unavailable *UnavailableError
	if !errors.As(err, &unavailable) {
		t.Errorf("call over the limit of calls in progress: got %v, want *UnavailableError", err)
	}
	<-handler.callSlots
	if _, err := client.Status(context.Background()); err != nil || f.handledCalls != 1 {
		t.Errorf("call after a slot became free: got error %v and %d controller calls, want nil and 1", err, f.handledCalls)
	}
}

func TestUnreachableInstanceGivesUnreachableError(t *testing.T) {
	server := newServer(t, &fakeController{})
	server.Close()
	_, err := NewClient(server.URL, testToken, server.Client()).Status(context.Background())
	var unreachable *UnreachableError
	if !errors.As(err, &unreachable) {
		t.Errorf("got %v, want *UnreachableError", err)
	}
}

func TestChangedTokenFileIsReloaded(t *testing.T) {
	path := writeTokenFile(t, testToken)
	var failures int
	auth, err := NewAuthenticator(path, func(error) { failures++ })
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	auth.now = func() time.Time { return now }
	auth.lastCheck = now
	replace := func(content string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		now = now.Add(tokenPollInterval)
	}
	const second = "another-token-of-operators"
	replace(second)
	if auth.validToken(testToken) || !auth.validToken(second) {
		t.Errorf("after the file changed: got old token accepted %v and new token accepted %v, want false and true", auth.validToken(testToken), auth.validToken(second))
	}
	replace("short")
	if !auth.validToken(second) || failures != 1 {
		t.Errorf("after an invalid file: want the previous token still accepted and 1 reported error, got %d errors", failures)
	}
}

func TestInvalidTokenFilesAreRefused(t *testing.T) {
	for _, path := range []string{writeTokenFile(t, "short"), writeTokenFile(t, "# only a comment"), "/no/such/file"} {
		if _, err := NewAuthenticator(path, nil); err == nil {
			t.Errorf("NewAuthenticator(%s) succeeded, want an error", path)
		}
	}
}
