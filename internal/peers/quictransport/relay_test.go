package quictransport

import (
	"context"
	"net"
	"sync"
	"testing"

	"limpethub/internal/peers"
)

// relay forwards UDP packets to a target. Like a NAT device or load balancer that loses its
// state, it can drop the flows that it knows: their packets are lost from then on, while new
// flows pass.
type relay struct {
	front  *net.UDPConn
	target *net.UDPAddr

	mu    sync.Mutex
	flows map[string]*udpFlow
}

type udpFlow struct {
	back    *net.UDPConn
	dropped bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	address, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		t.Fatal(err)
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{front: front, target: address, flows: map[string]*udpFlow{}}
	var wg sync.WaitGroup
	wg.Go(func() { r.forward(&wg) })
	t.Cleanup(func() {
		_ = front.Close()
		r.mu.Lock()
		for _, f := range r.flows {
			_ = f.back.Close()
		}
		r.mu.Unlock()
		wg.Wait()
	})
	return r
}

func (r *relay) address() string { return r.front.LocalAddr().String() }

// dropFlows drops all packets of the flows known so far, in both directions.
func (r *relay) dropFlows() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.dropped = true
	}
}

func (r *relay) forward(wg *sync.WaitGroup) {
	buffer := make([]byte, 2048)
	for {
		n, client, err := r.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if f := r.flow(client, wg); f != nil && !r.isDropped(f) {
			_, _ = f.back.Write(buffer[:n])
		}
	}
}

func (r *relay) flow(client *net.UDPAddr, wg *sync.WaitGroup) *udpFlow {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.flows[client.String()]; f != nil {
		return f
	}
	back, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	f := &udpFlow{back: back}
	r.flows[client.String()] = f
	wg.Go(func() { r.backward(f, client) })
	return f
}

func (r *relay) backward(f *udpFlow, client *net.UDPAddr) {
	buffer := make([]byte, 2048)
	for {
		n, err := f.back.Read(buffer)
		if err != nil {
			return
		}
		if !r.isDropped(f) {
			_, _ = r.front.WriteToUDP(buffer[:n], client)
		}
	}
}

func (r *relay) isDropped(f *udpFlow) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return f.dropped
}

// Guards against sends on a connection whose packets are lost for good, after a device on the
// path lost its state. The transport must detect it and dial again.
func TestSilentConnectionIsReplaced(t *testing.T) {
	ca := newAuthority(t)
	handler := newEcho()
	a := start(t, "127.0.0.1:0", ca.issue(t, "a"), newEcho())
	b := start(t, "127.0.0.1:0", ca.issue(t, "b"), handler)
	r := newRelay(t, b.LocalAddress())

	sendUntilReceived(t, a, r.address(), handler)
	if _, err := a.Call(t.Context(), r.address(), peers.KindStatus, []byte("x")); err != nil {
		t.Fatal(err)
	}
	r.dropFlows()
	discardDatagrams(handler)
	sendUntilReceived(t, a, r.address(), handler)
	if _, err := a.Call(t.Context(), r.address(), peers.KindStatus, []byte("x")); err != nil {
		t.Fatal(err)
	}
	if got := a.Stats().Dials; got < 2 {
		t.Errorf("dials = %d, want at least 2", got)
	}
}

// TestSilentConnectionStaysWithoutDetection checks that the relay's fault has an effect:
// without silence detection (a timeout of many years) the old connection stays in use and calls
// fail.
func TestSilentConnectionStaysWithoutDetection(t *testing.T) {
	ca := newAuthority(t)
	handler := newEcho()
	a := New(Options{Listen: "127.0.0.1:0", TLS: ca.issue(t, "a"), SilenceTimeout: 1 << 60})
	if err := a.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = a.Stop(context.Background()) })
	b := start(t, "127.0.0.1:0", ca.issue(t, "b"), handler)
	r := newRelay(t, b.LocalAddress())
	sendUntilReceived(t, a, r.address(), handler)
	r.dropFlows()
	ctx, cancel := context.WithTimeout(t.Context(), 2*DefaultSilenceTimeout)
	defer cancel()
	if _, err := a.Call(ctx, r.address(), peers.KindStatus, []byte("x")); err == nil {
		t.Error("a call succeeded on a dropped flow without silence detection")
	}
}

// discardDatagrams empties the queue of received datagrams.
func discardDatagrams(e *echo) {
	for {
		select {
		case <-e.datagrams:
		default:
			return
		}
	}
}
