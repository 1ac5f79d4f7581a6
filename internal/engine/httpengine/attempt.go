package httpengine

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// attempt follows one request on its way to a connection. It is what proves that
// a request was not handed over, and what bars net/http from sending it twice.
type attempt struct {
	mu     sync.Mutex
	conn   *trackedConn
	before uint64
	// opaque is true when a connection wasn't one of ours, so nothing can be proved.
	opaque bool
	ended  bool
}

// trace returns a context under which net/http tells the attempt of its connection.
func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { a.attach(tracked(info.Conn)) },
	})
}

// attach notes the connection that net/http chose. If an earlier one already took
// a byte of the request, or the attempt has ended, the new one is sealed: the
// request can't be sent a second time.
func (a *attempt) attach(conn *trackedConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if conn == nil {
		a.opaque = true
		return
	}
	if a.ended || !a.releaseLocked() {
		conn.sealIfUnwritten(conn.count())
		return
	}
	a.conn = conn
	a.before = conn.count()
}

// releaseLocked reports whether nothing was handed over so far, and seals the
// connection that had the request.
func (a *attempt) releaseLocked() bool {
	if a.opaque {
		return false
	}
	if a.conn == nil {
		return true
	}
	return a.conn.sealIfUnwritten(a.before)
}

// notRun ends the attempt and reports whether no byte of the request was handed
// to any connection. Nothing can be handed over afterwards.
func (a *attempt) notRun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	return a.releaseLocked()
}
