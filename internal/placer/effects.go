package placer

import (
	"limpethub/internal/engine"
	"limpethub/internal/ledger"
	"limpethub/internal/modelref"
	"limpethub/internal/store"
)

// effectKind says what the shell has to do for the core.
type effectKind uint8

const (
	effectReadLease effectKind = iota + 1
	effectWriteLease
	effectReadLedger
	effectWriteLedger
	effectInventory
	effectSubmit
)

// effect is one call that the shell makes and whose outcome it gives back.
type effect struct {
	kind effectKind
	// value and expected belong to writes.
	value    []byte
	expected store.Revision
	// server and ask belong to inventories, server and order to submits.
	server string
	ask    uint64
	// report asks for the server's load report with the inventory.
	report bool
	order  engine.Order
}

// result is the outcome of an effect.
type result struct {
	effect effect
	// entry is what a read found, revision what a write made.
	entry     store.Entry
	revision  store.Revision
	inventory engine.Inventory
	report    engine.Report
	err       error
}

// eventKind names what a log line and a counter are about.
type eventKind string

// Kinds of events.
const (
	eventLease      eventKind = "lease"
	eventMove       eventKind = "move"
	eventSettled    eventKind = "settled"
	eventResend     eventKind = "resend"
	eventFence      eventKind = "fence"
	eventSurprise   eventKind = "surprise"
	eventRestart    eventKind = "restart"
	eventShortfall  eventKind = "shortfall"
	eventSuperseded eventKind = "superseded"
	eventLedger     eventKind = "ledger"
	eventRefused    eventKind = "refused"
)

// event is one thing that happened, for the log and the metrics.
type event struct {
	kind    eventKind
	message string
	server  string
	ref     modelref.Ref
	order   engine.Order
	reason  string
	// warn marks what an operator should look at.
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
