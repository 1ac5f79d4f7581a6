package confsync

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"limpethub/internal/membership"
	"limpethub/internal/meteredlock"
	"limpethub/internal/peers"
	"limpethub/internal/site"
	"limpethub/internal/store"
)

// Members is the part of the cluster that confsync uses. *cluster.Cluster implements it.
type Members interface {
	// Self returns this instance's name.
	Self() string
	// Members lists the known instances, including this one.
	Members() []membership.Member
	// Version changes whenever the result of Members would change.
	Version() uint64
	// Member returns the instance with the given name.
	Member(name string) (membership.Member, bool)
	// SetRevision sets the revision that messages to peers carry.
	SetRevision(revision uint64)
	// SetProof sets the latest time at which no newer revision than the one set by SetRevision is proven to have
	// existed, by the boot clock. Answers to peers' heartbeats carry its age.
	SetProof(at time.Time)
	// OnProof adds a callback for the proofs in the answers of peers to heartbeats of this instance.
	OnProof(callback func(revision uint64, at time.Time))
	// SetConfirmation sets the latest known confirmation of the revision set by SetRevision,
	// which messages to peers carry.
	SetConfirmation(confirmation membership.Confirmation)
	// OnRevision adds a callback for the revision in each message of a peer, and for the
	// confirmation of that revision.
	OnRevision(callback func(peer string, revision uint64, confirmation membership.Confirmation))
}

// Options configure a Sync.
type Options struct {
	// Site is the name of the site, which determines the configuration key.
	Site string
	// Store holds the accepted configuration.
	Store store.Store
	// Transport carries configurations between peers. New registers the handler for
	// KindConfiguration.
	Transport peers.Transport
	// Members lists the peers, and carries revisions in messages between them.
	Members Members
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Logger gets changes of the revision in force, operators' changes, and failures to watch
	// the store or to decode a value; nil means no logging.
	Logger *logrus.Entry
	// Seed seeds the random choices.
	Seed uint64
	// Revocation is how long after its removal a key of a caller may still be accepted. Where it isn't 0 and the
	// configuration requires keys, proofs are kept that no newer configuration exists.
	Revocation time.Duration
	// BootNow is the clock of proofs, which keeps running while the machine is suspended; nil means Now.
	BootNow func() time.Time
	// MaxRetryWait limits the wait after a failed read, watch or fetch, before jitter; 0
	// means 5 s.
	MaxRetryWait time.Duration
	// ObserveStep is called with the time that a step of a configuration took; nil means no call. It must not block.
	ObserveStep func(step InForceStep, took time.Duration)
}

const (
	syncTickPeriod = 100 * time.Millisecond
	fetchTimeout   = 3 * time.Second
	readTimeout    = 10 * time.Second
	// watchTimeout limits the duration of a watch, since an open connection may have failed
	// without notice.
	watchTimeout = 20 * time.Second
	minApplyWait = 200 * time.Millisecond
	maxApplyWait = 2 * time.Second
)

// Key returns the store key of a site's configuration.
func Key(site string) string { return "/limpethub/" + site + "/config" }

// Sync keeps the accepted configuration in force on one instance. It is safe for concurrent
// use. It has no relation to membership's Sync, a comparison of views.
type Sync struct {
	options Options
	key     string

	mu      meteredlock.Mutex
	planner *FetchPlanner
	// held is the configuration in force, heldValue its stored form.
	held      Stored
	heldValue []byte
	// storeRevision is the revision that the key had when it was last read from the store. The
	// store's revisions differ from those of the configuration.
	storeRevision store.Revision
	contact       storeContact
	heard         heardRevision
	// reportedUnobtained is the last revision that reportUnobtained has logged.
	reportedUnobtained uint64
	// undecodable is the store's revision of the last value that reportUndecodable has logged.
	undecodable store.Revision
	// cancelRead ends the planner's reads in progress, by their ids.
	cancelRead map[uint64]context.CancelFunc
	proofs     *Proofs
	// watchProves is whether answers to watches count as proofs; see store.ProgressReporter.
	watchProves bool
	subscribers []chan site.Accepted
	// notifiedRevision is the configuration revision last sent to the subscribers.
	notifiedRevision uint64
	membersLoaded    bool
	membersVersion   uint64
	wg               sync.WaitGroup
}

