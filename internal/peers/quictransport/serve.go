package quictransport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/quic-go/quic-go"

	"limpethub/internal/peers"
)

// Statuses of a call's answer, in its first byte. Instances of different versions exchange
// them, so the values may not change.
const (
	statusOK byte = iota
	statusFailed
)

// closeNormal is the application error code of a connection that is closed deliberately.
const closeNormal quic.ApplicationErrorCode = 0

// acceptLoop serves each incoming connection until the listener is closed.
func (t *Transport) acceptLoop(ctx context.Context, listener *quic.Listener) {
	defer t.wg.Done()
	for {
		connection, err := listener.Accept(ctx)
		if err != nil {
			return
		}
		if !t.goTracked(func() { t.serve(ctx, connection) }) {
			return
		}
	}
}

// goTracked runs f in a goroutine that Stop waits for. It returns false, without running f,
// if the transport isn't running.
func (t *Transport) goTracked(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.running {
		return false
	}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		f()
	}()
	return true
}

// serve handles the datagrams and calls of one incoming connection until it ends.
func (t *Transport) serve(ctx context.Context, connection *quic.Conn) {
	defer connection.CloseWithError(closeNormal, "")
	t.network.track(connection, false)
	from := peerName(connection.ConnectionState().TLS)
	defer t.replacements.connected(time.Now(), from)()
	t.goTracked(func() { t.acceptStreams(connection, from) })
	for {
		data, err := connection.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		t.counters.received(len(data))
		if len(data) == 0 {
			continue
		}
		if handler := t.handlers[peers.Kind(data[0])]; handler != nil {
			handler.HandleDatagram(from, data[1:])
		}
	}
}

// acceptStreams serves each call, one per stream, until the connection ends.
func (t *Transport) acceptStreams(connection *quic.Conn, from string) {
	for {
		stream, err := connection.AcceptStream(connection.Context())
		if err != nil {
			return
		}
		if !t.goTracked(func() { t.serveCall(stream, from) }) {
			return
		}
	}
}

// serveCall reads one call from its stream and writes the answer. The texts of its errors
// are sent to the peer.
func (t *Transport) serveCall(stream *quic.Stream, from string) {
	defer stream.Close()
	ctx, cancel := context.WithTimeout(stream.Context(), callTimeout)
	defer cancel()
	_ = stream.SetDeadline(time.Now().Add(callTimeout))
	var kind [1]byte
	if _, err := io.ReadFull(stream, kind[:]); err != nil {
		stream.CancelRead(0)
		t.writeAnswer(stream, statusFailed, []byte(err.Error()))
		return
	}
	if handler := t.streamHandlers[peers.Kind(kind[0])]; handler != nil {
		t.serveStream(stream, from, handler)
		return
	}
	request, err := readBounded(io.MultiReader(bytes.NewReader(kind[:]), stream))
	if err != nil {
		stream.CancelRead(0)
		t.writeAnswer(stream, statusFailed, []byte(err.Error()))
		return
	}
	t.counters.received(len(request))
	if len(request) == 0 || t.handlers[peers.Kind(request[0])] == nil {
		t.writeAnswer(stream, statusFailed, []byte("no handler for this kind"))
		return
	}
	reply, err := t.handlers[peers.Kind(request[0])].HandleCall(ctx, from, request[1:])
	switch {
	case err != nil:
		t.writeAnswer(stream, statusFailed, []byte(err.Error()))
	case len(reply) > MaxCallBytes:
		t.writeAnswer(stream, statusFailed, []byte(ErrTooLarge.Error()))
	default:
		t.writeAnswer(stream, statusOK, reply)
	}
}

func (t *Transport) writeAnswer(stream *quic.Stream, status byte, body []byte) {
	t.counters.sent(len(body) + 1)
	if _, err := stream.Write([]byte{status}); err != nil {
		return
	}
	_, _ = stream.Write(body)
}

// readBounded reads a kind or status byte and a payload of at most MaxCallBytes. It reads up to
// one byte more, to detect a payload that is too large.
func readBounded(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxCallBytes+2))
	if err != nil {
		return nil, fmt.Errorf("quictransport: read: %w", err)
	}
	if len(data) > MaxCallBytes+1 {
		return nil, ErrTooLarge
	}
	return data, nil
}
