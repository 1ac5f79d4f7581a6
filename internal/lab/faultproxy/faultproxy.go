// Package faultproxy relays TCP and UDP on loopback and injects faults that can be
// switched while it runs.
package faultproxy

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Off switches a byte limit off.
const Off = -1

// Faults are what the relay does to bytes. Limits count the bytes of one connection
// in one direction; Off means no limit. Use NoFaults as a start.
type Faults struct {
	// ResetToServer resets both ends after that many bytes went to the server; 0 means
	// at the client's first byte.
	ResetToServer int
	// ResetToClient resets both ends after that many bytes went to the client; 0 means
	// at the server's first byte.
	ResetToClient int
	// CloseToClient closes both ends cleanly after that many bytes went to the client.
	CloseToClient int
	// DropToServer and DropToClient swallow all bytes of a direction.
	DropToServer, DropToClient bool
	// Delay holds each read back, in both directions.
	Delay time.Duration
}

// NoFaults passes everything on.
func NoFaults() Faults {
	return Faults{ResetToServer: Off, ResetToClient: Off, CloseToClient: Off}
}

// Proxy relays TCP connections to one target.
type Proxy struct {
	target string

	mu       sync.Mutex
	address  string
	listener net.Listener
	// held keeps the port while nothing is listened on.
	held *heldPort
	// hang keeps new connections from being opened; nil while they are accepted or refused.
	hang     *hang
	faults   Faults
	links    map[*link]bool
	accepted int
	// refuses is true between Refuse and Accept, and targetRefuses while the proxy that this one follows accepts
	// nothing.
	refuses, targetRefuses bool
	// followers are told when this proxy accepts nothing.
	followers []*Proxy
}

// Listen relays a free loopback port to the target.
func Listen(target string) (*Proxy, error) {
	p := &Proxy{target: target, address: "127.0.0.1:0", faults: NoFaults(), links: map[*link]bool{}}
	if err := p.Accept(); err != nil {
		return nil, err
	}
	return p, nil
}

// Address is the host:port to connect to.
func (p *Proxy) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Follow relays a free loopback port to a proxy, and refuses new connections whenever that does, as its target's
// process does that has ended.
func Follow(target *Proxy) (*Proxy, error) {
	p, err := Listen(target.Address())
	if err != nil {
		return nil, err
	}
	target.mu.Lock()
	target.followers = append(target.followers, p)
	refuses := target.listener == nil
	target.mu.Unlock()
	return p, p.setTargetRefuses(refuses)
}

func (p *Proxy) setTargetRefuses(refuses bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targetRefuses = refuses
	return p.update()
}

// tellFollowers tells the followers whether this proxy accepts connections.
func (p *Proxy) tellFollowers() error {
	p.mu.Lock()
	followers, refuses := p.followers, p.listener == nil
	p.mu.Unlock()
	for _, f := range followers {
		if err := f.setTargetRefuses(refuses); err != nil {
			return err
		}
	}
	return nil
}

// Accept takes new connections again after Refuse.
func (p *Proxy) Accept() error {
	p.mu.Lock()
	p.refuses = false
	err := p.update()
	p.mu.Unlock()
	if err != nil {
		return err
	}
	return p.tellFollowers()
}

// update listens or stops listening. The lock is held.
func (p *Proxy) update() error {
	p.hang.end()
	p.hang = nil
	if p.refuses || p.targetRefuses {
		if p.listener != nil {
			_ = p.listener.Close()
			p.listener = nil
			var err error
			if p.held, err = holdPort(p.address); err != nil {
				return err
			}
		}
		return nil
	}
	if p.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return fmt.Errorf("faultproxy: listen: %w", err)
	}
	p.listener = listener
	p.held.end()
	p.held = nil
	p.address = listener.Addr().String()
	go p.serve(listener)
	return nil
}

// Refuse makes dials fail. Open connections stay.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	p.refuses = true
	// Nothing is listened on, so there is no error.
	_ = p.update()
	p.mu.Unlock()
	_ = p.tellFollowers()
}

// Hang makes dials hang until Accept or Refuse. Open connections stay.
func (p *Proxy) Hang() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuses = true
	if err := p.update(); err != nil {
		return err
	}
	var err error
	p.hang, err = newHang(p.address)
	return err
}

// Close refuses new connections, resets the open ones and frees the port.
func (p *Proxy) Close() {
	p.Refuse()
	p.ResetOpen()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held.end()
	p.held = nil
}

// SetFaults replaces the faults, for open and new connections.
func (p *Proxy) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// ResetOpen resets all open connections.
func (p *Proxy) ResetOpen() {
	for _, l := range p.open() {
		l.reset()
	}
}

// SilenceOpen makes all connections that are open now bring nothing any more, in
// both directions, without closing them. New connections work.
func (p *Proxy) SilenceOpen() {
	for _, l := range p.open() {
		l.silence()
	}
}

// Accepted is how many connections were taken so far.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

func (p *Proxy) open() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*link, 0, len(p.links))
	for l := range p.links {
		out = append(out, l)
	}
	return out
}

func (p *Proxy) currentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *Proxy) serve(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go p.relay(client.(*net.TCPConn))
	}
}

// relay connects one client to the target until either end goes.
func (p *Proxy) relay(client *net.TCPConn) {
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(client)
		return
	}
	l := &link{proxy: p, client: client, server: conn.(*net.TCPConn)}
	p.mu.Lock()
	p.links[l] = true
	p.accepted++
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(l.toServer)
	both.Go(l.toClient)
	both.Wait()
	l.close()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// abort closes a connection by a reset.
func abort(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
