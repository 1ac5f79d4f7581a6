package lab

import (
	"fmt"
	"net"
	"sync"
)

const maxDatagramBytes = 64 << 10

// udpLink relays the datagrams of all machines to one machine, and its answers. It drops those of pairs that are cut.
type udpLink struct {
	target  *net.UDPAddr
	front   *net.UDPConn
	dropped func(other string) bool

	mu    sync.Mutex
	backs map[string]*net.UDPConn
	// silent holds the senders whose open connections have gone silent.
	silent map[string]bool
}

func newUDPLink(target string, dropped func(other string) bool) (*udpLink, error) {
	address, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("lab: listen: %w", err)
	}
	l := &udpLink{target: address, front: front, dropped: dropped, backs: map[string]*net.UDPConn{}, silent: map[string]bool{}}
	go l.serve()
	return l, nil
}

func (l *udpLink) address() string { return l.front.LocalAddr().String() }

func (l *udpLink) close() {
	_ = l.front.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, back := range l.backs {
		_ = back.Close()
	}
}

func (l *udpLink) serve() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := l.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if l.drops(from) {
			continue
		}
		if back := l.back(from); back != nil {
			_, _ = back.Write(buffer[:n])
		}
	}
}

// silenceOpen makes the open connections go silent. New ones, from other ports, work.
func (l *udpLink) silenceOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for from := range l.backs {
		l.silent[from] = true
	}
}

func (l *udpLink) drops(from *net.UDPAddr) bool {
	l.mu.Lock()
	silent := l.silent[from.String()]
	l.mu.Unlock()
	return silent || l.dropped(from.IP.String())
}

// back returns the socket that stands for a sender before the target.
func (l *udpLink) back(from *net.UDPAddr) *net.UDPConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if back := l.backs[from.String()]; back != nil {
		return back
	}
	back, err := net.DialUDP("udp", nil, l.target)
	if err != nil {
		return nil
	}
	l.backs[from.String()] = back
	go func() {
		buffer := make([]byte, maxDatagramBytes)
		for {
			n, err := back.Read(buffer)
			if err != nil {
				l.mu.Lock()
				delete(l.backs, from.String())
				l.mu.Unlock()
				_ = back.Close()
				return
			}
			if !l.drops(from) {
				_, _ = l.front.WriteToUDP(buffer[:n], from)
			}
		}
	}()
	return back
}
