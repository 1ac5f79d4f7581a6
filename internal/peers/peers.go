// Package peers defines how instances of limpethub send messages to each other: the
// transport's interface and the kinds of messages. A transport carries small datagrams,
// which may be lost, and calls with a body and an answer. Package quictransport implements
// it; package digest has the messages of one kind.
package peers

import "context"

// MaxDatagramBytes is the most that one datagram's payload may hold. Package quictransport sends
// a datagram of this size, with its kind byte, in one QUIC packet, without path MTU discovery.
const MaxDatagramBytes = 1100

// Kind is the part of the system that a message belongs to.
type Kind uint8

// Kinds of messages. They are sent as numbers between instances, also of different
// versions, so the numbers may not change.
const (
	// KindMembership is for cluster membership.
	KindMembership Kind = iota + 1
	// KindDigest is for load digests.
	KindDigest
	// KindConfiguration is for fetching a newer configuration revision.
	KindConfiguration
	// KindRepeat is for questions about earlier attempts of a repeated request.
	KindRepeat
	// KindStatus is for operators' requests that another instance must answer or carry
	// out, such as a drain.
	KindStatus
	// KindFacts is for fetching the facts that belong to the whole fleet; see package gossip.
	KindFacts
	// KindStreams is for which software version began a stream; see package streamversion.
	KindStreams
)

// Handler receives messages from authenticated peers.
type Handler interface {
	// HandleDatagram processes a datagram; from is the name of the peer that sent it. It must
	// not block.
	HandleDatagram(from string, payload []byte)
	// HandleCall returns the answer to a call; from is the name of the peer that sent it.
	HandleCall(ctx context.Context, from string, payload []byte) ([]byte, error)
}

// Transport sends messages to peers by address. Implementations register with the kernel
// as "peers.<name>".
type Transport interface {
	// Handle sets the handler of a kind. It must be called before Start.
	Handle(kind Kind, handler Handler)
	// Datagram sends a datagram without waiting. It may be lost.
	Datagram(address string, kind Kind, payload []byte)
	// Call sends a payload and waits for the answer.
	Call(ctx context.Context, address string, kind Kind, payload []byte) ([]byte, error)
}
