package daemon

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"limpethub/internal/callerload"
	"limpethub/internal/crashguard"
	"limpethub/internal/crashwatch"
	"limpethub/internal/discovery"
	"limpethub/internal/dispatch"
	"limpethub/internal/engine"
	"limpethub/internal/forward"
	"limpethub/internal/front"
	"limpethub/internal/gateway"
	"limpethub/internal/gossip"
	"limpethub/internal/identitykey"
	"limpethub/internal/logging"
	"limpethub/internal/membership"
	"limpethub/internal/metrics"
	"limpethub/internal/modelref"
	"limpethub/internal/notices"
	"limpethub/internal/peerrelay"
	"limpethub/internal/peers/digest"
	"limpethub/internal/plugin"
	"limpethub/internal/quarantine"
	"limpethub/internal/reachability"
	"limpethub/internal/request"
	"limpethub/internal/residency"
	"limpethub/internal/scheduling"
	"limpethub/internal/scheduling/quota"
	"limpethub/internal/serverlimits"
	"limpethub/internal/site"
	"limpethub/internal/store"
	"limpethub/internal/storecall"
	"limpethub/internal/storecontact"
	"limpethub/internal/streamversion"
	"limpethub/internal/unserved"
	"limpethub/internal/workspace"
	"limpethub/internal/workspacequota"
)

// streamArchivePrefix is the prefix of the keys that hold the software versions of streams. Instances of
// all versions read them, so it may not change.
const streamArchivePrefix = "limpethub/streams/"

// speedLearning converts settings.Settings.ServerSpeed.
func speedLearning(setting string) scheduling.SpeedLearning {
	switch setting {
	case "always":
		return scheduling.SpeedsAlways
	case "never":
		return scheduling.SpeedsNever
	}
	return scheduling.SpeedsWhereStated
}

// hosted holds the parts that only an instance with a front has. Its servers are discovered
// by their announcements, and its requests are forwarded unchanged.
type hosted struct {
	front      front.Front
	relay      *forward.Relay
	limits     *serverlimits.Limits
	brittle    *serverlimits.Limits
	identities *identitykey.Keeper
	streams    *streamversion.Keeper
	crashes    *crashwatch.Watch
	guard      *crashguard.Guard
	reach      *reachability.Monitor
	peersReach *reachability.Peers
	passedOn   *peerrelay.Client
	takenIn    *peerrelay.Server
	authorizer *workspace.Authorizer
	// peersInTouch knows which instances say that their configuration isn't proven to be the newest one.
	peersInTouch *reachability.Peers
	watcher      *discovery.Watcher
	manager      *residency.Manager
	extension    *residencyExtension
	quotas       *workspacequota.Quotas
	unserved     *unserved.Tracker
	callerLoad   *callerload.Budget
	logger       *logrus.Entry
	inForce      atomic.Pointer[front.ConfigurationInForce]
}

// buildHosted builds the parts that replace those of buildRequests and buildPlacement on an
// instance with a front.
func (d *Daemon) buildHosted() error {
	environment := plugin.Environment{Logger: d.log(logging.Gateway), Store: d.plugins.storeFor(storecall.PurposeOther)}
	source, err := plugin.Load[discovery.Source](d.settings.Plugins.Discovery.Plugin(), environment)
	if err != nil {
		return err
	}
	h := &hosted{extension: newResidencyExtension(), unserved: unserved.New(d.log(logging.Routing), time.Now), logger: d.log(logging.Gateway)}
	if h.front, err = plugin.Load[front.Front](d.settings.Plugins.Front.Plugin(), environment); err != nil {
		return err
	}
	d.hosted = h
	if err := d.buildHostedRequests(h, source); err != nil {
		return err
	}
	return d.buildResidency(h)
}

