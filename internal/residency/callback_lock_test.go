package residency

import (
	"sync"
	"testing"
	"time"

	"limpethub/internal/discovery"
	"limpethub/internal/lease"
	"limpethub/internal/logging"
	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

// TestStepAsksForReachWithoutTheLock guards against an instance that hangs for good, since a step holds the lock of the manager while
// it asks how the servers are reached, and whoever knows that waits for somebody who asks the manager.
func TestStepAsksForReachWithoutTheLock(t *testing.T) {
	var m *Manager
	asked := make(chan bool, 1)
	m, err := New(Options{
		Instance: "a", Key: "k", Store: &oneKeyStore{},
		Document:      func() *site.Document { return nil },
		KnownServers:  func() []discovery.KnownServer { return nil },
		RequestCounts: func() (map[modelref.Ref]RequestCounts, map[string]int) { return nil, nil },
		ReachesServers: func() bool {
			isFree := m.mu.TryLock()
			if isFree {
				m.mu.Unlock()
			}
			asked <- isFree
			return true
		},
		Lease: lease.Config{TTL: 3 * time.Second, Margin: time.Second, Jitter: time.Second}, Now: time.Now, Logger: logging.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	m.step(t.Context(), &sync.WaitGroup{})
	if isFree := <-asked; !isFree {
		t.Error("the manager's lock is held while ReachesServers is called")
	}
}
