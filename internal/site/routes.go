package site

import "strings"

// RouteKind says what may be done with requests of a route besides sending them once.
type RouteKind string

// Kinds of routes.
const (
	// RouteRepeatable marks requests that are idempotent.
	RouteRepeatable RouteKind = "repeatable"
	// RouteOnce marks requests that may run at most once.
	RouteOnce RouteKind = "once"
	// RouteStream marks requests that are answered by a stream of events. They run at
	// most once, unless the route is resumable.
	RouteStream RouteKind = "stream"
)

// Route sends the requests for a host and a path prefix to services.
type Route struct {
	// Name is unique in the document.
	Name string `json:"name" validate:"required"`
	// Host is the value of the Host header, without a port.
	Host string `json:"host" validate:"required"`
	// PathPrefix begins and ends with a slash. The longest matching one wins.
	PathPrefix string `json:"path_prefix" validate:"required"`
	// Targets lists the services, with the share of requests that each gets.
	Targets []RouteTarget `json:"targets" validate:"required,min=1,dive"`
	// Kind says whether requests may run more than once.
	Kind RouteKind `json:"kind" validate:"oneof=repeatable once stream"`
	// Resumable lets a stream that broke off go on at another server.
	Resumable bool `json:"resumable"`
	// Class is the class of the requests.
	Class string `json:"class" validate:"required"`
	// TimeoutMillis bounds a request from its arrival to the end of its answer, in
	// milliseconds, however long the caller would wait.
	TimeoutMillis int64 `json:"timeout_ms" validate:"gt=0"`
	// ObjectiveMillis is the latency objective, in milliseconds: up to the whole answer,
	// or up to the first event of a stream.
	ObjectiveMillis int64 `json:"objective_ms" validate:"gte=0"`
	// PauseMillis is the longest pause between two events of a stream that still counts
	// as on time, in milliseconds; 0 means no bound.
	PauseMillis int64 `json:"pause_ms" validate:"gte=0"`
	// MaxAttempts is to how many servers one request may be sent.
	MaxAttempts int `json:"max_attempts" validate:"gt=0"`
	// Affinity says that requests share prompt prefixes, so that they are best served
	// where their prefix is cached.
	Affinity bool `json:"affinity"`
}

// Idempotent reports whether requests of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == RouteRepeatable || (r.Kind == RouteStream && r.Resumable)
}

// RouteTarget is a service with its share of a route's requests.
type RouteTarget struct {
	Service string `json:"service" validate:"required"`
	// Weight is the share, relative to the other targets' weights.
	Weight int `json:"weight" validate:"gt=0"`
}

// Pool holds what the model engines of a service have in common. Their servers aren't
// configured but discovered.
type Pool struct {
	// Service names the service.
	Service string `json:"service" validate:"required"`
	// MemoryMB is each server's memory for models and adapters, in MB.
	MemoryMB int64 `json:"memory_mb" validate:"gt=0"`
	// AdapterSlots is how many adapters a server holds at once.
	AdapterSlots int `json:"adapter_slots" validate:"gte=0"`
	// BatchSize is how many requests a server runs at once.
	BatchSize int `json:"batch_size" validate:"gte=0"`
	// LoadsPerSecond is how many loads from the weight store all servers together may
	// begin per second.
	LoadsPerSecond float64 `json:"loads_per_second" validate:"gte=0"`
}

// CallerLimits bounds what callers may send. A zero field sets no bound.
type CallerLimits struct {
	// MaxHeaderBytes bounds the head of a request, in bytes.
	MaxHeaderBytes int `json:"max_header_bytes" validate:"gte=0"`
	// MaxBodyBytes bounds the body of a request, in bytes.
	MaxBodyBytes int64 `json:"max_body_bytes" validate:"gte=0"`
	// HeaderTimeoutMillis bounds the time that the head of a request takes to arrive, in
	// milliseconds.
	HeaderTimeoutMillis int64 `json:"header_timeout_ms" validate:"gte=0"`
	// IdleTimeoutMillis is how long a connection may be unused, in milliseconds.
	IdleTimeoutMillis int64 `json:"idle_timeout_ms" validate:"gte=0"`
}

// Pool returns the pool of a service.
func (d *Document) Pool(service string) (Pool, bool) {
	for _, p := range d.Pools {
		if p.Service == service {
			return p, true
		}
	}
	return Pool{}, false
}

// RouteTable finds routes by host and path. It is made once for each document.
type RouteTable struct {
	byHost map[string]map[string]*Route
}

// NewRouteTable indexes a document's routes. Of two routes with the same host and
// prefix the first one counts.
func NewRouteTable(d *Document) *RouteTable {
	t := &RouteTable{byHost: map[string]map[string]*Route{}}
	for i := range d.Routes {
		r := &d.Routes[i]
		prefixes := t.byHost[r.Host]
		if prefixes == nil {
			prefixes = map[string]*Route{}
			t.byHost[r.Host] = prefixes
		}
		if _, taken := prefixes[r.PathPrefix]; !taken {
			prefixes[r.PathPrefix] = r
		}
	}
	return t
}

// Find returns the route with the longest prefix that begins the path, or nil. The
// host may carry a port.
func (t *RouteTable) Find(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	prefixes := t.byHost[host]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := prefixes[path[:slash+1]]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}
