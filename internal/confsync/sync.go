package confsync

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/membership"
	"limpethub/internal/peers"
	"limpethub/internal/site"
	"limpethub/internal/store"
)

// Members is what confsync needs of the cluster. *cluster.Cluster implements it.
type Members interface {
	// Self returns this instance's name.
	Self() string
	// Members lists the known instances.
	Members() []membership.Member
	// Version changes whenever Members would.
	Version() uint64
	// Member returns one instance by name.
	Member(name string) (membership.Member, bool)
	// SetRevision sets the revision that this instance's heartbeats carry.
	SetRevision(revision uint64)
	// OnRevision adds a callback for the revisions that peers' messages carry.
	OnRevision(callback func(peer string, revision uint64))
}

// Options are the settings of a Sync.
type Options struct {
	// Site names the configuration's key.
	Site string
	// Store holds the accepted configuration.
	Store store.Store
	// Transport carries bodies between peers. New sets its handler of
	// KindConfiguration.
	Transport peers.Transport
	// Members is the cluster.
	Members Members
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Logger takes a line per change of the revision in force.
	Logger *logrus.Entry
	// Seed is the source of random choices.
	Seed uint64
	// LongestWait bounds the wait after a failed read, watch or fetch; 0 means the
	// default.
	LongestWait time.Duration
}

const (
	syncTickPeriod = 100 * time.Millisecond
	fetchTimeout   = 3 * time.Second
	readTimeout    = 10 * time.Second
	// watchTimeout bounds a watch, since an open connection may have gone silent.
	watchTimeout = 20 * time.Second
	applyRetry   = 200 * time.Millisecond
	maxApplyWait = 2 * time.Second
)

// Key returns the store's key of a site's configuration.
func Key(site string) string { return "/limpethub/" + site + "/config" }

// Sync keeps the accepted configuration in force. It is safe for concurrent use.
type Sync struct {
	options Options
	key     string

	mu            sync.Mutex
	spread        *Spread
	held          Stored
	value         []byte
	storeRevision store.Revision
	subscribers   []chan site.Accepted
	announced     uint64
	started       bool
	version       uint64
	wg            sync.WaitGroup
}

var _ peers.Handler = (*Sync)(nil)

// New makes a Sync and sets the transport's handler.
func New(options Options) *Sync {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Logger == nil {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		options.Logger = logrus.NewEntry(logger)
	}
	s := &Sync{
		options: options,
		key:     Key(options.Site),
		spread:  NewSpread(options.Members.Self(), options.Seed),
	}
	if options.LongestWait > 0 {
		s.spread.longestWait = options.LongestWait
	}
	options.Transport.Handle(peers.KindConfiguration, s)
	options.Members.OnRevision(func(peer string, revision uint64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.spread.Heard(peer, revision)
	})
	return s
}

// Run keeps the configuration in force until the context ends.
func (s *Sync) Run(ctx context.Context) error {
	defer s.wg.Wait()
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		s.watchLoop(ctx)
	}()
	ticker := time.NewTicker(syncTickPeriod)
	defer ticker.Stop()
	for {
		s.tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *Sync) tick(ctx context.Context) {
	s.refreshMembers()
	s.mu.Lock()
	orders := s.spread.Tick(s.options.Now())
	s.announce()
	s.mu.Unlock()
	for _, order := range orders {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.carryOut(ctx, order)
		}()
	}
}

// refreshMembers takes the members anew when they changed.
func (s *Sync) refreshMembers() {
	version := s.options.Members.Version()
	s.mu.Lock()
	current := s.started && version == s.version
	s.started, s.version = true, version
	s.mu.Unlock()
	if current {
		return
	}
	members := s.options.Members.Members()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spread.SetMembers(members)
}

func (s *Sync) carryOut(ctx context.Context, order Order) {
	switch order.Action {
	case ActionFetch:
		err := s.fetch(ctx, order.Peer)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.spread.Fetched(s.options.Now(), order.Peer, err)
	case ActionRead:
		err := s.read(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.spread.StoreRead(s.options.Now(), err)
	}
}

// read reads the store once. An absent key is an answer like any other.
func (s *Sync) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entry, err := s.options.Store.Get(ctx, s.key)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return s.offerEntry(entry)
}

func (s *Sync) offerEntry(entry store.Entry) error {
	stored, err := Decode(entry.Value)
	if err != nil {
		s.options.Logger.WithError(err).Error("The stored configuration can't be read, the last one stays")
		return err
	}
	s.mu.Lock()
	s.storeRevision = max(s.storeRevision, entry.Revision)
	s.mu.Unlock()
	s.offer("the store", stored, entry.Value)
	return nil
}

// offer puts a configuration into force if it is newer.
func (s *Sync) offer(source string, stored Stored, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.spread.Held()
	if !s.spread.Offer(s.options.Now(), stored.Accepted.Revision) {
		return
	}
	s.held = stored
	s.value = value
	s.options.Members.SetRevision(stored.Accepted.Revision)
	s.options.Logger.WithFields(logrus.Fields{
		"revision": stored.Accepted.Revision,
		"before":   before,
		"change":   stored.Accepted.ChangeID,
		"source":   source,
	}).Info("Configuration in force")
	s.announce()
}

// announce hands the configuration in force to subscribers. The lock is held.
func (s *Sync) announce() {
	if !s.spread.Ready() || s.announced == s.held.Accepted.Revision {
		return
	}
	s.announced = s.held.Accepted.Revision
	for _, subscriber := range s.subscribers {
		select {
		case <-subscriber:
		default:
		}
		subscriber <- s.held.Accepted
	}
}

// Current returns the configuration in force. It is false on a new instance that
// hasn't one yet.
func (s *Sync) Current() (site.Accepted, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.spread.Ready() {
		return site.Accepted{}, false
	}
	return s.held.Accepted, true
}

// Subscribe returns a channel that holds the latest configuration not yet taken.
func (s *Sync) Subscribe() <-chan site.Accepted {
	s.mu.Lock()
	defer s.mu.Unlock()
	subscriber := make(chan site.Accepted, 1)
	if s.spread.Ready() {
		subscriber <- s.held.Accepted
	}
	s.subscribers = append(s.subscribers, subscriber)
	return subscriber
}
