// Package gateway serves the HTTP interface for callers on an instance: it turns completions
// in the style of OpenAI and calls of plain services into requests, has them forwarded to
// backend servers and writes the answers. A plain service is an HTTP service that runs no
// models; the rest of the path, the query, the method, the body and some headers of a call are
// passed on to it unchanged. The package also lists the models and the instances to use.
// Package operatorapi is the interface for operators. See docs/CALLERS.md.
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"limpethub/internal/engine"
	"limpethub/internal/forward"
	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

// Forwarder sends calls to backend servers.
type Forwarder interface {
	// Stream runs a completion and delivers its events to sink.
	Stream(ctx context.Context, call engine.Call, sink forward.Sink) error
	// Invoke calls a plain service and returns its whole response.
	Invoke(ctx context.Context, call engine.Call) (engine.Response, error)
}

// Repeats ensures that a non-idempotent request runs at most once, also if the caller
// repeats it.
type Repeats interface {
	// Begin claims the right to run r. first is the value of the header
	// request.HeaderFirstInstance, which a caller sends with a repeat: it names the
	// instance that received the request first, in the form of atmostonce.ParseOrigin. It
	// is empty if the caller sent no such header. The error is a *verdict.Error: with the
	// outcome of the earlier request, or with the reason why r may not run.
	Begin(ctx context.Context, r request.Request, first string) (Claim, error)
}

// Claim is the right to run one non-idempotent request.
type Claim interface {
	// End records the verdict of the run.
	End(v verdict.Verdict)
}

// Configuration provides the configuration in force.
type Configuration interface {
	// Current returns the configuration in force, and false if there is none yet.
	Current() (site.Accepted, bool)
}

