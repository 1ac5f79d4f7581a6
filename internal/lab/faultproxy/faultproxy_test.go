package faultproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// echo serves TCP connections that send back what they get.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn); _ = conn.Close() }()
		}
	}()
	return listener.Addr().String()
}

func newProxy(t *testing.T) *Proxy {
	t.Helper()
	p, err := Listen(echo(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends text and reads as much back.
func exchange(conn net.Conn, text string) (string, error) {
	if _, err := conn.Write([]byte(text)); err != nil {
		return "", err
	}
	back := make([]byte, len(text))
	n, err := io.ReadFull(conn, back)
	return string(back[:n]), err
}

func TestPassesBytesOn(t *testing.T) {
	p := newProxy(t)
	if back, err := exchange(dial(t, p), "hello"); err != nil || back != "hello" {
		t.Fatalf("%q, %v", back, err)
	}
}

func TestFaultsOfBytes(t *testing.T) {
	with := func(change func(*Faults)) Faults {
		f := NoFaults()
		change(&f)
		return f
	}
	tests := []struct {
		name   string
		faults Faults
		back   string
		err    error
	}{
		{"reset to the client", with(func(f *Faults) { f.ResetToClient = 3 }), "", nil},
		{"clean close to the client", with(func(f *Faults) { f.CloseToClient = 3 }), "hel", io.ErrUnexpectedEOF},
		{"reset to the server", with(func(f *Faults) { f.ResetToServer = 0 }), "", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newProxy(t)
			p.SetFaults(tt.faults)
			back, err := exchange(dial(t, p), "hello")
			if err == nil || (tt.err != nil && (!errors.Is(err, tt.err) || back != tt.back)) {
				t.Fatalf("%q, %v", back, err)
			}
		})
	}
}

func TestSilentConnectionsStayOpenAndNewOnesWork(t *testing.T) {
	p := newProxy(t)
	old := dial(t, p)
	if _, err := exchange(old, "hello"); err != nil {
		t.Fatal(err)
	}
	p.SilenceOpen()
	if back, err := exchange(dial(t, p), "hello"); err != nil || back != "hello" {
		t.Fatalf("new connection: %q, %v", back, err)
	}
	_ = old.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := exchange(old, "hello"); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("silent connection: %v", err)
	}
}

func TestRefusesAndAcceptsOnTheSameAddress(t *testing.T) {
	p := newProxy(t)
	p.Refuse()
	if conn, err := net.Dial("tcp", p.Address()); err == nil {
		_ = conn.Close()
		t.Fatal("a refused dial succeeded")
	}
	if err := p.Accept(); err != nil {
		t.Fatal(err)
	}
	if back, err := exchange(dial(t, p), "hello"); err != nil || back != "hello" {
		t.Fatalf("%q, %v", back, err)
	}
}

func TestDatagramsAreRelayedAndDropped(t *testing.T) {
	target, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	go func() {
		buffer := make([]byte, 100)
		for {
			n, from, err := target.ReadFrom(buffer)
			if err != nil {
				return
			}
			_, _ = target.WriteTo(buffer[:n], from)
		}
	}()
	p, err := ListenUDP(target.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	conn, err := net.Dial("udp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if back, err := exchange(conn, "hello"); err != nil || back != "hello" {
		t.Fatalf("%q, %v", back, err)
	}
	p.SetFaults(UDPFaults{DropToClient: true})
	_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := exchange(conn, "hello"); err == nil {
		t.Fatal("a dropped datagram came back")
	}
}

// TestRefusingProxyKeepsItsPort guards against an outgoing connection that takes the port of a proxy while that refuses
// connections, so that it can't listen again.
func TestRefusingProxyKeepsItsPort(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.Close() })
	p, err := Listen(target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	address := p.Address()
	for range 50 {
		p.Refuse()
		from, err := net.ResolveTCPAddr("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if conn, err := net.Dial("tcp", address); err == nil {
			_ = conn.Close()
			t.Fatal("a dial of a proxy that refuses connections succeeded")
		}
		if conn, err := (&net.Dialer{LocalAddr: from}).Dial("tcp", target.Addr().String()); err == nil {
			_ = conn.Close()
			t.Fatal("an outgoing connection has taken the port of a proxy that refuses connections")
		}
		if err := p.Accept(); err != nil {
			t.Fatal(err)
		}
	}
}