func (d *Daemon) buildHostedRequests(h *hosted, source discovery.Source) error {
	scheduler, err := scheduling.New(scheduling.Options{
		Instance: d.settings.Instance, FailureDomain: d.settings.FailureDomain,
		Seed: d.seed, Policy: d.settings.Plugins.Routing.Name, Document: initialDocument(),
		Speeds: speedLearning(d.settings.ServerSpeed),
	})
	if err != nil {
		return fmt.Errorf("daemon: create the scheduler: %w", err)
	}
	d.requestMetrics = metrics.NewRequests(d.registry)
	d.dispatcher = dispatch.New(dispatch.Options{
		Scheduler: scheduler, Observer: &hostedObserver{Requests: d.requestMetrics, onQueued: d.requestQueued},
		Logger: d.log(logging.Routing), Now: time.Now,
		OnUrgentUpdates: func(servers []string) { d.exchange.TriggerLoadSend(servers) },
		ViewAge:         func() time.Duration { return h.watcher.ViewAge() },
	})
	h.streams = streamversion.New(streamversion.Options{
		Cluster: d.cluster, Transport: d.plugins.peers, Logger: d.log(logging.Routing), Now: d.bootNow,
		Store: d.plugins.storeFor(purposeStreams), ArchivePrefix: streamArchivePrefix, Registerer: d.registry,
	})
	h.watcher = discovery.New(discovery.Options{
		FailureDomain:    d.settings.FailureDomain,
		Source:           source,
		Sink:             d.dispatcher,
		Pooled:           h.isPool,
		Instances:        func() int { return len(d.cluster.Members()) },
		LeavingBound:     d.leavingBound(),
		DecidesPlacement: func() bool { return h.manager.Holding() },
		OnDeparture: func(departure discovery.Departure) {
			h.extension.AddDepartureNotice(departure)
			d.exchange.TriggerSend()
		},
		OnServers:   h.observeVersions,
		OnAnnounced: h.observeAnnouncements,
		OnRead:      d.confirmVersions,
		PeerContacts: storecontact.New(storecontact.Options{
			Members: d.cluster.Members, Self: d.cluster.Self(), Transport: d.plugins.peers,
			Known: func() []discovery.Contact { return h.watcher.Contacts() }, Logger: d.log(logging.Peers),
		}).Ask,
		Logger: d.log(logging.Routing),
	})
	h.callerLoad = callerload.New(callerload.Options{Limit: d.settings.CallerBytes(), Report: d.reportCallerLoad, Now: time.Now})
	d.buildLimits(h)
	if err := d.buildReach(h); err != nil {
		return err
	}
	d.buildIdentities(h)
	d.buildGuard(h)
	d.buildAuthorizer(h)
	d.buildQuotas(h)
	h.relay = forward.NewRelay(forward.RelayOptions{
		Dispatcher: d.dispatcher, Plane: d.plugins.relayer, Directory: h.watcher, Crashes: h.crashes, Guard: h.guard,
		Streams: h.streams, Reach: h.reach, Peers: h.passedOn, Recheck: h.authorizer.Recheck,
		MayStart: h.front.MayStart, MaySend: h.watcher.MaySend,
		Quota:  quotaAdmitter{h.quotas},
		Logger: d.log(logging.Routing), Now: time.Now,
	})
	d.directory = &callerDirectory{cluster: d.cluster, configuration: d.confsync, failureDomain: d.settings.FailureDomain, seed: d.seed, conditions: []func(string) bool{h.peersReach.Reaches, h.peersInTouch.Reaches}}
	h.front.SetServices(front.Services{
		Relay:          h.relay,
		Admitter:       quotaAdmitter{h.quotas},
		Configuration:  h.inForce.Load,
		Entries:        d.hostedEntries,
		Identities:     h.identities.Hasher,
		Authorizer:     h.authorizer,
		CallerLoad:     h.callerLoad,
		Observe:        d.requestMetrics.ObserveRequest,
		Cuts:           metrics.NewCuts(d.registry),
		ObserveService: h.unserved.Observe,
		Connections: front.ConnectionLimits{
			Callers:   d.connections.limit("callers", d.connectionShares.Callers),
			Directory: d.connections.limit("directory", d.connectionShares.Other),
			Ready:     d.connections.limit("ready", d.connectionShares.Other),
		},
		Logger: d.log(logging.Gateway),
		Now:    time.Now,

		NewerConfigurationExists: d.confsync.NewerExists,
	})
	d.exchange = newExchange(d.processName(), d.dispatcher, d.cluster, d.plugins.peers, d.log(logging.Peers))
	// The request counts go to the placement holder in every round.
	d.exchange.extension, d.exchange.roundsPerHolderDigest = h.extension, 1
	d.exchange.holder = func() string { return h.manager.Holder() }
	h.extension.onNotices = d.exchange.TriggerPassOn
	h.extension.watcher = h.watcher
	h.extension.answer = d.exchange.sendAnswer
	return nil
}

