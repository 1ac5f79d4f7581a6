// Package site defines the configuration of a site, which operators write: its models,
// classes of work, servers, services and budgets. It loads a base file, merges the site's
// overlay into it, checks the result, and lists the differences between two configurations.
// Package sitecheck adds the checks that need the planner.
package site

import (
	"limpethub/internal/modelref"
)

// Document is the whole, merged configuration of a site.
type Document struct {
	// Site is the name of the site.
	Site string `json:"site" validate:"required"`
	// FailureDomains lists the failure domains of the site.
	FailureDomains []string `json:"failure_domains" validate:"required,min=1,dive,required"`
	// Classes lists the classes of work, most urgent first.
	Classes []Class `json:"classes" validate:"required,min=1,dive"`
	// Models lists the model versions that must remain available.
	Models []Model `json:"models" validate:"dive"`
	// Adapters lists the adapter versions that must remain available.
	Adapters []Adapter `json:"adapters" validate:"dive"`
	// Servers lists the backend servers.
	Servers []Server `json:"servers" validate:"dive"`
	// Services lists the plain services.
	Services []Service `json:"services" validate:"dive"`
	// Budgets holds the site's limits of loads, retries and store calls.
	Budgets Budgets `json:"budgets"`
	// Routes maps callers' requests to services by host and path. Only instances that serve
	// callers through package platform use them.
	Routes []Route `json:"routes,omitzero" validate:"dive"`
	// Pools lists the services whose servers are model engines. These engines aren't listed
	// in Servers: package discovery finds them by their announcements.
	Pools []Pool `json:"pools,omitzero" validate:"dive"`
	// CallerLimits limits the requests of callers on routes.
	CallerLimits CallerLimits `json:"caller_limits,omitzero"`
	// RequireKeys tells that callers must present a key of one of Workspaces, except on public
	// routes. With no workspaces every key is unknown.
	RequireKeys bool `json:"require_keys,omitempty"`
	// Workspaces lists the workspaces and the hashes of their keys.
	Workspaces []Workspace `json:"workspaces,omitzero" validate:"dive"`
}

// Class is a class of work. Its position in the list defines its urgency.
type Class struct {
	// Name is the value that callers send in the Limpethub-Class header.
	Name string `json:"name" validate:"required"`
	// TimeoutMillis is the time until the deadline of a request that states none, in
	// milliseconds.
	TimeoutMillis int64 `json:"timeout_ms" validate:"gt=0"`
	// Weight is the value of a request that finishes in time, relative to other classes.
	Weight float64 `json:"weight" validate:"gt=0"`
	// QueueLimit is how many requests of the class may be queued on one instance.
	QueueLimit int `json:"queue_limit" validate:"gt=0"`
	// FloorShare is the minimum share of dispatches, 0 to 1, that the class gets while it
	// has queued requests, regardless of more urgent work.
	FloorShare float64 `json:"floor_share" validate:"gte=0,lt=1"`
}

// Model is one version of a model.
type Model struct {
	// Name is the name under which callers request the model.
	Name string `json:"name" validate:"required"`
	// Version distinguishes versions of one name.
	Version string `json:"version" validate:"required"`
	// Default marks the version that is used when a caller states none.
	Default bool `json:"default"`
	// MemoryMB is the accelerator memory that a copy takes on a server, in MiB.
	MemoryMB int64 `json:"memory_mb" validate:"gt=0"`
	// Class is the class of requests that state none.
	Class string `json:"class" validate:"required"`
	// Service names the service whose engines run the model; see Pool. Empty means every
	// engine.
	Service string `json:"service,omitempty"`
	// LoadMillis is the duration of a load from the weight store, in milliseconds. 0 means
	// unknown, here and in the next two fields.
	LoadMillis int64 `json:"load_ms,omitempty" validate:"gte=0"`
	// DiskMillis is the duration of a load from the server's own disk, in milliseconds.
	DiskMillis int64 `json:"disk_ms,omitempty" validate:"gte=0"`
	// WarmMillis is the duration of a load from the server's host memory, in milliseconds.
	WarmMillis int64 `json:"warm_ms,omitempty" validate:"gte=0"`
}

func (m Model) Ref() modelref.Ref { return modelref.New(m.Name, m.Version) }

// Adapter is one version of an adapter, which extends a model version.
type Adapter struct {
	// Name is the name under which callers request the adapter. Models and adapters share
	// one name space.
	Name string `json:"name" validate:"required"`
	// Version distinguishes versions of one name.
	Version string `json:"version" validate:"required"`
	// Default marks the version that is used when a caller states none.
	Default bool `json:"default"`
	// Base is the model version that the adapter extends, as "name@version". An adapter can
	// be used only on a server where its base is resident.
	Base modelref.Ref `json:"base" validate:"required"`
	// MemoryMB is the accelerator memory that a copy takes in addition to its base, in MiB.
	MemoryMB int64 `json:"memory_mb" validate:"gt=0"`
	// Class is the class of requests that state none.
	Class string `json:"class" validate:"required"`
}

func (a Adapter) Ref() modelref.Ref { return modelref.New(a.Name, a.Version) }

// ServerKind distinguishes model engines from servers of plain services.
type ServerKind string

