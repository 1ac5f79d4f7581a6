package quictransport

import (
	"context"
	"fmt"
	"time"

	"github.com/quic-go/quic-go"

	"limpethub/internal/peers"
)

// link is the outgoing side towards one peer address. It dials when there is
// something to send, and dials again after a connection ended or went silent.
type link struct {
	transport *Transport
	address   string
	outgoing  chan []byte
	// users counts calls and sends in progress, and used notes that there were some
	// since the last look. The transport's lock guards both.
	users int
	used  bool

	// lock guards what follows. It is a channel, so that whoever waits for another's
	// dial can give up.
	lock       chan struct{}
	connection *quic.Conn
	watch      silence
	// failed and failedAt are the last dial's error and its time.
	failed   error
	failedAt time.Time
}

// Datagram sends without waiting; it is dropped when the peer's queue is full.
func (t *Transport) Datagram(address string, kind peers.Kind, payload []byte) {
	if len(payload) > peers.MaxDatagramBytes {
		t.counters.dropped()
		return
	}
	data := make([]byte, 0, len(payload)+1)
	data = append(data, byte(kind))
	data = append(data, payload...)
	l := t.acquire(address)
	if l == nil {
		t.counters.dropped()
		return
	}
	defer l.release()
	select {
	case l.outgoing <- data:
	default:
		t.counters.dropped()
	}
}

// Call sends and waits for the answer.
func (t *Transport) Call(ctx context.Context, address string, kind peers.Kind, payload []byte) ([]byte, error) {
	if len(payload) > MaxCallBytes {
		return nil, ErrTooLarge
	}
	l := t.acquire(address)
	if l == nil {
		return nil, ErrNotStarted
	}
	defer l.release()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	connection, err := l.dial(ctx)
	if err != nil {
		return nil, err
	}
	return t.exchange(ctx, connection, kind, payload)
}

func (t *Transport) exchange(ctx context.Context, connection *quic.Conn, kind peers.Kind, payload []byte) ([]byte, error) {
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("quictransport: open stream: %w", err)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if _, err := stream.Write(append([]byte{byte(kind)}, payload...)); err != nil {
		return nil, fmt.Errorf("quictransport: send call: %w", err)
	}
	if err := stream.Close(); err != nil {
		return nil, fmt.Errorf("quictransport: send call: %w", err)
	}
	t.counters.sent(len(payload) + 1)
	reply, err := readBounded(stream)
	if err != nil {
		stream.CancelRead(0)
		return nil, err
	}
	t.counters.received(len(reply))
	if len(reply) == 0 {
		return nil, fmt.Errorf("quictransport: empty answer")
	}
	if reply[0] != statusOK {
		return nil, fmt.Errorf("quictransport: peer refused: %s", reply[1:])
	}
	return reply[1:], nil
}

// acquire returns the link to an address, which stays until release, or nil when the
// transport isn't running.
func (t *Transport) acquire(address string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.running {
		return nil
	}
	l := t.links[address]
	if l == nil {
		l = &link{
			transport: t,
			address:   address,
			outgoing:  make(chan []byte, datagramQueue),
			lock:      make(chan struct{}, 1),
		}
		t.links[address] = l
		t.wg.Add(1)
		go l.run(t.ctx)
	}
	l.users++
	return l
}

func (l *link) release() {
	l.transport.mu.Lock()
	defer l.transport.mu.Unlock()
	l.users--
	l.used = true
}

// run sends queued datagrams until the transport stops or the link is idle.
func (l *link) run(ctx context.Context) {
	defer l.transport.wg.Done()
	defer l.close()
	idle := time.NewTicker(l.transport.options.IdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			if l.retire() {
				return
			}
		case data := <-l.outgoing:
			l.sendDatagram(ctx, data)
		}
	}
}

// retire takes a link that wasn't used lately out of the transport's table.
func (l *link) retire() bool {
	t := l.transport
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.users > 0 || l.used || len(l.outgoing) > 0 {
		l.used = false
		return false
	}
	delete(t.links, l.address)
	return true
}

func (l *link) close() {
	l.lock <- struct{}{}
	defer l.unlock()
	if l.connection != nil {
		_ = l.connection.CloseWithError(closeNormal, "")
	}
}

func (l *link) sendDatagram(ctx context.Context, data []byte) {
	connection := l.live()
	if connection == nil {
		ctx, cancel := context.WithTimeout(ctx, datagramDialTimeout)
		defer cancel()
		var err error
		if connection, err = l.dial(ctx); err != nil {
			l.transport.counters.dropped()
			l.dropQueued()
			return
		}
	}
	// SendDatagram blocks while the path takes nothing.
	stuck := time.AfterFunc(l.transport.options.SilenceTimeout, func() {
		_ = connection.CloseWithError(closeNormal, "silent")
	})
	defer stuck.Stop()
	if err := connection.SendDatagram(data); err != nil {
		l.transport.counters.dropped()
		return
	}
	l.transport.counters.sent(len(data))
}

// dropQueued drops what waited for a connection that couldn't be made: heartbeats
// and digests are of no use later.
func (l *link) dropQueued() {
	for {
		select {
		case <-l.outgoing:
			l.transport.counters.dropped()
		default:
			return
		}
	}
}

// unlock releases lock.
func (l *link) unlock() { <-l.lock }

// live returns the connection if it is open and nobody is about to change it, else nil.
func (l *link) live() *quic.Conn {
	select {
	case l.lock <- struct{}{}:
		defer l.unlock()
	default:
		return nil
	}
	if l.connection == nil || !l.usable(time.Now()) {
		return nil
	}
	return l.connection
}

// dial returns the live connection, or makes a new one. An address that didn't
// answer just now fails at once.
func (l *link) dial(ctx context.Context) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	select {
	case l.lock <- struct{}{}:
		defer l.unlock()
	case <-ctx.Done():
		return nil, fmt.Errorf("quictransport: dial %s: %w", l.address, ctx.Err())
	}
	if l.connection != nil && l.usable(time.Now()) {
		return l.connection, nil
	}
	if l.failed != nil && time.Since(l.failedAt) < redialPause {
		return nil, l.failed
	}
	connection, err := quic.DialAddr(ctx, l.address, l.transport.currentTLS(), l.transport.quicConfig())
	if err != nil {
		l.failed = fmt.Errorf("quictransport: dial %s: %w", l.address, err)
		l.failedAt = time.Now()
		return nil, l.failed
	}
	l.failed = nil
	l.transport.counters.dialed()
	l.transport.wire.add(connection)
	l.connection = connection
	l.watch = silence{}
	return connection, nil
}

// usable reports whether the connection is open and not silent. A silent one is
// closed.
func (l *link) usable(now time.Time) bool {
	if l.connection.Context().Err() != nil {
		return false
	}
	received := l.connection.ConnectionStats().PacketsReceived
	if !l.watch.silent(now, received, l.transport.options.SilenceTimeout) {
		return true
	}
	l.transport.options.Logger.WithField("peer", l.address).Warn("Connection went silent, dialing again")
	_ = l.connection.CloseWithError(closeNormal, "silent")
	return false
}

// silence notices that a connection in use brings nothing back, not even the
// acknowledgments of what was sent.
type silence struct {
	received uint64
	since    time.Time
}

// silent is called before each send with the count of packets received so far.
func (s *silence) silent(now time.Time, received uint64, timeout time.Duration) bool {
	if s.since.IsZero() || received != s.received {
		s.received = received
		s.since = now
		return false
	}
	return now.Sub(s.since) >= timeout
}
