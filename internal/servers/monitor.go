// Package servers monitors the backend servers that the site's configuration lists: it
// polls each server's load report, reads from the platform's instance list which
// servers are leaving, and passes both to a Sink, the scheduler's view of servers.
package servers

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/engine"
	"limpethub/internal/instancelist"
	"limpethub/internal/scheduling"
	"limpethub/internal/site"
)

// Sink receives what the Monitor learns about servers.
type Sink interface {
	// SetServers replaces the list of all servers.
	SetServers(servers []scheduling.Server)
	// ObserveReport takes a server's load report.
	ObserveReport(server string, report engine.Report)
	// ObserveUnreachable says that a server has become unreachable. The next report of
	// the server ends that.
	ObserveUnreachable(server string)
}

// Reporter reads a server's load report.
type Reporter interface {
	Report(ctx context.Context, server engine.Server) (engine.Report, error)
}

// Intervals are the periods and time limits of the monitor's work.
type Intervals struct {
	// Poll is the time between two report requests to one server.
	Poll time.Duration
	// PollTimeout bounds one report request.
	PollTimeout time.Duration
	// List is the time between two reads of the platform's list, and bounds a read.
	List time.Duration
}

// DefaultIntervals bound the time until a change is reported. A dead server is reported
// within 1.65 s: up to 250 ms until the next poll, and two polls of up to 700 ms. A
// leaving server is reported within 2 s after the platform's list shows it: up to 1 s
// until the next read, which takes up to 1 s.
var DefaultIntervals = Intervals{Poll: 250 * time.Millisecond, PollTimeout: 700 * time.Millisecond, List: time.Second}

// failuresUntilUnreachable is the number of consecutive report requests that must fail
// before a server counts as unreachable. It is above 1, so that one lost packet doesn't
// move work to other servers.
const failuresUntilUnreachable = 2

// Options configures a Monitor. FailureDomain is the instance's own; servers in it are
// marked as near.
type Options struct {
	FailureDomain string
	Reporter      Reporter
	Lister        instancelist.Lister
	Sink          Sink
	Intervals     Intervals
	Logger        *logrus.Entry
}

// Monitor polls the backend servers of a site. It is safe for concurrent use.
type Monitor struct {
	options Options

	mu sync.Mutex
	// document is the site's configuration; nil until SetDocument is called.
	document *site.Document
	// instances is the platform's last list, by name.
	instances map[string]instancelist.Instance
	// polled holds the polled servers, by name.
	polled map[string]*polledServer
}

// polledServer is the state of one polled server.
type polledServer struct {
	config site.Server
	// cancel stops the polling.
	cancel context.CancelFunc
	// leaving is whether the server's last report said that it is leaving.
	leaving     bool
	unreachable bool
	// report is the last report, and reportedAt the time when it was read.
	report     engine.Report
	reportedAt time.Time
}

// New returns a Monitor. SetDocument starts the polling and Run reads the list.
func New(options Options) *Monitor {
	return &Monitor{options: options, instances: map[string]instancelist.Instance{}, polled: map[string]*polledServer{}}
}

// SetDocument takes a new configuration. It starts to poll new servers and stops polling
// removed ones; a server with a new address is polled anew. All polling ends with ctx.
func (m *Monitor) SetDocument(ctx context.Context, document *site.Document) {
	m.mu.Lock()
	m.document = document
	configured := map[string]site.Server{}
	for _, s := range document.Servers {
		configured[s.Name] = s
	}
	for name, p := range m.polled {
		if config, keep := configured[name]; !keep || config.Address != p.config.Address {
			p.cancel()
			delete(m.polled, name)
		}
	}
	for name, config := range configured {
		m.ensurePolling(ctx, name, config)
	}
	m.mu.Unlock()
	m.publish()
}

// ensurePolling starts to poll a server unless it is polled already. The caller holds m.mu.
func (m *Monitor) ensurePolling(ctx context.Context, name string, config site.Server) {
	if p, ok := m.polled[name]; ok {
		p.config = config
		return
	}
	pollCtx, cancel := context.WithCancel(ctx)
	m.polled[name] = &polledServer{config: config, cancel: cancel}
	go m.poll(pollCtx, engine.Server{Name: name, Address: config.Address})
}

// Run reads the platform's list periodically until ctx ends.
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

// publish passes the list of all servers to the sink.
func (m *Monitor) publish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.document == nil {
		return
	}
	services := servicesByServer(m.document)
	servers := make([]scheduling.Server, 0, len(m.document.Servers))
	for _, s := range m.document.Servers {
		p := m.polled[s.Name]
		servers = append(servers, scheduling.Server{
			Name:          s.Name,
			FailureDomain: s.FailureDomain,
			Near:          s.FailureDomain == m.options.FailureDomain,
			Leaving:       m.instances[s.Name].Leaving || (p != nil && p.leaving),
			Services:      services[s.Name],
		})
	}
	m.options.Sink.SetServers(servers)
}

// servicesByServer returns the names of the services (site.Service) on each server.
func servicesByServer(document *site.Document) map[string][]string {
	servicesOf := map[string][]string{}
	for _, service := range document.Services {
		for _, server := range service.Servers {
			servicesOf[server] = append(servicesOf[server], service.Name)
		}
	}
	return servicesOf
}
