// Package cluster runs the membership of one instance: it passes received messages, the
// platform's instance list and the time to the state machine in package membership, sends
// the resulting messages, and reports changes of members. It also sends datagrams of other
// packages to peers within a byte budget.
package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"limpethub/internal/gossip"
	"limpethub/internal/instancelist"
	"limpethub/internal/logging"
	"limpethub/internal/membership"
	"limpethub/internal/meteredlock"
	"limpethub/internal/pause"
	"limpethub/internal/peers"
)

// Options configure a Cluster.
type Options struct {
	// Self describes this instance to others.
	Self membership.Identity
	// Transport carries the messages. New registers the handler for KindMembership.
	Transport peers.Transport
	// Lister reads the platform's instance list.
	Lister instancelist.Lister
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// BootNow is the clock of proofs of the configuration, which keeps running while the machine is suspended; nil
	// means that messages carry none.
	BootNow func() time.Time
	// Logger gets changes of members' states and failures, such as a failed read of the list or
	// a dropped message; nil means no logging.
	Logger *logrus.Entry
	// Seed seeds the random choices.
	Seed uint64
	// Settings are the membership timings; zero means membership.DefaultSettings.
	Settings membership.Settings
	// ListPeriod is the mean time between two reads of the platform's list while the list still
	// contains new instances. The time is longer after reads without new instances and in a
	// large fleet. 0 means DefaultListPeriod.
	ListPeriod time.Duration
	// BytesPerSecond limits what this instance sends to peers, membership messages and
	// digests together, including the headers and acknowledgments of the network; 0 means
	// DefaultBytesPerSecond. Membership messages are sent even above the limit.
	BytesPerSecond int
}

const (
	// DefaultListPeriod is the default of Options.ListPeriod.
	DefaultListPeriod = 2 * time.Second
	// maxListPeriodDoublings limits how often the period doubles. It doubles with each read that
	// contains no new instance, because after its first contact an instance learns of others
	// from peers.
	maxListPeriodDoublings = 2
	// listPeriodPerMember limits the reads of all instances together: on average they make at
	// most one read per listPeriodPerMember.
	listPeriodPerMember = 125 * time.Millisecond
	// maxListPeriod is the longest period that listPeriodPerMember can lead to. A longer period
	// that comes from Options.ListPeriod and the doublings still applies.
	maxListPeriod = 30 * time.Second
	// DefaultBytesPerSecond is the default of Options.BytesPerSecond.
	DefaultBytesPerSecond = 23_000

	tickPeriod  = 50 * time.Millisecond
	listTimeout = 5 * time.Second
	// datagramOverheadBytes is what QUIC, UDP and IP add to one datagram, including the
	// packet that acknowledges it.
	datagramOverheadBytes = 130
)

// Cluster is the membership of one instance together with its transport, lister and
// clock. It is safe for concurrent use.
type Cluster struct {
	options    Options
	byteBudget *rate.Limiter
	stats      stats
	facts      facts
	// listRead is true once the platform's list has been read.
	listRead atomic.Bool

	mu      meteredlock.Mutex
	machine *membership.Machine
	rand    *rand.Rand
	// members is the list of members at membersVersion, the version of the state machine.
	members        []membership.Member
	membersVersion uint64
	onChange       []func(membership.Transition)
	onRevision     []func(peer string, revision uint64, confirmation membership.Confirmation)
	onProof        []func(revision uint64, at time.Time)
}

var _ peers.Handler = (*Cluster)(nil)