// reportCallerLoad logs that the memory for callers is used up.
func (d *Daemon) reportCallerLoad(since callerload.Counts) {
	d.log(logging.Gateway).WithFields(logrus.Fields{
		"limit_bytes": d.hosted.callerLoad.Limit(), "held_bytes": d.hosted.callerLoad.Held(),
		"refused": since.Refused, "bodies_ended": since.BodiesEnded, "answers_ended": since.AnswersEnded, "connections_closed": since.ConnectionsClosed,
	}).Warn("The memory for requests of callers is used up: those that send or read least give way")
}

// leavingBound returns the bound of the settings. It warns of one that instances can't keep, or can't keep as soon after a cut as the
// settings say.
func (d *Daemon) leavingBound() time.Duration {
	bound := time.Duration(d.settings.LeavingBoundMillis) * time.Millisecond
	if bound > 0 && bound < discovery.MinLeavingBound {
		d.log(logging.Routing).WithFields(logrus.Fields{
			"bound_ms": bound.Milliseconds(), "least_ms": discovery.MinLeavingBound.Milliseconds(),
		}).Warn("Requests may reach leaving servers for longer than the settings allow")
	}
	inTouch := time.Duration(d.settings.InTouchMillis) * time.Millisecond
	if inTouch > 0 && inTouch < discovery.MinInTouchDelay {
		d.log(logging.Routing).WithFields(logrus.Fields{
			"in_touch_ms": inTouch.Milliseconds(), "least_ms": discovery.MinInTouchDelay.Milliseconds(),
		}).Warn("Requests may reach servers that left during a cut for longer than the settings allow")
	}
	return bound
}

// buildLimits builds the parts that keep the limits that servers name.
func (d *Daemon) buildLimits(h *hosted) {
	h.brittle = serverlimits.New(serverlimits.Options{
		Topic: gossip.TopicBrittle, Kind: "rejections", Publish: d.cluster.Publish,
		OnChange: func(server string, limit *quota.Limit) { d.dispatcher.ObserveBrittle(server, limit != nil) },
		Logger:   d.log(logging.Routing), Now: time.Now,
	})
	d.cluster.OnFact(gossip.TopicBrittle, h.brittle.HandleFact)
	h.limits = serverlimits.New(serverlimits.Options{
		Topic: gossip.TopicLimit, Kind: "requests",
		Publish: d.cluster.Publish, OnChange: d.dispatcher.ObserveLimit, Logger: d.log(logging.Routing), Now: time.Now,
	})
	d.cluster.OnFact(gossip.TopicLimit, h.limits.HandleFact)
	d.plugins.relayer.SetAnswerObserver(&answerObserver{Watcher: h.watcher, limits: h.limits, brittle: h.brittle, dispatcher: d.dispatcher})
	d.cluster.OnChange(func(membership.Transition) { d.dispatcher.SetInstances(d.sharingInstances()) })
}

// sharingInstances returns the names of the instances that may send requests to servers.
func (d *Daemon) sharingInstances() []string {
	var out []string
	for _, m := range d.cluster.Members() {
		if m.State != membership.Dead {
			out = append(out, m.Name)
		}
	}
	return out
}

// answerObserver passes on what servers say about themselves in their answers, and what is sent to
// them beside requests.
type answerObserver struct {
	*discovery.Watcher
	limits     *serverlimits.Limits
	brittle    *serverlimits.Limits
	dispatcher *dispatch.Dispatcher
}

var _ engine.AnswerObserver = (*answerObserver)(nil)

// ServerCalled implements engine.AnswerObserver.
func (o *answerObserver) ServerCalled(server engine.Server) { o.dispatcher.ObserveCall(server.Name) }

