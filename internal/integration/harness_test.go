package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"limpethub/internal/gateway"
	"limpethub/internal/instancelist"
	"limpethub/internal/lab/bench"
	"limpethub/internal/lab/entry"
	"limpethub/internal/lab/faultproxy"
	"limpethub/internal/lab/load"
	"limpethub/internal/lab/standin/kvstore"
	"limpethub/internal/lab/standin/modelengine"
	"limpethub/internal/request"
	"limpethub/internal/settings"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

// binary is the daemon under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "limpethub-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binary = filepath.Join(directory, "limpethubd")
	build := exec.Command("go", "build", "-o", binary, "limpethub/cmd/limpethubd")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

const (
	// patience bounds the wait for something that must come; it decides nothing else.
	patience = 60 * time.Second
	poll     = 20 * time.Millisecond
)

var domains = []string{"zone-a", "zone-b", "zone-c"}

// document is a small site: three engines, two service servers, two models with two
// copies each.
func document() site.Document {
	d := site.Document{
		Site:           "small",
		FailureDomains: domains,
		Classes: []site.Class{
			{Name: "urgent", TimeoutMillis: 20_000, Weight: 4, QueueLimit: 200},
			{Name: "batch", TimeoutMillis: 60_000, Weight: 1, QueueLimit: 200, FloorShare: 0.05},
		},
		Models: []site.Model{
			{Name: "alpha", Version: "1", Default: true, MemoryMB: 4000, Class: "urgent"},
			{Name: "beta", Version: "1", Default: true, MemoryMB: 3000, Class: "batch"},
			// The model that docs/CALLERS.md asks for.
			{Name: "appraisal", Version: "1", Default: true, MemoryMB: 500, Class: "urgent"},
		},
		Services: []site.Service{
			{Name: "forms", Servers: []string{"service-1", "service-2"}, Class: "urgent"},
			{Name: "financing", Servers: []string{"service-1"}, Class: "urgent"},
		},
		Budgets: site.Budgets{LoadsPerSecond: 10, ConcurrentLoads: 2, LoadMillis: 500, RetryShare: 0.2, StoreCallsPerSecond: 20},
	}
	for i, domain := range domains {
		d.Servers = append(d.Servers, site.Server{
			Name: fmt.Sprintf("engine-%d", i+1), Kind: site.KindEngine, FailureDomain: domain,
			Accelerators: 1, MemoryMB: 10_000, HonoursFencing: i != 0, ChecksOrders: i == 1,
		})
	}
	for i := range 2 {
		d.Servers = append(d.Servers, site.Server{Name: fmt.Sprintf("service-%d", i+1), Kind: site.KindService, FailureDomain: domains[i]})
	}
	return d
}

// rig is a running site with its instances as processes.
type rig struct {
	*bench.Site
	t       *testing.T
	host    *entry.Processes
	proxies map[string]*faultproxy.Proxy
	// storeAddress is where instances reach the key-value service.
	storeAddress string
	instances    map[string]*entry.Process
}

// newRig starts the stand-ins, each backend server behind a proxy.
func newRig(t *testing.T) *rig {
	t.Helper()
	s, err := bench.StartSite(bench.SiteOptions{
		Document: document(),
		Engine: modelengine.Options{
			StepTime: 10 * time.Millisecond, PrefillPerSecond: 20_000, MaxBatch: 16, MaxWaiting: 200,
			ReportLag: 100 * time.Millisecond, UnloadTime: 50 * time.Millisecond,
		},
		LoadTime: 200 * time.Millisecond,
		Store:    kvstore.Options{WritesPerSecond: 400, ReadsPerSecond: 2000},
	})
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{Site: s, t: t, proxies: map[string]*faultproxy.Proxy{}, instances: map[string]*entry.Process{}}
	t.Cleanup(r.close)
	r.storeAddress = s.StoreAddress()
	for i := range s.Document.Servers {
		server := &s.Document.Servers[i]
		proxy, err := faultproxy.Listen(server.Address)
		if err != nil {
			t.Fatal(err)
		}
		r.proxies[server.Name] = proxy
		server.Address = proxy.Address()
	}
	r.host = r.newHost(nil)
	return r
}

func (r *rig) newHost(change func(*settings.Settings)) *entry.Processes {
	r.t.Helper()
	host, err := entry.NewProcesses(entry.Options{Directory: r.t.TempDir(), LogLevel: "info", Change: change}, binary)
	if err != nil {
		r.t.Fatal(err)
	}
	return host
}

func (r *rig) close() {
	for name, p := range r.instances {
		p.Kill()
		if r.t.Failed() {
			r.t.Logf("log of %s:\n%s", name, tail(p.Logs()))
		}
	}
	for _, proxy := range r.proxies {
		proxy.Close()
	}
	r.Close()
}

// tail keeps the end of a long log.
func tail(text string) string {
	const most = 6000
	if len(text) > most {
		return "…" + text[len(text)-most:]
	}
	return text
}

// start starts an instance and waits until it is ready.
func (r *rig) start(name, domain string) *entry.Process {
	r.t.Helper()
	started, err := r.host.Start(r.t.Context(), bench.DaemonOptions{
		Name: name, FailureDomain: domain, Document: &r.Document,
		StoreAddress: r.storeAddress, ListAddress: r.ListAddress(), OrderToken: "lab-orders",
	})
	if err != nil {
		r.t.Fatal(err)
	}
	p := started.(*entry.Process)
	r.instances[name] = p
	r.List.Put(instancelist.Instance{Name: name, CallerAddress: p.CallerAddress(), PeerAddress: p.PeerAddress(), FailureDomain: domain})
	r.eventually(name+" is ready", func() bool { return r.get(p, "/readyz").status == http.StatusOK })
	return p
}

