package quictransport

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"limpethub/internal/peers"
)

// echo answers calls with their payload and hands datagrams to a channel.
type echo struct{ datagrams chan string }

func newEcho() *echo { return &echo{datagrams: make(chan string, 100)} }

func (e *echo) HandleDatagram(from string, payload []byte) {
	select {
	case e.datagrams <- from + ":" + string(payload):
	default:
	}
}

func (e *echo) HandleCall(_ context.Context, from string, payload []byte) ([]byte, error) {
	if string(payload) == "fail" {
		return nil, errors.New("refused on purpose")
	}
	if string(payload) == "huge" {
		return make([]byte, MaxCallBytes+1), nil
	}
	return append([]byte(from+":"), payload...), nil
}

func start(t testing.TB, listen string, config *tls.Config, handler peers.Handler) *Transport {
	t.Helper()
	transport := New(Options{Listen: listen, TLS: config})
	transport.Handle(peers.KindStatus, handler)
	if err := transport.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = transport.Stop(context.Background()) })
	return transport
}

// waitDatagram sends until one datagram arrives: any single one may be lost.
func waitDatagram(t *testing.T, from *Transport, address string, to *echo) string {
	t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for range 1000 {
		from.Datagram(address, peers.KindStatus, []byte("hello"))
		select {
		case got := <-to.datagrams:
			return got
		case <-ticker.C:
		}
	}
	t.Fatal("no datagram arrived")
	return ""
}

func TestDatagramAndCallCarryTheSendersName(t *testing.T) {
	ca := newAuthority(t)
	handler := newEcho()
	a := start(t, "127.0.0.1:0", ca.issue(t, "a"), newEcho())
	b := start(t, "127.0.0.1:0", ca.issue(t, "b"), handler)

	if got := waitDatagram(t, a, b.LocalAddress(), handler); got != "a:hello" {
		t.Errorf("datagram = %q, want %q", got, "a:hello")
	}
	reply, err := a.Call(t.Context(), b.LocalAddress(), peers.KindStatus, []byte("question"))
	if err != nil || string(reply) != "a:question" {
		t.Errorf("Call = %q, %v", reply, err)
	}
	if got := a.Stats().Dials; got != 1 {
		t.Errorf("dials = %d, want 1 for both messages", got)
	}
}

func TestCallReportsTheHandlersError(t *testing.T) {
	ca := newAuthority(t)
	a := start(t, "127.0.0.1:0", ca.issue(t, "a"), newEcho())
	b := start(t, "127.0.0.1:0", ca.issue(t, "b"), newEcho())
	for _, payload := range []string{"fail", "huge"} {
		if _, err := a.Call(t.Context(), b.LocalAddress(), peers.KindStatus, []byte(payload)); err == nil {
			t.Errorf("Call(%q) succeeded", payload)
		}
	}
	if _, err := a.Call(t.Context(), b.LocalAddress(), peers.KindRepeat, nil); err == nil {
		t.Error("a call of a kind without handler succeeded")
	}
}

func TestPeerOfAnotherAuthorityIsRefused(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	handler := newEcho()
	b := start(t, "127.0.0.1:0", ours.issue(t, "b"), handler)

	// The stranger trusts us, but shows a certificate of another authority.
	config := theirs.issue(t, "a")
	config.RootCAs, config.ClientCAs = ours.pool, ours.pool
	stranger := start(t, "127.0.0.1:0", config, newEcho())
	if reply, err := stranger.Call(t.Context(), b.LocalAddress(), peers.KindStatus, []byte("x")); err == nil {
		t.Errorf("a stranger's call was answered with %q", reply)
	}
	// We don't trust a stranger's listener either.
	if reply, err := b.Call(t.Context(), stranger.LocalAddress(), peers.KindStatus, []byte("x")); err == nil {
		t.Errorf("a stranger answered our call with %q", reply)
	}
	if got := b.Stats().MessagesReceived; got != 0 {
		t.Errorf("%d messages of a stranger were received", got)
	}
}

func TestPeerWithoutCertificateIsRefused(t *testing.T) {
	ca := newAuthority(t)
	b := start(t, "127.0.0.1:0", ca.issue(t, "b"), newEcho())
	bare := start(t, "127.0.0.1:0", ca.issue(t, "a"), newEcho())
	bare.options.TLS.Certificates = nil // Dials take it anew.
	if _, err := bare.Call(t.Context(), b.LocalAddress(), peers.KindStatus, []byte("x")); err == nil {
		t.Error("a peer without certificate was answered")
	}
}

