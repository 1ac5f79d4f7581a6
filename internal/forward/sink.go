package forward

import "limpethub/internal/engine"

// Sink takes the events of one answer on their way to the caller.
type Sink interface {
	// Event delivers one piece of the answer. An error means that the caller has gone
	// or reads too slowly.
	Event(event engine.Event) error
}
