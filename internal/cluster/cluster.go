// Package cluster runs membership for one instance: it feeds heartbeats, the
// platform's list and the time to the state machine in internal/membership, and
// sends what that decides.
package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"limpethub/internal/logging"
	"limpethub/internal/membership"
	"limpethub/internal/pause"
	"limpethub/internal/peers"
	"limpethub/internal/platform"
)

// Options are the settings of a Cluster.
type Options struct {
	// Self is what this instance tells others about itself.
	Self membership.Identity
	// Transport carries the messages. New sets its handler of KindMembership.
	Transport peers.Transport
	// Lister reads the platform's list.
	Lister platform.Lister
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Logger takes a line per change of a member's state.
	Logger *logrus.Entry
	// Seed is the source of random choices.
	Seed uint64
	// Settings are the timings; zero means membership.DefaultSettings.
	Settings membership.Settings
	// ListPeriod is the least time between two reads of the platform's list; 0 means
	// DefaultListPeriod.
	ListPeriod time.Duration
	// BytesPerSecond bounds what this instance sends to peers, heartbeats and digests
	// together, with the headers and acknowledgments of the network; 0 means
	// DefaultBytesPerSecond.
	BytesPerSecond int
}

// Defaults of the options.
const (
	// DefaultListPeriod is the time between the first reads of the platform's list. It
	// doubles with each read that names nobody new, quietDoublings times: beyond its first
	// contact an instance learns of others from peers. All instances together make a read
	// per listPeriodPerMember at most, but each one per longestListPeriod.
	DefaultListPeriod   = 2 * time.Second
	quietDoublings      = 2
	listPeriodPerMember = 125 * time.Millisecond
	longestListPeriod   = 30 * time.Second
	// DefaultBytesPerSecond is an instance's budget for control.
	DefaultBytesPerSecond = 23_000

	tickPeriod  = 50 * time.Millisecond
	listTimeout = 5 * time.Second
	// overheadBytes is what QUIC, UDP and IP add to one datagram, with the packet
	// that acknowledges it.
	overheadBytes = 130
)

// Cluster is the membership of one instance with its surroundings. It is safe for
// concurrent use.
type Cluster struct {
	options Options
	budget  *rate.Limiter
	stats   stats

	mu        sync.Mutex
	machine   *membership.Machine
	rand      *rand.Rand
	listed    []platform.Instance
	members   []membership.Member
	version   uint64
	revisions map[string]uint64
	onChange  []func(membership.Transition)
	onHeard   []func(peer string, revision uint64)
}

var _ peers.Handler = (*Cluster)(nil)

// New makes a cluster and sets the transport's handler. The incarnation comes from
// the clock, so that a later process of the same name has a higher one.
func New(options Options) *Cluster {
	options = withDefaults(options)
	incarnation := uint64(options.Now().UnixMilli())
	c := &Cluster{
		options:   options,
		machine:   membership.New(options.Self, incarnation, options.Settings, options.Seed),
		rand:      rand.New(rand.NewPCG(options.Seed, 1)),
		revisions: map[string]uint64{},
		budget:    rate.NewLimiter(rate.Limit(options.BytesPerSecond), options.BytesPerSecond),
	}
	options.Transport.Handle(peers.KindMembership, c)
	return c
}

func withDefaults(options Options) Options {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Settings == (membership.Settings{}) {
		options.Settings = membership.DefaultSettings()
	}
	if options.ListPeriod == 0 {
		options.ListPeriod = DefaultListPeriod
	}
	if options.BytesPerSecond == 0 {
		options.BytesPerSecond = DefaultBytesPerSecond
	}
	if options.Logger == nil {
		options.Logger = logging.Discard()
	}
	return options
}

// Run drives membership until the context ends.
func (c *Cluster) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		c.listLoop(ctx)
	}()
	defer wg.Wait()
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		c.step(func(m *membership.Machine, now time.Time) []membership.Send { return m.Tick(now) })
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// listLoop reads the platform's list. A failed read keeps the last list.
func (c *Cluster) listLoop(ctx context.Context) {
	quiet := 0
	for {
		if c.readList(ctx) {
			quiet = 0
		}
		if !pause.For(ctx, c.jitter(c.listPeriod(quiet))) {
			return
		}
		quiet = min(quiet+1, quietDoublings)
	}
}

// listPeriod is the time until the next read after some that named nobody new.
func (c *Cluster) listPeriod(quiet int) time.Duration {
	least := c.options.ListPeriod << quiet
	return pause.Shared(least, listPeriodPerMember, len(c.Members()), max(longestListPeriod, least))
}

func (c *Cluster) jitter(period time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return period*3/4 + time.Duration(c.rand.Int64N(int64(period)/2))
}

// readList reports whether the list named an instance that wasn't known.
func (c *Cluster) readList(ctx context.Context) (news bool) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := c.options.Lister.List(ctx)
	if err != nil {
		c.stats.listErrors.Add(1)
		c.options.Logger.WithError(err).Warn("Reading the instance list failed, the last one stays")
		return false
	}
	c.step(func(m *membership.Machine, now time.Time) []membership.Send {
		c.listed = list
		news = m.SetUniverse(now, entryInstances(list))
		return nil
	})
	return news
}

// entryInstances picks the entry instances out of the platform's list.
func entryInstances(list []platform.Instance) []membership.Listed {
	var out []membership.Listed
	for _, instance := range list {
		if instance.PeerAddress == "" {
			continue
		}
		out = append(out, membership.Listed{
			Identity: membership.Identity{
				Name:          instance.Name,
				CallerAddress: instance.CallerAddress,
				PeerAddress:   instance.PeerAddress,
				FailureDomain: instance.FailureDomain,
			},
			Leaving: instance.Leaving,
		})
	}
	return out
}

// step feeds one event to the state machine and carries out what it decides.
func (c *Cluster) step(event func(*membership.Machine, time.Time) []membership.Send) {
	c.mu.Lock()
	sends := event(c.machine, c.options.Now())
	transitions := c.machine.TakeTransitions()
	callbacks := c.onChange
	c.mu.Unlock()

	for _, send := range sends {
		c.send(send)
	}
	for _, transition := range transitions {
		c.logTransition(transition)
		for _, callback := range callbacks {
			callback(transition)
		}
	}
}

func (c *Cluster) send(send membership.Send) {
	payload, err := send.Message.Encode()
	if err != nil {
		c.options.Logger.WithError(err).WithField("peer", send.To).Error("A message could not be sent")
		return
	}
	size := len(payload) + overheadBytes
	c.stats.membershipBytes.Add(uint64(size))
	c.stats.membershipMessages.Add(1)
	// Heartbeats always go; what they take is no longer there for digests.
	c.budget.ReserveN(c.options.Now(), size)
	c.options.Transport.Datagram(send.Address, peers.KindMembership, payload)
}

func (c *Cluster) logTransition(t membership.Transition) {
	c.options.Logger.WithFields(logrus.Fields{
		"member":      t.Member.Name,
		"state":       t.Member.State.String(),
		"before":      t.From.String(),
		"incarnation": t.Member.Incarnation,
	}).Info("Member changed state")
}
