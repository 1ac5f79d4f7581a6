package streamversion

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"limpethub/internal/pause"
	"limpethub/internal/peers"
	"limpethub/internal/request"
	"limpethub/internal/store"
)

const (
	// writePeriod is the least time between two calls of an archivist, each of which the platform charges for.
	writePeriod = time.Second
	// writeTimeout limits a call of an archivist.
	writeTimeout = 2 * time.Second
	// tellPeriod is how often archivists are told of new streams.
	tellPeriod = 250 * time.Millisecond
	// urgentBatchesPerRound is how many batches of such a round are sent whatever room the byte budget has: load, which takes
	// all that is left of it, would leave them none. They take 9 KB a second at most, in a rush of streams.
	urgentBatchesPerRound = 2
	// choosePeriod is how often the archivists are chosen again, which takes 2 ms with 3,000 instances.
	choosePeriod = time.Second
	// settleTime is how long after the start no archivist is told. Until an instance knows the others it holds itself to be
	// the only archivist, and after a start of all instances each one would write.
	settleTime = 3 * time.Second
	// readTimeout limits a read of the archive. It may be longer than a caller waits: those that ask again get
	// its result.
	readTimeout = 2 * time.Second
	// readAgainAfter is the least time between two reads of an instance, and readPerInstance keeps the reads of all
	// instances together below 25 a second, for up to 375 instances. What was archived before all instances started
	// again is there with the first read.
	readAgainAfter   = 5 * time.Second
	readPerInstance  = 40 * time.Millisecond
	maxReadInterval  = 15 * time.Second
	readFailureDelay = time.Second
	// maxReadBytes limits what an instance keeps of a read.
	maxReadBytes = 4 << 20
)

// lookupOutcome tells what the archive said of a stream. It is a label of a metric.
type lookupOutcome string

const (
	lookupFound       lookupOutcome = "found"
	lookupMissing     lookupOutcome = "missing"
	lookupUnavailable lookupOutcome = "unavailable"
	// lookupUnused means that the archive wasn't asked.
	lookupUnused lookupOutcome = "unused"
)

// archive persists the origins of streams in the platform's key-value store while several versions serve, so that they
// survive a restart of all instances. Few instances, the archivists, write to the store, which bounds the rate of
// writes; every other instance sends its streams to them. A nil archive persists nothing. It is safe for concurrent use.
type archive struct {
	options Options
	reader  store.PrefixReader
	// hasSeveral reports whether the servers of a service have had several versions within a time.
	hasSeveral func(service string, life time.Duration) bool
	metrics    *archiveMetrics
	startedAt  time.Time
	// slotPrefix is the prefix of the keys of this process.
	slotPrefix string

	mu      sync.Mutex
	outbox  outbox
	journal journal
	// chosen holds the archivists as of chosenAt.
	chosen   []string
	chosenAt time.Time
	// failing is true from a failed write until the next one that succeeds.
	failing bool
	// lastRead is the read in progress, or the last one; nil if there was none lately.
	lastRead *archiveRead
}

// archiveRead is a read of the archive.
type archiveRead struct {
	// done is closed at the end; the other fields may be read after it.
	done       chan struct{}
	finishedAt time.Time
	batches    []*batch
	err        error
}

type archiveMetrics struct {
	archived, dropped prometheus.Counter
	lookups           *prometheus.CounterVec
}

var _ peers.Handler = (*archive)(nil)

// newArchive returns nil if there is no store that can list keys.
func newArchive(options Options, hasSeveral func(string, time.Duration) bool) *archive {
	reader, ok := options.Store.(store.PrefixReader)
	if !ok {
		return nil
	}
	a := &archive{
		options: options, reader: reader, hasSeveral: hasSeveral, metrics: newArchiveMetrics(options.Registerer), startedAt: options.Now(),
		slotPrefix: fmt.Sprintf("%s%s/%016x-", options.ArchivePrefix, options.Cluster.Self(), rand.Uint64()),
	}
	options.Transport.Handle(peers.KindArchive, a)
	return a
}

func newArchiveMetrics(registerer prometheus.Registerer) *archiveMetrics {
	m := &archiveMetrics{
		archived: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "limpethub_streams_archived_total", Help: "Streams whose software version this instance wrote to the key-value store.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "limpethub_streams_not_archived_total", Help: "Streams whose software version was to be written to the key-value store and wasn't, because too many were waiting.",
		}),
		lookups: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpethub_stream_archive_lookups_total", Help: "Streams that no instance remembered, by what the key-value store said of their software version.",
		}, []string{"outcome"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.archived, m.dropped, m.lookups)
	}
	return m
}

