package quictransport

import (
	"context"
	"fmt"
	"time"

	"github.com/quic-go/quic-go"

	"limpethub/internal/peers"
)

// link sends messages to one peer address. It dials when there is something to send, and
// dials again after the connection has ended or stopped receiving; see replace.go for the latter.
type link struct {
	transport *Transport
	address   string
	// datagrams holds the datagrams to send, each with its kind byte. Calls don't pass
	// through it.
	datagrams chan []byte
	// inUse is the number of calls and sends in progress, and usedSinceTick says whether
	// any ended since the last call of retire. The transport's mu guards both.
	inUse         int
	usedSinceTick bool

	// lock guards the fields below. It is a channel instead of a mutex, so that a caller
	// that waits for another caller's dial can stop waiting at its own timeout.
	lock       chan struct{}
	connection *quic.Conn
	detector   silenceDetector
	// dialErr is the error of the last dial (nil if it succeeded), at dialFailedAt.
	dialErr      error
	dialFailedAt time.Time
	// retryAt is when a silent connection may be replaced after dials that have failed, and retryDelay the last wait.
	retryAt    time.Time
	retryDelay time.Duration
}

// Datagram sends without waiting. It drops the datagram if it is too large, if the peer's
// queue is full or if the transport isn't running.
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
	case l.datagrams <- data:
	default:
		t.counters.dropped()
	}
}

// Call sends a payload and waits for the answer, at most callTimeout. Texts of its errors
// appear in answers of the operator API, which say why another instance is unavailable.
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
	connection, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	return t.exchange(ctx, connection, kind, payload)
}

// exchange sends one call on a stream of its own and reads the answer.
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

// acquire returns the link to an address, or nil if the transport isn't running. The link
// isn't retired before release is called.
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
			datagrams: make(chan []byte, maxQueuedDatagrams),
			lock:      make(chan struct{}, 1),
		}
		t.links[address] = l
		t.wg.Add(1)
		go l.run(t.ctx)
	}
	l.inUse++
	return l
}

func (l *link) release() {
	l.transport.mu.Lock()
	defer l.transport.mu.Unlock()
	l.inUse--
	l.usedSinceTick = true
}

// run sends queued datagrams until the transport stops or the link is retired as idle.
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
		case data := <-l.datagrams:
			l.sendDatagram(ctx, data)
		}
	}
}

// retire removes the link from the transport's table if it hasn't been used since the last
// call of retire, and reports whether it did. run calls it once per IdleTimeout.
func (l *link) retire() bool {
	t := l.transport
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.inUse > 0 || l.usedSinceTick || len(l.datagrams) > 0 {
		l.usedSinceTick = false
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
	connection := l.currentConnection()
	if connection == nil {
		began := time.Now()
		if connection = l.connectForDatagrams(ctx); connection == nil || time.Since(began) > datagramDialTimeout {
			l.transport.counters.dropped()
			l.dropQueued()
			return
		}
	}
	// SendDatagram blocks while the connection can't send. Replacing the connection unblocks it.
	defer l.replaceWhileBlocked(ctx, connection)()
	if err := connection.SendDatagram(data); err != nil {
		l.transport.counters.dropped()
		return
	}
	l.transport.counters.sent(len(data))
}

// connectForDatagrams is connect once a silent connection may be replaced. It returns nil if that fails.
func (l *link) connectForDatagrams(ctx context.Context) *quic.Conn {
	if !l.awaitTurn(ctx) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, datagramDialTimeout)
	defer cancel()
	// The error is returned to the next call that connects.
	connection, _ := l.connect(ctx)
	return connection
}

// dropQueued drops the datagrams that waited for a dial that failed or began late. Membership messages and digests
// are out of date by then.
func (l *link) dropQueued() {
	for {
		select {
		case <-l.datagrams:
			l.transport.counters.dropped()
		default:
			return
		}
	}
}

func (l *link) unlock() { <-l.lock }

// currentConnection returns the connection if it is usable and no dial holds the lock,
// else nil.
func (l *link) currentConnection() *quic.Conn {
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

// connect returns the current connection if it is usable, or dials a new one. Within
// redialDelay of a failed dial, it returns that dial's error without dialing again.
func (l *link) connect(ctx context.Context) (*quic.Conn, error) {
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
	if l.dialErr != nil && time.Since(l.dialFailedAt) < redialDelay {
		return nil, l.dialErr
	}
	dial := l.dial
	if l.isOpen() {
		dial = l.dialBeside
	}
	connection, err := dial(ctx)
	if err != nil {
		l.dialErr = err
		l.dialFailedAt = time.Now()
		return nil, err
	}
	l.dialErr, l.retryDelay = nil, 0
	if connection != l.connection {
		l.transport.counters.dialed()
		l.transport.network.track(connection, true)
		l.connection = connection
	}
	l.detector = silenceDetector{}
	return connection, nil
}

func (l *link) dial(ctx context.Context) (*quic.Conn, error) {
	connection, err := quic.DialAddr(ctx, l.address, l.transport.currentTLS(), l.transport.quicConfig())
	if err != nil {
		return nil, fmt.Errorf("quictransport: dial %s: %w", l.address, err)
	}
	return connection, nil
}

// isOpen reports whether there is a connection that hasn't ended. The lock is held.
func (l *link) isOpen() bool { return l.connection != nil && l.connection.Context().Err() == nil }

// usable reports whether the connection is open and still receives packets. The lock is held.
func (l *link) usable(now time.Time) bool {
	if !l.isOpen() {
		return false
	}
	received := l.connection.ConnectionStats().PacketsReceived
	return !l.detector.silent(now, received, l.transport.options.SilenceTimeout)
}

// silenceDetector detects that a connection in use receives no packets, not even
// acknowledgments of what was sent.
type silenceDetector struct {
	received       uint64
	unchangedSince time.Time
}

// silent reports whether the count of received packets hasn't changed for the timeout. It
// is called before each send. A connection that sent nothing for longer than the timeout isn't
// silent: acknowledgments of the previous send have changed the count since the last call.
func (s *silenceDetector) silent(now time.Time, received uint64, timeout time.Duration) bool {
	if s.unchangedSince.IsZero() || received != s.received {
		s.received = received
		s.unchangedSince = now
		return false
	}
	return now.Sub(s.unchangedSince) >= timeout
}
