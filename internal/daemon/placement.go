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

// cellName names the only cell of a site. A cell is a part of a site with its own placement
// lease and ledger; sites of the supported size need just one. The name is part of keys in the
// store and may not change.
const cellName = "main"

// processSeparator separates an instance's name from its start time in the name of a
// process, which tells a restarted instance from its former process. Process names are
// stored in the placement lease and sent in digests. Other instances, also of other
// versions, read the instance's name from them, so their format may not change.
const processSeparator = "/"

func (d *Daemon) buildPlacement() error {
	policy, err := kernel.New[placement.Policy](d.settings.Plugins.Placement.Name)
	if err != nil {
		return fmt.Errorf("daemon: settings: plugins.placement: %w", err)
	}
	d.placer, err = placer.New(placer.Options{
		// The placer needs a name that no other process has; see processSeparator.
		Instance:       d.processName(),
		Site:           d.settings.Site,
		Cell:           cellName,
		Store:          d.plugins.storeFor(purposePlacer),
		Engines:        d.plugins.engine,
		Documents:      &documentSource{daemon: d},
		Demand:         d.demand,
		Leaving:        d.monitor.Leaving,
		ReachableShare: d.monitor.ReachableShare,
		Policy:         policy,
		Seed:           d.seed,
		Logger:         d.log(logging.Placement),
		Registerer:     d.registry,
	})
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	d.exchange.extension = d.demand
	d.exchange.holder = d.placementHolder
	return nil
}

// processName returns a name that is unique to this start of the instance; see
// processSeparator.
func (d *Daemon) processName() string {
	return fmt.Sprintf("%s%s%x", d.settings.Instance, processSeparator, d.startedAt.UnixNano())
}

// placementHolder returns the instance that holds the placement lease; empty if unknown.
func (d *Daemon) placementHolder() string {
	instance, _, _ := strings.Cut(d.placer.Holder(), processSeparator)
	return instance
}

// documentSource provides the placer with the configuration in force. Document returns the
// same pointer until the revision changes, because the placer compares pointers to detect a
// new configuration.
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
