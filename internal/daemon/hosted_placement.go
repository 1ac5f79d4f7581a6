package daemon

import (
	"fmt"
	"time"

	"limpethub/internal/lease"
	"limpethub/internal/logging"
	"limpethub/internal/membership"
	"limpethub/internal/modelref"
	"limpethub/internal/reachability"
	"limpethub/internal/residency"
)

const (
	// defaultPlacementLease is the TTL of the placement lease if the settings give none.
	defaultPlacementLease = 3 * time.Second
	// placementMarginDivisor gives the lease's margin as TTL / placementMarginDivisor. The
	// margin is how long before the expiry a holder stops acting. placementJitterDivisor gives
	// the longest random delay before a candidate's claim as TTL / placementJitterDivisor.
	placementMarginDivisor = 6
	placementJitterDivisor = 10
	// candidateReadPeriodTTLs is the mean time between two reads of the lease by a
	// candidate, in TTLs. It can be long because a candidate reads at once when the holder
	// seems to be gone.
	candidateReadPeriodTTLs = 2
	// fullHolderCores is the processor capacity, in reference cores (see settings.Processor),
	// that suffices for the holder's work for some hundred servers in addition to the
	// instance's own requests. A smaller instance delays its claim by up to maxClaimDelay, so
	// that a larger one gets the lease if there is one.
	fullHolderCores = 0.4
	maxClaimDelay   = 400 * time.Millisecond
)

// claimDelay returns how long an instance of the given capacity waits before it claims a
// vacant lease. 0 cores mean unlimited capacity.
func claimDelay(cores float64) time.Duration {
	if cores <= 0 || cores >= fullHolderCores {
		return 0
	}
	return time.Duration((1 - cores/fullHolderCores) * float64(maxClaimDelay))
}

// buildResidency builds the manager of package residency, which does the placement on an
// instance with a front. Its lease is the placement lease.
func (d *Daemon) buildResidency(h *hosted) error {
	ttl := d.settings.PlacementLease()
	if ttl == 0 {
		ttl = defaultPlacementLease
	}
	// TrustUnchanged suits the long ReadPeriod, in which a candidate may learn nothing of
	// the lease for longer than the TTL. Without it, such a candidate would start its wait
	// of one TTL anew with the next read. With it, the time before that read counts if the
	// revision is still the same, because each renewal changes the revision.
	leaseConfig := lease.Config{
		TTL: ttl, Margin: ttl / placementMarginDivisor, Jitter: ttl / placementJitterDivisor,
		ReadPeriod: candidateReadPeriodTTLs * ttl, TrustUnchanged: true,
		ClaimDelay: claimDelay(d.settings.Processor.Cores()),
	}
	var err error
	h.manager, err = residency.New(residency.Options{
		Instance:       d.settings.Instance,
		Key:            "/limpethub/" + d.settings.Site + "/residency-lease",
		Store:          d.plugins.storeFor(purposePlacer),
		Control:        d.plugins.relayer,
		Document:       h.document,
		KnownServers:   h.watcher.Servers,
		RequestCounts:  d.requestCounts,
		ReachesServers: func() bool { return h.reach.State() == reachability.Direct },
		OnResidencyChange: func(changes []residency.ResidencyChange) {
			h.extension.PublishChanges(changes)
			d.exchange.TriggerSend()
		},
		Lease:         leaseConfig,
		TakeoverDelay: residency.TakeoverDelayFor(leaseConfig),
		Now:           d.bootNow,
		Seed:          d.seed,
		Logger:        d.log(logging.Placement),
	})
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	h.extension.refLoads, h.extension.manager, h.extension.copies = d.dispatcher.RefLoads, h.manager, h.manager
	d.cluster.OnChange(func(t membership.Transition) {
		if t.Member.State != membership.Alive && t.Member.Name == h.manager.Holder() {
			h.manager.HolderGone()
		}
	})
	return nil
}

// requestQueued is called when a request for a model has to wait, possibly because no server
// has a copy. The placement holder plans at once; another instance tells the holder at once.
func (d *Daemon) requestQueued() {
	if d.hosted.manager.Holding() {
		d.hosted.manager.Wake()
		return
	}
	d.exchange.TriggerSend()
}

// requestCounts returns the requests of all instances, first by version and then by server.
func (d *Daemon) requestCounts() (map[modelref.Ref]residency.RequestCounts, map[string]int) {
	return d.hosted.extension.RequestCounts(time.Now()), d.dispatcher.ServerLoads()
}
