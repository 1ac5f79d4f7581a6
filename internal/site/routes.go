package site

import "strings"

// RouteKind tells how often requests of a route may run and how they are answered.
type RouteKind string

// Kinds of routes.
const (
	// RouteRepeatable marks requests that are idempotent. "repeatable" is the word for
	// operators.
	RouteRepeatable RouteKind = "repeatable"
	// RouteOnce marks requests that may run at most once.
	RouteOnce RouteKind = "once"
	// RouteStream marks requests that are answered by a stream of events. They may run at
	// most once, unless the route is resumable.
	RouteStream RouteKind = "stream"
)

// Route maps the requests for a host and a path prefix to services.
type Route struct {
	// Name identifies the route. Uniqueness isn't checked.
	Name string `json:"name" validate:"required"`
	// Host is the value of the Host header, without port.
	Host string `json:"host" validate:"required"`
	// PathPrefix is a path that begins and ends with a slash, which isn't checked. The longest
	// matching prefix is used; with another form the route matches nothing.
	PathPrefix string `json:"path_prefix" validate:"required"`
	// Targets lists the services, each with its share of the requests.
	Targets []RouteTarget `json:"targets" validate:"required,min=1,dive"`
	// Kind tells how often requests may run and how they are answered.
	Kind RouteKind `json:"kind" validate:"oneof=repeatable once stream"`
	// Resumable allows a broken stream to be continued on another server.
	Resumable bool `json:"resumable"`
	// Class is the class of the requests.
	Class string `json:"class" validate:"required"`
	// TimeoutMillis limits the time from the arrival of a request to the end of its answer,
	// in milliseconds, even if the caller would wait longer.
	TimeoutMillis int64 `json:"timeout_ms" validate:"gt=0"`
	// ObjectiveMillis is the latency objective in milliseconds: the time to the end of the
	// answer, or for a stream to its first event.
	ObjectiveMillis int64 `json:"objective_ms" validate:"gte=0"`
	// PauseMillis is the objective for the pause between two events of a stream, in
	// milliseconds; 0 means no limit. The value is only kept: nothing enforces or measures it.
	PauseMillis int64 `json:"pause_ms" validate:"gte=0"`
	// MaxAttempts is how many times one request may be sent to a server.
	MaxAttempts int `json:"max_attempts" validate:"gt=0"`
	// Affinity tells that requests share prompt prefixes, so that they are best sent to a
	// server that has their prefix cached.
	Affinity bool `json:"affinity"`
	// Public tells that callers need no key, if the document requires keys.
	Public bool `json:"public,omitempty"`
}

// Idempotent reports whether requests of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == RouteRepeatable || (r.Kind == RouteStream && r.Resumable)
}

// RouteTarget is a service that receives a share of a route's requests.
type RouteTarget struct {
	// Service names the service: a plain service, or the service of a Pool. Whether it exists
	// isn't checked.
	Service string `json:"service" validate:"required"`
	// Weight is the share of the requests, relative to the weights of the other targets.
	Weight int `json:"weight" validate:"gt=0"`
}

// Pool holds the common properties of the model engines of a service. The servers
// themselves are discovered instead of configured.
type Pool struct {
	// Service is the name by which routes and models refer to the pool. It isn't in
	// Document.Services, which lists only plain services.
	Service string `json:"service" validate:"required"`
	// MemoryMB is the memory of each server for models and adapters, in MiB.
	MemoryMB int64 `json:"memory_mb" validate:"gt=0"`
	// AdapterSlots is how many adapters a server can hold at the same time.
	AdapterSlots int `json:"adapter_slots" validate:"gte=0"`
	// BatchSize is how many requests a server runs at the same time, as configured. The value
	// is only kept: scheduling uses the number that the server itself reports.
	BatchSize int `json:"batch_size" validate:"gte=0"`
	// LoadsPerSecond is how many loads from the weight store the servers of the pool may
	// start per second in total.
	LoadsPerSecond float64 `json:"loads_per_second" validate:"gte=0"`
}

// CallerLimits limits the requests of callers. Only MaxBodyBytes is applied; if it is 0, package
// platform applies its own limit. The other fields are kept but have no effect: package
// platform has constants for them.
type CallerLimits struct {
	// MaxHeaderBytes limits the total size of the headers of a request, in bytes.
	MaxHeaderBytes int `json:"max_header_bytes" validate:"gte=0"`
	// MaxBodyBytes limits the size of the body of a request, in bytes.
	MaxBodyBytes int64 `json:"max_body_bytes" validate:"gte=0"`
	// HeaderTimeoutMillis limits the time in which the headers of a request must arrive, in
	// milliseconds.
	HeaderTimeoutMillis int64 `json:"header_timeout_ms" validate:"gte=0"`
	// IdleTimeoutMillis is how long an unused connection is kept open, in milliseconds.
	IdleTimeoutMillis int64 `json:"idle_timeout_ms" validate:"gte=0"`
}

func (d *Document) Pool(service string) (Pool, bool) {
	for _, p := range d.Pools {
		if p.Service == service {
			return p, true
		}
	}
	return Pool{}, false
}

// RouteTable looks up routes by host and path. It is built once per document.
type RouteTable struct {
	byHost map[string]map[string]*Route
}

// NewRouteTable indexes a document's routes. If routes have the same host and prefix, only the
// first of them is used.
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

// Find returns the route with the longest prefix of the path, or nil. The host may include
// a port.
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
