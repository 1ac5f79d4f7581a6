package httpengine

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// sendTracker follows one HTTP request until it is handed to a connection. It proves that a
// failed request was not handed over, and prevents net/http from sending a request twice.
type sendTracker struct {
	mu   sync.Mutex
	conn *trackedConn
	// writesBefore is conn's write count when net/http chose it for the request.
	writesBefore uint64
	// untracked is true once net/http chose a connection that isn't a *trackedConn.
	// Nothing can be proved about such a connection.
	untracked bool
	// ended is true once sealIfNotRun was called. Connections that net/http chooses later
	// are sealed.
	ended bool
}

// trace returns a context under which net/http reports the connection that it chooses for
// the request to the tracker.
func (s *sendTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { s.attach(findTrackedConn(info.Conn)) },
	})
}

// attach records the connection that net/http chose. If an earlier connection already got
// bytes of the request, or the tracker has ended, attach seals the new connection, so that
// the request can't be sent a second time. Otherwise it seals the earlier connection, if any,
// and follows the new one.
func (s *sendTracker) attach(conn *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if conn == nil {
		s.untracked = true
		return
	}
	if s.ended || !s.sealUnwrittenLocked() {
		// This always seals the connection: net/http writes the request only after attach
		// returns, so no write of it comes between the two calls.
		conn.sealIfUnwritten(conn.writeCount())
		return
	}
	s.conn = conn
	s.writesBefore = conn.writeCount()
}

// sealUnwrittenLocked seals the request's connection if no byte of the request was handed
// to it. It returns true if no byte was handed over, also if there is no connection yet, and
// false for an untracked connection.
func (s *sendTracker) sealUnwrittenLocked() bool {
	if s.untracked {
		return false
	}
	if s.conn == nil {
		return true
	}
	return s.conn.sealIfUnwritten(s.writesBefore)
}

// sealIfNotRun ends the tracker and reports whether no byte of the request was handed to any
// connection. If it returns true, no byte is handed over later either.
func (s *sendTracker) sealIfNotRun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	return s.sealUnwrittenLocked()
}

// connection returns the connection that the request was sent on; nil if it isn't tracked.
func (s *sendTracker) connection() *trackedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.untracked {
		return nil
	}
	return s.conn
}
