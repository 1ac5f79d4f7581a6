// Package gateway is the callers' HTTP interface: OpenAI-style completions, plain
// services, and the answer to which instances to use. See docs/CALLERS.md.
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

// Forwarder carries requests to backend servers.
type Forwarder interface {
	Stream(ctx context.Context, call engine.Call, sink forward.Sink) error
	Invoke(ctx context.Context, call engine.Call) (engine.Response, error)
}

// Repeats keeps a non-idempotent request from running twice.
type Repeats interface {
	// Begin claims the right to run r. first names the instance that the caller says it
	// sent the request to before; empty for a first attempt. An error is a
	// *verdict.Error that tells what became of the earlier attempt.
	Begin(ctx context.Context, r request.Request, first string) (Claim, error)
}

// Claim is the right to run one non-idempotent request.
type Claim interface {
	// End notes how the run ended.
	End(v verdict.Verdict)
}

// Configuration gives the configuration in force.
type Configuration interface {
	Current() (site.Accepted, bool)
}

// Entry is one instance that callers may use.
type Entry struct {
	Instance      string `json:"instance"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Incarnation tells processes of one instance apart. Callers give it back when they
	// repeat a request elsewhere.
	Incarnation uint64 `json:"incarnation"`
}

// Directory answers which instances to use.
type Directory interface {
	// Entries lists instances for a model, the nearest first. from is the caller's
	// failure domain if it stated one.
	Entries(model, from string) []Entry
}

// Observer is told how requests end, for metrics.
type Observer interface {
	ObserveRequest(end RequestEnd)
}

// RequestEnd says how one request ended.
type RequestEnd struct {
	Class      string
	Code       verdict.Code
	Verdict    verdict.Verdict
	InTime     bool
	Duration   time.Duration
	FirstToken time.Duration
}

// Limits bounds what callers may use.
type Limits struct {
	// BodyBytes is the largest request body.
	BodyBytes int64
	// ReadTimeout bounds the reading of a request's body.
	ReadTimeout time.Duration
	// WriteTimeout bounds one write to a slow reader.
	WriteTimeout time.Duration
	// KeepAlive is the time between comments on a quiet stream.
	KeepAlive time.Duration
	// EntriesTTL is how long callers may keep an answer to /v1/entries.
	EntriesTTL time.Duration
	// MaxTimeout is the longest deadline that callers may ask for.
	MaxTimeout time.Duration
	// ConfigurationWait is how long a request waits for the instance's first
	// configuration: callers may be told of an instance just before it has one.
	ConfigurationWait time.Duration
	// OpenRequests is how many requests the instance holds at once.
	OpenRequests int64
}

// Options are the parts that a Gateway works with.
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

// Gateway serves callers.
type Gateway struct {
	options  Options
	router   *mux.Router
	sequence atomic.Uint64
	open     atomic.Int64
	leaving  atomic.Bool
	// started makes generated request ids unique across restarts.
	started int64
}

var _ http.Handler = (*Gateway)(nil)

// New makes a Gateway.
func New(options Options) *Gateway {
	g := &Gateway{options: options, started: options.Now().UnixNano()}
	g.router = mux.NewRouter()
	g.router.Use(g.identify)
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

// identify names the instance in each answer, so that a caller who repeats a request
// elsewhere can say where it was first sent.
func (g *Gateway) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(request.HeaderInstance, g.options.Instance)
		next.ServeHTTP(w, r)
	})
}

// Leave marks the instance as leaving. It goes on serving whoever still comes.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// Open is the number of requests in progress.
func (g *Gateway) Open() int64 { return g.open.Load() }

// WaitIdle waits until no request is in progress.
func (g *Gateway) WaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for g.open.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// idlePoll is the time between two looks at what is waited for.
const idlePoll = 10 * time.Millisecond

func (g *Gateway) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// handleReady says whether new callers should come: not before a configuration is
// in force, and not while leaving.
func (g *Gateway) handleReady(w http.ResponseWriter, _ *http.Request) {
	if _, ok := g.options.Configuration.Current(); !ok || g.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// configuration returns the configuration in force, waiting a little for the first one.
func (g *Gateway) configuration(ctx context.Context) (site.Accepted, *verdict.Error) {
	accepted, ok := g.options.Configuration.Current()
	if ok {
		return accepted, nil
	}
	ctx, cancel := context.WithTimeout(ctx, g.options.Limits.ConfigurationWait)
	defer cancel()
	ticker := time.NewTicker(idlePoll)
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

// enter counts a request in, up to the limit of open requests.
func (g *Gateway) enter() (leave func(), err *verdict.Error) {
	if g.open.Add(1) > g.options.Limits.OpenRequests {
		g.open.Add(-1)
		refusal := verdict.Refused(verdict.CodeQueueFull, "the instance holds as many requests as it may; use another one")
		refusal.RetryAfter = time.Second
		return nil, refusal
	}
	return func() { g.open.Add(-1) }, nil
}
