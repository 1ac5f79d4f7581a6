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
	"limpethub/internal/notices"
	"limpethub/internal/peers"
	"limpethub/internal/peers/digest"
)

const (
	// exchangePeriod is the time between two rounds of digests.
	exchangePeriod = 250 * time.Millisecond
	// roundsPerEmptyDigest is the number of rounds per load digest while there is no load. These
	// digests open the connections to all peers before load arrives. Otherwise, hundreds of
	// handshakes in the first second under load delay requests on a small instance.
	roundsPerEmptyDigest = 8
	// loadPeriodPerInstance limits the load digests of all instances together, which grow with the square of their
	// number: with more than exchangePeriod / loadPeriodPerInstance instances, a digest is sent in each second, third
	// and so on round, but in each maxRoundsPerLoad at least.
	loadPeriodPerInstance = 4 * time.Millisecond
	maxRoundsPerLoad      = 4
	// earlyLoadPause is the least time between a load digest that was sent early and the
	// next digest.
	earlyLoadPause = 30 * time.Millisecond
	// noticePause is the least time between two digests of notices.
	noticePause = 50 * time.Millisecond
	// defaultRoundsPerHolderDigest is the number of rounds per digest to the placement holder,
	// unless the exchange sets another one.
	defaultRoundsPerHolderDigest = 4
	// holderDigestsPerFull is the number of digests to the placement holder per one that
	// contains all counters.
	holderDigestsPerFull = 10
)

// digestExtension provides what an exchange sends besides the load of servers, and processes
// it in the digests of peers.
type digestExtension interface {
	// ForHolder returns what the placement holder should know: all of it, or only what has
	// changed since the last call. The digest may be empty.
	ForHolder(all bool) digest.Digest
	// AddForAll adds what all peers should know: the state of the placement lease, changes of
	// resident versions, and servers that are leaving.
	AddForAll(d *digest.Digest, round noticeRound)
	// Observe processes a peer's digest, and Forget drops what a dead instance sent.
	Observe(d digest.Digest)
	Forget(instance string)
}

// noticeRound says what a digest of notices may carry.
type noticeRound struct {
	// repeat is whether to add also what was added before, since datagrams can be lost.
	repeat bool
	// maxVersions and maxDepartures are how many notices of versions and of servers that leave there is room for.
	maxVersions, maxDepartures int
}

// exchange sends this instance's load on the servers and the extension's notices to all peers,
// sends the extension's counters to the placement holder, and handles the digests that peers
// send.
type exchange struct {
	// process is the name of this process; see Daemon.processName.
	process    string
	dispatcher *dispatch.Dispatcher
	cluster    *cluster.Cluster
	// extension provides and processes what digests contain besides the load of servers.
	extension digestExtension
	// holder returns the instance that holds the placement lease; empty if unknown.
	holder     func() string
	lastHolder string
	logger     *logrus.Entry
	// sequence is the number of the last digest. It starts at the current time, so that it
	// also increases across restarts.
	sequence uint64
	rounds   int
	// noticesPending makes the loop send the notices for all peers and the digest for the
	// placement holder at once, and earlyLoadPending the load of earlyLoadServers.
	noticesPending, earlyLoadPending chan struct{}
	// earlyLoadServers lists the servers of the next early load digest. mu guards it.
	mu               sync.Mutex
	earlyLoadServers []string
	// roundsPerHolderDigest is the number of rounds per digest to the placement holder.
	roundsPerHolderDigest int
	// passOnPending makes the loop pass on notices of peers.
	passOnPending chan struct{}
	// versionNotices limits the bytes of notices of versions, and departureNotices those of servers that leave.
	versionNotices, departureNotices *notices.Limiter
	// loadRotation and earlyLoadRotation say to which peer the last load digest, and the last early one, came.
	loadRotation, earlyLoadRotation cluster.Rotation
	// traffic counts the digests.
	traffic digestTraffic
	// answers limits the bytes of notices to peers that wait for versions.
	answers *notices.Limiter
}

var _ peers.Handler = (*exchange)(nil)

// newExchange creates an exchange and registers it for digests and changes of members. The
// caller must set extension and holder before the daemon starts.
func newExchange(process string, dispatcher *dispatch.Dispatcher, c *cluster.Cluster, transport peers.Transport, logger *logrus.Entry) *exchange {
	e := &exchange{
		process: process, dispatcher: dispatcher, cluster: c,
		logger: logger, sequence: uint64(time.Now().UnixNano()),
		noticesPending: make(chan struct{}, 1), earlyLoadPending: make(chan struct{}, 1), roundsPerHolderDigest: defaultRoundsPerHolderDigest,
		passOnPending: make(chan struct{}, 1), versionNotices: notices.NewVersionLimiter(), departureNotices: notices.NewDepartureLimiter(),
		answers: notices.NewAnswerLimiter(),
	}
	transport.Handle(peers.KindDigest, e)
	c.OnChange(e.memberChanged)
	return e
}

