package daemon

import (
	"fmt"
	"strings"

	"limpethub/internal/kernel"
	"limpethub/internal/logging"
	"limpethub/internal/placement"
	"limpethub/internal/placer"
	"limpethub/internal/site"
)

// cellName is the one cell of a site of today's size.
const cellName = "main"

// processSeparator stands between an instance's name and its start in the name of a
// process, so that a restarted instance is not taken for its former self.
const processSeparator = "/"

func (d *Daemon) buildPlacement() error {
	policy, err := kernel.New[placement.Policy](d.settings.Plugins.Placement.Name)
	if err != nil {
		return fmt.Errorf("daemon: placement: %w", err)
	}
	d.placer, err = placer.New(placer.Options{
		Instance:   d.processName(),
		Site:       d.settings.Site,
		Cell:       cellName,
		Store:      d.plugins.storeFor(purposePlacer),
		Engines:    d.plugins.engine,
		Documents:  &documentSource{daemon: d},
		Demand:     d.demand,
		Leaving:    d.monitor.Leaving,
		Reach:      d.monitor.Reach,
		Policy:     policy,
		Seed:       d.seed,
		Logger:     d.log(logging.Placement),
		Registerer: d.registry,
	})
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	d.exchange.feed = d.demand
	d.exchange.holder = d.placementHolder
	return nil
}

// processName is unique to this start of the instance.
func (d *Daemon) processName() string {
	return fmt.Sprintf("%s%s%x", d.settings.Instance, processSeparator, d.started.UnixNano())
}

// placementHolder is the instance that holds the placement lease; empty if unknown.
func (d *Daemon) placementHolder() string {
	instance, _, _ := strings.Cut(d.placer.Holder(), processSeparator)
	return instance
}

// documentSource gives the placer the configuration in force. The pointer changes
// only with the revision.
type documentSource struct {
	daemon   *Daemon
	revision uint64
	document *site.Document
}

// Document implements placer.DocumentSource. Only the placer's loop calls it.
func (s *documentSource) Document() *site.Document {
	accepted, ok := s.daemon.confsync.Current()
	if ok && accepted.Revision != s.revision {
		s.revision, s.document = accepted.Revision, &accepted.Document
	}
	return s.document
}
