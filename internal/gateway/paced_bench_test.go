package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"limpethub/internal/dispatch"
	"limpethub/internal/engine"
	"limpethub/internal/engine/httpengine"
	"limpethub/internal/forward"
	"limpethub/internal/gateway"
	"limpethub/internal/logging"
	"limpethub/internal/modelref"
	"limpethub/internal/scheduling"
	"limpethub/internal/site"
)

const (
	pacedModel = "m@1"
	// pacedInterval is the time between two tokens of one stream, at about the pace of
	// real servers.
	pacedInterval = 65 * time.Millisecond
	pacedTokens   = 40
)

// newPacedBackendServer starts a backend server that streams one token per pacedInterval.
func newPacedBackendServer() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(httpengine.HeaderRequestID)
		w.Header().Set(httpengine.HeaderRequestID, id)
		controller := http.NewResponseController(w)
		_ = controller.Flush()
		ticker := time.NewTicker(pacedInterval)
		defer ticker.Stop()
		for i := range pacedTokens {
			<-ticker.C
			fmt.Fprintf(w, "id: %s/%d\ndata: {\"choices\":[{\"index\":0,\"text\":\" word\"}]}\n\n", id, i)
			_ = controller.Flush()
		}
		fmt.Fprintf(w, "id: %s/%d\ndata: [DONE]\n\n", id, pacedTokens)
	}))
}

// singleServer resolves every server name to one address.
type singleServer struct{ address string }

func (o singleServer) Server(name string) (engine.Server, bool) {
	return engine.Server{Name: name, Address: o.address}, true
}

type fixedConfiguration struct{ document site.Document }

func (f fixedConfiguration) Current() (site.Accepted, bool) {
	return site.Accepted{Revision: 1, Document: f.document}, true
}

// newBenchGateway starts a gateway in front of the server at address, with the real
// scheduler, forwarder and client of the engine protocol.
func newBenchGateway(b *testing.B, address string) *httptest.Server {
	b.Helper()
	document := site.Document{
		Site: "bench", FailureDomains: []string{"a"},
		Classes: []site.Class{{Name: "c", TimeoutMillis: 60_000, Weight: 1, QueueLimit: 100_000}},
		Models:  []site.Model{{Name: "m", Version: "1", Default: true, MemoryMB: 1, Class: "c"}},
	}
	scheduler, err := scheduling.New(scheduling.Options{Instance: "i", FailureDomain: "a", Document: &document})
	if err != nil {
		b.Fatal(err)
	}
	log := logging.Discard()
	d := dispatch.New(dispatch.Options{Scheduler: scheduler, Logger: log, Now: time.Now})
	d.SetServers([]scheduling.Server{{Name: "s", FailureDomain: "a", Near: true}})
	d.ObserveReport("s", engine.Report{Sequence: 1, Taken: time.Now(), MaxBatch: 100_000, StepMillis: 1, Resident: []modelref.Ref{pacedModel}})
	f := forward.New(forward.Options{Dispatcher: d, Plane: httpengine.New(httpengine.Options{}), Directory: singleServer{address}, Logger: log, Now: time.Now})
	g := gateway.New(gateway.Options{
		Instance: "i", Forwarder: f, Configuration: fixedConfiguration{document},
		Limits: gateway.Limits{BodyBytes: 1 << 16, ReadTimeout: time.Minute, WriteTimeout: time.Minute, KeepAlive: time.Minute, MaxTimeout: time.Hour, MaxRequestsInProgress: 100_000},
		Logger: log, Now: time.Now,
	})
	server := httptest.NewServer(g)
	b.Cleanup(server.Close)
	return server
}

// processCPUTime returns the CPU time that the process has used so far; 0 on an error.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkPacedStreams measures CPU time per token and memory per stream while many streams
// are open at the pace of real servers. The figures cover the whole process: they include
// the backend server and the callers, so an instance alone needs less.
func BenchmarkPacedStreams(b *testing.B) {
	for _, streams := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprint("streams=", streams), func(b *testing.B) { benchmarkPacedStreams(b, streams) })
	}
}

func benchmarkPacedStreams(b *testing.B, streams int) {
	backendServer := newPacedBackendServer()
	defer backendServer.Close()
	gatewayServer := newBenchGateway(b, strings.TrimPrefix(backendServer.URL, "http://"))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	var cpuTime time.Duration
	var memoryBytes uint64
	for b.Loop() {
		before := processCPUTime()
		var readers sync.WaitGroup
		for range streams {
			readers.Go(func() { readPacedStream(b, client, gatewayServer.URL) })
		}
		time.Sleep(pacedInterval * pacedTokens / 2)
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		memoryBytes = stats.HeapAlloc + stats.StackInuse
		readers.Wait()
		cpuTime += processCPUTime() - before
	}
	b.ReportMetric(float64(cpuTime.Nanoseconds())/float64(b.N*streams*pacedTokens), "cpu-ns/token")
	b.ReportMetric(float64(memoryBytes)/float64(streams), "B/stream")
}

// readPacedStream sends one streamed request and reads the answer to its end marker. The
// max_tokens of the request equals pacedTokens.
func readPacedStream(b *testing.B, client *http.Client, url string) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/v1/completions", strings.NewReader(`{"model":"m","stream":true,"max_tokens":40}`))
	if err != nil {
		b.Error(err)
		return
	}
	resp, err := client.Do(r)
	if err != nil {
		b.Error(err)
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || !strings.HasSuffix(strings.TrimSpace(string(text)), "[DONE]") {
		b.Errorf("got status %d, error %v; want an answer that ends with [DONE]", resp.StatusCode, err)
	}
}
