package fleet

import (
	"errors"
	"time"

	"limpethub/internal/confsync"
)

var errTimeout = errors.New("timeout")

const callTimeout = 3 * time.Second

// tickSpread does for confsync.FetchPlanner what the shell does.
func (n *node) tickSpread() {
	if version := n.machine.Version(); version != n.membersVersion {
		n.membersVersion = version
		n.spread.SetMembers(n.machine.Members())
	}
	for _, order := range n.spread.Tick(n.w.now) {
		switch order.Action {
		case confsync.ActionFetch:
			n.fetch(order.Peer)
		case confsync.ActionRead:
			n.readStore()
		}
	}
	if n.spread.Watching() && !n.watching {
		n.watch()
	}
}

func (n *node) offer(stored confsync.Stored) {
	if n.spread.Offer(n.w.now, stored.Accepted.Revision) || n.w.broken == acceptsOlder {
		n.held = stored
		n.machine.SetRevision(stored.Accepted.Revision)
	}
}

// fetch asks a peer; request and answer may be lost.
func (n *node) fetch(peer string) {
	epoch, target := n.epoch, n.w.byName[peer]
	done := false
	finish := func(stored confsync.Stored, err error) {
		if done {
			return
		}
		done = true
		n.when(epoch, func() {
			if err == nil && stored.Accepted.Revision > 0 {
				n.offer(stored)
			}
			n.spread.Fetched(n.w.now, peer, err)
		})
	}
	n.w.after(callTimeout, func() { finish(confsync.Stored{}, errTimeout) })
	if target == nil || !n.w.passes(n.id.Name, peer) {
		return
	}
	targetEpoch := target.epoch
	n.w.after(n.w.delay(), func() {
		target.when(targetEpoch, func() {
			stored := target.held
			if n.w.passes(peer, n.id.Name) {
				n.w.after(n.w.delay(), func() { finish(stored, nil) })
			}
		})
	})
}

func (n *node) readStore() {
	epoch := n.epoch
	n.w.store.get(func(entry *version, err error) {
		n.when(epoch, func() {
			if err == nil && entry != nil {
				n.storeRev = max(n.storeRev, entry.revision)
				n.offer(entry.stored)
			}
			n.spread.StoreRead(n.w.now, err)
		})
	})
}

func (n *node) watch() {
	epoch := n.epoch
	n.watching = true
	n.w.store.watch(n.storeRev, func(entry *version, err error) {
		n.when(epoch, func() {
			if err == nil && entry != nil {
				n.storeRev = max(n.storeRev, entry.revision)
				n.offer(entry.stored)
			}
			n.w.after(time.Second, func() { n.endWatch(epoch) })
		})
	})
}

// endWatch lets a process watch again.
func (n *node) endWatch(epoch int) {
	if n.epoch == epoch {
		n.watching = false
	}
}
