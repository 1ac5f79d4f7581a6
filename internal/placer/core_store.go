package placer

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"limpethub/internal/ledger"
	"limpethub/internal/store"
)

func (c *core) leaseRead(now time.Time, r result) {
	if err := c.lease.ReadEnded(now, r.entry, r.err); err != nil {
		c.note(event{kind: eventLease, message: "Lease key can't be read.", reason: err.Error(), warn: true})
	}
}

// stepLedger makes the next call for the ledger key: the takeover, the read that
// clears up a write, or a write that drops settled orders.
func (c *core) stepLedger(now time.Time) {
	if c.storeBusy || now.Before(c.nextStore) || !c.lease.Holds(now) {
		return
	}
	switch {
	case c.phase == phaseIdle || (c.write != nil && c.write.unclear):
		c.storeBusy = true
		c.emit(effect{kind: effectReadLedger})
	case c.write != nil:
		c.sendWrite()
	case !c.dirty.IsZero() && now.Sub(c.dirty) >= flushAfter:
		c.startWrite(now, nil)
	}
}

// startWrite writes the ledger as it stands; the orders are sent once it is in force.
func (c *core) startWrite(now time.Time, orders []ledger.Pending) {
	c.dirty = time.Time{}
	c.write = &writeState{record: c.ledger.Record(), orders: orders, began: now}
	if !c.storeBusy {
		c.sendWrite()
	}
}

func (c *core) sendWrite() {
	c.writes++
	id := fmt.Sprintf("%s-%d-%d-%d", c.instance, c.ledger.Term(), c.random.Uint64(), c.writes)
	c.write.record.WriteID = id
	c.write.attempts = append(c.write.attempts, id)
	c.storeBusy = true
	c.emit(effect{kind: effectWriteLedger, value: c.write.record.Encode(), expected: c.revision})
}

func (c *core) ledgerRead(now time.Time, r result) {
	c.storeBusy = false
	record := ledger.Record{}
	if r.err != nil && !errors.Is(r.err, store.ErrNotFound) {
		c.storeFailed(now)
		return
	}
	if r.err == nil {
		decoded, err := ledger.Decode(r.entry.Value)
		if err != nil {
			c.note(event{kind: eventLedger, message: "Ledger key can't be read.", reason: err.Error(), warn: true})
			c.storeFailed(now)
			return
		}
		record = decoded
	}
	c.storeAway = false
	if !c.lease.Holds(now) && c.phase == phaseIdle {
		return
	}
	c.judge(now, record, r.entry.Revision)
}

// judge compares what the ledger key holds with what this holder wrote.
func (c *core) judge(now time.Time, record ledger.Record, revision store.Revision) {
	if c.write != nil && slices.Contains(c.write.attempts, record.WriteID) {
		c.writeInForce(now, revision, record.WriteID)
		return
	}
	if record.Term >= c.lease.Term() && c.phase != phaseActive {
		c.supersede(record.Term)
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
		c.supersede(record.Term)
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
	c.ledger.SetServers(specsOf(c.document))
	c.ledger.SetUnits(c.document.Units())
	c.contacts, c.sent = map[string]*contact{}, map[string]sending{}
	c.bucket = newBucket(now)
	c.took = now
	c.note(event{kind: eventLease, message: fmt.Sprintf("Take over in term %d with %d open orders.", term, len(record.Pending))})
	attempts := []string(nil)
	if c.write != nil {
		attempts = c.write.attempts
	}
	c.startWrite(now, nil)
	c.write.attempts = append(attempts, c.write.attempts...)
}

// retryOrWithdraw handles a write that isn't in force: its orders were never sent.
func (c *core) retryOrWithdraw(now time.Time) {
	if now.Sub(c.write.began) < staleOrder {
		c.sendWrite()
		return
	}
	c.withdraw(c.write.orders)
	c.write.orders = nil
	c.write.record = c.ledger.Record()
	c.write.began = now
	c.sendWrite()
}

func (c *core) withdraw(orders []ledger.Pending) {
	for _, p := range orders {
		c.ledger.Withdraw(p)
	}
}

func (c *core) ledgerWritten(now time.Time, r result) {
	c.storeBusy = false
	if c.write == nil {
		return
	}
	switch {
	case r.err == nil:
		c.storeAway = false
		c.writeInForce(now, r.revision, c.write.record.WriteID)
	case errors.Is(r.err, store.ErrThrottled):
		c.storeFailed(now)
	case errors.Is(r.err, store.ErrConflict):
		c.write.unclear = true
	default:
		c.write.unclear = true
		c.storeFailed(now)
	}
}

func (c *core) storeFailed(now time.Time) {
	c.storeAway = true
	c.nextStore = now.Add(storeRetry/4 + time.Duration(c.random.Int64N(int64(storeRetry))))
}

// writeInForce sends the orders that waited for the write. The id says which try is
// in force; an earlier one than the last may hold less than the ledger does.
func (c *core) writeInForce(now time.Time, revision store.Revision, id string) {
	write := c.write
	c.write, c.revision = nil, revision
	if c.phase == phaseTakeover {
		c.phase = phaseActive
	}
	if id == write.record.WriteID {
		c.markRecorded(write.record)
	} else {
		c.dirty = now
	}
	if now.Sub(write.began) >= staleOrder || !c.lease.Holds(now) {
		c.withdraw(write.orders)
		c.dirty = now
		return
	}
	for _, p := range write.orders {
		c.submit(now, p)
	}
}

func (c *core) markRecorded(record ledger.Record) {
	for _, p := range record.Pending {
		c.ledger.MarkUnrecorded(p, false)
	}
}
