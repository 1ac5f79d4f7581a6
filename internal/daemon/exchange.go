package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/cluster"
	"limpethub/internal/dispatch"
	"limpethub/internal/membership"
	"limpethub/internal/peers"
	"limpethub/internal/peers/digest"
)

const (
	// exchangePeriod is the time between two digests of load.
	exchangePeriod = 250 * time.Millisecond
	// quietRounds is how seldom a digest without any load goes out. It opens connections to
	// all peers before there is load: hundreds of handshakes in its first second hold up
	// requests on a small instance.
	quietRounds = 8
	// loadPause is the least time after a digest of load that went out early.
	loadPause = 30 * time.Millisecond
	// demandEvery is how many digests of load go out per digest of demand.
	demandEvery = 4
	// fullDemandEvery is how many digests of demand go out per full one.
	fullDemandEvery = 10
)

// feed is what an exchange carries besides load.
type feed interface {
	// ForHolder returns what the placement holder should know: what changed, or all. It
	// may be empty.
	ForHolder(all bool) digest.Digest
	// AddForAll adds what all peers should know.
	AddForAll(d *digest.Digest)
	// Observe takes a peer's digest, and Forget drops what a dead instance said.
	Observe(d digest.Digest)
	Forget(instance string)
}

// exchange tells peers of this instance's load, and the placement holder of its demand.
type exchange struct {
	process    string
	dispatcher *dispatch.Dispatcher
	cluster    *cluster.Cluster
	// feed is what travels besides load.
	feed feed
	// holder is the instance that holds the placement lease; empty if unknown.
	holder     func() string
	lastHolder string
	logger     *logrus.Entry
	sequence   uint64
	rounds     int
	// hurry makes the next digests go out at once.
	hurry, hurryLoad chan struct{}
	// hurried lists the servers of the next early digest. The lock guards it.
	mu      sync.Mutex
	hurried []string
	// every is how many digests of load go out per digest of demand.
	every int
}

var _ peers.Handler = (*exchange)(nil)

func newExchange(process string, dispatcher *dispatch.Dispatcher, c *cluster.Cluster, transport peers.Transport, logger *logrus.Entry) *exchange {
	e := &exchange{
		process: process, dispatcher: dispatcher, cluster: c,
		logger: logger, sequence: uint64(time.Now().UnixNano()),
		hurry: make(chan struct{}, 1), hurryLoad: make(chan struct{}, 1), every: demandEvery,
	}
	transport.Handle(peers.KindDigest, e)
	c.OnChange(e.memberChanged)
	return e
}

// memberChanged drops what a dead peer last said of its load.
func (e *exchange) memberChanged(t membership.Transition) {
	if t.Member.State == membership.Dead {
		e.dispatcher.ForgetPeer(t.Member.Name)
		e.feed.Forget(t.Member.Name)
	}
}

// loop sends digests until ctx ends.
func (e *exchange) loop(ctx context.Context) {
	ticker := time.NewTicker(exchangePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.hurryLoad:
			e.sendLoadOf(e.takeHurried())
			// What comes meanwhile goes with the next digest.
			time.Sleep(loadPause)
		case <-e.hurry:
			e.sendNews()
			e.sendDemand()
		case <-ticker.C:
			e.send()
		}
	}
}

// HurryLoad makes a digest of the load of some servers go out at once.
func (e *exchange) HurryLoad(servers []string) {
	e.mu.Lock()
	e.hurried = append(e.hurried, servers...)
	e.mu.Unlock()
	select {
	case e.hurryLoad <- struct{}{}:
	default:
	}
}

// Hurry makes the next digests go out at once.
func (e *exchange) Hurry() {
	select {
	case e.hurry <- struct{}{}:
	default:
	}
}

func (e *exchange) send() {
	e.rounds++
	e.sendLoad()
	e.sendNews()
	if e.rounds%e.every == 0 {
		e.sendDemand()
	}
}

// sendLoad tells all peers. Load is what keeps instances from all choosing the same
// server, so every one of them needs it.
func (e *exchange) sendLoad() {
	d := e.loads()
	if len(d.Loads) == 0 && e.rounds%quietRounds != 0 {
		return // Peers forget by themselves what isn't told again.
	}
	e.broadcast(d)
}

// loads makes a digest of all load.
func (e *exchange) loads() digest.Digest {
	e.sequence++
	return digest.FromRemotes(e.cluster.Self(), e.sequence, e.dispatcher.Digest())
}

// broadcast sends a digest to all peers, within the byte budget.
func (e *exchange) broadcast(d digest.Digest) {
	for _, payload := range e.encode(d) {
		e.cluster.Broadcast(peers.KindDigest, payload)
	}
}

// sendDemand tells the placement holder alone: nobody else plans.
func (e *exchange) sendDemand() {
	holder := e.holder()
	all := holder != e.lastHolder || e.rounds%(e.every*fullDemandEvery) == 0
	e.lastHolder = holder
	if holder == "" || holder == e.cluster.Self() {
		return
	}
	e.sequence++
	d := e.feed.ForHolder(all)
	if len(d.Demands) == 0 && len(d.RefLoads) == 0 {
		return
	}
	d.Instance, d.Process, d.Sequence = e.cluster.Self(), e.process, e.sequence
	for _, payload := range e.encode(d) {
		e.cluster.Send(holder, peers.KindDigest, payload)
	}
}

func (e *exchange) takeHurried() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	servers := e.hurried
	e.hurried = nil
	return servers
}

// sendLoadOf tells all peers the load of some servers alone.
func (e *exchange) sendLoadOf(servers []string) {
	d := e.loads()
	d.Loads = slices.DeleteFunc(d.Loads, func(l digest.ServerLoad) bool { return !slices.Contains(servers, l.Server) })
	e.broadcast(d)
}

// sendNews tells all peers what can't wait, whatever the budget.
func (e *exchange) sendNews() {
	e.sequence++
	d := digest.Digest{Instance: e.cluster.Self(), Sequence: e.sequence}
	e.feed.AddForAll(&d)
	if len(d.Residencies) == 0 && len(d.Leaving) == 0 && d.Lease == nil {
		return
	}
	for _, payload := range e.encode(d) {
		e.cluster.BroadcastUrgent(peers.KindDigest, payload)
	}
}

func (e *exchange) encode(d digest.Digest) [][]byte {
	datagrams, err := d.Encode()
	if err != nil {
		e.logger.WithField("error", err.Error()).Error("digest not encoded")
	}
	return datagrams
}

// HandleDatagram implements peers.Handler.
func (e *exchange) HandleDatagram(from string, payload []byte) {
	d, err := digest.Decode(payload)
	if err != nil || d.Instance != from {
		e.logger.WithField("peer", from).Warn("digest not understood")
		return
	}
	for _, remote := range d.Remotes() {
		e.dispatcher.ObserveDigest(remote)
	}
	e.feed.Observe(d)
}

// HandleCall implements peers.Handler. Digests use no calls.
func (e *exchange) HandleCall(context.Context, string, []byte) ([]byte, error) { return nil, nil }
