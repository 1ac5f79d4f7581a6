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

// fixedLister is a platform list that stays the same once the fleet is set up.
type fixedLister struct{ instances []instancelist.Instance }

func (l *fixedLister) List(context.Context) ([]instancelist.Instance, error) { return l.instances, nil }

// loopbackFleet is a fleet that uses QUIC on the loopback interface and a stand-in of the key-value
// service. Each instance has its own client and call budget.
type loopbackFleet struct {
	service *kvstore.Service
	syncs   []*confsync.Sync
	runs    []func(ctx context.Context) error
}

func newLoopbackFleet(b *testing.B, n int) *loopbackFleet {
	f := &loopbackFleet{service: kvstore.New(kvstore.Options{})}
	host, err := standin.Listen(f.service.Handler())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(host.Kill)
	authority, err := keys.NewAuthority("bench")
	if err != nil {
		b.Fatal(err)
	}
	list := &fixedLister{}
	for i := range n {
		f.addInstance(b, i, host.Address(), authority, list)
	}
	return f
}

func (f *loopbackFleet) addInstance(b *testing.B, i int, storeAddress string, authority *keys.Authority, list *fixedLister) {
	id := membership.Identity{Name: fmt.Sprintf("entry-%d", i), FailureDomain: fmt.Sprintf("zone-%d", i%3)}
	transport := quictransport.New(quictransport.Options{Listen: "127.0.0.1:0", TLS: tlsConfigFor(b, authority, id.Name)})
	client, err := etcdstore.New(etcdstore.Options{Endpoints: []string{storeAddress}})
	if err != nil {
		b.Fatal(err)
	}
	// Bind chooses the peer port. The other instances learn the address from the list. The
	// message handlers are set below, before the transport starts.
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
	f.runs = append(f.runs, func(ctx context.Context) error {
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

func tlsConfigFor(b *testing.B, authority *keys.Authority, name string) *tls.Config {
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

func (f *loopbackFleet) waitForRevision(revision uint64) {
	for _, s := range f.syncs {
		for {
			if accepted, ok := s.Current(); ok && accepted.Revision >= revision {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// BenchmarkInForce measures, in real time, how long a change takes from the operator's apply until
// it is in force on all instances, and the calls to the store per change.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{3, 9, 30} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			f := newLoopbackFleet(b, n)
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			for _, run := range f.runs {
				wg.Go(func() { _ = run(ctx) })
			}
			defer wg.Wait()
			defer cancel()
			applyChange(b, f, 0)
			calls := f.service.Stats().Received
			worst := time.Duration(0)
			b.ResetTimer()
			for i := range b.N {
				started := time.Now()
				applyChange(b, f, i+1)
				worst = max(worst, time.Since(started))
			}
			b.StopTimer()
			b.ReportMetric(float64(worst.Milliseconds()), "ms-worst")
			b.ReportMetric(float64(f.service.Stats().Received-calls)/float64(b.N), "calls/op")
		})
	}
}

func applyChange(b *testing.B, f *loopbackFleet, baseRevision int) {
	s := f.syncs[baseRevision%len(f.syncs)]
	document := site.Document{Site: fmt.Sprintf("bench %d", baseRevision)}
	if _, err := s.Apply(context.Background(), uint64(baseRevision), fmt.Sprintf("change-%d", baseRevision), document); err != nil {
		b.Fatal(err)
	}
	f.waitForRevision(uint64(baseRevision) + 1)
}
