package placer

import (
	"context"
	"errors"
	"fmt"

	"limpethub/internal/engine"
)

// errNotConfigured is returned for calls to a server that is no longer configured.
var errNotConfigured = errors.New("placer: server isn't configured")

// LeaseKey returns the key in the store that holds a cell's lease.
func LeaseKey(site, cell string) string {
	return fmt.Sprintf("/limpethub/%s/cells/%s/lease", site, cell)
}

// LedgerKey returns the key in the store that holds a cell's ledger.
func LedgerKey(site, cell string) string {
	return fmt.Sprintf("/limpethub/%s/cells/%s/ledger", site, cell)
}

// perform makes one call. address is the server's address if the call is to a server.
func (p *Placer) perform(ctx context.Context, e effect, address string) result {
	switch e.kind {
	case effectReadLease:
		return p.read(ctx, e, LeaseKey(p.options.Site, p.options.Cell))
	case effectReadLedger:
		return p.read(ctx, e, LedgerKey(p.options.Site, p.options.Cell))
	case effectWriteLease:
		return p.write(ctx, e, LeaseKey(p.options.Site, p.options.Cell))
	case effectWriteLedger:
		return p.write(ctx, e, LedgerKey(p.options.Site, p.options.Cell))
	}
	if address == "" {
		return result{effect: e, err: errNotConfigured}
	}
	server := engine.Server{Name: e.server, Address: address}
	if e.kind == effectInventory {
		return p.inventory(ctx, e, server)
	}
	return p.submit(ctx, e, server)
}

func (p *Placer) read(ctx context.Context, e effect, key string) result {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := p.options.Store.Get(ctx, key)
	return result{effect: e, entry: entry, err: err}
}

func (p *Placer) write(ctx context.Context, e effect, key string) result {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := p.options.Store.CompareAndSwap(ctx, key, e.value, e.expected, 0)
	return result{effect: e, revision: revision, err: err}
}

func (p *Placer) inventory(ctx context.Context, e effect, server engine.Server) result {
	ctx, cancel := context.WithTimeout(ctx, serverTimeout)
	defer cancel()
	inventory, err := p.options.Engines.Inventory(ctx, server)
	r := result{effect: e, inventory: inventory, err: err}
	if err != nil || !e.withReport {
		return r
	}
	// Without a report the core keeps the server's previous throughput.
	if report, err := p.options.Engines.Report(ctx, server); err == nil {
		r.report = report
	}
	return r
}

func (p *Placer) submit(ctx context.Context, e effect, server engine.Server) result {
	ctx, cancel := context.WithTimeout(ctx, serverTimeout)
	defer cancel()
	return result{effect: e, err: p.options.Engines.Submit(ctx, server, e.order)}
}