// startThree starts one instance in each failure domain, and waits until all know
// each other and serve both models.
func (r *rig) startThree() []*entry.Process {
	r.t.Helper()
	var out []*entry.Process
	for i, domain := range domains {
		out = append(out, r.start(fmt.Sprintf("entry-%d", i+1), domain))
	}
	for _, p := range out {
		r.eventually("all instances are known", func() bool { return len(r.entries(p)) == len(out) })
		r.eventually("both models are served", func() bool {
			return r.complete(p, "alpha", 1).status == http.StatusOK && r.complete(p, "beta", 1).status == http.StatusOK
		})
	}
	return out
}

// eventually waits until the condition holds.
func (r *rig) eventually(what string, condition func() bool) {
	r.t.Helper()
	limit := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(limit) {
			r.t.Fatalf("never came: %s", what)
		}
		time.Sleep(poll)
	}
}

// reply is an answer to a caller.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// verdict is what the answer says of the request; MayHaveRun without an answer.
func (a reply) verdict() verdict.Verdict {
	if a.err != nil {
		return verdict.MayHaveRun
	}
	var v verdict.Verdict
	if err := v.UnmarshalText([]byte(a.header.Get(verdict.Header))); err != nil {
		return verdict.MayHaveRun
	}
	return v
}

func (r *rig) get(p *entry.Process, path string) reply {
	return send(r.t.Context(), http.MethodGet, "http://"+p.CallerAddress()+path, "", nil)
}

func send(ctx context.Context, method, url, body string, header map[string]string) reply {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	var buffer bytes.Buffer
	_, err = io.Copy(&buffer, resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: buffer.String(), err: err}
}

// entries lists the instances that p tells callers to use.
func (r *rig) entries(p *entry.Process) []gateway.Entry {
	var list gateway.EntryList
	_ = json.Unmarshal([]byte(r.get(p, "/v1/entries").body), &list)
	return list.Entries
}

// names lists the names of entries.
func names(entries []gateway.Entry) string {
	var out []string
	for _, e := range entries {
		out = append(out, e.Instance)
	}
	return strings.Join(out, " ")
}

// complete asks for a whole completion of some tokens.
func (r *rig) complete(p *entry.Process, model string, tokens int) reply {
	body := fmt.Sprintf(`{"model":%q,"prompt":"some words","max_tokens":%d}`, model, tokens)
	return send(r.t.Context(), http.MethodPost, "http://"+p.CallerAddress()+"/v1/completions", body, nil)
}

// stream asks for a streamed completion.
func (r *rig) stream(p *entry.Process, id, model string, tokens int) reply {
	return r.streamAt(p.CallerAddress(), id, model, tokens)
}

func (r *rig) streamAt(address, id, model string, tokens int) reply {
	body := fmt.Sprintf(`{"model":%q,"prompt":"some words","max_tokens":%d,"stream":true}`, model, tokens)
	return send(r.t.Context(), http.MethodPost, "http://"+address+"/v1/completions", body,
		map[string]string{request.HeaderID: id, request.HeaderIdempotent: "false"})
}

// wholeStream checks that an answer has all tokens, in order, once each, and its end.
func wholeStream(a reply, id string, tokens int) error {
	if a.err != nil || a.status != http.StatusOK {
		return fmt.Errorf("status %d, error %v, body %s", a.status, a.err, tail(a.body))
	}
	for i := range tokens {
		if n := strings.Count(a.body, fmt.Sprintf("id: %s/%d\n", id, i)); n != 1 {
			return fmt.Errorf("token %d came %d times", i, n)
		}
	}
	if !strings.HasSuffix(strings.TrimSpace(a.body), "data: [DONE]") {
		return fmt.Errorf("no end marker in %s", tail(a.body))
	}
	return nil
}

// form sends a call that must run at most once.
func (r *rig) form(p *entry.Process, id, first string) reply {
	header := map[string]string{request.HeaderID: id}
	if first != "" {
		header[request.HeaderFirstInstance] = first
	}
	return send(r.t.Context(), http.MethodPost, "http://"+p.CallerAddress()+"/v1/services/forms/submit", "{}", header)
}

// async runs f and returns a channel with its answer.
func async(f func() reply) <-chan reply {
	out := make(chan reply, 1)
	go func() { out <- f() }()
	return out
}

// runs is how often a caller's request began to run, over all servers and attempts.
func (r *rig) runs(id string) int {
	total := 0
	for run, n := range r.RunCounts() {
		if load.AskOf(run) == request.ID(id) {
			total += n
		}
	}
	return total
}

// memoryHeld fails the test if an engine was ever asked to hold more than its memory.
func (r *rig) memoryHeld() {
	r.t.Helper()
	for name, e := range r.Engines {
		stats := e.Stats()
		if stats.MemoryViolations != 0 || stats.PeakMemoryMB > 10_000 {
			r.t.Errorf("%s: %d violations, peak %d MiB of 10000", name, stats.MemoryViolations, stats.PeakMemoryMB)
		}
	}
}