// memberChanged drops what a peer that died has sent: its load and its counters.
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
	var passOnDue <-chan time.Time
	var noticesAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.passOnPending:
			passOnDue = time.After(noticePause - time.Since(noticesAt))
		case <-passOnDue:
			passOnDue = nil
			e.sendNotices(false)
			noticesAt = time.Now()
		case <-e.earlyLoadPending:
			e.sendServerLoads(e.takeEarlyLoadServers())
			// Load that changes during the pause is sent with the next digest.
			time.Sleep(earlyLoadPause)
		case <-e.noticesPending:
			e.sendNotices(false)
			e.sendToHolder(false)
			// Notices of the pause are sent together.
			time.Sleep(noticePause)
		case <-ticker.C:
			e.sendRound()
		}
	}
}

// TriggerLoadSend makes the loop send the load of the given servers to all peers without waiting
// for the next round.
func (e *exchange) TriggerLoadSend(servers []string) {
	e.mu.Lock()
	e.earlyLoadServers = append(e.earlyLoadServers, servers...)
	e.mu.Unlock()
	select {
	case e.earlyLoadPending <- struct{}{}:
	default:
	}
}

// TriggerPassOn makes the loop pass on notices of peers, noticePause after the last ones. Other digests don't wait for it.
func (e *exchange) TriggerPassOn() {
	select {
	case e.passOnPending <- struct{}{}:
	default:
	}
}

// TriggerSend makes the loop send the notices for all peers and the digest for the placement
// holder without waiting for the next round. It doesn't send load; see TriggerLoadSend.
func (e *exchange) TriggerSend() {
	select {
	case e.noticesPending <- struct{}{}:
	default:
	}
}

func (e *exchange) sendRound() {
	e.rounds++
	if e.rounds%e.roundsPerHolderDigest == 0 {
		e.sendToHolder(true)
	}
	e.sendNotices(true)
	if perLoad := roundsPerLoad(len(e.cluster.Members())); e.rounds%perLoad == 0 {
		e.sendLoad(e.rounds%roundsPerEmptyDigest < perLoad)
	}
	e.traffic.log(time.Now(), e.cluster.Stats(), e.cluster.Room(), e.logger)
}

// roundsPerLoad returns the number of rounds per load digest.
func roundsPerLoad(instances int) int {
	period := time.Duration(instances) * loadPeriodPerInstance
	return min(max(1, int((period+exchangePeriod-1)/exchangePeriod)), maxRoundsPerLoad)
}

// sendLoad sends the load to all peers. Instances that don't know each other's load would
// all choose the same server. alsoEmpty sends it also if there is no load.
func (e *exchange) sendLoad(alsoEmpty bool) {
	d := e.loadDigest()
	if len(d.Loads) == 0 && !alsoEmpty {
		return // Peers need no digest to learn that load has ended: they discard load that isn't sent again.
	}
	e.broadcast(d, &e.loadRotation)
}

// loadDigest returns a digest of this instance's load on all servers.
func (e *exchange) loadDigest() digest.Digest {
	e.sequence++
	return digest.FromServerDigests(e.cluster.Self(), e.sequence, e.dispatcher.Digest())
}

// broadcast sends load to all peers as far as the cluster's byte budget allows. What
// exceeds the budget is dropped.
func (e *exchange) broadcast(d digest.Digest, rotation *cluster.Rotation) {
	for _, payload := range e.encode(d) {
		sent, dropped := e.cluster.Broadcast(peers.KindDigest, payload, rotation)
		e.traffic.record(contentLoad, sent, dropped, cluster.DatagramBytes(payload))
	}
}

// sendToHolder sends the extension's counters to the placement holder only, since no other
// instance decides on placement. Urgent ones are sent regardless of the byte budget: load, which takes all that is left of
// it, would leave them no room.
func (e *exchange) sendToHolder(urgent bool) {
	holder := e.holder()
	all := holder != e.lastHolder || e.rounds%(e.roundsPerHolderDigest*holderDigestsPerFull) == 0
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
		e.sendCounts(holder, payload, urgent)
	}
}

func (e *exchange) sendCounts(holder string, payload []byte, urgent bool) {
	sent, dropped := 1, 0
	if urgent {
		e.cluster.SendUrgent(holder, peers.KindDigest, payload)
	} else if !e.cluster.Send(holder, peers.KindDigest, payload) {
		sent, dropped = 0, 1
	}
	e.traffic.record(contentCounts, sent, dropped, cluster.DatagramBytes(payload))
}

func (e *exchange) takeEarlyLoadServers() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	servers := e.earlyLoadServers
	e.earlyLoadServers = nil
	return servers
}

