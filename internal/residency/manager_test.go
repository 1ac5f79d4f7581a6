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

// emptyStore has no keys and takes no writes.
type emptyStore struct{ store.Store }

func (emptyStore) Get(context.Context, string) (store.Entry, error) {
	return store.Entry{}, store.ErrNotFound
}

func (emptyStore) CompareAndSwap(context.Context, string, []byte, store.Revision, store.LeaseID) (store.Revision, error) {
	return 0, store.ErrConflict
}

// TestEventsDoNotTakeAllOfTheProcessor replays a small instance whose steps take long
// while events come without end: what else it does must get most of its time.
func TestEventsDoNotTakeAllOfTheProcessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stepTime = 5 * time.Millisecond
		var busy atomic.Int64 // nanoseconds
		m := New(Options{
			Instance: "i", Key: "k", Store: emptyStore{},
			Document: func() *site.Document { return nil },
			Known:    func() []discovery.Known { return nil },
			Gauges: func() (map[modelref.Ref]Gauge, map[string]int) {
				time.Sleep(stepTime)
				busy.Add(int64(stepTime))
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
		if took, most := time.Duration(busy.Load()), length/4; took > most {
			t.Errorf("steps took %v of %v, more than %v", took, length, most)
		}
		time.Sleep(2 * releaseTimeout)
		synctest.Wait()
	})
}
