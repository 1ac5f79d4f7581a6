package soak

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"limpethub/internal/lab/faultproxy"
	"limpethub/platform/standin"
)

// Content of the site's configuration.
const (
	plainService  = "desk"
	engineService = "llm"
	engineMB      = 200
	modelMB       = 90
	adapterSlots  = 2
	// modelsPerEngine is below the two models that fit on an engine, so that there is room left.
	modelsPerEngine = 1.5
	// retryRatio and retrySlack are the settings budget_ratio and budget_slack: within a time
	// window, retries may be retryRatio times the requests, plus retrySlack.
	retryRatio = 0.2
	retrySlack = 56
)

// softwareVersions are the versions of engines. All begin with the first.
var softwareVersions = [...]string{"v1", "v2"}

const (
	// readyTimeout is how long an instance may take to be ready at the start of a run.
	readyTimeout        = 30 * time.Second
	streamEventInterval = 20 * time.Millisecond
)

// site is everything that a run starts: instances, servers, the store, and the state they share.
type site struct {
	size      Size
	judge     *Judge
	startedAt time.Time
	store     *standin.Store
	servers   []*server
	instances []*instance
	models    []string
	// newestVersion is the version of the configuration that was written last.
	newestVersion atomic.Int64
	// configureMu lets one configuration be written at a time, so that versions stay in order.
	configureMu sync.Mutex
	// crashingPart is the part of prompts that crashes servers now; nil if none does. crashingParts
	// counts them.
	crashingPart  atomic.Pointer[string]
	crashingParts atomic.Int64
	// crashingPath is the path of the request that crashes servers now and comes again; nil if none does.
	// crashingPaths counts them.
	crashingPath  atomic.Pointer[string]
	crashingPaths atomic.Int64
	// firstTries counts the requests of sendFirstTries.
	firstTries atomic.Int64
}

// server is a stand-in of a server, with the proxy through which all instances reach it.
type server struct {
	*standin.Server
	link *faultproxy.Proxy
}

// newSite starts the stand-ins, the proxies and the first process of each instance, and waits
// until all instances are ready. It returns the site also on an error, to be closed. subnet must
// be o.Subnet.
func newSite(ctx context.Context, o Options, judge *Judge, subnet int) (*site, error) {
	s := &site{size: o.Size, judge: judge, startedAt: time.Now()}
	for i := range int(float64(o.Size.Engines) * modelsPerEngine) {
		s.models = append(s.models, fmt.Sprintf("m%d", i))
	}
	var err error
	if s.store, err = standin.NewStore(); err != nil {
		return s, err
	}
	s.writeConfiguration()
	for n := range o.Size.Servers() {
		if err := s.addServer(n); err != nil {
			return s, err
		}
	}
	if err := s.addInstances(o, subnet); err != nil {
		return s, err
	}
	for _, i := range s.instances {
		if err := i.start(); err != nil {
			return s, err
		}
	}
	for _, i := range s.instances {
		if err := i.waitReady(ctx, readyTimeout); err != nil {
			return s, err
		}
	}
	return s, nil
}

// now returns the time since the start of the run.
func (s *site) now() time.Duration { return time.Since(s.startedAt) }

// writeConfiguration writes a configuration with the next version.
func (s *site) writeConfiguration() {
	s.configureMu.Lock()
	defer s.configureMu.Unlock()
	version := int(s.newestVersion.Load()) + 1
	s.writeVersion(version)
	s.judge.Written(version, s.now())
	s.newestVersion.Store(int64(version))
}

// writeVersion writes the configuration with the given version. configureMu must be held.
func (s *site) writeVersion(version int) {
	s.store.Write(standin.ConfigurationKey, standin.Document(version, plainService, standin.Pool{
		Service: engineService, MemoryMB: engineMB, AdapterSlots: adapterSlots, ModelMB: modelMB, Models: s.models,
	}))
}

func (s *site) addServer(n int) error {
	service := plainService
	if n >= s.size.Plain {
		service = engineService
	}
	standIn, err := standin.NewServer(s.store, standin.ServerOptions{
		ID: fmt.Sprintf("%s-%d", service, n), Service: service, Zone: failureDomain(n), EventPause: streamEventInterval, Unannounced: true,
		OnRun:   func(server, id string) { s.judge.Ran(server, id, s.now()) },
		OnEvent: s.judge.EventSent,
		OnOrder: func(server string, order standin.Order, holds []string) {
			s.judge.Ordered(server, order, holds, s.now())
		},
	})
	if err != nil {
		return err
	}
	link, err := faultproxy.Listen(standIn.ListenAddress())
	if err != nil {
		return err
	}
	standIn.OnArrival(func(id string) { s.judge.Arrived(standIn.ID(), id, s.now()) })
	standIn.AnnounceAt(link.Address())
	s.servers = append(s.servers, &server{Server: standIn, link: link})
	return nil
}

// failureDomains is the number of failure domains of a site.
const failureDomains = 2

func failureDomain(n int) string { return fmt.Sprintf("z%d", n%failureDomains) }

func (s *site) addInstances(o Options, subnet int) error {
	// Only the second and third bytes hold the subnet. The second is at least 1, so that
	// addresses in 127.0.0.0/16 are not used.
	ip := func(n int) string { return fmt.Sprintf("127.%d.%d.%d", 1+subnet/250, 1+subnet%250, n+1) }
	var peerSeeds []string
	for n := range o.Size.Instances {
		peerSeeds = append(peerSeeds, fmt.Sprintf("%s:%d", ip(n), peersPort))
	}
	for n := range o.Size.Instances {
		i := &instance{
			number: n, ip: ip(n), binary: o.Binary, dir: o.Dir, failureDomain: failureDomain(n),
			onStart: func(startNumber int) { s.judge.Started(n, startNumber, s.now()) },
			onUnexpectedEnd: func(startNumber int, err error) {
				s.judge.RecordViolation(StaysUp, s.now(), "process %d of instance %d ended unexpectedly: %v", startNumber, n, err)
			},
		}
		s.instances = append(s.instances, i)
		if err := s.openServerLinks(i); err != nil {
			return err
		}
		if err := i.prepare(i.storeView.Address(), peerSeeds); err != nil {
			return err
		}
	}
	return nil
}

// close ends everything that the run started.
func (s *site) close() {
	var wg sync.WaitGroup
	for _, i := range s.instances {
		wg.Go(i.close)
	}
	wg.Wait()
	for _, server := range s.servers {
		server.link.Close()
		server.Close()
	}
	if s.store != nil {
		s.store.Close()
	}
}
