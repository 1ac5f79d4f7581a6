// Package bench runs a whole site in one process: stand-ins for all outside systems
// and entry instances, under seeded load. It measures attainment, moves and latency,
// and marks runs in which the machine itself was too busy to be trusted.
package bench

import (
	"context"
	"errors"
	"fmt"
	"time"

	instances "limpethub/internal/instancelist"
	"limpethub/internal/lab/standin"
	"limpethub/internal/lab/standin/instancelist"
	"limpethub/internal/lab/standin/kvstore"
	"limpethub/internal/lab/standin/modelengine"
	"limpethub/internal/lab/standin/plainservice"
	"limpethub/internal/lab/standin/weightstore"
	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/site"
)

// Daemon is one entry instance that runs in this process.
type Daemon interface {
	// CallerAddress is host:port of the callers' listener.
	CallerAddress() string
	// PeerAddress is host:port of the peers' listener; empty if there is none.
	PeerAddress() string
	// Drain stops the instance gracefully.
	Drain(ctx context.Context) error
	// Kill ends the instance at once, as a process that dies.
	Kill()
}

// DaemonOptions says how to start an instance.
type DaemonOptions struct {
	Name          string
	FailureDomain string
	// Policy is the dotted name of the routing policy; empty means the default.
	Policy string
	// Document is the configuration, with the stand-ins' addresses.
	Document *site.Document
	// StoreAddress and ListAddress are host:port of the platform's stand-ins.
	StoreAddress, ListAddress string
	// OrderToken must come with orders.
	OrderToken string
	Seed       uint64
}

// Factory starts an instance of one site.
type Factory func(ctx context.Context, o DaemonOptions) (Daemon, error)

// NewFactory makes the factory of a new site.
type NewFactory func() (Factory, error)

// SiteOptions describes a site.
type SiteOptions struct {
	// Document is the configuration; addresses of servers are replaced.
	Document site.Document
	// Engine is the pattern of all model engines. Name, memory and checks come from
	// the document.
	Engine modelengine.Options
	// LoadTime is the least duration of a load; a load of the largest model takes
	// twice that.
	LoadTime time.Duration
	// ListLag is the lag of the instance list.
	ListLag time.Duration
	// Store holds the rates of the key-value service.
	Store kvstore.Options
	// Popularity is the demand for which models are placed at the start.
	Popularity map[modelref.Ref]float64
	// LeaveRoom places two copies of each unit and leaves the rest of the memory free.
	LeaveRoom bool
}

// orderToken is what engines that check their orders want.
const orderToken = "lab-orders"

// Site is a running site.
type Site struct {
	Document site.Document
	Engines  map[string]*modelengine.Engine
	Services map[string]*plainservice.Service
	Weights  *weightstore.Store
	Store    *kvstore.Service
	List     *instancelist.List
	Daemons  []Daemon

	names     []string
	hosts     map[string]*standin.Host
	storeHost *standin.Host
	listHost  *standin.Host
}

// StartSite starts all stand-ins of a site, with models placed by their popularity.
func StartSite(o SiteOptions) (*Site, error) {
	s := &Site{
		Document: o.Document,
		Engines:  map[string]*modelengine.Engine{},
		Services: map[string]*plainservice.Service{},
		Store:    kvstore.New(o.Store),
		List:     instancelist.New(o.ListLag),
		hosts:    map[string]*standin.Host{},
	}
	s.Document.Servers = append([]site.Server(nil), o.Document.Servers...)
	s.Weights = newWeights(o)
	if err := s.startServers(o); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.startPlatform(); err != nil {
		s.Close()
		return nil, err
	}
	return s, s.preload(o)
}

func newWeights(o SiteOptions) *weightstore.Store {
	largest := int64(1)
	for _, unit := range o.Document.Units() {
		largest = max(largest, unit.MemoryMB)
	}
	return weightstore.New(weightstore.Options{
		LoadsPerSecond: o.Document.Budgets.LoadsPerSecond,
		Concurrent:     o.Document.Budgets.ConcurrentLoads,
		MBPerSecond:    float64(largest) / (2 * o.LoadTime.Seconds()),
		MinLoad:        o.LoadTime,
	})
}

func (s *Site) startServers(o SiteOptions) error {
	for i := range s.Document.Servers {
		server := &s.Document.Servers[i]
		host, err := s.startServer(o, *server)
		if err != nil {
			return err
		}
		s.hosts[server.Name] = host
		server.Address = host.Address()
		s.List.Put(instances.Instance{Name: server.Name, ServerAddress: server.Address, FailureDomain: server.FailureDomain})
	}
	return nil
}

