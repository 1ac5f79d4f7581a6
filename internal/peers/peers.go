// Package peers is the seam between instances of limpethub. The transport carries
// small datagrams, which may be lost, and calls with a body and an answer.
package peers

import "context"

// MaxDatagramBytes is the most that one datagram may hold.
const MaxDatagramBytes = 1100

// Kind names the part of the system that a message belongs to.
type Kind uint8

// Kinds of messages.
const (
	KindMembership Kind = iota + 1
	KindDigest
	KindConfiguration
	KindRepeat
	KindStatus
)

// Handler takes messages from authenticated peers.
type Handler interface {
	// HandleDatagram takes a datagram. It must not block.
	HandleDatagram(from string, payload []byte)
	// HandleCall answers a call.
	HandleCall(ctx context.Context, from string, payload []byte) ([]byte, error)
}

// Transport carries messages to peers by address. Adapters register with the
// kernel under "peers.<name>".
type Transport interface {
	// Handle sets the handler of a kind. It is called before Start.
	Handle(kind Kind, handler Handler)
	// Datagram sends without waiting; it may be lost.
	Datagram(address string, kind Kind, payload []byte)
	// Call sends and waits for the answer.
	Call(ctx context.Context, address string, kind Kind, payload []byte) ([]byte, error)
}
