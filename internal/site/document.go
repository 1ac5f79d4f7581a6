// Package site holds the operators' configuration of a site: the models, classes,
// servers, services and budgets that limpethub serves. A site's document is a base
// file merged with the site's overlay.
package site

import (
	"limpethub/internal/modelref"
)

// Document is a site's whole, merged configuration.
type Document struct {
	// Site is the name of the site.
	Site string `json:"site" validate:"required"`
	// FailureDomains lists the failure domains of the site.
	FailureDomains []string `json:"failure_domains" validate:"required,min=1,dive,required"`
	// Classes lists the classes of work, the most urgent first.
	Classes []Class `json:"classes" validate:"required,min=1,dive"`
	// Models lists the model versions that must stay reachable.
	Models []Model `json:"models" validate:"dive"`
	// Adapters lists the adapter versions that must stay reachable.
	Adapters []Adapter `json:"adapters" validate:"dive"`
	// Servers lists the backend servers.
	Servers []Server `json:"servers" validate:"dive"`
	// Services lists the plain services.
	Services []Service `json:"services" validate:"dive"`
	// Budgets holds the limits of the site.
	Budgets Budgets `json:"budgets"`
	// Routes sends callers' requests to services by host and path, where an adapter
	// serves callers in the platform's way.
	Routes []Route `json:"routes,omitzero" validate:"dive"`
	// Pools lists the services whose servers are model engines that are discovered.
	Pools []Pool `json:"pools,omitzero" validate:"dive"`
	// CallerLimits bounds what callers may send on routes.
	CallerLimits CallerLimits `json:"caller_limits,omitzero"`
}

// Class is a class of work. Its position in the list is its urgency.
type Class struct {
	// Name is what callers send in the Limpethub-Class header.
	Name string `json:"name" validate:"required"`
	// TimeoutMillis is the deadline of a request that states none, in milliseconds.
	TimeoutMillis int64 `json:"timeout_ms" validate:"gt=0"`
	// Weight is the value of one request finished in time, relative to other classes.
	Weight float64 `json:"weight" validate:"gt=0"`
	// QueueLimit is how many requests of the class may wait on one instance.
	QueueLimit int `json:"queue_limit" validate:"gt=0"`
	// FloorShare is the share of dispatches, 0 to 1, that the class gets while it has
	// work waiting, however much urgent work there is.
	FloorShare float64 `json:"floor_share" validate:"gte=0,lt=1"`
}

// Model is one version of a model.
type Model struct {
	// Name is what callers ask for.
	Name string `json:"name" validate:"required"`
	// Version tells versions of one name apart.
	Version string `json:"version" validate:"required"`
	// Default marks the version that callers get when they name none.
	Default bool `json:"default"`
	// MemoryMB is what a resident copy takes of a server's accelerator memory, in MiB.
	MemoryMB int64 `json:"memory_mb" validate:"gt=0"`
	// Class is the class of requests that state none.
	Class string `json:"class" validate:"required"`
	// Service is the pool whose servers run the model; empty means every engine.
	Service string `json:"service,omitempty"`
	// LoadMillis is how long a load from the weight store takes, in milliseconds, and
	// DiskMillis and WarmMillis the same from a server's own disk and memory. 0 means
	// that it isn't known.
	LoadMillis int64 `json:"load_ms,omitempty" validate:"gte=0"`
	DiskMillis int64 `json:"disk_ms,omitempty" validate:"gte=0"`
	WarmMillis int64 `json:"warm_ms,omitempty" validate:"gte=0"`
}

// Ref returns the model version's reference.
func (m Model) Ref() modelref.Ref { return modelref.New(m.Name, m.Version) }

// Adapter is one version of an adapter, which extends a model version.
type Adapter struct {
	// Name is what callers ask for; models and adapters share one set of names.
	Name string `json:"name" validate:"required"`
	// Version tells versions of one name apart.
	Version string `json:"version" validate:"required"`
	// Default marks the version that callers get when they name none.
	Default bool `json:"default"`
	// Base is the model version extended, as "name@version". An adapter is only of use
	// on a server where its base is resident.
	Base modelref.Ref `json:"base" validate:"required"`
	// MemoryMB is what a resident copy takes beside its base, in MiB.
	MemoryMB int64 `json:"memory_mb" validate:"gt=0"`
	// Class is the class of requests that state none.
	Class string `json:"class" validate:"required"`
}