// Entry is one instance that callers may use.
type Entry struct {
	Instance      string `json:"instance"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Incarnation distinguishes the successive processes of one instance. A caller that
	// repeats a request on another instance sends it back in the header
	// request.HeaderFirstInstance.
	Incarnation uint64 `json:"incarnation"`
}

// Directory lists the instances that callers should use.
type Directory interface {
	// Entries lists the instances for a model, best first. from is the caller's
	// failure domain, or empty if the caller states none.
	Entries(model, from string) []Entry
}

// Observer receives the outcomes of requests, for metrics.
type Observer interface {
	ObserveRequest(end RequestOutcome)
}

// RequestOutcome is the outcome of one request.
type RequestOutcome struct {
	// Class identifies the class of work: by its name or, in outcomes from package platform,
	// by its index. It is empty if there is no such class or no configuration yet. A request
	// that was refused before its class was read counts for the first class.
	Class string
	// Code names the cause of a failure; empty if the request succeeded.
	Code    verdict.Code
	Verdict verdict.Verdict
	// InTime is true if the request succeeded by its deadline or, in outcomes from package
	// platform, met its objective.
	InTime bool
	// Duration is the time from the arrival of the request to its end; zero if it was
	// refused before its arrival was recorded.
	Duration time.Duration
	// FirstEvent is the time from the arrival to the first event of the answer. Without
	// events, it is the time to the end of a streamed answer that was finished, and zero
	// otherwise. This package always gives zero for calls of plain services.
	FirstEvent time.Duration
}

// Limits bounds the requests of callers and the time spent on them.
type Limits struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
	// ReadTimeout bounds the time for reading a request body.
	ReadTimeout time.Duration
	// WriteTimeout bounds the time for one write to a streamed answer.
	WriteTimeout time.Duration
	// KeepAlive is the interval between keep-alive comments on a streamed answer
	// without events.
	KeepAlive time.Duration
	// EntriesTTL is how long callers may cache an answer to GET /v1/entries.
	EntriesTTL time.Duration
	// MaxTimeout is the longest timeout that a caller may ask for.
	MaxTimeout time.Duration
	// ConfigurationWait is how long a request waits for the instance's first
	// configuration. Callers may learn of an instance shortly before it has one.
	ConfigurationWait time.Duration
	// MaxRequestsInProgress is the maximum number of requests in progress on the instance.
	// Above it, requests are refused with verdict.CodeQueueFull.
	MaxRequestsInProgress int64
}

// Options are the settings and dependencies of a Gateway.
type Options struct {
	Instance      string
	Forwarder     Forwarder
	Repeats       Repeats
	Configuration Configuration
	Directory     Directory
	Observer      Observer
	Limits        Limits
	Logger        *logrus.Entry
	Now           func() time.Time
}

// Gateway is the HTTP handler of the callers' interface.
type Gateway struct {
	options    Options
	router     *mux.Router
	sequence   atomic.Uint64
	inProgress atomic.Int64
	draining   atomic.Bool
	// startUnixNano is the start time in nanoseconds. It makes generated request IDs
	// unique across restarts.
	startUnixNano int64
}

var _ http.Handler = (*Gateway)(nil)

// New creates a Gateway. Options.Observer may be nil.
func New(options Options) *Gateway {
	g := &Gateway{options: options, startUnixNano: options.Now().UnixNano()}
	g.router = mux.NewRouter()
	g.router.Use(g.setInstanceHeader)
	g.router.HandleFunc("/v1/completions", g.handleCompletion).Methods(http.MethodPost)
	g.router.HandleFunc("/v1/chat/completions", g.handleCompletion).Methods(http.MethodPost)
	g.router.HandleFunc("/v1/models", g.handleModels).Methods(http.MethodGet)
	g.router.HandleFunc("/v1/entries", g.handleEntries).Methods(http.MethodGet)
	g.router.PathPrefix("/v1/services/{service}/").HandlerFunc(g.handleService)
	g.router.HandleFunc("/healthz", g.handleHealth).Methods(http.MethodGet)
	g.router.HandleFunc("/readyz", g.handleReady).Methods(http.MethodGet)
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.router.ServeHTTP(w, r) }

// setInstanceHeader is a middleware that names the instance in each answer, so that a caller
// that repeats the request on another instance can say where it sent it first.
func (g *Gateway) setInstanceHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(request.HeaderInstance, g.options.Instance)
		next.ServeHTTP(w, r)
	})
}

// StartDrain starts the drain of the instance: GET /readyz answers 503 from now on, so that new
// callers use another instance. Requests that still arrive are served.
func (g *Gateway) StartDrain() { g.draining.Store(true) }

// RequestsInProgress returns the number of requests in progress.
func (g *Gateway) RequestsInProgress() int64 { return g.inProgress.Load() }

// WaitIdle waits until no request is in progress or ctx ends.
func (g *Gateway) WaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for g.inProgress.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// pollInterval is the time between two checks while waiting for the first configuration or
// for the end of the requests in progress.
const pollInterval = 10 * time.Millisecond

func (g *Gateway) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// handleReady reports whether new callers should use the instance: not before it has a
// configuration, and not while it drains.
func (g *Gateway) handleReady(w http.ResponseWriter, _ *http.Request) {
	if _, ok := g.options.Configuration.Current(); !ok || g.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// configuration returns the configuration in force. It waits up to
// Limits.ConfigurationWait for the first one.
func (g *Gateway) configuration(ctx context.Context) (site.Accepted, *verdict.Error) {
	accepted, ok := g.options.Configuration.Current()
	if ok {
		return accepted, nil
	}
	ctx, cancel := context.WithTimeout(ctx, g.options.Limits.ConfigurationWait)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !ok {
		select {
		case <-ctx.Done():
			return accepted, notReady()
		case <-ticker.C:
			accepted, ok = g.options.Configuration.Current()
		}
	}
	return accepted, nil
}

// acquireSlot counts a request as in progress until release is called. It refuses the
// request if Limits.MaxRequestsInProgress requests are already in progress.
func (g *Gateway) acquireSlot() (release func(), err *verdict.Error) {
	if g.inProgress.Add(1) > g.options.Limits.MaxRequestsInProgress {
		g.inProgress.Add(-1)
		refusal := verdict.Refused(verdict.CodeQueueFull, "the instance holds as many requests as it may; use another one")
		refusal.RetryAfter = time.Second
		return nil, refusal
	}
	return func() { g.inProgress.Add(-1) }, nil
}