// began takes a stream that this instance has begun.
func (a *archive) began(id request.ID, origin request.Origin, until time.Time) {
	if a == nil {
		return
	}
	now := a.options.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.outbox.add(now, archived{hash: streamHash(id), origin: origin, until: until}) {
		a.metrics.dropped.Inc()
	}
}

// run tells archivists and writes what this instance was told, until ctx ends.
func (a *archive) run(ctx context.Context) {
	if a == nil {
		return
	}
	var telling sync.WaitGroup
	telling.Go(func() {
		for pause.For(ctx, tellPeriod) {
			a.tell()
			a.dropOldRead()
		}
	})
	for pause.For(ctx, writePeriod) {
		a.write(ctx)
	}
	telling.Wait()
}

// tell tells archivists of the streams that are due.
func (a *archive) tell() {
	now := a.options.Now()
	if now.Sub(a.startedAt) < settleTime {
		return
	}
	self := a.options.Cluster.Self()
	sent := 0
	for _, n := range a.due(now) {
		if n.archivist != self {
			if !a.send(n, sent < urgentBatchesPerRound) {
				// It is due again in the next round.
				continue
			}
			sent++
		}
		a.mu.Lock()
		n.told()
		if n.archivist == self {
			a.addPending(now, &n.batch)
		}
		a.mu.Unlock()
	}
}

func (a *archive) due(now time.Time) []*batchToSend {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.outbox.due(now, func() []string { return a.archivists(now) }, a.hasSeveral)
}

// archivists returns the archivists of now, or those of up to choosePeriod before. The lock must be held.
func (a *archive) archivists(now time.Time) []string {
	if a.chosen == nil || now.Sub(a.chosenAt) >= choosePeriod {
		a.chosen, a.chosenAt = archivists(a.options.Cluster.Members(), a.options.Cluster.Self()), now
	}
	return a.chosen
}

// send sends a batch to its archivist, if it is urgent also where the byte budget has no room, and reports whether it did.
func (a *archive) send(n *batchToSend, urgent bool) bool {
	payload, err := n.batch.encode()
	if err != nil {
		a.options.Logger.WithField("archivist", n.archivist).WithError(err).Error("The software versions of streams can't be told to their archivist: encoding failed")
		return false
	}
	if urgent {
		a.options.Cluster.SendUrgent(n.archivist, peers.KindArchive, payload)
		return true
	}
	return a.options.Cluster.Send(n.archivist, peers.KindArchive, payload)
}

// addPending takes streams that this instance has to write. The lock must be held.
func (a *archive) addPending(now time.Time, b *batch) {
	a.metrics.dropped.Add(float64(a.journal.add(now, archivedOf(now, b))))
}

// HandleDatagram implements peers.Handler. It takes streams that a peer has begun. This instance writes them also if it
// holds another one to be their archivist.
func (a *archive) HandleDatagram(from string, payload []byte) {
	b, err := decodeBatch(payload)
	if err != nil || b.LifeMillis <= 0 || b.LifeMillis > maxLife.Milliseconds() {
		a.options.Logger.WithField("peer", from).Warn("Ignored a peer's word of streams to be archived: it is malformed")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addPending(a.options.Now(), b)
}

var errNoCalls = errors.New("streamversion: archivists answer no calls")

// HandleCall implements peers.Handler.
func (a *archive) HandleCall(context.Context, string, []byte) ([]byte, error) {
	return nil, errNoCalls
}

// write makes the call of the store that is due, if any.
func (a *archive) write(ctx context.Context) {
	now := a.options.Now()
	a.mu.Lock()
	due := a.journal.next(now)
	a.mu.Unlock()
	if due == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if due.write == nil {
		a.grant(ctx, now, due.ttl)
		return
	}
	a.writeSlot(ctx, due.write)
}

func (a *archive) grant(ctx context.Context, now time.Time, ttl time.Duration) {
	lease, err := a.options.Store.Grant(ctx, ttl)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.journal.granted(now, ttl, lease)
	}
	a.recordResult(err)
}

func (a *archive) writeSlot(ctx context.Context, w *slotWrite) {
	revision, err := a.putSlot(ctx, w)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.journal.wrote(w, revision)
		a.metrics.archived.Add(float64(len(w.added)))
	} else {
		a.metrics.dropped.Add(float64(a.journal.failed(a.options.Now(), w, err)))
	}
	a.recordResult(err)
}