// Kinds of backend servers.
const (
	KindEngine  ServerKind = "engine"
	KindService ServerKind = "service"
)

// Server is a configured backend server.
type Server struct {
	// Name is unique at the site.
	Name string `json:"name" validate:"required"`
	// Kind is "engine" or "service".
	Kind ServerKind `json:"kind" validate:"oneof=engine service"`
	// Address is "host:port", where the host is an IP address.
	Address string `json:"address" validate:"required,ip_port"`
	// FailureDomain is the failure domain in which the server runs.
	FailureDomain string `json:"failure_domain" validate:"required"`
	// Accelerators is the number of accelerators; 0 for servers of plain services.
	Accelerators int `json:"accelerators" validate:"gte=0"`
	// MemoryMB is the accelerator memory for models and adapters, in MiB; 0 for servers of
	// plain services.
	MemoryMB int64 `json:"memory_mb" validate:"gte=0"`
	// HonoursFencing tells that the server refuses orders with a fencing number lower than
	// the highest that it has seen.
	HonoursFencing bool `json:"honours_fencing"`
	// ChecksOrders tells that the server checks, by a token in the order, who sends it. Only
	// the lab's simulated engines use the field; instances don't read it.
	ChecksOrders bool `json:"checks_orders"`
	// Roles lists the roles that the server can take, such as "mixed", "prefill" and
	// "decode"; empty if it has none. They have no effect on scheduling or placement.
	Roles []string `json:"roles"`
}

// Service is a plain service: one that isn't a model. Callers reach it under
// /v1/services/{name}/.
type Service struct {
	// Name is unique at the site.
	Name string `json:"name" validate:"required"`
	// Servers lists the backend servers that offer the service.
	Servers []string `json:"servers" validate:"required,min=1"`
	// Class is the class of calls that state none.
	Class string `json:"class" validate:"required"`
	// IdempotentPaths lists the path prefixes whose calls are idempotent with any method.
	// GET, HEAD and OPTIONS are always idempotent.
	IdempotentPaths []string `json:"idempotent_paths"`
}

// Budgets holds the limits of a site for loads, retries and store calls.
type Budgets struct {
	// LoadsPerSecond is how many loads per second the weight store, from which servers fetch
	// the weights of models and adapters, can serve.
	LoadsPerSecond float64 `json:"loads_per_second" validate:"gt=0"`
	// ConcurrentLoads is how many loads the weight store can serve at the same time.
	ConcurrentLoads int `json:"concurrent_loads" validate:"gt=0"`
	// LoadMillis is the longest duration that a load is expected to take, in milliseconds. It
	// is used for predictions and retry delays; a load isn't ended after this time.
	LoadMillis int64 `json:"load_ms" validate:"gt=0"`
	// RetryShare is the number of retries allowed per successful request, 0 to 1.
	RetryShare float64 `json:"retry_share" validate:"gte=0,lte=1"`
	// RetrySpare is how many retries an instance may make per service and window of the
	// retry budget, in addition to those that RetryShare allows. If it isn't 0, each service
	// has a budget of its own, and retries after a refusal by a leaving server count against
	// it. If it is 0, a default applies, all services share one budget, and these retries
	// don't count.
	RetrySpare float64 `json:"retry_spare,omitempty" validate:"gte=0"`
	// StoreCallsPerSecond is the limit of store calls per second of each instance.
	StoreCallsPerSecond float64 `json:"store_calls_per_second" validate:"gt=0"`
}

// Unit is one version of a model or adapter, in a form that both share.
type Unit struct {
	Ref modelref.Ref
	// Base is the model version that an adapter extends; empty for a model.
	Base modelref.Ref
	// MemoryMB is the accelerator memory of a copy without its base, in MiB.
	MemoryMB int64
	// Class is the index of the class of requests that state none; -1 if it is unknown.
	Class int
}

// ClassIndex returns the index of the named class, or -1.
func (d *Document) ClassIndex(name string) int {
	for i := range d.Classes {
		if d.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// Units lists all model and adapter versions, models first.
func (d *Document) Units() []Unit {
	out := make([]Unit, 0, len(d.Models)+len(d.Adapters))
	for _, m := range d.Models {
		out = append(out, Unit{Ref: m.Ref(), MemoryMB: m.MemoryMB, Class: d.ClassIndex(m.Class)})
	}
	for _, a := range d.Adapters {
		out = append(out, Unit{Ref: a.Ref(), Base: a.Base, MemoryMB: a.MemoryMB, Class: d.ClassIndex(a.Class)})
	}
	return out
}

// Resolve returns the unit that a caller requested as "name" or "name@version".
func (d *Document) Resolve(name string) (Unit, bool) {
	for _, m := range d.Models {
		if name == string(m.Ref()) || (m.Default && name == m.Name) {
			return Unit{Ref: m.Ref(), MemoryMB: m.MemoryMB, Class: d.ClassIndex(m.Class)}, true
		}
	}
	for _, a := range d.Adapters {
		if name == string(a.Ref()) || (a.Default && name == a.Name) {
			return Unit{Ref: a.Ref(), Base: a.Base, MemoryMB: a.MemoryMB, Class: d.ClassIndex(a.Class)}, true
		}
	}
	return Unit{}, false
}

func (d *Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}