// ServerLimit implements engine.AnswerObserver.
func (o *answerObserver) ServerLimit(server engine.Server, limit *float64, invalid error, sentAt time.Time) {
	o.limits.Observe(server, limit, invalid, sentAt)
}

// ServerBrittle implements engine.AnswerObserver.
func (o *answerObserver) ServerBrittle(server engine.Server, rejections *float64, invalid error, sentAt time.Time) {
	o.brittle.Observe(server, rejections, invalid, sentAt)
}

// buildGuard builds the parts that keep requests that crash servers away from them.
func (d *Daemon) buildGuard(h *hosted) {
	h.guard = crashguard.New(crashguard.Options{
		Publish: d.cluster.Publish, MayTry: d.triesSubject, Logger: d.log(logging.Routing), Now: time.Now,
	})
	for topic, handler := range h.guard.Handlers() {
		d.cluster.OnFact(topic, handler)
	}
	h.crashes = crashwatch.New(crashwatch.Options{
		Prober: &pauseRespectingProber{Prober: d.plugins.relayer, watcher: h.watcher}, OnEnded: h.guard.ServerEnded, OnProven: h.guard.Proven,
		Logger: d.log(logging.Routing), Now: time.Now,
	})
}

// buildIdentities builds what gives requests the same identity on all instances.
func (d *Daemon) buildIdentities(h *hosted) {
	h.identities = identitykey.New(d.cluster.Publish, d.log(logging.Gateway), time.Now)
	d.cluster.OnFact(gossip.TopicIdentityKey, h.identities.HandleFact)
}

// observeVersions tells which software versions the servers of each service have.
func (h *hosted) observeVersions(known []discovery.KnownServer) {
	servers := make([]streamversion.Server, 0, len(known))
	for _, s := range known {
		servers = append(servers, streamversion.Server{Service: s.Service, Version: s.SoftwareVersion})
	}
	h.streams.ObserveServers(servers)
}

// observeAnnouncements tells which software versions servers have announced, though they may have another one by now.
func (h *hosted) observeAnnouncements(announced []discovery.Server) {
	servers := make([]streamversion.Server, 0, len(announced))
	for _, s := range announced {
		servers = append(servers, streamversion.Server{Service: s.Service, Version: s.SoftwareVersion})
	}
	h.streams.ObserveAnnounced(servers)
}

// confirmVersions tells that the servers known after a call of the store are all that there were when it was sent.
// That time counts because the process may have been frozen before it read the answer.
func (d *Daemon) confirmVersions() (succeeded func()) {
	sentAt := d.bootNow()
	return func() { d.hosted.streams.ConfirmServers(sentAt) }
}

// pauseRespectingProber sends no probe to a server that wants nothing from this instance for a while.
type pauseRespectingProber struct {
	engine.Prober
	watcher *discovery.Watcher
}

// Probe implements engine.Prober.
func (p *pauseRespectingProber) Probe(ctx context.Context, server engine.Server) engine.Liveness {
	if p.watcher.Paused(server) {
		return engine.LivenessUnknown
	}
	return p.Prober.Probe(ctx, server)
}

// triesSubject reports whether this instance is the one of those alive that tries a subject again
// after its quarantine: the one with the highest hash of both.
func (d *Daemon) triesSubject(subject quarantine.Subject) bool {
	best, bestHash := "", uint64(0)
	for _, m := range d.cluster.Members() {
		if m.State != membership.Alive {
			continue
		}
		if hash := xxhash.Sum64String(subject.String() + m.Name); best == "" || hash > bestHash {
			best, bestHash = m.Name, hash
		}
	}
	return best == d.settings.Instance
}

// minEntries is the least number of instances that callers should know, so that they have
// another one when one fails.
const minEntries = 2

// hostedEntries lists the instances that callers in a failure domain should use: those
// alive in that domain if there are at least minEntries, or else all that are alive, or
// else all that the directory knows. The directory lists the instances of the given domain
// first. It takes an empty domain for this instance's own, but here only instances without a
// failure domain match an empty one.
func (d *Daemon) hostedEntries(domain string) []gateway.Entry {
	all := d.directory.Entries("", domain)
	alive := slices.DeleteFunc(slices.Clone(all), func(e gateway.Entry) bool { return !d.aliveInstance(e.Instance) })
	sameDomain := slices.DeleteFunc(slices.Clone(alive), func(e gateway.Entry) bool { return e.FailureDomain != domain })
	switch {
	case len(sameDomain) >= minEntries:
		return sameDomain
	case len(alive) > 0:
		return alive
	}
	return all
}