// sendServerLoads sends the load of only some servers to all peers.
func (e *exchange) sendServerLoads(servers []string) {
	e.sequence++
	e.broadcast(digest.FromServerDigests(e.cluster.Self(), e.sequence, e.dispatcher.DigestOf(servers)), &e.earlyLoadRotation)
}

// sendNotices sends the notices of the extension ahead of other digests, because they can't wait: the lease to all peers,
// and servers that leave and versions, each within its limit, to the few peers that pass them on.
func (e *exchange) sendNotices(repeat bool) {
	e.sequence++
	now := time.Now()
	neighbors := e.cluster.HeartbeatPeers()
	var d digest.Digest
	e.extension.AddForAll(&d, noticeRound{
		repeat:        repeat,
		maxVersions:   e.versionNotices.Notices(now, len(neighbors)),
		maxDepartures: e.departureNotices.Notices(now, len(neighbors)),
	})
	header := digest.Digest{Instance: e.cluster.Self(), Sequence: e.sequence}
	if d.Lease != nil {
		e.sendLease(header, d.Lease)
	}
	departures, versions := header, header
	departures.Leaving, departures.Removed, versions.Residencies = d.Leaving, d.Removed, d.Residencies
	e.sendWithin(e.departureNotices, contentDepartures, departures, neighbors)
	e.sendWithin(e.versionNotices, contentVersions, versions, neighbors)
}

func (e *exchange) sendLease(d digest.Digest, lease *digest.Lease) {
	d.Lease = lease
	for _, payload := range e.encode(d) {
		sent := e.cluster.BroadcastUrgent(peers.KindDigest, payload)
		e.traffic.record(contentLease, sent, 0, cluster.DatagramBytes(payload))
	}
}

// sendWithin sends notices to the neighbors, and what this instance itself found out also to as many others as the limit has
// room for.
func (e *exchange) sendWithin(limit *notices.Limiter, content digestContent, d digest.Digest, neighbors []membership.Member) {
	if len(d.Leaving)+len(d.Removed)+len(d.Residencies) == 0 {
		return
	}
	now := time.Now()
	payloads := e.encode(d)
	targets := neighbors
	if isFirstHand(d) {
		bytes := 0
		for _, payload := range payloads {
			bytes += cluster.DatagramBytes(payload)
		}
		targets = slices.Concat(neighbors, e.cluster.OtherPeers(limit.MorePeers(now, len(neighbors), bytes)))
	}
	for _, target := range targets {
		for _, payload := range payloads {
			limit.Charge(now, cluster.DatagramBytes(payload))
			e.cluster.SendUrgent(target.Name, peers.KindDigest, payload)
			e.traffic.record(content, 1, 0, cluster.DatagramBytes(payload))
		}
	}
}

// sendAnswer sends notices of versions to a peer that waits for them, if there is room for all, and reports whether it did.
func (e *exchange) sendAnswer(peer string, told []digest.Residency) bool {
	now := time.Now()
	if e.answers.Notices(now, 1) < len(told) {
		return false
	}
	for _, payload := range e.encode(digest.Digest{Instance: e.cluster.Self(), Residencies: told}) {
		e.answers.Charge(now, cluster.DatagramBytes(payload))
		e.cluster.SendUrgent(peer, peers.KindDigest, payload)
	}
	return true
}

// isFirstHand reports whether a digest carries a notice of what this instance itself found out, for the first time.
func isFirstHand(d digest.Digest) bool {
	return slices.ContainsFunc(d.Leaving, func(l digest.ServerLeaving) bool { return l.FirstHand }) ||
		slices.ContainsFunc(d.Removed, func(r digest.ServerRemoved) bool { return r.FirstHand }) ||
		slices.ContainsFunc(d.Residencies, func(r digest.Residency) bool { return r.FirstHand })
}

func (e *exchange) encode(d digest.Digest) [][]byte {
	datagrams, err := d.Encode()
	if err != nil {
		e.logger.WithField("error", err.Error()).Error("Digest not sent to peers in full: encoding failed")
	}
	return datagrams
}

func (e *exchange) HandleDatagram(from string, payload []byte) {
	d, err := digest.Decode(payload)
	if err != nil || d.Instance != from {
		e.logger.WithField("peer", from).Warn("Ignored a digest from a peer: it is malformed or names another sender")
		return
	}
	// d is the whole message of a peer. The dispatcher calls the load of one server in it a
	// digest too.
	for _, serverLoad := range d.ServerDigests() {
		e.dispatcher.ObserveDigest(serverLoad)
	}
	e.extension.Observe(d)
}

// HandleCall implements peers.Handler. Digests are sent as datagrams only.
func (e *exchange) HandleCall(context.Context, string, []byte) ([]byte, error) { return nil, nil }
