package streamversion

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"limpethub/internal/membership"
	"limpethub/internal/peers"
	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/store"
	"limpethub/internal/verdict"
)

const (
	// holdersPerStream is how many instances know which version began a stream, so that it is still known
	// if some of them end.
	holdersPerStream = 3
	// askedPerStream is how many instances are asked: the holders, and others that only know which versions
	// have served, in case the holders have ended.
	askedPerStream = 5
	// askTimeout limits the time for the questions and for the archive: the caller waits.
	askTimeout = 250 * time.Millisecond
	// settledAfter is when those that haven't answered yet aren't waited for any more if those that have
	// suffice to know that only one version has served.
	settledAfter = 80 * time.Millisecond
	// maxIDBytes, maxVersionBytes and maxServiceBytes limit what is recorded. A stream with longer ones
	// isn't, and can't go on where several versions serve.
	maxIDBytes      = 128
	maxVersionBytes = 64
	maxServiceBytes = 64
	// maxPathBytes limits the path in a question. No route has a longer prefix.
	maxPathBytes = 2048
	// lifeMargin is how much longer a stream is known than its caller waits.
	lifeMargin = 2 * time.Second
	// maxLife limits for how long a peer may have a stream recorded.
	maxLife = time.Hour
)

// Cluster is the part of cluster.Cluster that a Keeper uses.
type Cluster interface {
	Self() string
	Members() []membership.Member
	Send(name string, kind peers.Kind, payload []byte) bool
	SendUrgent(name string, kind peers.Kind, payload []byte)
}

// Options configures a Keeper.
type Options struct {
	Cluster   Cluster
	Transport peers.Transport
	Logger    *logrus.Entry
	// Now should keep running while the machine is suspended, so that old knowledge is known to be old.
	Now func() time.Time
	// Store holds the archive under ArchivePrefix, which outlasts all instances; nil if there is none.
	Store         store.Store
	ArchivePrefix string
	// Registerer registers the metrics of the archive; nil means that they are not exported.
	Registerer prometheus.Registerer
}

// Keeper knows which versions began streams. It is safe for concurrent use.
type Keeper struct {
	options Options
	archive *archive

	mu      sync.Mutex
	records *records
	history *history
	routes  routes
	// unknown counts the streams that couldn't go on because nobody knew their version.
	unknown uint64
}

var _ peers.Handler = (*Keeper)(nil)

// New returns a Keeper and registers it with the transport.
func New(options Options) *Keeper {
	k := &Keeper{options: options, records: newRecords(), history: newHistory()}
	options.Transport.Handle(peers.KindStreams, k)
	k.archive = newArchive(options, k.hasSeveral)
	return k
}

// Run keeps the archive until ctx ends.
func (k *Keeper) Run(ctx context.Context) { k.archive.run(ctx) }

// hasSeveral reports whether the servers of a service have had several versions within a time.
func (k *Keeper) hasSeveral(service string, life time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.history.view(k.options.Now(), service, life).Versions) > 1
}

// ObserveServers takes all servers that are known now. It must not be called again before it returns.
func (k *Keeper) ObserveServers(servers []Server) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.history.observe(k.options.Now(), servers)
}

// ObserveAnnounced takes servers that have announced themselves since the last call of ObserveServers, and may be
// gone again.
func (k *Keeper) ObserveAnnounced(servers []Server) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.history.observeAnnounced(k.options.Now(), servers)
}

// ConfirmServers takes that the servers which were observed last were all that there were at a time, by the clock
// of the options.
func (k *Keeper) ConfirmServers(asOf time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.history.confirm(asOf)
}

// ObserveRoutes takes the routes of the configuration in force.
func (k *Keeper) ObserveRoutes(all []site.Route) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.routes.observe(k.options.Now(), all)
}

// Unknown returns how many streams couldn't go on because nobody knew their version.
func (k *Keeper) Unknown() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.unknown
}

// begun is the datagram that tells of a stream.
type begun struct {
	ID         request.ID `cbor:"1,keyasint"`
	Version    string     `cbor:"2,keyasint"`
	LifeMillis int64      `cbor:"3,keyasint"`
	Service    string     `cbor:"4,keyasint"`
	// Refused tells that the stream was refused because nobody knew what began it. Version and Service are
	// empty then.
	Refused bool `cbor:"5,keyasint,omitempty"`
}

func (b *begun) valid() bool {
	isComplete := b.ID != "" && (b.Version != "") == !b.Refused && (b.Service != "") == !b.Refused
	return isComplete && len(b.ID) <= maxIDBytes && len(b.Version) <= maxVersionBytes && len(b.Service) <= maxServiceBytes &&
		b.LifeMillis > 0 && b.LifeMillis <= maxLife.Milliseconds()
}

