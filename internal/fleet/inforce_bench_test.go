package fleet

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"sync"
	"testing"
	"time"

	"limpethub/internal/cluster"
	"limpethub/internal/confsync"
	"limpethub/internal/instancelist"
	"limpethub/internal/keys"
	"limpethub/internal/lab/standin"
	"limpethub/internal/lab/standin/kvstore"
	"limpethub/internal/membership"
	"limpethub/internal/peers/quictransport"
	"limpethub/internal/site"
	"limpethub/internal/store/etcdstore"
	"limpethub/internal/storecall"
)

// fixedList is a platform list that doesn't change.
type fixedList struct{ instances []instancelist.Instance }

func (l *fixedList) List(context.Context) ([]instancelist.Instance, error) { return l.instances, nil }

// realFleet is a fleet over QUIC on loopback with the stand-in of the key-value
// service, each instance with a client and a call budget of its own.
type realFleet struct {
	service *kvstore.Service
	syncs   []*confsync.Sync
	starts  []func(ctx context.Context) error
}

func newRealFleet(b *testing.B, n int) *realFleet {
	f := &realFleet{service: kvstore.New(kvstore.Options{})}
	host, err := standin.Listen(f.service.Handler())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(host.Kill)
	authority, err := keys.NewAuthority("bench")
	if err != nil {
		b.Fatal(err)
	}
	list := &fixedList{}
	for i := range n {
		f.add(b, i, host.Address(), authority, list)
	}
	return f
}

func (f *realFleet) add(b *testing.B, i int, storeAddress string, authority *keys.Authority, list *fixedList) {
	id := membership.Identity{Name: fmt.Sprintf("entry-%d", i), FailureDomain: fmt.Sprintf("zone-%d", i%3)}
	transport := quictransport.New(quictransport.Options{Listen: "127.0.0.1:0", TLS: settingsFor(b, authority, id.Name)})
	client, err := etcdstore.New(etcdstore.Options{Endpoints: []string{storeAddress}})
	if err != nil {
		b.Fatal(err)
	}
	// The address is known only once the transport listens, and handlers are set
	// before that: membership takes it from the list.
	id.CallerAddress = fmt.Sprintf("127.0.0.1:%d", 20000+i)
	address, err := transport.Bind()
	if err != nil {
		b.Fatal(err)
	}
	id.PeerAddress = address
	list.instances = append(list.instances, instancelist.Instance{
		Name: id.Name, CallerAddress: id.CallerAddress, PeerAddress: id.PeerAddress, FailureDomain: id.FailureDomain,
	})
	c := cluster.New(cluster.Options{Self: id, Transport: transport, Lister: list, Seed: uint64(i)})
	s := confsync.New(confsync.Options{
		Site: "bench", Transport: transport, Members: c, Seed: uint64(i),
		Store: storecall.New(storecall.Options{Store: client, Seed: uint64(i)}).For(storecall.PurposeConfig),
	})
	f.syncs = append(f.syncs, s)
	f.starts = append(f.starts, func(ctx context.Context) error {
		if err := transport.Start(ctx); err != nil {
			return err
		}
		defer func() { _ = transport.Stop(context.Background()) }()
		var wg sync.WaitGroup
		wg.Go(func() { _ = c.Run(ctx) })
		wg.Go(func() { _ = s.Run(ctx) })
		wg.Wait()
		return nil
	})
}

func settingsFor(b *testing.B, authority *keys.Authority, name string) *tls.Config {
	leaf, err := authority.Issue(name)
	if err != nil {
		b.Fatal(err)
	}
	pair, err := tls.X509KeyPair(leaf.Cert, leaf.Key)
	if err != nil {
		b.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(authority.CertPEM())
	return &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool, ClientCAs: pool}
}

func (f *realFleet) waitFor(revision uint64) {
	for _, s := range f.syncs {
		for {
			if accepted, ok := s.Current(); ok && accepted.Revision >= revision {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// BenchmarkInForce measures, on the wall clock, the time from an operator's apply
// to a change being in force on all instances, and the calls of the store meanwhile.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{3, 9, 30} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			f := newRealFleet(b, n)
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			for _, start := range f.starts {
				wg.Go(func() { _ = start(ctx) })
			}
			defer wg.Wait()
			defer cancel()
			apply(b, f, 0)
			calls := f.service.Stats().Received
			worst := time.Duration(0)
			b.ResetTimer()
			for i := range b.N {
				began := time.Now()
				apply(b, f, i+1)
				worst = max(worst, time.Since(began))
			}
			b.StopTimer()
			b.ReportMetric(float64(worst.Milliseconds()), "ms-worst")
			b.ReportMetric(float64(f.service.Stats().Received-calls)/float64(b.N), "calls/op")
		})
	}
}

func apply(b *testing.B, f *realFleet, base int) {
	s := f.syncs[base%len(f.syncs)]
	document := site.Document{Site: fmt.Sprintf("bench %d", base)}
	if _, err := s.Apply(context.Background(), uint64(base), fmt.Sprintf("change-%d", base), document); err != nil {
		b.Fatal(err)
	}
	f.waitFor(uint64(base) + 1)
}