func (d *Daemon) aliveInstance(name string) bool {
	member, ok := d.cluster.Member(name)
	return ok && member.State == membership.Alive
}

// putInForce applies a new configuration to the front, the watcher and the manager.
func (h *hosted) putInForce(accepted site.Accepted) {
	inForce := &front.ConfigurationInForce{Accepted: accepted, Since: time.Now()}
	inForce.Routes = site.NewRouteTable(&inForce.Document)
	inForce.Workspaces = workspace.NewTable(&inForce.Accepted)
	h.inForce.Store(inForce)
	h.streams.ObserveRoutes(inForce.Document.Routes)
	h.warnOfLongBodies(&inForce.Document)
	h.quotas.SetDocument(&inForce.Document)
	h.watcher.Refresh()
	h.manager.Wake()
}

// bodyGrowth is by how much the buffers of a body exceed it at most while it is read.
const bodyGrowth = 2

// warnOfLongBodies logs that the configuration allows bodies for which there is no room.
func (h *hosted) warnOfLongBodies(document *site.Document) {
	most, longest := h.callerLoad.MostForOne(), document.CallerLimits.MaxBodyBytes
	if most > 0 && bodyGrowth*longest > most {
		h.logger.WithFields(logrus.Fields{"max_body_bytes": longest, "limit_bytes": h.callerLoad.Limit()}).
			Warn("The longest bodies that the configuration allows don't fit the memory for requests of callers")
	}
}

func (h *hosted) document() *site.Document {
	if inForce := h.inForce.Load(); inForce != nil {
		return &inForce.Document
	}
	return nil
}

// isPool reports whether the servers of a service form a pool that runs models, according to
// the configuration in force.
func (h *hosted) isPool(service string) bool {
	document := h.document()
	if document == nil {
		return false
	}
	_, ok := document.Pool(service)
	return ok
}

// hostedObserver passes the dispatcher's observations to the metrics and reports requests
// that have to wait.
type hostedObserver struct {
	*metrics.Requests
	// onQueued is called when a request for a model has to wait.
	onQueued func()
}

var _ dispatch.Observer = (*hostedObserver)(nil)

// ObserveArrival implements dispatch.Observer. It does nothing, because residencyExtension
// sends the dispatcher's request counts instead of counted arrivals.
func (o *hostedObserver) ObserveArrival(request.Request) {}

func (o *hostedObserver) ObserveDecision(r request.Request, d scheduling.Decision, waited time.Duration) {
	o.Requests.ObserveDecision(r, d, waited)
	if d.Action == scheduling.Queue && r.Model != "" {
		o.onQueued()
	}
}

// residencyExtension is the digestExtension of an instance with a front; its methods are in
// residency_feed.go. Instances tell each other their request counts per version, the versions
// that became or ceased to be usable on a server, the servers that are leaving, and the state
// of the placement lease.
type residencyExtension struct {
	watcher *discovery.Watcher
	manager *residency.Manager
	// refLoads returns this instance's request counts per version.
	refLoads func() map[modelref.Ref]scheduling.RefLoad
	// onNotices is called when there are notices of peers to pass on. It must not block; nil means no call.
	onNotices func()

	mu sync.Mutex
	// counts holds the request counts that peers sent, by instance.
	counts     map[string]peerCounts
	versions   *notices.Versions
	departures *notices.Departures
	// copies tells where versions are usable, if this instance holds the placement lease.
	copies copyFinder
	// waits are the versions that peers wait for. answer sends a peer notices of versions as far as there is room, and reports
	// whether it did; it must not block.
	waits  *notices.Waits
	answer func(peer string, told []digest.Residency) bool
	// leaseTold is the revision of the lease in the last digest that carried it.
	leaseTold store.Revision
}
