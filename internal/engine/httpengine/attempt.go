package httpengine

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// attempt follows one request until it is handed to a connection. It proves that a failed
// request was not handed over, and prevents net/http from sending a request twice.
type attempt struct {
	mu   sync.Mutex
	conn *trackedConn
	// writesBefore is conn's write count when net/http chose it for the request.
	writesBefore uint64
	// untracked is true once net/http chose a connection that isn't a *trackedConn.
	// Nothing can be proved about such a connection.
	untracked bool
	ended     bool
}

// trace returns a context under which net/http reports the connection that it chooses for
// the request to the attempt.
func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { a.attach(findTrackedConn(info.Conn)) },
	})
}

// attach records the connection that net/http chose. If an earlier connection already got
// bytes of the request, or the attempt has ended, attach seals the new connection, so that
// the request can't be sent a second time.
func (a *attempt) attach(conn *trackedConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if conn == nil {
		a.untracked = true
		return
	}
	if a.ended || !a.sealUnwrittenLocked() {
		conn.sealIfUnwritten(conn.writeCount())
		return
	}
	a.conn = conn
	a.writesBefore = conn.writeCount()
}

// sealUnwrittenLocked seals the request's connection if no byte of the request was handed
// to it, and reports whether that was so. It is true if there is no connection yet.
func (a *attempt) sealUnwrittenLocked() bool {
	if a.untracked {
		return false
	}
	if a.conn == nil {
		return true
	}
	return a.conn.sealIfUnwritten(a.writesBefore)
}

// notRun ends the attempt and reports whether no byte of the request was handed to any
// connection. If it returns true, no byte is handed over later either.
func (a *attempt) notRun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	return a.sealUnwrittenLocked()
}
