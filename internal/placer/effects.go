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
	// server is set for inventories and submits, inventoryNumber for inventories, order
	// for submits.
	server          string
	inventoryNumber uint64
	// withReport asks for the server's load report along with the inventory.
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
	eventLease            eventKind = "lease"
	eventMove             eventKind = "move"
	eventSettled          eventKind = "settled"
	eventResend           eventKind = "resend"
	eventFence            eventKind = "fence"
	eventUnexpectedChange eventKind = "surprise"
	eventRestart          eventKind = "restart"
	eventShortfall        eventKind = "shortfall"
	eventSuperseded       eventKind = "superseded"
	eventLedger           eventKind = "ledger"
	eventRefused          eventKind = "refused"
)

// event is something that happened, for the log and the metrics.
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
		message: "Order " + string(p.Order.Action) + ".",
		server:  p.Server,
		ref:     p.Order.Ref,
		order:   p.Order,
		reason:  reason,
	}
}
