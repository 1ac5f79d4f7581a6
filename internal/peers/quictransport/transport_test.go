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

// echo answers calls with the sender's name and the payload, and queues received datagrams.
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

// sendUntilReceived sends a datagram repeatedly until one arrives, because each may be lost.
func sendUntilReceived(t *testing.T, from *Transport, address string, to *echo) string {
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
	t.Fatal("none of 1000 datagrams arrived")
	return ""
}

func TestDatagramAndCallCarrySenderName(t *testing.T) {
	ca := newAuthority(t)
	handler := newEcho()
	a := start(t, "127.0.0.1:0", ca.issue(t, "a"), newEcho())
	b := start(t, "127.0.0.1:0", ca.issue(t, "b"), handler)

	if got := sendUntilReceived(t, a, b.LocalAddress(), handler); got != "a:hello" {
		t.Errorf("datagram = %q, want %q", got, "a:hello")
	}
	reply, err := a.Call(t.Context(), b.LocalAddress(), peers.KindStatus, []byte("question"))
	if err != nil || string(reply) != "a:question" {
		t.Errorf("Call = %q, %v, want a:question", reply, err)
	}
	if got := a.Stats().Dials; got != 1 {
		t.Errorf("dials = %d, want 1 for both messages", got)
	}
}

// A call whose handler fails, whose answer is too large, or whose kind has no handler gets an error.
func TestFailedCallReturnsError(t *testing.T) {
	ca := newAuthority(t)
	a := start(t, "127.0.0.1:0", ca.issue(t, "a"), newEcho())
	b := start(t, "127.0.0.1:0", ca.issue(t, "b"), newEcho())
	for _, payload := range []string{"fail", "huge"} {
		if _, err := a.Call(t.Context(), b.LocalAddress(), peers.KindStatus, []byte(payload)); err == nil {
			t.Errorf("Call(%q) succeeded, want an error", payload)
		}
	}
	if _, err := a.Call(t.Context(), b.LocalAddress(), peers.KindRepeat, nil); err == nil {
		t.Error("a call of a kind without a handler succeeded")
	}
}

func TestPeerOfAnotherAuthorityIsRefused(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	handler := newEcho()
	b := start(t, "127.0.0.1:0", ours.issue(t, "b"), handler)

	// The untrusted peer trusts our authority, but has a certificate of another one.
	config := theirs.issue(t, "a")
	config.RootCAs, config.ClientCAs = ours.pool, ours.pool
	untrusted := start(t, "127.0.0.1:0", config, newEcho())
	if reply, err := untrusted.Call(t.Context(), b.LocalAddress(), peers.KindStatus, []byte("x")); err == nil {
		t.Errorf("a call from an untrusted peer was answered with %q", reply)
	}
	// Our instance doesn't trust the listener of the untrusted peer either.
	if reply, err := b.Call(t.Context(), untrusted.LocalAddress(), peers.KindStatus, []byte("x")); err == nil {
		t.Errorf("our call got the answer %q from an untrusted peer", reply)
	}
	if got := b.Stats().MessagesReceived; got != 0 {
		t.Errorf("%d messages from an untrusted peer were received, want 0", got)
	}
}

func TestPeerWithoutCertificateIsRefused(t *testing.T) {
	ca := newAuthority(t)
	b := start(t, "127.0.0.1:0", ca.issue(t, "b"), newEcho())
	withoutCertificate := start(t, "127.0.0.1:0", ca.issue(t, "a"), newEcho())
	withoutCertificate.options.TLS.Certificates = nil // Each dial reads the options again.
	if _, err := withoutCertificate.Call(t.Context(), b.LocalAddress(), peers.KindStatus, []byte("x")); err == nil {
		t.Error("a call from a peer without a certificate was answered")
	}
}

func TestCallAndDatagramSizeLimits(t *testing.T) {
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
		t.Errorf("largest call: got %d bytes, %v, want MaxCallBytes", len(reply), err)
	}
	a.Datagram(b.LocalAddress(), peers.KindStatus, make([]byte, peers.MaxDatagramBytes+1))
	if got := a.Stats().DatagramsDropped; got != 1 {
		t.Errorf("dropped = %d, want 1", got)
	}
	// The connection still works.
	sendUntilReceived(t, a, b.LocalAddress(), handler)
}

// TestOversizeIsRefusedByTheReceiver tests the receiver's limit without the sender's check.
func TestOversizeIsRefusedByTheReceiver(t *testing.T) {
	if _, err := readBounded(bytes.NewReader(make([]byte, MaxCallBytes+2))); !errors.Is(err, ErrTooLarge) {
		t.Errorf("readBounded = %v, want ErrTooLarge", err)
	}
}

// Checks that the sender doesn't drop the largest datagram. Whether it arrives isn't checked,
// because each datagram may be lost.
func TestLargestDatagramIsNotDropped(t *testing.T) {
	ca := newAuthority(t)
	handler := newEcho()
	a := start(t, "127.0.0.1:0", ca.issue(t, "a"), newEcho())
	b := start(t, "127.0.0.1:0", ca.issue(t, "b"), handler)
	sendUntilReceived(t, a, b.LocalAddress(), handler)
	before := a.Stats()
	a.Datagram(b.LocalAddress(), peers.KindStatus, make([]byte, peers.MaxDatagramBytes))
	if _, err := a.Call(t.Context(), b.LocalAddress(), peers.KindStatus, []byte("after")); err != nil {
		t.Fatal(err)
	}
	if got := a.Stats().DatagramsDropped; got != before.DatagramsDropped {
		t.Error("a datagram of MaxDatagramBytes was dropped")
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
	sendUntilReceived(t, a, address, handler)
}

// Guards against Datagram waiting until an unreachable address is dialed. It must drop datagrams
// when the queue is full. If it waits instead, the test passes, but takes longer.
func TestDatagramsToUnreachableAddressDoNotBlock(t *testing.T) {
	ca := newAuthority(t)
	a := start(t, "127.0.0.1:0", ca.issue(t, "a"), newEcho())
	for range 10 * maxQueuedDatagrams {
		a.Datagram("127.0.0.1:1", peers.KindStatus, []byte("x"))
	}
	if a.Stats().DatagramsDropped == 0 {
		t.Error("no datagram was dropped, want at least 1")
	}
}

// TestConcurrentCallsToUnreachableAddressDoNotQueue guards against calls that dial a dead
// address one after the other: 20 calls must all fail within the time of a few dials.
func TestConcurrentCallsToUnreachableAddressDoNotQueue(t *testing.T) {
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
				t.Error("a call to an address that doesn't answer succeeded")
			}
		})
	}
	wg.Wait()
	if ctx.Err() != nil {
		t.Error("the calls took longer than 4 dial timeouts")
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
			t.Errorf("%s: Validate succeeded, want an error", name)
		}
	}
}
