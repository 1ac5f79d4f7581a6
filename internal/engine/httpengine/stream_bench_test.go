package httpengine

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/request"
)

const tokensPerStream = 1000

// BenchmarkStreamFromServer measures the time per streamed token from a server over loopback
// to the adapter's caller. It includes the server's write and flush of each token.
func BenchmarkStreamFromServer(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(HeaderRequestID)
		w.Header().Set(HeaderRequestID, id)
		w.Header().Set("Content-Type", "text/event-stream")
		controller := http.NewResponseController(w)
		for i := range tokensPerStream {
			fmt.Fprintf(w, "id: %s/%d\ndata: {\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\" word\"}]}\n\n", id, i)
			_ = controller.Flush()
		}
		fmt.Fprintf(w, "id: %s/%d\ndata: [DONE]\n\n", id, tokensPerStream)
	}))
	defer server.Close()
	e := New(Options{})
	target := engine.Server{Name: "s", Address: strings.TrimPrefix(server.URL, "http://")}
	b.ReportAllocs()
	number := 0
	for b.Loop() {
		number++
		call := engine.Call{
			Request: request.Request{ID: request.ID(fmt.Sprint("r", number)), Deadline: time.Now().Add(time.Minute)},
			Method:  http.MethodPost, Path: "/v1/completions", Header: http.Header{}, Body: []byte(`{}`),
		}
		readStream(b, e, target, call)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokensPerStream, "ns/token")
}

func readStream(b *testing.B, e *Engine, target engine.Server, call engine.Call) {
	b.Helper()
	stream, err := e.Generate(b.Context(), target, call)
	if err != nil {
		b.Fatal(err)
	}
	defer stream.Close()
	for {
		event, err := stream.Next()
		if err != nil {
			b.Fatal(err)
		}
		if event.End {
			return
		}
	}
}