var _ peers.Handler = (*Sync)(nil)

// New creates a Sync and registers it with the transport and the members.
func New(options Options) *Sync {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Logger == nil {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		options.Logger = logrus.NewEntry(logger)
	}
	if options.BootNow == nil {
		options.BootNow = options.Now
	}
	if options.ObserveStep == nil {
		options.ObserveStep = func(InForceStep, time.Duration) {}
	}
	s := &Sync{
		options: options,
		key:     Key(options.Site),
		planner: NewFetchPlanner(options.Members.Self(), options.Seed),
		proofs:  NewProofs(options.Revocation, options.Seed),

		cancelRead: map[uint64]context.CancelFunc{},
	}
	if options.MaxRetryWait > 0 {
		s.planner.maxRetryWait = options.MaxRetryWait
	}
	s.mu.Measure("configuration")
	options.Transport.Handle(peers.KindConfiguration, s)
	if r, ok := options.Store.(store.ProgressReporter); ok && r.ProgressInterval() > 0 {
		s.watchProves = true
		s.planner.SetProgressInterval(r.ProgressInterval())
	}
	options.Members.OnRevision(func(peer string, revision uint64, confirmation membership.Confirmation) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.hear(peer, revision)
		s.planner.ObserveRevision(peer, revision)
		s.planner.ObserveConfirmation(revision, confirmation)
		s.options.Members.SetConfirmation(s.planner.Confirmation())
	})
	options.Members.OnProof(func(revision uint64, at time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.prove(revision, at)
	})
	return s
}

// Collectors returns the metrics of the lock.
func (s *Sync) Collectors() []prometheus.Collector { return s.mu.Collectors() }

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
	tasks := s.planner.Tick(s.options.Now())
	if id, due := s.proofs.ReadDue(s.options.BootNow(), s.planner.ChosenToWatch(), len(s.planner.reachableMembers)); due {
		tasks = append(tasks, Task{Action: ActionProve, Read: id})
	}
	s.notifySubscribers()
	s.mu.Unlock()
	for _, task := range tasks {
		taskCtx := s.taskContext(ctx, task)
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.execute(taskCtx, task)
		}()
	}
}

// taskContext returns the context of a task: for a read, one that cancelRead ends. It ends the read that the task
// replaces.
func (s *Sync) taskContext(ctx context.Context, task Task) context.Context {
	if task.Action != ActionRead {
		return ctx
	}
	readCtx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelRead[task.Read] = cancel
	if replaced, ok := s.cancelRead[task.GiveUp]; ok {
		replaced()
	}
	return readCtx
}

// refreshMembers passes the members to the FetchPlanner if they have changed.
func (s *Sync) refreshMembers() {
	version := s.options.Members.Version()
	s.mu.Lock()
	unchanged := s.membersLoaded && version == s.membersVersion
	s.membersLoaded, s.membersVersion = true, version
	s.mu.Unlock()
	if unchanged {
		return
	}
	members := s.options.Members.Members()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planner.SetMembers(members)
}