// Ref returns the adapter version's reference.
func (a Adapter) Ref() modelref.Ref { return modelref.New(a.Name, a.Version) }

// ServerKind tells model engines from plain services.
type ServerKind string

// Kinds of backend servers.
const (
	KindEngine  ServerKind = "engine"
	KindService ServerKind = "service"
)

// Server is one backend server.
type Server struct {
	// Name is unique at the site.
	Name string `json:"name" validate:"required"`
	// Kind is "engine" or "service".
	Kind ServerKind `json:"kind" validate:"oneof=engine service"`
	// Address is host:port by IP number.
	Address string `json:"address" validate:"required,ip_port"`
	// FailureDomain is where the server runs.
	FailureDomain string `json:"failure_domain" validate:"required"`
	// Accelerators is how many accelerators the server has; 0 for services.
	Accelerators int `json:"accelerators" validate:"gte=0"`
	// MemoryMB is the accelerator memory for models and adapters, in MiB; 0 for services.
	MemoryMB int64 `json:"memory_mb" validate:"gte=0"`
	// HonoursFencing says that the server refuses orders with an old fencing number.
	HonoursFencing bool `json:"honours_fencing"`
	// ChecksOrders says that the server checks who gives it an order.
	ChecksOrders bool `json:"checks_orders"`
	// Roles lists the roles that the server can take; empty means it has no roles.
	Roles []string `json:"roles"`
}

// Service is a plain service that callers reach under /v1/services/{name}/.
type Service struct {
	// Name is unique at the site.
	Name string `json:"name" validate:"required"`
	// Servers lists the backend servers that offer the service.
	Servers []string `json:"servers" validate:"required,min=1"`
	// Class is the class of calls that state none.
	Class string `json:"class" validate:"required"`
	// IdempotentPaths lists path prefixes whose calls may be repeated whatever their
	// method. GET, HEAD and OPTIONS may always be repeated.
	IdempotentPaths []string `json:"idempotent_paths"`
}

// Budgets holds the limits of a site.
type Budgets struct {
	// LoadsPerSecond is the weight store's rate.
	LoadsPerSecond float64 `json:"loads_per_second" validate:"gt=0"`
	// ConcurrentLoads is how many loads the weight store allows at once.
	ConcurrentLoads int `json:"concurrent_loads" validate:"gt=0"`
	// LoadMillis is the longest usual duration of one load, in milliseconds.
	LoadMillis int64 `json:"load_ms" validate:"gt=0"`
	// RetryShare is how many retries are allowed per successful request, 0 to 1.
	RetryShare float64 `json:"retry_share" validate:"gte=0,lte=1"`
	// RetrySpare is how many retries each instance may make to a service in the retry
	// window besides the share, also when a server refused; 0 means the default.
	RetrySpare float64 `json:"retry_spare,omitempty" validate:"gte=0"`
	// StoreCallsPerSecond is each instance's budget of key-value calls.
	StoreCallsPerSecond float64 `json:"store_calls_per_second" validate:"gt=0"`
}

// Unit is what placement places: a model or adapter version.
type Unit struct {
	Ref modelref.Ref
	// Base is the model version that an adapter extends; empty for a model.
	Base modelref.Ref
	// MemoryMB is the size of a copy, in MiB, without its base.
	MemoryMB int64
	// Class is the index of the default class.
	Class int
}

// ClassIndex returns the position of the named class, or -1.
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

// Resolve turns what a caller asked for, "name" or "name@version", into a unit.
func (d *Document) Resolve(asked string) (Unit, bool) {
	for _, m := range d.Models {
		if asked == string(m.Ref()) || (m.Default && asked == m.Name) {
			return Unit{Ref: m.Ref(), MemoryMB: m.MemoryMB, Class: d.ClassIndex(m.Class)}, true
		}
	}
	for _, a := range d.Adapters {
		if asked == string(a.Ref()) || (a.Default && asked == a.Name) {
			return Unit{Ref: a.Ref(), Base: a.Base, MemoryMB: a.MemoryMB, Class: d.ClassIndex(a.Class)}, true
		}
	}
	return Unit{}, false
}

// Service returns the named service.
func (d *Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}
