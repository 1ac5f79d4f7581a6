package forward

import "limpethub/internal/engine"

// Sink receives the events of one answer on their way to the caller.
type Sink interface {
	// Event delivers one event of the answer. An error means that the caller has
	// disconnected or reads too slowly.
	Event(event engine.Event) error
}