func (s *Sync) execute(ctx context.Context, task Task) {
	switch task.Action {
	case ActionFetch:
		began := s.options.Now()
		err := s.fetch(ctx, task.Peer)
		took := s.options.Now().Sub(began)
		s.options.ObserveStep(StepFetch, took)
		if err != nil && ctx.Err() == nil {
			s.options.Logger.WithError(err).WithFields(logrus.Fields{"peer": task.Peer, "ms": took.Milliseconds()}).
				Info("Fetching the configuration from a peer failed")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.planner.Fetched(s.options.Now(), task.Peer, err)
	case ActionRead:
		err := s.read(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cancelRead[task.Read]()
		delete(s.cancelRead, task.Read)
		s.planner.StoreRead(s.options.Now(), task.Read, err)
		s.reportUnobtained()
	case ActionProve:
		err := s.read(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.proofs.ReadEnded(task.Read, err)
	}
}

// read reads the store once. An absent key is a successful read.
func (s *Sync) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sentAt := s.callTime()
	entry, err := s.options.Store.Get(ctx, s.key)
	s.options.ObserveStep(StepStoreRead, s.options.Now().Sub(sentAt.usual))
	if err == nil {
		err = s.offerEntry(entry, sentAt)
	}
	if ctx.Err() != context.Canceled {
		s.recordResult(err, sentAt.usual)
	}
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

// offerEntry takes what the store had at a time or later. The boot time is zero if the answer proves nothing.
func (s *Sync) offerEntry(entry store.Entry, at callTime) error {
	stored, err := Decode(entry.Value)
	if err != nil {
		s.reportUndecodable(entry.Revision, err)
		return fmt.Errorf("%w: %w", store.ErrUndecodable, err)
	}
	s.mu.Lock()
	s.storeRevision = entry.Revision
	s.mu.Unlock()
	s.offer("the store", stored, entry.Value)
	s.mu.Lock()
	s.confirm(stored.Accepted.Revision, at.usual)
	s.prove(stored.Accepted.Revision, at.boot)
	s.mu.Unlock()
	return nil
}

// reportUndecodable logs, once for each revision of the store, that its value can't be decoded.
func (s *Sync) reportUndecodable(revision store.Revision, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.undecodable == revision {
		return
	}
	s.undecodable = revision
	s.options.Logger.WithError(err).Error("Decoding the stored configuration failed; the configuration in force is unchanged")
}

// offer puts a configuration in force if it is newer than the one held.
func (s *Sync) offer(source string, stored Stored, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.planner.Held()
	s.hear(source, stored.Accepted.Revision)
	if !s.planner.Offer(s.options.Now(), stored.Accepted.Revision) {
		return
	}
	s.held = stored
	s.heldValue = value
	s.proofs.Hold(&stored.Accepted)
	s.options.Members.SetRevision(stored.Accepted.Revision)
	s.options.Logger.WithFields(logrus.Fields{
		"revision": stored.Accepted.Revision,
		"before":   before,
		"change":   stored.Accepted.ChangeID,
		"source":   source,
		"heard_ms": s.endHeard().Milliseconds(),
	}).Info("Configuration in force")
	s.notifySubscribers()
}

// notifySubscribers sends the configuration in force to the subscribers once this instance is
// ready, replacing one that a subscriber hasn't received yet. s.mu must be held.
func (s *Sync) notifySubscribers() {
	if !s.planner.Ready() || s.notifiedRevision == s.held.Accepted.Revision {
		return
	}
	s.notifiedRevision = s.held.Accepted.Revision
	for _, subscriber := range s.subscribers {
		select {
		case <-subscriber:
		default:
		}
		subscriber <- s.held.Accepted
	}
}

// Current returns the configuration in force. It returns false on a new instance that isn't
// ready to serve yet.
func (s *Sync) Current() (site.Accepted, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.planner.Ready() {
		return site.Accepted{}, false
	}
	return s.held.Accepted, true
}

// Subscribe returns a channel that holds the latest configuration that wasn't received yet.
func (s *Sync) Subscribe() <-chan site.Accepted {
	s.mu.Lock()
	defer s.mu.Unlock()
	subscriber := make(chan site.Accepted, 1)
	if s.planner.Ready() {
		subscriber <- s.held.Accepted
	}
	s.subscribers = append(s.subscribers, subscriber)
	return subscriber
}
