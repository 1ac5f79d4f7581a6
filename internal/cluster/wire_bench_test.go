package cluster

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"limpethub/internal/instancelist"
	"limpethub/internal/keys"
	"limpethub/internal/membership"
	"limpethub/internal/peers"
	"limpethub/internal/peers/quictransport"
)

const bytesPerDigest = 500

// warmUpSeconds is how long a fleet runs before the measurement starts.
const warmUpSeconds = 8

// discardHandler accepts messages and ignores them.
type discardHandler struct{}

func (discardHandler) HandleDatagram(string, []byte)                              {}
func (discardHandler) HandleCall(context.Context, string, []byte) ([]byte, error) { return nil, nil }

// wireFleet is a fleet that communicates over QUIC on loopback.
type wireFleet struct {
	clusters   []*Cluster
	transports []*quictransport.Transport
}

func startWireFleet(b *testing.B, n int) *wireFleet {
	authority, err := keys.NewAuthority("bench")
	if err != nil {
		b.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(authority.CertPEM())
	f := &wireFleet{}
	lister := &fakeLister{}
	var entries []instancelist.Instance
	for i := range n {
		transport := quictransport.New(quictransport.Options{Listen: "127.0.0.1:0", TLS: issueTLSConfig(b, authority, pool, i)})
		transport.Handle(peers.KindDigest, discardHandler{})
		transport.Handle(peers.KindMembership, discardHandler{}) // New replaces this handler.
		if err := transport.Start(b.Context()); err != nil {
			b.Fatal(err)
		}
		id := identity(i)
		id.PeerAddress = transport.LocalAddress()
		entries = append(entries, instancelist.Instance{
			Name: id.Name, CallerAddress: id.CallerAddress, PeerAddress: id.PeerAddress, FailureDomain: id.FailureDomain,
		})
		f.transports = append(f.transports, transport)
		f.clusters = append(f.clusters, New(Options{Self: id, Transport: transport, Lister: lister, Seed: uint64(i)}))
	}
	lister.set(entries, nil)
	return f
}

func issueTLSConfig(b *testing.B, authority *keys.Authority, pool *x509.CertPool, i int) *tls.Config {
	leaf, err := authority.Issue(identity(i).Name)
	if err != nil {
		b.Fatal(err)
	}
	pair, err := tls.X509KeyPair(leaf.Cert, leaf.Key)
	if err != nil {
		b.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool, ClientCAs: pool}
}

func (f *wireFleet) run(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, c := range f.clusters {
		wg.Go(func() { _ = c.Run(ctx) })
	}
	b.Cleanup(func() {
		cancel()
		wg.Wait()
		for _, t := range f.transports {
			_ = t.Stop(context.Background())
		}
	})
}

func (f *wireFleet) converged() bool {
	for _, c := range f.clusters {
		for _, m := range c.Members() {
			if m.State != membership.Alive {
				return false
			}
		}
		if len(c.Members()) != len(f.clusters) {
			return false
		}
	}
	return true
}

func (f *wireFleet) sent() (bytes uint64, connections int) {
	for _, t := range f.transports {
		wire := t.NetworkCounts()
		bytes += wire.BytesSent
		connections += wire.Connections
	}
	return bytes, connections
}

func (f *wireFleet) broadcast(digests int) {
	for _, c := range f.clusters {
		for range digests {
			c.Broadcast(peers.KindDigest, make([]byte, bytesPerDigest), &Rotation{})
		}
	}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkWire measures a fleet that communicates over QUIC on loopback: bytes on the wire,
// processor time and memory per instance, with heartbeats alone and with a number of digests
// per second of 500 bytes to each peer. Each iteration is one second.
func BenchmarkWire(b *testing.B) {
	for _, n := range []int{9, 30} {
		for _, digests := range []int{0, 1, 4, 100} {
			b.Run(fmt.Sprintf("instances=%d/digests=%d", n, digests), func(b *testing.B) {
				benchmarkWire(b, n, digests)
			})
		}
	}
}

func benchmarkWire(b *testing.B, n, digests int) {
	f := startWireFleet(b, n)
	f.run(b)
	for !f.converged() {
		time.Sleep(100 * time.Millisecond)
	}
	for range warmUpSeconds { // Connections are established here.
		f.broadcast(min(digests, 1))
		time.Sleep(time.Second)
	}
	bytes, _ := f.sent()
	processor := processorTime()
	b.ResetTimer()
	for range b.N {
		f.broadcast(digests)
		time.Sleep(time.Second)
	}
	b.StopTimer()
	after, connections := f.sent()
	instanceSeconds := b.Elapsed().Seconds() * float64(n)
	b.ReportMetric(float64(after-bytes)/instanceSeconds, "B/s/instance")
	b.ReportMetric(100*(processorTime()-processor).Seconds()/instanceSeconds, "%core/instance")
	b.ReportMetric(float64(connections)/float64(n), "connections/instance")
	b.ReportMetric(memoryBytes()/float64(n), "heap-B/instance")
}

// memoryBytes returns the heap and stack memory in use by the process.
func memoryBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
