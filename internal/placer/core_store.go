package placer

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"limpethub/internal/ledger"
	"limpethub/internal/store"
)

func (c *core) handleLeaseRead(now time.Time, r result) {
	if err := c.lease.ReadEnded(now, r.entry, r.err); err != nil {
		c.addEvent(event{kind: eventLease, message: "Lease key holds an invalid record.", reason: err.Error(), warn: true})
	}
}

// stepLedger starts the next call for the ledger key: the read of a takeover or of an
// unclear write, a pending write, or a write that removes settled orders.
func (c *core) stepLedger(now time.Time) {
	if c.ledgerCallInFlight || now.Before(c.nextLedgerCall) || !c.lease.Holds(now) {
		return
	}
	switch {
	case c.phase == phaseIdle || (c.write != nil && c.write.unclear):
		c.ledgerCallInFlight = true
		c.addEffect(effect{kind: effectReadLedger})
	case c.write != nil:
		c.sendWrite()
	case !c.dirtySince.IsZero() && now.Sub(c.dirtySince) >= settledOrderDelay:
		c.startWrite(now, nil)
	}
}

// startWrite writes the present ledger. The orders are sent once the write is known to
// have taken effect.
func (c *core) startWrite(now time.Time, orders []ledger.Pending) {
	c.dirtySince = time.Time{}
	c.write = &writeState{record: c.ledger.Record(), orders: orders, startedAt: now}
	if !c.ledgerCallInFlight {
		c.sendWrite()
	}
}

func (c *core) sendWrite() {
	c.writeCount++
	id := fmt.Sprintf("%s-%d-%d-%d", c.instance, c.ledger.Term(), c.random.Uint64(), c.writeCount)
	c.write.record.WriteID = id
	c.write.writeIDs = append(c.write.writeIDs, id)
	c.ledgerCallInFlight = true
	c.addEffect(effect{kind: effectWriteLedger, value: c.write.record.Encode(), expected: c.revision})
}

func (c *core) handleLedgerRead(now time.Time, r result) {
	c.ledgerCallInFlight = false
	record := ledger.Record{}
	if r.err != nil && !errors.Is(r.err, store.ErrNotFound) {
		c.markStoreUnavailable(now)
		return
	}
	if r.err == nil {
		decoded, err := ledger.Decode(r.entry.Value)
		if err != nil {
			c.addEvent(event{kind: eventLedger, message: "Ledger key holds an invalid record.", reason: err.Error(), warn: true})
			c.markStoreUnavailable(now)
			return
		}
		record = decoded
	}
	c.storeUnavailable = false
	if !c.lease.Holds(now) && c.phase == phaseIdle {
		return
	}
	c.reconcileLedger(now, record, r.entry.Revision)
}

// reconcileLedger compares the record in the ledger key with what this lease holder
// wrote, and continues, takes over or ends its term accordingly.
func (c *core) reconcileLedger(now time.Time, record ledger.Record, revision store.Revision) {
	if c.write != nil && slices.Contains(c.write.writeIDs, record.WriteID) {
		c.completeWrite(now, revision, record.WriteID)
		return
	}
	if record.Term >= c.lease.Term() && c.phase != phaseActive {
		c.yieldTo(record.Term)
		return
	}
	if c.phase == phaseIdle || c.phase == phaseTakeover {
		c.takeOver(now, record, revision)
		return
	}
	if c.write == nil {
		return
	}
	if revision != c.revision {
		c.yieldTo(record.Term)
		return
	}
	c.write.unclear = false
	c.retryOrWithdraw(now)
}

// takeOver starts a term from the predecessor's record.
func (c *core) takeOver(now time.Time, record ledger.Record, revision store.Revision) {
	term := c.lease.Term()
	c.phase, c.revision = phaseTakeover, revision
	c.ledger = ledger.TakeOver(c.cell, term, record)
	c.ledger.SetServers(engineSpecs(c.document))
	c.ledger.SetUnits(c.document.Units())
	c.calls, c.sentOrders = map[string]*serverCalls{}, map[string]sentOrder{}
	c.loadBucket = newTokenBucket(now)
	c.tookOverAt = now
	c.addEvent(event{kind: eventLease, message: fmt.Sprintf("Taking over in term %d with %d pending orders.", term, len(record.Pending))})
	// A write of an earlier attempt to take over may still take effect; its ids are kept so
	// that the record is recognized as our own.
	previousWriteIDs := []string(nil)
	if c.write != nil {
		previousWriteIDs = c.write.writeIDs
	}
	c.startWrite(now, nil)
	c.write.writeIDs = append(previousWriteIDs, c.write.writeIDs...)
}

// retryOrWithdraw handles a write that didn't take effect. It is tried again. If it is older
// than unsentOrderTimeout, its orders are withdrawn first, which is safe because they were
// never sent, and its age starts again.
func (c *core) retryOrWithdraw(now time.Time) {
	if now.Sub(c.write.startedAt) < unsentOrderTimeout {
		c.sendWrite()
		return
	}
	c.withdraw(c.write.orders)
	c.write.orders = nil
	c.write.record = c.ledger.Record()
	c.write.startedAt = now
	c.sendWrite()
}

func (c *core) withdraw(orders []ledger.Pending) {
	for _, p := range orders {
		c.ledger.Withdraw(p)
	}
}

func (c *core) handleLedgerWrite(now time.Time, r result) {
	c.ledgerCallInFlight = false
	if c.write == nil {
		return
	}
	switch {
	case r.err == nil:
		c.storeUnavailable = false
		c.completeWrite(now, r.revision, c.write.record.WriteID)
	case errors.Is(r.err, store.ErrThrottled):
		c.markStoreUnavailable(now)
	case errors.Is(r.err, store.ErrConflict):
		c.write.unclear = true
	default:
		c.write.unclear = true
		c.markStoreUnavailable(now)
	}
}

// markStoreUnavailable records that the ledger key can't be read or written now, and
// delays the next call for it by a random time.
func (c *core) markStoreUnavailable(now time.Time) {
	c.storeUnavailable = true
	c.nextLedgerCall = now.Add(storeRetryJitter/4 + time.Duration(c.random.Int64N(int64(storeRetryJitter))))
}

// completeWrite ends a write that took effect and sends its orders. id names the attempt
// that took effect; an attempt before the last one may lack orders that the ledger holds.
func (c *core) completeWrite(now time.Time, revision store.Revision, id string) {
	write := c.write
	c.write, c.revision = nil, revision
	if c.phase == phaseTakeover {
		c.phase = phaseActive
	}
	if id == write.record.WriteID {
		c.markRecorded(write.record)
	} else {
		c.dirtySince = now
	}
	if now.Sub(write.startedAt) >= unsentOrderTimeout || !c.lease.Holds(now) {
		c.withdraw(write.orders)
		c.dirtySince = now
		return
	}
	for _, p := range write.orders {
		c.submit(now, p)
	}
}

// markRecorded marks the orders of a written record as present in the ledger key.
func (c *core) markRecorded(record ledger.Record) {
	for _, p := range record.Pending {
		c.ledger.MarkUnrecorded(p, false)
	}
}