// New creates a cluster and registers it with the transport. The incarnation comes from the
// clock, so that a later process with the same name has a higher one.
func New(options Options) *Cluster {
	options = withDefaults(options)
	incarnation := uint64(options.Now().UnixMilli())
	c := &Cluster{
		options:    options,
		machine:    membership.New(options.Self, incarnation, options.Settings, options.Seed),
		rand:       rand.New(rand.NewPCG(options.Seed, 1)),
		byteBudget: rate.NewLimiter(rate.Limit(options.BytesPerSecond), options.BytesPerSecond),
		facts:      facts{spreader: gossip.NewSpreader(), handlers: map[gossip.Topic]FactHandler{}},
	}
	c.mu.Measure("membership")
	options.Transport.Handle(peers.KindMembership, c)
	options.Transport.Handle(peers.KindFacts, c.FactsHandler())
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

// Collectors returns the metrics of the lock.
func (c *Cluster) Collectors() []prometheus.Collector { return c.mu.Collectors() }

// Run passes the time to the state machine and reads the platform's list, both periodically,
// until the context ends.
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
		c.step(func(m *membership.Machine, now time.Time) []membership.OutgoingMessage { return m.Tick(now) })
		c.notifyIfDue()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// listLoop reads the platform's list periodically. If a read fails, the last list stays in
// use.
func (c *Cluster) listLoop(ctx context.Context) {
	readsWithoutNew := 0
	for {
		if c.readList(ctx) {
			readsWithoutNew = 0
		}
		if !pause.For(ctx, c.jitter(c.listPeriod(readsWithoutNew))) {
			return
		}
		readsWithoutNew = min(readsWithoutNew+1, maxListPeriodDoublings)
	}
}

// listPeriod is the mean time until the next read, after a number of reads that contained
// no new instance.
func (c *Cluster) listPeriod(readsWithoutNew int) time.Duration {
	period := c.options.ListPeriod << readsWithoutNew
	return pause.SharedInterval(period, listPeriodPerMember, len(c.Members()), max(maxListPeriod, period))
}

// jitter returns a random duration between 0.75 and 1.25 of the period.
func (c *Cluster) jitter(period time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return period*3/4 + time.Duration(c.rand.Int64N(int64(period)/2))
}

// readList reports whether the list contains an instance that wasn't known.
func (c *Cluster) readList(ctx context.Context) (foundNew bool) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := c.options.Lister.List(ctx)
	if err != nil {
		c.stats.listErrors.Add(1)
		c.options.Logger.WithError(err).Warn("Reading the platform's instance list failed; the last list stays in use")
		return false
	}
	c.step(func(m *membership.Machine, now time.Time) []membership.OutgoingMessage {
		foundNew = m.SetListed(now, instancesInMembership(list))
		return nil
	})
	c.listRead.Store(true)
	return foundNew
}

// ListRead reports whether the platform's list has been read, so that Members has all listed instances.
func (c *Cluster) ListRead() bool { return c.listRead.Load() }

// instancesInMembership returns the listed instances that have a peer address, and so take
// part in membership.
func instancesInMembership(list []instancelist.Instance) []membership.Listed {
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
			Leaving:     instance.Leaving,
			Unconfirmed: instance.Unconfirmed,
		})
	}
	return out
}

// step passes one event to the state machine, sends the resulting messages and reports the
// resulting transitions.
func (c *Cluster) step(event func(*membership.Machine, time.Time) []membership.OutgoingMessage) {
	c.mu.Lock()
	if c.options.BootNow != nil {
		c.machine.SetBootTime(c.options.BootNow())
	}
	outgoing := event(c.machine, c.options.Now())
	transitions := c.machine.TakeTransitions()
	proofs := c.machine.TakeProofs()
	callbacks, proofCallbacks := c.onChange, c.onProof
	c.mu.Unlock()

	for _, message := range outgoing {
		c.send(message)
	}
	for _, proof := range proofs {
		for _, callback := range proofCallbacks {
			callback(proof.Revision, proof.At)
		}
	}
	for _, transition := range transitions {
		c.logTransition(transition)
		for _, callback := range callbacks {
			callback(transition)
		}
	}
}

func (c *Cluster) send(message membership.OutgoingMessage) {
	payload, err := message.Message.Encode()
	if err == nil {
		payload, err = c.withFacts(message.Message, payload)
	}
	if err != nil {
		c.options.Logger.WithError(err).WithField("peer", message.To).Error("Encoding a membership message failed")
		return
	}
	size := len(payload) + datagramOverheadBytes
	c.stats.membershipBytes.Add(uint64(size))
	c.stats.membershipMessages.Add(1)
	// Membership messages are never held back. They reduce the budget left for digests.
	c.byteBudget.ReserveN(c.options.Now(), size)
	c.options.Transport.Datagram(message.Address, peers.KindMembership, payload)
}

func (c *Cluster) logTransition(t membership.Transition) {
	c.options.Logger.WithFields(logrus.Fields{
		"member":      t.Member.Name,
		"state":       t.Member.State.String(),
		"before":      t.From.String(),
		"incarnation": t.Member.Incarnation,
	}).Info("Member changed state")
}
