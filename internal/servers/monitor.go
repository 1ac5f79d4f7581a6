// Package servers watches the backend servers of a site: it merges the
// configuration with the platform's list and polls each server's report.
package servers

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/engine"
	"limpethub/internal/platform"
	"limpethub/internal/scheduling"
	"limpethub/internal/site"
)

// Sink takes what is learned about servers.
type Sink interface {
	SetServers(servers []scheduling.Server)
	ObserveReport(server string, report engine.Report)
	ObserveUnreachable(server string)
}

// Reporter reads a server's load report.
type Reporter interface {
	Report(ctx context.Context, server engine.Server) (engine.Report, error)
}

// Intervals are the times of the monitor's work.
type Intervals struct {
	// Poll is the time between two reports of one server.
	Poll time.Duration
	// PollTimeout bounds one report.
	PollTimeout time.Duration
	// List is the time between two reads of the platform's list.
	List time.Duration
}

// DefaultIntervals make a dead or leaving server known within 2 s.
var DefaultIntervals = Intervals{Poll: 250 * time.Millisecond, PollTimeout: 700 * time.Millisecond, List: time.Second}

// failuresUntilUnreachable is how many reports in a row must fail before a server
// is held unreachable, so that one lost packet moves nothing.
const failuresUntilUnreachable = 2

// Options are the parts that a Monitor works with.
type Options struct {
	FailureDomain string
	Reporter      Reporter
	Lister        platform.Lister
	Sink          Sink
	Intervals     Intervals
	Logger        *logrus.Entry
}

// Monitor watches the backend servers of a site.
type Monitor struct {
	options Options

	mu       sync.Mutex
	document *site.Document
	listed   map[string]platform.Instance
	watches  map[string]*watch
}

// watch is the state of one watched server.
type watch struct {
	config site.Server
	cancel context.CancelFunc
	// leaving is what the server's own report says.
	leaving     bool
	unreachable bool
	report      engine.Report
	seen        time.Time
}

// New makes a Monitor.
func New(options Options) *Monitor {
	return &Monitor{options: options, listed: map[string]platform.Instance{}, watches: map[string]*watch{}}
}

// SetDocument takes a new configuration and starts or ends the watches that it changes.
// They end with ctx.
func (m *Monitor) SetDocument(ctx context.Context, document *site.Document) {
	m.mu.Lock()
	m.document = document
	wanted := map[string]site.Server{}
	for _, s := range document.Servers {
		wanted[s.Name] = s
	}
	for name, w := range m.watches {
		if config, keep := wanted[name]; !keep || config.Address != w.config.Address {
			w.cancel()
			delete(m.watches, name)
		}
	}
	for name, config := range wanted {
		m.ensureWatch(ctx, name, config)
	}
	m.mu.Unlock()
	m.publish()
}

// ensureWatch starts the watch of a server if there is none. The lock is held.
func (m *Monitor) ensureWatch(ctx context.Context, name string, config site.Server) {
	if w, ok := m.watches[name]; ok {
		w.config = config
		return
	}
	watchCtx, cancel := context.WithCancel(ctx)
	m.watches[name] = &watch{config: config, cancel: cancel}
	go m.poll(watchCtx, engine.Server{Name: name, Address: config.Address})
}

// Run reads the platform's list until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(m.options.Intervals.List)
	defer ticker.Stop()
	for {
		m.readList(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// publish tells the sink of all servers.
func (m *Monitor) publish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.document == nil {
		return
	}
	offers := servicesByServer(m.document)
	out := make([]scheduling.Server, 0, len(m.document.Servers))
	for _, s := range m.document.Servers {
		w := m.watches[s.Name]
		out = append(out, scheduling.Server{
			Name:          s.Name,
			FailureDomain: s.FailureDomain,
			Near:          s.FailureDomain == m.options.FailureDomain,
			Leaving:       m.listed[s.Name].Leaving || (w != nil && w.leaving),
			Services:      offers[s.Name],
		})
	}
	m.options.Sink.SetServers(out)
}

func servicesByServer(document *site.Document) map[string][]string {
	out := map[string][]string{}
	for _, service := range document.Services {
		for _, server := range service.Servers {
			out[server] = append(out[server], service.Name)
		}
	}
	return out
}