// Began records what began a stream, whose caller waits for so long, and tells its holders.
func (k *Keeper) Began(id request.ID, origin request.Origin, waits time.Duration) {
	life := waits + lifeMargin
	k.record(k.options.Now(), &begun{ID: id, Version: origin.SoftwareVersion, Service: origin.Service, LifeMillis: life.Milliseconds()})
}

// record records a stream here and at its holders.
func (k *Keeper) record(now time.Time, b *begun) {
	if !b.valid() {
		return
	}
	k.add(now, b)
	if !b.Refused {
		k.archive.began(b.ID, request.Origin{Service: b.Service, SoftwareVersion: b.Version}, now.Add(time.Duration(b.LifeMillis)*time.Millisecond))
	}
	payload, err := cbor.Marshal(b)
	if err != nil {
		k.options.Logger.WithField("request", b.ID).WithError(err).Error("The software version of a stream can't be told to other instances: encoding failed")
		return
	}
	for _, holder := range k.nearest(b.ID, holdersPerStream) {
		k.options.Cluster.SendUrgent(holder.Name, peers.KindStreams, payload)
	}
}

func (k *Keeper) add(now time.Time, b *begun) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.records.add(now, record{
		id: b.ID, origin: request.Origin{Service: b.Service, SoftwareVersion: b.Version},
		until: now.Add(time.Duration(b.LifeMillis) * time.Millisecond),
	})
}

