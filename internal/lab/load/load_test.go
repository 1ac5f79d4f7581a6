package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

func testPlan() Plan {
	return Plan{
		Shape: Shape{
			ZipfExponent: 1,
			Bursts:       Bursts{CalmMean: time.Second, BurstMean: time.Second, Factor: 3},
			Classes: []ClassLoad{
				{Class: "urgent", Share: 0.25, Timeout: time.Second, PromptTokens: Range{60, 90}, AnswerTokens: Range{4, 8}, PrefixTokens: 50, Prefixes: 1},
				{Class: "later", Share: 0.75, Timeout: time.Minute, PromptTokens: Range{10, 20}, AnswerTokens: Range{4, 8}},
			},
		},
		Document: &site.Document{
			Classes: []site.Class{{Name: "urgent"}, {Name: "later"}},
			Models: []site.Model{
				{Name: "a", Version: "1", Class: "urgent"}, {Name: "b", Version: "1", Class: "urgent"},
				{Name: "c", Version: "1", Class: "later"},
			},
		},
		PerSecond: 50, Duration: 400 * time.Second, Callers: 4, Seed: 7, Label: "t",
	}
}

func TestArrivalsFollowThePlan(t *testing.T) {
	asks := Arrivals(testPlan())
	if !slices.EqualFunc(asks, Arrivals(testPlan()), func(a, b Ask) bool { return a == b }) {
		t.Fatal("the same plan gave other asks")
	}
	rate := float64(len(asks)) / 400
	if math.Abs(rate-50) > 5 {
		t.Errorf("rate %.1f a second, want about 50", rate)
	}
	urgent, first := 0, 0
	for _, ask := range asks {
		if ask.Class == "urgent" {
			urgent++
		}
		if ask.Model == "a@1" {
			first++
		}
	}
	if share := float64(urgent) / float64(len(asks)); math.Abs(share-0.25) > 0.02 {
		t.Errorf("urgent share %.3f, want about 0.25", share)
	}
	if share := float64(first) / float64(urgent); math.Abs(share-2.0/3) > 0.03 {
		t.Errorf("share of the first model %.3f, want about 2/3", share)
	}
}

func TestPromptsShareTheirPrefix(t *testing.T) {
	var prompts []string
	for _, ask := range Arrivals(testPlan()) {
		if ask.Model == "a@1" {
			prompts = append(prompts, ask.Prompt)
		}
	}
	if prompts[0][:200] != prompts[1][:200] || prompts[0] == prompts[1] {
		t.Fatalf("prompts %q and %q", prompts[0], prompts[1])
	}
}

func piece(run string, offset int) string {
	return fmt.Sprintf(`{"choices":[{"index":0,"text":"%s#%d "}]}`, run, offset)
}

func TestCheckerBites(t *testing.T) {
	tests := []struct {
		name   string
		pieces []string
		want   error
	}{
		{"whole", []string{piece("q-1.1", 0), piece("q-1.1", 1)}, nil},
		{"whole, named by an instance", []string{piece("q-1~e-1-7.1", 0), piece("q-1~e-1-7.1", 1)}, nil},
		{"another request", []string{piece("q-1.1", 0), piece("q-2.1", 1)}, ErrForeign},
		{"a longer id with the same start", []string{piece("q-10.1", 0)}, ErrForeign},
		{"left out", []string{piece("q-1.1", 0), piece("q-1.1", 2)}, ErrOrder},
		{"twice", []string{piece("q-1.1", 0), piece("q-1.1", 0)}, ErrOrder},
		{"two runs joined", []string{piece("q-1.1", 0), piece("q-1.2", 1)}, ErrOrder},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &checker{id: "q-1"}
			var err error
			for _, p := range tt.pieces {
				err = errors.Join(err, c.piece(p, time.Now()))
			}
			if !errors.Is(err, tt.want) {
				t.Fatalf("got %v, want %v", err, tt.want)
			}
		})
	}
}

func TestStreamEnds(t *testing.T) {
	event := "data: " + piece("q-1.1", 0) + "\n\n"
	for text, want := range map[string]error{
		event + "data: [DONE]\n\n": nil,
		event:                      ErrCut,
		": keep-alive\n\n":         ErrCut,
	} {
		c := &checker{id: "q-1"}
		if err := c.readStream(strings.NewReader(text)); !errors.Is(err, want) {
			t.Errorf("%q: got %v, want %v", text, err, want)
		}
	}
	c := &checker{id: "q-1"}
	err := c.readStream(strings.NewReader(event + "event: error\ndata: {\"error\":{\"code\":\"stream_cut\",\"verdict\":\"ran\"}}\n\n"))
	var failure *Failure
	if !errors.As(err, &failure) || failure.Verdict != verdict.Ran {
		t.Errorf("failure event: %v", err)
	}
}

// A caller keeps the answer of /v1/entries, repeats what was not run, and names the
// first instance when it repeats what must not run twice.
func TestCallerRepeatsAsVerdictsAllow(t *testing.T) {
	var posts []*http.Request
	asked := 0
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/entries" {
			asked++
			_ = json.NewEncoder(w).Encode(map[string]any{"ttl_ms": 60_000, "entries": []Entry{{Instance: "e1", Incarnation: 7, Address: strings.TrimPrefix(server.URL, "http://")}}})
			return
		}
		posts = append(posts, r)
		if len(posts) == 1 {
			panic(http.ErrAbortHandler)
		}
		if len(posts) == 2 {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"error":{"code":"queue_full","verdict":"not-run","retry_after_ms":1}}`))
			return
		}
		_, _ = w.Write([]byte(`{"id":"f-1.1"}`))
	}))
	defer server.Close()
	o := Options{Seeds: []string{strings.TrimPrefix(server.URL, "http://")}, Callers: 1}
	results := Run(t.Context(), o, []Ask{{ID: "f-1", Class: "desk", Service: "financing", Timeout: time.Minute}})
	c := results.Classes["desk"]
	if c.InTime != 1 || c.Sent != 3 {
		t.Fatalf("in time %d, sent %d", c.InTime, c.Sent)
	}
	var first []string
	for _, post := range posts {
		first = append(first, post.Header.Get(request.HeaderFirstInstance))
	}
	// The third attempt is a first one again: the second was told that it didn't run.
	if first[0] != "" || !regexp.MustCompile(`^e1;incarnation=7;age=\d+$`).MatchString(first[1]) || first[2] != "" {
		t.Fatalf("first instances %q", first)
	}
	if asked != 2 {
		t.Fatalf("asked for entries %d times, want 2: once, and after the failure", asked)
	}
}

// What a caller breaks off itself is late; it isn't a broken promise of the system.
func TestGivingUpIsLate(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/entries" {
			_ = json.NewEncoder(w).Encode(map[string]any{"ttl_ms": 60_000, "entries": []Entry{{Instance: "e1", Address: r.Host}}})
			return
		}
		_, _ = fmt.Fprintf(w, "data: %s\n\n", piece("q-1.1", 0))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	o := Options{Seeds: []string{strings.TrimPrefix(server.URL, "http://")}, Callers: 1}
	results := Run(t.Context(), o, []Ask{{ID: "q-1", Class: "c", Model: "m@1", MaxTokens: 2, Timeout: 10 * time.Millisecond, Idempotent: true}})
	if c := results.Classes["c"]; c.Late != 1 || c.Cut != 0 {
		t.Fatalf("late %d, cut %d", c.Late, c.Cut)
	}
}
