package residency

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/discovery"
	"limpethub/internal/lease"
	"limpethub/internal/logging"
	"limpethub/internal/modelref"
	"limpethub/internal/site"
	"limpethub/internal/store"
)

// emptyStore has no keys and refuses every write.
type emptyStore struct{ store.Store }

func (emptyStore) Get(context.Context, string) (store.Entry, error) {
	return store.Entry{}, store.ErrNotFound
}

func (emptyStore) CompareAndSwap(context.Context, string, []byte, store.Revision, store.LeaseID) (store.Revision, error) {
	return 0, store.ErrConflict
}

// TestContinuousEventsDoNotOccupyAllProcessorTime guards against steps that follow each other
// without a pause. On a small instance a step takes long, and a continuous stream of events
// would then leave no processor time for the rest of the instance.
func TestContinuousEventsDoNotOccupyAllProcessorTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stepTime = 5 * time.Millisecond
		var busyNanos atomic.Int64
		m := New(Options{
			Instance: "i", Key: "k", Store: emptyStore{},
			Document:     func() *site.Document { return nil },
			KnownServers: func() []discovery.KnownServer { return nil },
			RequestCounts: func() (map[modelref.Ref]RequestCounts, map[string]int) {
				time.Sleep(stepTime)
				busyNanos.Add(int64(stepTime))
				return nil, nil
			},
			Lease: lease.Config{TTL: 3 * time.Second, Margin: 500 * time.Millisecond, Jitter: 300 * time.Millisecond},
			Now:   time.Now, Logger: logging.Discard().WithField("part", "test"),
		})
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		const length = 2 * time.Second
		for range int(length / time.Millisecond) {
			m.Wake()
			time.Sleep(time.Millisecond)
		}
		cancel()
		synctest.Wait()
		if took, most := time.Duration(busyNanos.Load()), length/4; took > most {
			t.Errorf("steps took %v of %v, want at most %v", took, length, most)
		}
		time.Sleep(2 * releaseTimeout)
		synctest.Wait()
	})
}
