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

// What the site's configuration says.
const (
	plainService  = "desk"
	engineService = "llm"
	engineMB      = 200
	modelMB       = 90
	adapterSlots  = 2
	// modelsPerEngine leaves places free: two models fit on an engine.
	modelsPerEngine = 1.5
	repeatRatio     = 0.2
	repeatSlack     = 56
)

const (
	// readyLimit is how long all instances may take to be ready at first.
	readyLimit = 30 * time.Second
	eventPause = 20 * time.Millisecond
)

// site is all that a run consists of.
type site struct {
	size      Size
	judge     *Judge
	began     time.Time
	store     *standin.Store
	servers   []*server
	instances []*instance
	models    []string
	version   atomic.Int64
	// writing keeps versions in order.
	writing sync.Mutex
}

// server is a stand-in with the proxy through which all instances reach it.
type server struct {
	*standin.Server
	link *faultproxy.Proxy
}

// newSite starts stand-ins and proxies, and the instances' first processes. subnet is a
// number from 1 to 60,000 that no other run uses now.
func newSite(ctx context.Context, o Options, judge *Judge, subnet int) (*site, error) {
	s := &site{size: o.Size, judge: judge, began: time.Now()}
	for i := range int(float64(o.Size.Engines) * modelsPerEngine) {
		s.models = append(s.models, fmt.Sprintf("m%d", i))
	}
	var err error
	if s.store, err = standin.NewStore(); err != nil {
		return s, err
	}
	s.configure()
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
		if err := i.waitReady(ctx, readyLimit); err != nil {
			return s, err
		}
	}
	return s, nil
}

// now is the time since the run began.
func (s *site) now() time.Duration { return time.Since(s.began) }

// configure writes the next configuration.
func (s *site) configure() {
	s.writing.Lock()
	defer s.writing.Unlock()
	number := int(s.version.Load()) + 1
	s.store.Write(standin.ConfigurationKey, standin.Document(number, plainService, standin.Pool{
		Service: engineService, MemoryMB: engineMB, AdapterSlots: adapterSlots, ModelMB: modelMB, Models: s.models,
	}))
	s.judge.Written(number, s.now())
	s.version.Store(int64(number))
}

func (s *site) addServer(n int) error {
	service := plainService
	if n >= s.size.Plain {
		service = engineService
	}
	made, err := standin.NewServer(s.store, standin.ServerOptions{
		ID: fmt.Sprintf("%s-%d", service, n), Service: service, Zone: area(n), EventPause: eventPause, Unannounced: true,
		OnRun: func(server, id string) { s.judge.Ran(server, id, s.now()) },
		OnOrder: func(server string, order standin.Order, holds []string) {
			s.judge.Ordered(server, order, holds, s.now())
		},
	})
	if err != nil {
		return err
	}
	link, err := faultproxy.Listen(made.ListenAddress())
	if err != nil {
		return err
	}
	made.AnnounceAt(link.Address())
	s.servers = append(s.servers, &server{Server: made, link: link})
	return nil
}

// areas is how many failure domains a site has.
const areas = 2

func area(n int) string { return fmt.Sprintf("z%d", n%areas) }

func (s *site) addInstances(o Options, subnet int) error {
	// Subnet numbers are spread over two parts of 127.0.0.0/8, apart from 127.0.x.x.
	ip := func(n int) string { return fmt.Sprintf("127.%d.%d.%d", 1+subnet/250, 1+subnet%250, n+1) }
	var seeds []string
	for n := range o.Size.Instances {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(n), peersPort))
	}
	for n := range o.Size.Instances {
		i := &instance{
			number: n, ip: ip(n), binary: o.Binary, dir: o.Dir, area: area(n),
			onStart: func(start int) { s.judge.Started(n, start, s.now()) },
			onUnexpected: func(start int, err error) {
				s.judge.Broken(StaysUp, s.now(), "process %d of instance %d ended by itself: %v", start, n, err)
			},
		}
		s.instances = append(s.instances, i)
		if err := i.prepare(s.store.Address(), seeds); err != nil {
			return err
		}
	}
	return nil
}

// close ends all that the run started.
func (s *site) close() {
	var all sync.WaitGroup
	for _, i := range s.instances {
		all.Go(i.close)
	}
	all.Wait()
	for _, server := range s.servers {
		server.link.Close()
		server.Close()
	}
	if s.store != nil {
		s.store.Close()
	}
}
