package ctl

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/operatorapi"
	"limpethub/internal/site"
)

const (
	operatorToken  = "0123456789abcdef-test"
	exampleBase    = "../../examples/rigline/base.json"
	exampleOverlay = "../../examples/rigline/pnw.json"
)

// fakeController stores the applied configuration as an instance does, and answers all other
// calls with fixed values.
type fakeController struct {
	mu       sync.Mutex
	accepted site.Accepted
	drained  []string
	// err, if set, is returned by every call.
	err error
	// beforeApply, if set, runs at the start of each Apply.
	beforeApply func(f *fakeController)
}

var _ operatorapi.Controller = (*fakeController)(nil)

func (f *fakeController) Configuration(context.Context) (site.Accepted, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil && f.accepted.Revision == 0 {
		return site.Accepted{}, &operatorapi.NotFoundError{Kind: "configuration", Name: "rigline"}
	}
	return f.accepted, f.err
}

func (f *fakeController) Quarantine(context.Context) (operatorapi.Quarantine, error) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	return operatorapi.Quarantine{Parts: []operatorapi.Quarantined{
		{Part: "0bc7184168bceac8", Crashes: 3, First: at, Last: at.Add(time.Second), Until: at.Add(time.Minute)},
		{Part: "d84834ca076bb594", Crashes: 4, First: at, Last: at.Add(time.Second)},
	}}, f.err
}

func (f *fakeController) Release(_ context.Context, part string) error {
	if f.err == nil && part != "0bc7184168bceac8" {
		return &operatorapi.NotFoundError{Kind: "part in quarantine", Name: part}
	}
	return f.err
}

func (f *fakeController) Apply(_ context.Context, change operatorapi.ApplyRequest) (site.Accepted, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.beforeApply != nil {
		f.beforeApply(f)
	}
	if f.err != nil {
		return site.Accepted{}, f.err
	}
	if f.accepted.ChangeID == change.ChangeID {
		return f.accepted, nil
	}
	if f.accepted.Revision != change.BaseRevision {
		return site.Accepted{}, &operatorapi.ConflictError{BaseRevision: change.BaseRevision, CurrentRevision: f.accepted.Revision}
	}
	f.accepted = site.Accepted{Revision: change.BaseRevision + 1, ChangeID: change.ChangeID, Document: change.Document}
	return f.accepted, nil
}

func (f *fakeController) Drain(_ context.Context, instance string) error {
	if f.err != nil {
		return f.err
	}
	if instance != "entry-a1" {
		return &operatorapi.NotFoundError{Kind: "instance", Name: instance}
	}
	f.drained = append(f.drained, instance)
	return nil
}

func (f *fakeController) Locate(_ context.Context, model string) (operatorapi.Location, error) {
	if err := f.checkModel(model); err != nil {
		return operatorapi.Location{}, err
	}
	return operatorapi.Location{
		Model:     "appraisal@2",
		TTLMillis: 5000,
		Entries: []operatorapi.Entry{
			{Instance: "entry-a1", Address: "10.1.1.101:8443", FailureDomain: "pnw-a"},
			{Instance: "entry-b1", Address: "10.1.2.101:8443", FailureDomain: "pnw-b"},
		},
	}, nil
}

// checkModel returns f.err if it is set, and a *NotFoundError for any model but "appraisal".
func (f *fakeController) checkModel(model string) error {
	if f.err != nil {
		return f.err
	}
	if model != "appraisal" {
		return &operatorapi.NotFoundError{Kind: "model", Name: model}
	}
	return nil
}

func (f *fakeController) Explain(_ context.Context, model string) (operatorapi.Explanation, error) {
	if err := f.checkModel(model); err != nil {
		return operatorapi.Explanation{}, err
	}
	return operatorapi.Explanation{
		Asked:     model,
		Status:    fakeModels()[0],
		Floor:     1,
		Placement: []string{"The copy on drafting-2 is the floor.", "The copy on drafting-7 is wanted for 3.2 requests/s."},
		Request: operatorapi.RequestPreview{
			Action: "dispatch",
			Server: "drafting-2",
			Reason: "It is predicted to finish first.",
			Candidates: []operatorapi.Candidate{
				{Server: "drafting-2", FailureDomain: "pnw-a", Outstanding: 3, PredictedMillis: 850},
				{Server: "drafting-7", FailureDomain: "pnw-b", Excluded: "the copy is loading"},
			},
		},
	}, nil
}

