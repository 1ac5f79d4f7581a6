package placer

import (
	"limpethub/internal/engine"
	"limpethub/internal/ledger"
	"limpethub/internal/modelref"
	"limpethub/internal/store"
)

// effectKind is the kind of call that the core asks Placer to make.
type effectKind uint8

const (
	effectReadLease effectKind = iota + 1
	effectWriteLease
	effectReadLedger
	effectWriteLedger
	effectInventory
	effectSubmit
)

// effect is one call that Placer makes for the core, and whose result it passes back.
type effect struct {
	kind effectKind
	// value and expected are set for writes.
	value    []byte
	expected store.Revision
	// server is set for inventory requests and orders, inventoryNumber for inventory
	// requests, order for orders.
	server          string
	inventoryNumber uint64
	// withReport asks for the server's report along with the inventory.
	withReport bool
	order      engine.Order
}

// result is the outcome of an effect.
type result struct {
	effect effect
	// entry is what a read returned, revision what a write created.
	entry     store.Entry
	revision  store.Revision
	inventory engine.Inventory
	report    engine.Report
	err       error
}

// eventKind is the label of an event in the log and in the metrics.
type eventKind string

// Kinds of events.
const (
	// eventLease is the start of a takeover, or a lease key that can't be decoded.
	eventLease eventKind = "lease"
	// eventMove is a new order in the ledger.
	eventMove eventKind = "move"
	// eventSettled is an order whose outcome is known.
	eventSettled eventKind = "settled"
	// eventResend is an order that is sent again.
	eventResend eventKind = "resend"
	// eventFence is a fence order that is sent.
	eventFence eventKind = "fence"
	// eventUnexpectedChange is a change on a server that no order of this holder explains.
	eventUnexpectedChange eventKind = "surprise"
	// eventRestart is a new process of a server.
	eventRestart eventKind = "restart"
	// eventShortfall is a version without a copy that the plan can't place.
	eventShortfall eventKind = "shortfall"
	// eventSuperseded is the end of a term, also if no other instance holds the lease.
	eventSuperseded eventKind = "superseded"
	// eventLedger is a ledger key that can't be decoded.
	eventLedger eventKind = "ledger"
	// eventRefused is a move that the ledger refused.
	eventRefused eventKind = "refused"
)

// event is one entry of the log, counted by its kind in the metrics.
type event struct {
	kind    eventKind
	message string
	server  string
	ref     modelref.Ref
	order   engine.Order
	reason  string
	// warn is true for events that an operator should look at.
	warn bool
}

func moveEvent(p ledger.Pending, reason string) event {
	return event{
		kind:    eventMove,
		message: "Order entered: " + string(p.Order.Action) + ".",
		server:  p.Server,
		ref:     p.Order.Ref,
		order:   p.Order,
		reason:  reason,
	}
}