func (a *archive) putSlot(ctx context.Context, w *slotWrite) (store.Revision, error) {
	value, err := w.content.encode()
	if err != nil {
		return 0, err
	}
	key := fmt.Sprintf("%s%06d", a.slotPrefix, w.slot.number)
	return a.options.Store.CompareAndSwap(ctx, key, value, w.slot.revision, w.slot.lease)
}

// recordResult logs when calls begin to fail and when they succeed again. The lock must be held.
func (a *archive) recordResult(err error) {
	switch {
	case err != nil && !a.failing:
		a.options.Logger.WithError(err).Warn("The software versions of streams can't be written to the store")
	case err == nil && a.failing:
		a.options.Logger.Info("The software versions of streams can be written to the store again")
	}
	a.failing = err != nil
}

// lookUp starts an archive lookup of a stream's origin in the background. The store is read after settledAfter, or as
// soon as wait is called. wait returns the result, and must be called exactly once. If ctx ends first, the outcome is
// lookupUnavailable.
func (a *archive) lookUp(ctx context.Context, id request.ID) (wait func() (request.Origin, lookupOutcome)) {
	if a == nil {
		return func() (request.Origin, lookupOutcome) { return request.Origin{}, lookupUnused }
	}
	type result struct {
		origin  request.Origin
		outcome lookupOutcome
	}
	peersAsked := make(chan struct{})
	results := make(chan result, 1)
	go func() {
		select {
		case <-peersAsked:
		case <-time.After(settledAfter):
		case <-ctx.Done():
		}
		var r result
		r.origin, r.outcome = a.originOf(ctx, id)
		results <- r
	}()
	return func() (request.Origin, lookupOutcome) {
		close(peersAsked)
		r := <-results
		a.metrics.lookups.WithLabelValues(string(r.outcome)).Inc()
		return r.origin, r.outcome
	}
}

func (a *archive) originOf(ctx context.Context, id request.ID) (request.Origin, lookupOutcome) {
	if ctx.Err() != nil {
		return request.Origin{}, lookupUnavailable
	}
	read := a.recentRead()
	select {
	case <-read.done:
	case <-ctx.Done():
		return request.Origin{}, lookupUnavailable
	}
	if read.err != nil {
		return request.Origin{}, lookupUnavailable
	}
	if origin := findOrigin(read.batches, id); isKnown(origin) {
		return origin, lookupFound
	}
	return request.Origin{}, lookupMissing
}

// recentRead returns the read in progress or a recent one, or begins one.
func (a *archive) recentRead() *archiveRead {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastRead == nil || a.isOld(a.lastRead) {
		a.lastRead = &archiveRead{done: make(chan struct{})}
		go a.read(a.lastRead)
	}
	return a.lastRead
}

// isOld reports whether a read has ended and another one may begin.
func (a *archive) isOld(r *archiveRead) bool {
	select {
	case <-r.done:
	default:
		return false
	}
	interval := pause.SharedInterval(readAgainAfter, readPerInstance, len(a.options.Cluster.Members()), maxReadInterval)
	if r.err != nil {
		interval = readFailureDelay
	}
	return a.options.Now().Sub(r.finishedAt) >= interval
}

// dropOldRead releases the memory of the last read.
func (a *archive) dropOldRead() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastRead != nil && a.isOld(a.lastRead) {
		a.lastRead = nil
	}
}

// read reads the archive. It doesn't end with the request that began it, since others wait for it.
func (a *archive) read(r *archiveRead) {
	defer close(r.done)
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	listing, err := a.reader.List(ctx, a.options.ArchivePrefix, false)
	r.finishedAt, r.err = a.options.Now(), err
	if err != nil {
		a.options.Logger.WithError(err).Info("The software versions of streams can't be read from the store")
		return
	}
	r.batches = a.decodeSlots(listing.Entries)
}

// decodeSlots decodes slots up to maxReadBytes, the latest first.
func (a *archive) decodeSlots(entries []store.Entry) []*batch {
	slices.SortFunc(entries, func(x, y store.Entry) int { return cmp.Compare(y.Revision, x.Revision) })
	var out []*batch
	left := maxReadBytes
	for _, e := range entries {
		if left -= len(e.Value); left < 0 {
			a.options.Logger.WithFields(logrus.Fields{"slots": len(entries), "kept": len(out)}).Warn("Not all software versions of streams in the store can be kept")
			break
		}
		b, err := decodeBatch(e.Value)
		if err != nil {
			a.options.Logger.WithField("key", e.Key).WithError(err).Warn("Ignored software versions of streams in the store: they are malformed")
			continue
		}
		out = append(out, b)
	}
	return out
}
