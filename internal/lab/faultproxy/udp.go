package faultproxy

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// maxDatagramBytes is the largest UDP payload.
const maxDatagramBytes = 64 << 10

// UDPFaults are what a UDP relay does to datagrams.
type UDPFaults struct {
	// DropToServer and DropToClient swallow all datagrams of a direction.
	DropToServer, DropToClient bool
	// DropFrom swallows the datagrams of the clients at these IP addresses, and those to them.
	DropFrom []string
	// DropEvery swallows each n-th datagram of both directions; 0 means none.
	DropEvery int
	// Delay holds datagrams back, in both directions, without changing their order.
	Delay time.Duration
}

// UDPProxy relays datagrams to one target.
type UDPProxy struct {
	target *net.UDPAddr
	front  *net.UDPConn

	mu     sync.Mutex
	faults UDPFaults
	seen   int
	backs  map[string]*net.UDPConn
}

// ListenUDP relays a free loopback port to the target.
func ListenUDP(target string) (*UDPProxy, error) {
	address, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("faultproxy: %w", err)
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("faultproxy: listen: %w", err)
	}
	p := &UDPProxy{target: address, front: front, backs: map[string]*net.UDPConn{}}
	go p.serve()
	return p, nil
}

// Address is the host:port to send to.
func (p *UDPProxy) Address() string { return p.front.LocalAddr().String() }

// SetFaults replaces the faults.
func (p *UDPProxy) SetFaults(f UDPFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Close ends the relay.
func (p *UDPProxy) Close() {
	_ = p.front.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, back := range p.backs {
		_ = back.Close()
	}
}

func (p *UDPProxy) serve() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, client, err := p.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		back, err := p.back(client)
		if err != nil {
			return
		}
		if p.passes(client, true) {
			_, _ = back.Write(buffer[:n])
		}
	}
}

// back returns the socket towards the target that stands for a client.
func (p *UDPProxy) back(client *net.UDPAddr) (*net.UDPConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if back, ok := p.backs[client.String()]; ok {
		return back, nil
	}
	back, err := net.DialUDP("udp", nil, p.target)
	if err != nil {
		return nil, err
	}
	p.backs[client.String()] = back
	go p.serveBack(back, client)
	return back, nil
}

func (p *UDPProxy) serveBack(back *net.UDPConn, client *net.UDPAddr) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := back.Read(buffer)
		if err != nil {
			return
		}
		if p.passes(client, false) {
			_, _ = p.front.WriteToUDP(buffer[:n], client)
		}
	}
}

// passes applies the faults to one datagram from a client or to it.
func (p *UDPProxy) passes(client *net.UDPAddr, toServer bool) bool {
	p.mu.Lock()
	faults := p.faults
	p.seen++
	seen := p.seen
	p.mu.Unlock()
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if slices.Contains(faults.DropFrom, client.IP.String()) {
		return false
	}
	if faults.DropEvery > 0 && seen%faults.DropEvery == 0 {
		return false
	}
	if toServer {
		return !faults.DropToServer
	}
	return !faults.DropToClient
}