func TestOversizeIsRefused(t *testing.T) {
	ca := newAuthority(t)
	handler := newEcho()
	a := start(t, "127.0.0.1:0", ca.issue(t, "a"), newEcho())
	b := start(t, "127.0.0.1:0", ca.issue(t, "b"), handler)

	_, err := a.Call(t.Context(), b.LocalAddress(), peers.KindStatus, make([]byte, MaxCallBytes+1))
	if !errors.Is(err, ErrTooLarge) {
		t.Errorf("oversize call: %v, want ErrTooLarge", err)
	}
	largest := bytes.Repeat([]byte{7}, MaxCallBytes-len("a:"))
	reply, err := a.Call(t.Context(), b.LocalAddress(), peers.KindStatus, largest)
	if err != nil || len(reply) != MaxCallBytes {
		t.Errorf("largest call: %d bytes, %v", len(reply), err)
	}
	a.Datagram(b.LocalAddress(), peers.KindStatus, make([]byte, peers.MaxDatagramBytes+1))
	if got := a.Stats().DatagramsDropped; got != 1 {
		t.Errorf("dropped = %d, want 1", got)
	}
	waitDatagram(t, a, b.LocalAddress(), handler)
}

// TestOversizeIsRefusedByTheReceiver goes around the sender's own check.
func TestOversizeIsRefusedByTheReceiver(t *testing.T) {
	if _, err := readBounded(bytes.NewReader(make([]byte, MaxCallBytes+2))); !errors.Is(err, ErrTooLarge) {
		t.Errorf("readBounded = %v, want ErrTooLarge", err)
	}
}

func TestLargestDatagramPasses(t *testing.T) {
	ca := newAuthority(t)
	handler := newEcho()
	a := start(t, "127.0.0.1:0", ca.issue(t, "a"), newEcho())
	b := start(t, "127.0.0.1:0", ca.issue(t, "b"), handler)
	waitDatagram(t, a, b.LocalAddress(), handler)
	before := a.Stats()
	a.Datagram(b.LocalAddress(), peers.KindStatus, make([]byte, peers.MaxDatagramBytes))
	if _, err := a.Call(t.Context(), b.LocalAddress(), peers.KindStatus, []byte("after")); err != nil {
		t.Fatal(err)
	}
	if got := a.Stats().DatagramsDropped; got != before.DatagramsDropped {
		t.Error("the largest datagram was dropped")
	}
}

func TestRestartedPeerIsReached(t *testing.T) {
	ca := newAuthority(t)
	a := start(t, "127.0.0.1:0", ca.issue(t, "a"), newEcho())
	config := ca.issue(t, "b")
	b := start(t, "127.0.0.1:0", config, newEcho())
	address := b.LocalAddress()
	if _, err := a.Call(t.Context(), address, peers.KindStatus, []byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := b.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	handler := newEcho()
	start(t, address, config, handler)
	waitDatagram(t, a, address, handler)
}

func TestUnknownAddressDoesntBlock(t *testing.T) {
	ca := newAuthority(t)
	a := start(t, "127.0.0.1:0", ca.issue(t, "a"), newEcho())
	for range 10 * datagramQueue {
		a.Datagram("127.0.0.1:1", peers.KindStatus, []byte("x"))
	}
	if a.Stats().DatagramsDropped == 0 {
		t.Error("nothing was dropped")
	}
}

// TestDeadAddressFailsAllCallersTogether makes many calls of an address where nobody
// listens: none waits for another's dial beyond its own time.
func TestDeadAddressFailsAllCallersTogether(t *testing.T) {
	ca := newAuthority(t)
	a := start(t, "127.0.0.1:0", ca.issue(t, "a"), newEcho())
	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 4*dialTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			if _, err := a.Call(ctx, silent.LocalAddr().String(), peers.KindStatus, nil); err == nil {
				t.Error("a silent address answered")
			}
		})
	}
	wg.Wait()
	if ctx.Err() != nil {
		t.Error("the calls waited for one another")
	}
}

func TestValidate(t *testing.T) {
	ca := newAuthority(t)
	noAuthority := ca.issue(t, "a")
	noAuthority.ClientCAs = nil
	for name, options := range map[string]Options{
		"no address":     {TLS: ca.issue(t, "a")},
		"no TLS":         {Listen: "127.0.0.1:0"},
		"no certificate": {Listen: "127.0.0.1:0", TLS: &tls.Config{RootCAs: ca.pool, ClientCAs: ca.pool}},
		"no authority":   {Listen: "127.0.0.1:0", TLS: noAuthority},
	} {
		if New(options).Validate() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
