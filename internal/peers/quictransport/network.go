package quictransport

import (
	"context"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/quic-go/quic-go"
)

// packetHeaderBytes is the size of the UDP and IPv4 headers of a packet.
const packetHeaderBytes = 28

// NetworkCounts counts the packets and bytes sent over the network, including QUIC's own
// packets and the headers of UDP and IP. Stats, in contrast, counts messages and their
// payloads.
type NetworkCounts struct {
	PacketsSent, BytesSent         uint64
	PacketsReceived, BytesReceived uint64
	// Connections is the number of open connections, in both directions.
	Connections int
}

func (w *NetworkCounts) add(s quic.ConnectionStats) {
	w.PacketsSent += s.PacketsSent
	w.BytesSent += s.BytesSent + packetHeaderBytes*s.PacketsSent
	w.PacketsReceived += s.PacketsReceived
	w.BytesReceived += s.BytesReceived + packetHeaderBytes*s.PacketsReceived
}

// networkCounters holds the open connections and the summed counts of closed ones.
type networkCounters struct {
	mu sync.Mutex
	// open says of each connection whether this instance has opened it.
	open   map[*quic.Conn]bool
	closed NetworkCounts
	// receivedByClosed is how many packets the closed connections that this instance had opened have received.
	receivedByClosed uint64
}

// track counts a connection from now on, until it is closed.
func (w *networkCounters) track(connection *quic.Conn, outgoing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open == nil {
		w.open = map[*quic.Conn]bool{}
	}
	w.open[connection] = outgoing
	context.AfterFunc(connection.Context(), func() { w.remove(connection) })
}

func (w *networkCounters) remove(connection *quic.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed.add(connection.ConnectionStats())
	if w.open[connection] {
		w.receivedByClosed += connection.ConnectionStats().PacketsReceived
	}
	delete(w.open, connection)
}

func (w *networkCounters) total() NetworkCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := w.closed
	for connection := range w.open {
		total.add(connection.ConnectionStats())
	}
	total.Connections = len(w.open)
	return total
}

// receivedBeside returns how many packets all outgoing connections but one have received, and how many other ones are open.
func (w *networkCounters) receivedBeside(excluded *quic.Conn) (packets uint64, connections int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	packets = w.receivedByClosed
	for connection, outgoing := range w.open {
		if outgoing && connection != excluded {
			packets += connection.ConnectionStats().PacketsReceived
			connections++
		}
	}
	return packets, connections
}

// NetworkCounts returns the counts since the transport was created.
func (t *Transport) NetworkCounts() NetworkCounts { return t.network.total() }

// Collectors returns the transport's metrics, to be registered by the daemon.
func (t *Transport) Collectors() []prometheus.Collector {
	counter := func(name, help string, value func(NetworkCounts) uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
			func() float64 { return float64(value(t.NetworkCounts())) })
	}
	return []prometheus.Collector{
		counter("limpethub_peer_sent_bytes_total", "Bytes sent to peers, including QUIC, UDP and IP headers.",
			func(w NetworkCounts) uint64 { return w.BytesSent }),
		counter("limpethub_peer_received_bytes_total", "Bytes received from peers, including QUIC, UDP and IP headers.",
			func(w NetworkCounts) uint64 { return w.BytesReceived }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "limpethub_peer_datagrams_dropped_total",
			Help: "Datagrams to peers that were dropped: too large, queue full, dial or send failed, or transport not running.",
		}, func() float64 { return float64(t.Stats().DatagramsDropped) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "limpethub_peer_dials_total",
			Help: "Connections to peers that were dialed successfully.",
		}, func() float64 { return float64(t.Stats().Dials) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "limpethub_peer_connections",
			Help: "Open connections to and from peers.",
		}, func() float64 { return float64(t.NetworkCounts().Connections) }),
	}
}