func (s *Site) startServer(o SiteOptions, server site.Server) (*standin.Host, error) {
	if server.Kind == site.KindService {
		service := plainservice.New(server.Name)
		s.Services[server.Name] = service
		return standin.Listen(service.Handler())
	}
	engineOptions := o.Engine
	engineOptions.Name = server.Name
	engineOptions.MemoryMB = server.MemoryMB
	engineOptions.HonoursFencing = server.HonoursFencing
	engineOptions.Weights = s.Weights
	if server.ChecksOrders {
		engineOptions.OrderToken = orderToken
	}
	e := modelengine.New(engineOptions)
	s.Engines[server.Name] = e
	return standin.Listen(e.Handler())
}

func (s *Site) startPlatform() error {
	var storeErr, listErr error
	s.storeHost, storeErr = standin.Listen(s.Store.Handler())
	s.listHost, listErr = standin.Listen(s.List.Handler())
	return errors.Join(storeErr, listErr)
}

func (s *Site) preload(o SiteOptions) error {
	placement, err := Place(&s.Document, o.Popularity, !o.LeaveRoom)
	if err != nil {
		return err
	}
	for server, units := range placement {
		for _, unit := range units {
			if err := s.Engines[server].Preload(unit.Ref, unit.Base, unit.MemoryMB); err != nil {
				return fmt.Errorf("bench: %s: %w", server, err)
			}
		}
	}
	return nil
}

// StartDaemons starts n instances, spread over the failure domains.
func (s *Site) StartDaemons(ctx context.Context, factory Factory, n int, policy string, seed uint64) error {
	for i := range n {
		domain := s.Document.FailureDomains[i%len(s.Document.FailureDomains)]
		name := fmt.Sprintf("entry-%d", len(s.Daemons)+1)
		daemon, err := factory(ctx, DaemonOptions{
			Name: name, FailureDomain: domain, Policy: policy, Document: &s.Document,
			StoreAddress: s.storeHost.Address(), ListAddress: s.listHost.Address(),
			OrderToken: orderToken, Seed: seed + uint64(i),
		})
		if err != nil {
			return fmt.Errorf("bench: start %s: %w", name, err)
		}
		s.Daemons = append(s.Daemons, daemon)
		s.names = append(s.names, name)
		s.List.Put(instances.Instance{
			Name: name, CallerAddress: daemon.CallerAddress(), PeerAddress: daemon.PeerAddress(), FailureDomain: domain,
		})
	}
	return nil
}

// StoreAddress is where the key-value stand-in answers.
func (s *Site) StoreAddress() string { return s.storeHost.Address() }

// ListAddress is where the instance list answers.
func (s *Site) ListAddress() string { return s.listHost.Address() }

// Host is the listener of a backend server, to kill and start it.
func (s *Site) Host(server string) *standin.Host { return s.hosts[server] }

// DaemonName is the name of the i-th instance.
func (s *Site) DaemonName(i int) string { return s.names[i] }

// CallerAddresses lists the instances' addresses for callers.
func (s *Site) CallerAddresses() []string {
	out := make([]string, 0, len(s.Daemons))
	for _, d := range s.Daemons {
		out = append(out, d.CallerAddress())
	}
	return out
}

// KillServer ends a backend server as a process that dies: its memory is lost.
func (s *Site) KillServer(name string) {
	s.hosts[name].Kill()
	if e, ok := s.Engines[name]; ok {
		e.Restart()
	}
}

// RunCounts returns how often each run began, over all servers.
func (s *Site) RunCounts() map[request.ID]int {
	out := map[request.ID]int{}
	add := func(counts map[request.ID]int) {
		for id, n := range counts {
			out[id] += n
		}
	}
	for _, e := range s.Engines {
		add(e.RunCounts())
	}
	for _, service := range s.Services {
		add(service.RunCounts())
	}
	return out
}

// Close ends all instances and stand-ins.
func (s *Site) Close() {
	for _, d := range s.Daemons {
		d.Kill()
	}
	for _, e := range s.Engines {
		e.Restart()
	}
	for _, host := range s.hosts {
		host.Kill()
	}
	for _, host := range []*standin.Host{s.storeHost, s.listHost} {
		if host != nil {
			host.Kill()
		}
	}
}
