package quictransport

import (
	"context"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/quic-go/quic-go"
)

// packetHeaderBytes is what UDP and IPv4 add to a packet.
const packetHeaderBytes = 28

// Wire counts what passed the network, with QUIC's own packets and the headers of
// UDP and IP.
type Wire struct {
	PacketsSent, BytesSent         uint64
	PacketsReceived, BytesReceived uint64
	// Connections is how many are open, in both directions.
	Connections int
}

func (w *Wire) add(s quic.ConnectionStats) {
	w.PacketsSent += s.PacketsSent
	w.BytesSent += s.BytesSent + packetHeaderBytes*s.PacketsSent
	w.PacketsReceived += s.PacketsReceived
	w.BytesReceived += s.BytesReceived + packetHeaderBytes*s.PacketsReceived
}

// wire keeps the open connections and the counts of closed ones.
type wire struct {
	mu     sync.Mutex
	open   map[*quic.Conn]struct{}
	closed Wire
}

func (w *wire) add(connection *quic.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open == nil {
		w.open = map[*quic.Conn]struct{}{}
	}
	w.open[connection] = struct{}{}
	context.AfterFunc(connection.Context(), func() { w.remove(connection) })
}

func (w *wire) remove(connection *quic.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed.add(connection.ConnectionStats())
	delete(w.open, connection)
}

func (w *wire) total() Wire {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := w.closed
	for connection := range w.open {
		total.add(connection.ConnectionStats())
	}
	total.Connections = len(w.open)
	return total
}

// Wire returns what passed the network since the transport was made.
func (t *Transport) Wire() Wire { return t.wire.total() }

// Collectors returns the transport's metrics, for a daemon's registry.
func (t *Transport) Collectors() []prometheus.Collector {
	counter := func(name, help string, value func(Wire) uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
			func() float64 { return float64(value(t.Wire())) })
	}
	return []prometheus.Collector{
		counter("limpethub_peer_sent_bytes_total", "Bytes sent to peers, with all headers.",
			func(w Wire) uint64 { return w.BytesSent }),
		counter("limpethub_peer_received_bytes_total", "Bytes received from peers, with all headers.",
			func(w Wire) uint64 { return w.BytesReceived }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "limpethub_peer_datagrams_dropped_total",
			Help: "Datagrams to peers that were dropped before they were sent.",
		}, func() float64 { return float64(t.Stats().DatagramsDropped) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "limpethub_peer_dials_total",
			Help: "Connections made to peers.",
		}, func() float64 { return float64(t.Stats().Dials) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "limpethub_peer_connections",
			Help: "Open connections with peers, in both directions.",
		}, func() float64 { return float64(t.Wire().Connections) }),
	}
}
