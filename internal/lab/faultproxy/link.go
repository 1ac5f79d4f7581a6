package faultproxy

import (
	"net"
	"sync/atomic"
	"time"
)

// relayBufferBytes is how much one read takes.
const relayBufferBytes = 16 << 10

// link is one relayed connection.
type link struct {
	proxy          *Proxy
	client, server *net.TCPConn
	silent         atomic.Bool
}

func (l *link) silence() { l.silent.Store(true) }

func (l *link) reset() {
	abort(l.client)
	abort(l.server)
}

func (l *link) close() {
	_ = l.client.Close()
	_ = l.server.Close()
}

// toServer passes the client's bytes on.
func (l *link) toServer() {
	passed := 0
	l.copy(l.client, l.server, func(chunk []byte, f Faults) ([]byte, bool) {
		if f.ResetToServer != Off && passed+len(chunk) >= f.ResetToServer {
			_, _ = l.server.Write(chunk[:max(0, f.ResetToServer-passed)])
			l.reset()
			return nil, false
		}
		passed += len(chunk)
		if f.DropToServer {
			return nil, true
		}
		return chunk, true
	})
}

// toClient passes the server's bytes on.
func (l *link) toClient() {
	passed := 0
	l.copy(l.server, l.client, func(chunk []byte, f Faults) ([]byte, bool) {
		if f.ResetToClient != Off && passed+len(chunk) >= f.ResetToClient {
			_, _ = l.client.Write(chunk[:max(0, f.ResetToClient-passed)])
			l.reset()
			return nil, false
		}
		if f.CloseToClient != Off && passed+len(chunk) >= f.CloseToClient {
			_, _ = l.client.Write(chunk[:max(0, f.CloseToClient-passed)])
			l.close()
			return nil, false
		}
		passed += len(chunk)
		if f.DropToClient {
			return nil, true
		}
		return chunk, true
	})
}

// copy reads from one end and writes to the other what the filter lets pass.
func (l *link) copy(from, to *net.TCPConn, filter func([]byte, Faults) ([]byte, bool)) {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.pass(to, buffer[:n], filter) {
			return
		}
		if err != nil {
			if !l.silent.Load() {
				_ = to.CloseWrite()
			}
			return
		}
	}
}

// pass hands one chunk on. It reports whether the link goes on.
func (l *link) pass(to *net.TCPConn, chunk []byte, filter func([]byte, Faults) ([]byte, bool)) bool {
	faults := l.proxy.currentFaults()
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if l.silent.Load() {
		return true
	}
	chunk, more := filter(chunk, faults)
	if !more {
		return false
	}
	_, err := to.Write(chunk)
	return err == nil
}
