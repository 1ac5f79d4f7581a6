// Package peers defines how instances of limpethub send messages to each other: the
// transport's interface and the kinds of messages. A transport carries small datagrams,
// which may be lost, and calls with a body and an answer. Package quictransport implements
// it; package digest has the messages of one kind.
package peers

import (
	"context"
	"io"
)

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
	// KindRelay is for callers' requests that an instance passes on; see package peerrelay.
	KindRelay
	// KindArchive is for the software versions of streams that are to be written to the store; see package
	// streamversion.
	KindArchive
	// KindQuota is for what workspaces use of their limits; see package workspacequota.
	KindQuota
	// KindContact is for questions about an instance's contact with the store; see package storecontact.
	KindContact
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

// Stream is a stream of bytes to a peer and another one from it. Its methods may be called at the same
// time, each by one goroutine.
type Stream interface {
	io.Reader
	// Write sends bytes. It waits while the peer doesn't read what was sent before.
	io.Writer
	// CloseWrite ends the stream to the peer, who then reads io.EOF.
	CloseWrite() error
	// Cancel ends the stream from the peer, and the one to it unless CloseWrite was called. The peer's
	// context ends. It must be called at last.
	Cancel()
	// Context ends when the peer or the connection ends the stream to it.
	Context() context.Context
}

// StreamHandler serves streams that authenticated peers open.
type StreamHandler interface {
	// HandleStream serves a stream; from is the name of the peer that opened it. The stream ends when it
	// returns.
	HandleStream(from string, stream Stream)
}

// Streamer is a Transport that also carries streams.
type Streamer interface {
	// HandleStreams sets the handler of the streams of a kind. It must be called before Start.
	HandleStreams(kind Kind, handler StreamHandler)
	// OpenStream opens a stream to a peer. It doesn't wait while the peer has as many as it takes.
	OpenStream(ctx context.Context, address string, kind Kind) (Stream, error)
}
