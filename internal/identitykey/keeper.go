package identitykey

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/gossip"
	"limpethub/internal/request"
)

// Keeper holds the key that an instance uses. It is safe for concurrent use.
type Keeper struct {
	publish func(gossip.Timed)
	logger  *logrus.Entry
	now     func() time.Time

	mu     sync.Mutex
	state  state
	hasher *request.IdentityHasher
}

// New returns a Keeper with a new key. publish spreads a fact to all instances.
func New(publish func(gossip.Timed), logger *logrus.Entry, now func() time.Time) *Keeper {
	k := &Keeper{publish: publish, logger: logger, now: now, state: state{key: newKey(now())}}
	k.hasher = request.NewIdentityHasher(string(k.state.key))
	return k
}

// Announce tells the key if that is due: the own one after the start, and again now and then.
func (k *Keeper) Announce() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.state.refresh(k.now()) {
		k.publish(k.state.fact())
	}
}

// Hasher returns what computes the identities of requests now.
func (k *Keeper) Hasher() *request.IdentityHasher {
	k.Announce()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hasher
}

// HandleFact joins what a peer says of the key. It is the cluster's handler of gossip.TopicIdentityKey.
func (k *Keeper) HandleFact(now time.Time, f gossip.Timed) (gossip.Timed, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	adopted, tell := k.state.join(now, f)
	if adopted {
		k.hasher = request.NewIdentityHasher(string(k.state.key))
		k.logger.Info("Uses the older key of another instance for the identities of requests")
	}
	return k.state.fact(), tell
}
