package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/forward"
	"limpethub/internal/logging"
)

// tokensPerStream is the number of tokens of each answer in the benchmark.
const tokensPerStream = 1000

// benchForwarder delivers events as fast as the sink accepts them.
type benchForwarder struct{ data []byte }

func (f *benchForwarder) Stream(_ context.Context, _ engine.Call, sink forward.Sink) error {
	for i := range tokensPerStream {
		if err := sink.Event(engine.Event{Offset: i, Data: f.data}); err != nil {
			return err
		}
	}
	return nil
}

func (f *benchForwarder) Invoke(context.Context, engine.Call) (engine.Response, error) {
	return engine.Response{}, nil
}

// BenchmarkStreamToCaller measures the time per streamed token from the forwarder to a
// caller over loopback. It includes the caller's reading.
func BenchmarkStreamToCaller(b *testing.B) {
	g := New(Options{
		Instance: "entry-1", Forwarder: &benchForwarder{data: []byte(`{"object":"text_completion","choices":[{"index":0,"text":" word"}]}`)},
		Repeats: nil, Configuration: fixedConfiguration{testConfiguration()}, Directory: fixedDirectory{},
		Limits: Limits{BodyBytes: 1000, ReadTimeout: time.Minute, WriteTimeout: time.Minute, KeepAlive: time.Minute, EntriesTTL: time.Second, MaxTimeout: time.Hour, MaxRequestsInProgress: 10},
		Logger: logging.Discard(), Now: time.Now,
	})
	server := httptest.NewServer(g)
	defer server.Close()
	b.ReportAllocs()
	for b.Loop() {
		resp, err := http.Post(server.URL+"/v1/completions", "application/json", strings.NewReader(`{"model":"m","stream":true}`))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
		resp.Body.Close()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokensPerStream, "ns/token")
}
