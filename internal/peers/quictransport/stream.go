package quictransport

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"limpethub/internal/peers"
)

var (
	_ peers.Streamer = (*Transport)(nil)
	_ peers.Stream   = (*stream)(nil)
)

// stream is a peers.Stream.
type stream struct {
	*quic.Stream
	// release gives back the link; it may be called more than once.
	release func()
	// writeClosed is true once the stream to the peer has ended. To cancel it then would drop what the peer
	// hasn't received yet.
	writeClosed atomic.Bool
}

// HandleStreams implements peers.Streamer.
func (t *Transport) HandleStreams(kind peers.Kind, handler peers.StreamHandler) {
	if t.streamHandlers == nil {
		t.streamHandlers = map[peers.Kind]peers.StreamHandler{}
	}
	t.streamHandlers[kind] = handler
}

// OpenStream implements peers.Streamer.
func (t *Transport) OpenStream(ctx context.Context, address string, kind peers.Kind) (peers.Stream, error) {
	l := t.acquire(address)
	if l == nil {
		return nil, ErrNotStarted
	}
	release := sync.OnceFunc(l.release)
	connection, err := l.connect(ctx)
	if err != nil {
		release()
		return nil, err
	}
	opened, err := connection.OpenStream()
	if err != nil {
		release()
		return nil, fmt.Errorf("quictransport: open stream: %w", err)
	}
	s := &stream{Stream: opened, release: release}
	if _, err := s.Write([]byte{byte(kind)}); err != nil {
		s.Cancel()
		return nil, fmt.Errorf("quictransport: open stream: %w", err)
	}
	return s, nil
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) { return s.Stream.Read(p) }

// CloseWrite implements peers.Stream.
func (s *stream) CloseWrite() error {
	s.writeClosed.Store(true)
	return s.Stream.Close()
}

// Cancel implements peers.Stream.
func (s *stream) Cancel() {
	s.CancelRead(0)
	if !s.writeClosed.Load() {
		s.CancelWrite(0)
	}
	s.release()
}

// serveStream serves a stream that a peer has opened, of which the kind was read.
func (t *Transport) serveStream(opened *quic.Stream, from string, handler peers.StreamHandler) {
	// The limits of a call don't hold for a stream.
	_ = opened.SetDeadline(time.Time{})
	s := &stream{Stream: opened, release: func() {}}
	defer s.Cancel()
	handler.HandleStream(from, s)
}
