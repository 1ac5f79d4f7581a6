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
	// exchangePeriod is the time between two rounds of digests.
	exchangePeriod = 250 * time.Millisecond
	// emptyDigestRounds is the number of rounds per load digest while there is no load.
	// Digests without load are sent to open the connections to all peers early: hundreds of
	// handshakes in the first second under load delay requests on a small instance.
	emptyDigestRounds = 8
	// earlyLoadPause is the least time between a load digest that was sent early and the
	// next digest.
	earlyLoadPause = 30 * time.Millisecond
	// defaultRoundsPerDemand is the number of rounds per demand digest.
	defaultRoundsPerDemand = 4
	// demandDigestsPerFull is the number of demand digests per one that contains all
	// counters.
	demandDigestsPerFull = 10
)

// digestExtension adds entries besides load to the digests that an exchange sends, and
// processes such entries in the digests of peers.
type digestExtension interface {
	// ForHolder returns what the placement holder should know: all, or only what changed.
	// The digest may be empty.
	ForHolder(all bool) digest.Digest
	// AddForAll adds the entries that all peers should know.
	AddForAll(d *digest.Digest)
	// Observe processes a peer's digest, and Forget drops what a dead instance sent.
	Observe(d digest.Digest)
	Forget(instance string)
}

// exchange sends this instance's load to all peers and its demand to the placement holder,
// and handles the digests that peers send.
type exchange struct {
	// process is the name of this process; see Daemon.processName.
	process    string
	dispatcher *dispatch.Dispatcher
	cluster    *cluster.Cluster
	// extension handles the entries of digests other than load.
	extension digestExtension
	// holder returns the instance that holds the placement lease; empty if unknown.
	holder     func() string
	lastHolder string
	logger     *logrus.Entry
	// sequence is the number of the last digest. It starts at the current time, so that it
	// also increases across restarts.
	sequence uint64
	rounds   int
	// sendNow makes the loop send the urgent entries and the demand at once, and
	// sendLoadNow the load of urgentServers.
	sendNow, sendLoadNow chan struct{}
	// urgentServers lists the servers of the next early load digest. mu guards it.
	mu            sync.Mutex
	urgentServers []string
	// roundsPerDemand is the number of rounds per demand digest.
	roundsPerDemand int
}

var _ peers.Handler = (*exchange)(nil)

func newExchange(process string, dispatcher *dispatch.Dispatcher, c *cluster.Cluster, transport peers.Transport, logger *logrus.Entry) *exchange {
	e := &exchange{
		process: process, dispatcher: dispatcher, cluster: c,
		logger: logger, sequence: uint64(time.Now().UnixNano()),
		sendNow: make(chan struct{}, 1), sendLoadNow: make(chan struct{}, 1), roundsPerDemand: defaultRoundsPerDemand,
	}
	transport.Handle(peers.KindDigest, e)
	c.OnChange(e.memberChanged)
	return e
}

// memberChanged drops the load and the demand of a peer that died.
func (e *exchange) memberChanged(t membership.Transition) {
	if t.Member.State == membership.Dead {
		e.dispatcher.ForgetPeer(t.Member.Name)
		e.extension.Forget(t.Member.Name)
	}
}

// loop sends digests until ctx is done.
func (e *exchange) loop(ctx context.Context) {
	ticker := time.NewTicker(exchangePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.sendLoadNow:
			e.sendServerLoads(e.takeUrgentServers())
			// Load that changes during the pause is sent with the next digest.
			time.Sleep(earlyLoadPause)
		case <-e.sendNow:
			e.sendUrgent()
			e.sendDemand()
		case <-ticker.C:
			e.sendRound()
		}
	}
}

// HurryLoad makes the loop send the load of some servers without waiting for the next
// round.
func (e *exchange) HurryLoad(servers []string) {
	e.mu.Lock()
	e.urgentServers = append(e.urgentServers, servers...)
	e.mu.Unlock()
	select {
	case e.sendLoadNow <- struct{}{}:
	default:
	}
}

// Hurry makes the loop send the urgent entries and the demand without waiting for the next
// round.
func (e *exchange) Hurry() {
	select {
	case e.sendNow <- struct{}{}:
	default:
	}
}

// sendRound sends the digests of one round.
func (e *exchange) sendRound() {
	e.rounds++
	e.sendLoad()
	e.sendUrgent()
	if e.rounds%e.roundsPerDemand == 0 {
		e.sendDemand()
	}
}

// sendLoad sends the load to all peers. Instances that don't know each other's load would
// all choose the same server.
func (e *exchange) sendLoad() {
	d := e.loadDigest()
	if len(d.Loads) == 0 && e.rounds%emptyDigestRounds != 0 {
		return // Peers discard load that is not sent again.
	}
	e.broadcast(d)
}

// loadDigest returns a digest of the load on all servers.
func (e *exchange) loadDigest() digest.Digest {
	e.sequence++
	return digest.FromRemotes(e.cluster.Self(), e.sequence, e.dispatcher.Digest())
}

// broadcast sends a digest to all peers, within the byte budget.
func (e *exchange) broadcast(d digest.Digest) {
	for _, payload := range e.encode(d) {
		e.cluster.Broadcast(peers.KindDigest, payload)
	}
}

// sendDemand sends demand to the placement holder only, since no other instance decides on
// placement.
func (e *exchange) sendDemand() {
	holder := e.holder()
	all := holder != e.lastHolder || e.rounds%(e.roundsPerDemand*demandDigestsPerFull) == 0
	e.lastHolder = holder
	if holder == "" || holder == e.cluster.Self() {
		return
	}
	e.sequence++
	d := e.extension.ForHolder(all)
	if len(d.Demands) == 0 && len(d.RefLoads) == 0 {
		return
	}
	d.Instance, d.Process, d.Sequence = e.cluster.Self(), e.process, e.sequence
	for _, payload := range e.encode(d) {
		e.cluster.Send(holder, peers.KindDigest, payload)
	}
}

func (e *exchange) takeUrgentServers() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	servers := e.urgentServers
	e.urgentServers = nil
	return servers
}

// sendServerLoads sends the load of only some servers to all peers.
func (e *exchange) sendServerLoads(servers []string) {
	d := e.loadDigest()
	d.Loads = slices.DeleteFunc(d.Loads, func(l digest.ServerLoad) bool { return !slices.Contains(servers, l.Server) })
	e.broadcast(d)
}

// sendUrgent sends all peers the entries that can't wait, regardless of the byte budget.
func (e *exchange) sendUrgent() {
	e.sequence++
	d := digest.Digest{Instance: e.cluster.Self(), Sequence: e.sequence}
	e.extension.AddForAll(&d)
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
		e.logger.WithField("error", err.Error()).Error("Digest not sent to peers in full: encoding failed")
	}
	return datagrams
}

// HandleDatagram implements peers.Handler.
func (e *exchange) HandleDatagram(from string, payload []byte) {
	d, err := digest.Decode(payload)
	if err != nil || d.Instance != from {
		e.logger.WithField("peer", from).Warn("Ignored a digest from a peer: it is malformed or names another sender")
		return
	}
	for _, remote := range d.Remotes() {
		e.dispatcher.ObserveDigest(remote)
	}
	e.extension.Observe(d)
}

// HandleCall implements peers.Handler. Digests are sent as datagrams only.
func (e *exchange) HandleCall(context.Context, string, []byte) ([]byte, error) { return nil, nil }
