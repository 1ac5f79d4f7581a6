package quictransport

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"golang.org/x/time/rate"

	"limpethub/internal/pause"
)

const (
	// replacementsPerSecond and replacementBurst limit how many connections are dialed to replace silent ones: all are
	// silent at once if it is this instance's own link that is full, and handshakes would keep it so.
	replacementsPerSecond = 50
	replacementBurst      = 8
	// maxReplacementDelay limits the wait between two such dials to one peer, which doubles from redialDelay with each that fails.
	maxReplacementDelay = time.Second
	// turnPoll is the interval of the checks whether a silent connection may be replaced, and whether it has received a packet.
	turnPoll = 50 * time.Millisecond
	// othersHeardTime is in which time from the begin of a dial other connections must receive packets if only the dialed peer
	// is silent. The rest of datagramDialTimeout is for the silent connection to be heard too.
	othersHeardTime = datagramDialTimeout / 2
)

// silence is what is known of a silent connection.
type silence struct {
	// peer is the name of the instance at its other end, and since when nothing was received.
	peer  string
	since time.Time
	// retryAt is when the next dial to replace it may begin.
	retryAt time.Time
}

// replacements decides when silent connections may be replaced. Peers that have connected to this instance since are there, and
// go before all others. It is safe for concurrent use.
type replacements struct {
	mu      sync.Mutex
	limiter *rate.Limiter
	// connectedAt is when each peer has last connected to this instance, by its name.
	connectedAt map[string]time.Time
}

func newReplacements() *replacements {
	return &replacements{limiter: rate.NewLimiter(replacementsPerSecond, replacementBurst), connectedAt: map[string]time.Time{}}
}

// connected records that a peer has connected to this instance, and returns what forgets it at the end of that connection.
func (r *replacements) connected(now time.Time, peer string) (forget func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connectedAt[peer] = now
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.connectedAt[peer].Equal(now) {
			delete(r.connectedAt, peer)
		}
	}
}

// mayBegin reports whether a silent connection may be replaced now. A true result counts as begun.
func (r *replacements) mayBegin(now time.Time, s silence) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(s.retryAt) {
		return false
	}
	return r.connectedAt[s.peer].After(s.since) || r.limiter.AllowN(now, 1)
}

// awaitTurn waits until the connection isn't silent, or may be replaced. It reports false if ctx ended first.
func (l *link) awaitTurn(ctx context.Context) bool {
	for {
		s, isSilent := l.silence()
		if !isSilent || l.transport.replacements.mayBegin(time.Now(), s) {
			return true
		}
		if !pause.For(ctx, turnPoll) {
			return false
		}
	}
}

// silence reports whether the connection is open and silent. It reports false while a dial holds the lock.
func (l *link) silence() (s silence, isSilent bool) {
	select {
	case l.lock <- struct{}{}:
		defer l.unlock()
	default:
		return silence{}, false
	}
	if !l.isOpen() || l.usable(time.Now()) {
		return silence{}, false
	}
	return silence{peer: peerName(l.connection.ConnectionState().TLS), since: l.detector.unchangedSince, retryAt: l.retryAt}, true
}

// dialBeside dials while a silent connection stays open. As soon as that receives a packet, the dial ends and the connection is used
// again: its packets were only late, maybe on this instance's own link. If the dial fails, the connection is closed only if that is
// the peer's fault. The lock is held.
func (l *link) dialBeside(ctx context.Context) (*quic.Conn, error) {
	silent, received := l.connection, l.detector.received
	dialCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	isHeard := func() bool { return silent.ConnectionStats().PacketsReceived != received }
	go func() {
		for pause.For(dialCtx, turnPoll) {
			if isHeard() {
				cancel()
			}
		}
	}()
	othersHeard := l.transport.watchOthers(dialCtx, silent)
	connection, err := l.dial(dialCtx)
	if isHeard() && l.isOpen() {
		if err == nil {
			_ = connection.CloseWithError(closeNormal, "not needed")
		}
		return silent, nil
	}
	if err != nil && !othersHeard() {
		l.retryDelay = min(max(2*l.retryDelay, redialDelay), maxReplacementDelay)
		l.retryAt = time.Now().Add(l.retryDelay)
		return nil, err
	}
	l.transport.options.Logger.WithField("peer", l.address).Warn("No packets received from the peer within the silence timeout, closing the connection and dialing again")
	_ = silent.CloseWithError(closeNormal, "silent")
	return connection, err
}

// watchOthers returns a function that reports whether other connections received packets soon after the call of watchOthers, or
// there are none. If so, this instance's own link isn't the cause of a silence: all connections would be heard again soon after each
// other.
func (t *Transport) watchOthers(ctx context.Context, silent *quic.Conn) (othersHeard func() bool) {
	before, others := t.network.receivedBeside(silent)
	var heard atomic.Bool
	heard.Store(others == 0)
	go func() {
		if pause.For(ctx, othersHeardTime) {
			after, _ := t.network.receivedBeside(silent)
			heard.Store(others == 0 || after > before)
		}
	}()
	return heard.Load
}

// replaceWhileBlocked replaces the connection if it is silent and a call has waited on it for the silence timeout. At the end of ctx
// it closes it. stop must be called.
func (l *link) replaceWhileBlocked(ctx context.Context, connection *quic.Conn) (stop func()) {
	blocked, cancel := context.WithCancel(context.Background())
	timer := time.AfterFunc(l.transport.options.SilenceTimeout, func() {
		defer context.AfterFunc(ctx, func() { _ = connection.CloseWithError(closeNormal, "") })()
		for pause.For(blocked, redialDelay) {
			l.connectForDatagrams(blocked)
		}
	})
	return func() {
		timer.Stop()
		cancel()
	}
}