func fakeModels() []operatorapi.ModelStatus {
	return []operatorapi.ModelStatus{
		{
			Ref: "appraisal@2", MemoryMB: 26000, Class: "appraisal", RequestsPerSecond: 3.24,
			Copies: []operatorapi.Copy{
				{Server: "drafting-2", FailureDomain: "pnw-a", State: operatorapi.CopyResident, Reason: "floor"},
				{Server: "drafting-7", FailureDomain: "pnw-b", State: operatorapi.CopyLoading, Reason: "demand"},
			},
		},
		{Ref: "appraisal-skagit@1", Base: "appraisal@2", MemoryMB: 290, Class: "appraisal"},
	}
}

func (f *fakeController) Status(context.Context) (operatorapi.Status, error) {
	if f.err != nil {
		return operatorapi.Status{}, f.err
	}
	statusTime := time.Date(2026, 12, 3, 8, 30, 0, 0, time.UTC)
	return operatorapi.Status{
		Instance: "entry-a1", Site: "rigline-pnw", Time: statusTime, Revision: 7,
		Placement: operatorapi.PlacementStatus{Holder: "entry-b1", Fence: 12, OrdersPending: 1, MovesTotal: 96},
		Store:     operatorapi.StoreStatus{LastAnswer: statusTime.Add(-time.Minute), Error: "timeout"},
		Instances: []operatorapi.InstanceStatus{
			{Name: "entry-a1", State: operatorapi.InstanceAlive, FailureDomain: "pnw-a", CallerAddress: "10.1.1.101:8443", Revision: 7, Requests: 12},
			{Name: "entry-b1", State: operatorapi.InstanceDraining, FailureDomain: "pnw-b", CallerAddress: "10.1.2.101:8443", Revision: 6},
		},
		Servers: []operatorapi.ServerStatus{
			{Name: "drafting-2", Kind: site.KindEngine, State: operatorapi.ServerLive, FailureDomain: "pnw-a", MemoryMB: 49152, CommittedMB: 41000,
				Resident: []modelref.Ref{"appraisal@2"}, Running: 4, Waiting: 1, ReportAgeMillis: 240},
			{Name: "desk-1", Kind: site.KindService, State: operatorapi.ServerUnreachable, FailureDomain: "pnw-a", ReportAgeMillis: 9000},
		},
		Models:  fakeModels(),
		Classes: []operatorapi.ClassStatus{{Name: "appraisal", Waiting: 1, Running: 4, InTime: 960, Late: 3, Refused: 2}},
	}, nil
}

// fixture is an operators' listener with a fake controller, and the token file of an operator.
type fixture struct {
	t          *testing.T
	controller *fakeController
	server     *httptest.Server
	tokenFile  string
	// middleware, if set, wraps the listener's handler.
	middleware func(next http.Handler) http.Handler
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, controller: &fakeController{}, tokenFile: writeFile(t, "token", operatorToken+"\n")}
	// No callback for errors of reading the token file again (nil).
	auth, err := operatorapi.NewAuthenticator(f.tokenFile, nil)
	if err != nil {
		t.Fatal(err)
	}
	handler := operatorapi.NewHandler(f.controller, auth)
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.middleware != nil {
			f.middleware(handler).ServeHTTP(w, r)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(f.server.Close)
	return f
}

func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// run runs the tool against the fixture's listener, with its token.
func (f *fixture) run(args ...string) result {
	f.t.Helper()
	fullArgs := append([]string{"--server", f.server.URL, "--plaintext", "--token-file", f.tokenFile}, args...)
	return run(f.t, "", fullArgs...)
}

// result is the exit code and the output of one run of the tool.
type result struct {
	code           ExitCode
	stdout, stderr string
}

func (r result) String() string {
	return fmt.Sprintf("exit code %d\n--- stdout\n%s--- stderr\n%s", r.code, r.stdout, r.stderr)
}