// nearest returns so many instances, less this one, that all instances choose alike for a stream: those with
// the highest hashes of its id and their names. The first holdersPerStream of them know of the stream.
func (k *Keeper) nearest(id request.ID, count int) []membership.Member {
	type ranked struct {
		member membership.Member
		hash   uint64
	}
	var best []ranked
	for _, m := range k.options.Cluster.Members() {
		if !m.Reachable() && m.Name != k.options.Cluster.Self() {
			continue
		}
		hash := xxhash.Sum64String(string(id) + " " + m.Name)
		if len(best) == count && hash <= best[len(best)-1].hash {
			continue
		}
		best = append(best, ranked{member: m, hash: hash})
		slices.SortFunc(best, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
		best = best[:min(len(best), count)]
	}
	var out []membership.Member
	for _, r := range best {
		if r.member.Name != k.options.Cluster.Self() {
			out = append(out, r.member)
		}
	}
	return out
}

// OriginOf returns what began a stream. The error is a *verdict.Error with NotRun if nobody knows.
func (k *Keeper) OriginOf(ctx context.Context, stream request.ResumedStream) (request.Origin, error) {
	own := k.view(&stream)
	if isKnown(own.Record) {
		return own.Record, nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	archived := k.archive.lookUp(ctx, stream.ID)
	others := k.ask(ctx, own, &stream)
	if origin := conclude(own, others, &stream); isKnown(origin) {
		return origin, nil
	}
	outcome := lookupUnused
	// Instances whose records differ know the stream, but not what began it.
	if !slices.ContainsFunc(others, func(v View) bool { return isKnown(v.Record) }) {
		var origin request.Origin
		if origin, outcome = archived(); isKnown(origin) {
			return origin, nil
		}
	}
	k.refused(&stream)
	k.options.Logger.WithFields(logrus.Fields{
		"resumes": stream.ID, "answers": len(others), "versions": versionsOf(own, others), "observed_ms": own.Observed.Milliseconds(),
		"refused_before": wasRefused(own, others), "rerouted": wasRerouted(own, others), "archive": outcome,
	}).Info("A stream can't go on: nobody knows which software version began it")
	return request.Origin{}, verdict.Refused(verdict.CodeVersionUnavailable, "nobody knows which software version began the stream")
}

// refused counts a stream that can't go on, and records that under its name, if it has one, for as long as its
// caller may go on trying.
func (k *Keeper) refused(stream *request.ResumedStream) {
	k.mu.Lock()
	k.unknown++
	k.mu.Unlock()
	if stream.Named {
		k.record(k.options.Now(), &begun{ID: stream.ID, Refused: true, LifeMillis: stream.Life.Milliseconds()})
	}
}

func versionsOf(own View, others []View) []string {
	var out []string
	for _, v := range append([]View{own}, others...) {
		for _, version := range v.Versions {
			if !slices.Contains(out, version) {
				out = append(out, version)
			}
		}
	}
	return out
}

func (k *Keeper) view(stream *request.ResumedStream) View {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Now()
	v := k.history.view(now, stream.Service, stream.Life)
	v.Observed, v.Rerouted = min(v.Observed, k.routes.observed(now)), k.routes.changed(now, stream)
	v.Record, v.Refused = k.records.originOf(now, stream.ID), k.records.wasRefused(now, stream.ID)
	return v
}

// question and answer are a call to another instance.
type question struct {
	ID         request.ID `cbor:"1,keyasint"`
	Service    string     `cbor:"2,keyasint"`
	LifeMillis int64      `cbor:"3,keyasint"`
	// Host, Path and TimeoutMillis are empty if an instance of an earlier release asks.
	Host          string `cbor:"4,keyasint,omitempty"`
	Path          string `cbor:"5,keyasint,omitempty"`
	TimeoutMillis int64  `cbor:"6,keyasint,omitempty"`
}

func questionOf(stream *request.ResumedStream) question {
	return question{
		ID: stream.ID, Service: stream.Service, LifeMillis: stream.Life.Milliseconds(),
		Host: stream.Host, Path: stream.Path[:min(len(stream.Path), maxPathBytes)], TimeoutMillis: stream.Timeout.Milliseconds(),
	}
}

func (q *question) stream() *request.ResumedStream {
	return &request.ResumedStream{
		ID: q.ID, Service: q.Service, Life: time.Duration(q.LifeMillis) * time.Millisecond,
		Host: q.Host, Path: q.Path, Timeout: time.Duration(q.TimeoutMillis) * time.Millisecond,
	}
}

type answer struct {
	Record         string   `cbor:"1,keyasint,omitempty"`
	Versions       []string `cbor:"2,keyasint,omitempty"`
	ObservedMillis int64    `cbor:"3,keyasint,omitempty"`
	// Service is that of Record.
	Service string `cbor:"4,keyasint,omitempty"`
	Refused bool   `cbor:"5,keyasint,omitempty"`
	// Rerouted is View.Rerouted. KnowsRoutes is false in an answer of an earlier release, which proves nothing
	// where routes may have changed.
	Rerouted    bool `cbor:"6,keyasint,omitempty"`
	KnowsRoutes bool `cbor:"7,keyasint,omitempty"`
}

func answerOf(v *View) answer {
	return answer{
		Record: v.Record.SoftwareVersion, Service: v.Record.Service, Refused: v.Refused,
		Versions: v.Versions, ObservedMillis: v.Observed.Milliseconds(), Rerouted: v.Rerouted, KnowsRoutes: true,
	}
}

func (a *answer) view() *View {
	v := &View{
		Record: request.Origin{Service: a.Service, SoftwareVersion: a.Record}, Refused: a.Refused,
		Versions: a.Versions, Rerouted: a.Rerouted,
	}
	if a.KnowsRoutes {
		v.Observed = time.Duration(a.ObservedMillis) * time.Millisecond
	}
	return v
}

// ask asks other instances about a stream at the same time, until one has a record, all have answered, or
// the answer is settled. own is what this instance knows.
func (k *Keeper) ask(ctx context.Context, own View, stream *request.ResumedStream) []View {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	q := questionOf(stream)
	asked := k.nearest(q.ID, askedPerStream)
	views := make(chan *View, len(asked))
	for _, peer := range asked {
		go func() { views <- k.askOne(ctx, peer, q) }()
	}
	settled := time.After(settledAfter)
	isLate := false
	var out []View
	for left := len(asked); left > 0; {
		select {
		case v := <-views:
			left--
			if v != nil {
				out = append(out, *v)
			}
			if v != nil && isKnown(v.Record) {
				return out
			}
		case <-settled:
			isLate = true
		}
		if isLate && isKnown(conclude(own, out, stream)) {
			return out
		}
	}
	return out
}

// askOne returns nil if the peer gives no answer.
func (k *Keeper) askOne(ctx context.Context, peer membership.Member, q question) *View {
	a, err := k.call(ctx, peer.PeerAddress, q)
	if err != nil {
		k.options.Logger.WithFields(logrus.Fields{"resumes": q.ID, "peer": peer.Name}).WithError(err).Debug("A peer didn't answer which software version began a stream")
		return nil
	}
	return a.view()
}

func (k *Keeper) call(ctx context.Context, address string, q question) (answer, error) {
	var a answer
	payload, err := cbor.Marshal(q)
	if err != nil {
		return a, fmt.Errorf("streamversion: encode question: %w", err)
	}
	body, err := k.options.Transport.Call(ctx, address, peers.KindStreams, payload)
	if err != nil {
		return a, fmt.Errorf("streamversion: ask: %w", err)
	}
	if err := cbor.Unmarshal(body, &a); err != nil {
		return a, fmt.Errorf("streamversion: decode answer: %w", err)
	}
	return a, nil
}

// HandleDatagram implements peers.Handler. It records a stream that a peer has begun.
func (k *Keeper) HandleDatagram(from string, payload []byte) {
	var b begun
	if err := cbor.Unmarshal(payload, &b); err != nil || !b.valid() {
		k.options.Logger.WithField("peer", from).Warn("Ignored a peer's word of a stream: it is malformed")
		return
	}
	k.add(k.options.Now(), &b)
}

// HandleCall implements peers.Handler. It answers what this instance knows of a stream.
func (k *Keeper) HandleCall(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var q question
	if err := cbor.Unmarshal(payload, &q); err != nil {
		return nil, fmt.Errorf("streamversion: decode question: %w", err)
	}
	v := k.view(q.stream())
	return cbor.Marshal(answerOf(&v))
}
