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

// daemonBinary is the path of the daemon that TestMain builds.
var daemonBinary string

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
	daemonBinary = filepath.Join(directory, "limpethubd")
	build := exec.Command("go", "build", "-o", daemonBinary, "limpethub/cmd/limpethubd")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building limpethubd failed: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

const (
	// waitTimeout ends a test whose condition never becomes true. No check depends on it.
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

var domains = []string{"zone-a", "zone-b", "zone-c"}

// document returns the configuration of a small site: three engine servers, two service
// servers and three models. Only engine-2 and engine-3 honour fencing numbers, and only
// engine-2 checks orders.
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
			// The commands in docs/CALLERS.md ask for this model.
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

// rig is a running test site with the instances as separate processes.
type rig struct {
	*bench.Site
	t         *testing.T
	processes *entry.Processes
	proxies   map[string]*faultproxy.Proxy
	// storeAddress is the address at which instances reach the store.
	storeAddress string
	instances    map[string]*entry.Process
}

// newRig starts the simulated outside systems and puts each backend server behind a proxy.
// It starts no instance.
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
	r.processes = r.newProcesses(nil)
	return r
}

// newProcesses returns a launcher of instances; change, if not nil, alters the settings of
// each instance before it starts.
func (r *rig) newProcesses(change func(*settings.Settings)) *entry.Processes {
	r.t.Helper()
	processes, err := entry.NewProcesses(entry.Options{Directory: r.t.TempDir(), LogLevel: "info", Change: change}, daemonBinary)
	if err != nil {
		r.t.Fatal(err)
	}
	return processes
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

// tail returns the last 6000 bytes of a longer text, after an ellipsis.
func tail(text string) string {
	const maxBytes = 6000
	if len(text) > maxBytes {
		return "…" + text[len(text)-maxBytes:]
	}
	return text
}

// start starts an instance, adds it to the platform's instance list and waits until it
// is ready.
func (r *rig) start(name, domain string) *entry.Process {
	r.t.Helper()
	started, err := r.processes.Start(r.t.Context(), bench.DaemonOptions{
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

// startThree starts one instance in each failure domain, and waits until each of them
// lists all three to callers and serves alpha and beta.
func (r *rig) startThree() []*entry.Process {
	r.t.Helper()
	var out []*entry.Process
	for i, domain := range domains {
		out = append(out, r.start(fmt.Sprintf("entry-%d", i+1), domain))
	}
	for _, p := range out {
		r.eventually("the instance lists all instances", func() bool { return len(r.entries(p)) == len(out) })
		r.eventually("the instance serves alpha and beta", func() bool {
			return r.complete(p, "alpha", 1).status == http.StatusOK && r.complete(p, "beta", 1).status == http.StatusOK
		})
	}
	return out
}

// eventually waits until the condition holds, and ends the test after waitTimeout.
func (r *rig) eventually(what string, condition func() bool) {
	r.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			r.t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// reply is the answer that a caller received, or the error if none came.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// verdict returns the verdict in the answer's header. It is MayHaveRun if the answer
// is missing or incomplete, or has no valid verdict.
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

// entries returns the instances that p tells callers to use; none if p doesn't answer.
func (r *rig) entries(p *entry.Process) []gateway.Entry {
	var list gateway.EntryList
	_ = json.Unmarshal([]byte(r.get(p, "/v1/entries").body), &list)
	return list.Entries
}

// instanceNames returns the instances' names, separated by blanks.
func instanceNames(entries []gateway.Entry) string {
	var out []string
	for _, e := range entries {
		out = append(out, e.Instance)
	}
	return strings.Join(out, " ")
}

// complete requests a completion of the given number of tokens in one answer.
func (r *rig) complete(p *entry.Process, model string, tokens int) reply {
	body := fmt.Sprintf(`{"model":%q,"prompt":"some words","max_tokens":%d}`, model, tokens)
	return send(r.t.Context(), http.MethodPost, "http://"+p.CallerAddress()+"/v1/completions", body, nil)
}

// stream requests a streamed completion from p, as a non-idempotent request.
func (r *rig) stream(p *entry.Process, id, model string, tokens int) reply {
	return r.streamAt(p.CallerAddress(), id, model, tokens)
}

func (r *rig) streamAt(address, id, model string, tokens int) reply {
	body := fmt.Sprintf(`{"model":%q,"prompt":"some words","max_tokens":%d,"stream":true}`, model, tokens)
	return send(r.t.Context(), http.MethodPost, "http://"+address+"/v1/completions", body,
		map[string]string{request.HeaderID: id, request.HeaderIdempotent: "false"})
}

// checkWholeStream checks that a stream has each token exactly once and the end marker.
func checkWholeStream(a reply, id string, tokens int) error {
	if a.err != nil || a.status != http.StatusOK {
		return fmt.Errorf("stream failed: status %d, error %v, body %s", a.status, a.err, tail(a.body))
	}
	for i := range tokens {
		if n := strings.Count(a.body, fmt.Sprintf("id: %s/%d\n", id, i)); n != 1 {
			return fmt.Errorf("token %d received %d times, want once", i, n)
		}
	}
	if !strings.HasSuffix(strings.TrimSpace(a.body), "data: [DONE]") {
		return fmt.Errorf("stream does not end with [DONE]: %s", tail(a.body))
	}
	return nil
}

// submitForm sends a non-idempotent service request. A non-empty firstInstance marks it as
// a repeat and names the instance that got the request first.
func (r *rig) submitForm(p *entry.Process, id, firstInstance string) reply {
	header := map[string]string{request.HeaderID: id}
	if firstInstance != "" {
		header[request.HeaderFirstInstance] = firstInstance
	}
	return send(r.t.Context(), http.MethodPost, "http://"+p.CallerAddress()+"/v1/services/forms/submit", "{}", header)
}

// async runs f in a goroutine and returns a channel that receives its answer.
func async(f func() reply) <-chan reply {
	out := make(chan reply, 1)
	go func() { out <- f() }()
	return out
}

// runCount returns how often a request began to run, over all servers and attempts.
func (r *rig) runCount(id string) int {
	total := 0
	for run, n := range r.RunCounts() {
		if load.AskOf(run) == request.ID(id) {
			total += n
		}
	}
	return total
}

// checkMemory fails the test if any load order would have exceeded an engine server's
// memory. Loads that the server refused count too.
func (r *rig) checkMemory() {
	r.t.Helper()
	for name, e := range r.Engines {
		stats := e.Stats()
		if stats.MemoryViolations != 0 || stats.PeakMemoryMB > 10_000 {
			r.t.Errorf("%s: %d loads over the memory limit, peak %d MiB, want at most 10000 MiB", name, stats.MemoryViolations, stats.PeakMemoryMB)
		}
	}
}
