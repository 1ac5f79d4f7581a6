package quictransport

import "sync/atomic"

// Stats counts the messages of a transport. Bytes are those of payloads and the kind or
// status byte, without the overhead of QUIC, UDP and IP.
type Stats struct {
	BytesSent        uint64
	BytesReceived    uint64
	MessagesSent     uint64
	MessagesReceived uint64
	// DatagramsDropped counts outgoing datagrams only.
	DatagramsDropped uint64
	// Dials counts successful dials only.
	Dials uint64
}

type counters struct {
	bytesSent, bytesReceived       atomic.Uint64
	messagesSent, messagesReceived atomic.Uint64
	datagramsDropped, dials        atomic.Uint64
}

func (c *counters) sent(bytes int) {
	c.bytesSent.Add(uint64(bytes))
	c.messagesSent.Add(1)
}

func (c *counters) received(bytes int) {
	c.bytesReceived.Add(uint64(bytes))
	c.messagesReceived.Add(1)
}

func (c *counters) dropped() { c.datagramsDropped.Add(1) }

func (c *counters) dialed() { c.dials.Add(1) }

// Stats returns the counts since the transport was created.
func (t *Transport) Stats() Stats {
	c := &t.counters
	return Stats{
		BytesSent:        c.bytesSent.Load(),
		BytesReceived:    c.bytesReceived.Load(),
		MessagesSent:     c.messagesSent.Load(),
		MessagesReceived: c.messagesReceived.Load(),
		DatagramsDropped: c.datagramsDropped.Load(),
		Dials:            c.dials.Load(),
	}
}
