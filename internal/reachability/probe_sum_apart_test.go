package reachability

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/logging"
)

// TestInstancesThatLostEachOtherStayWithinTheLimitThatAServerNames guards against instances that take each other for dead, since their
// datagrams get lost as well as servers' answers: each then has all turns. Judged from 4 s after the begin of the cut, as with others.
func TestInstancesThatLostEachOtherStayWithinTheLimitThatAServerNames(t *testing.T) {
	for _, instances := range []int{4, 8, 60} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &cutFleet{arrivals: map[string][]time.Time{}}
				for n := range 7 {
					f.servers = append(f.servers, engine.Server{Name: fmt.Sprint("s", n)})
				}
				ctx, cancel := context.WithCancel(context.Background())
				var running sync.WaitGroup
				defer running.Wait()
				defer cancel()
				for n := range instances {
					name := fmt.Sprint("i", n)
					m := New(Options{
						Prober: f, Servers: func() []engine.Server { return append([]engine.Server(nil), f.servers...) },
						Self: name, Instances: func() []string { return []string{name} },
						PeersReaching: func() int { return 0 }, Logger: logging.Discard(), Now: time.Now,
					})
					m.CallBegan()
					for _, s := range f.servers {
						m.Heard(s)
					}
					running.Go(func() { m.Run(ctx) })
				}
				f.setCut(true)
				began := time.Now()
				time.Sleep(18 * time.Second)
				if most := f.mostWithin(limitWindow, began.Add(limitWindow)); most > limitAllowed {
					t.Errorf("a server got %d probes within %v, want at most %d", most, limitWindow, limitAllowed)
				}
			})
		})
	}
}
