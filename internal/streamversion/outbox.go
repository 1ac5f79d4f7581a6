package streamversion

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpethub/internal/membership"
	"limpethub/internal/request"
)

const (
	// instancesPerArchivist gives the number of archivists, and so the rate of the platform's calls: one call a
	// second for so many instances.
	instancesPerArchivist = 32
	// maxOwnStreams limits how many streams that this instance has begun it can tell archivists of.
	maxOwnStreams = 8192
	// maxToldPerRound limits what is sent at once when a second version appears, to some 16 KB a second.
	maxToldPerRound = 400
	// maxBatchBytes is the size of a batch that is sent to an archivist. It is below peers.MaxDatagramBytes.
	maxBatchBytes = 1000
)

// archivists returns the instances that write origins to the store, chosen by hash among those alive. Instances that
// don't agree on who is alive may choose others; then an origin is archived by each one that is told.
func archivists(members []membership.Member, self string) []string {
	type ranked struct {
		name string
		hash uint64
	}
	var all []ranked
	for _, m := range members {
		if m.State == membership.Alive {
			all = append(all, ranked{name: m.Name, hash: xxhash.Sum64String("archivist " + m.Name)})
		}
	}
	if len(all) == 0 {
		return []string{self}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name)) })
	count := (len(all) + instancesPerArchivist - 1) / instancesPerArchivist
	out := make([]string, 0, count)
	for _, r := range all[:count] {
		out = append(out, r.name)
	}
	return out
}

// archivistOf returns the archivist of a stream: the one with the highest hash of both.
func archivistOf(stream uint64, archivists []string) string {
	best, bestHash := "", uint64(0)
	var buffer [2 * hashBytes]byte
	binary.BigEndian.PutUint64(buffer[:], stream)
	for _, name := range archivists {
		binary.BigEndian.PutUint64(buffer[hashBytes:], xxhash.Sum64String(name))
		if hash := xxhash.Sum64(buffer[:]); best == "" || hash > bestHash {
			best, bestHash = name, hash
		}
	}
	return best
}

// archived is a stream whose origin is, or is to be, archived.
type archived struct {
	hash   uint64
	origin request.Origin
	// until is when the stream is no longer resumed.
	until time.Time
}

// ownStream is a stream that this instance has begun.
type ownStream struct {
	archived
	// archivist is the one that was told; empty if none was.
	archivist string
}

// outbox decides which archivists have to be told of which streams that this instance has begun. It keeps all
// of them for their life, since they have to be archived once a second version appears, and again if
// their archivist ends. It isn't safe for concurrent use.
type outbox struct {
	streams []*ownStream
	// longest is the longest life of the streams.
	longest    time.Duration
	archivists []string
}

// add adds a stream, and reports whether there was room.
func (o *outbox) add(now time.Time, s archived) bool {
	if len(o.streams) >= maxOwnStreams {
		o.forget(now)
	}
	if len(o.streams) >= maxOwnStreams {
		return false
	}
	o.longest = max(o.longest, s.until.Sub(now))
	o.streams = append(o.streams, &ownStream{archived: s})
	return true
}

// forget drops streams that are no longer resumed.
func (o *outbox) forget(now time.Time) {
	o.streams = slices.DeleteFunc(o.streams, func(s *ownStream) bool { return !now.Before(s.until) })
	if len(o.streams) == 0 {
		o.streams, o.longest = nil, 0
	}
}

// batchToSend is a batch of streams to be sent to one archivist.
type batchToSend struct {
	archivist string
	streams   []*ownStream
	batch     batch
}

// due returns what is to be told now. hasSeveral reports whether the servers of a service have had several versions within
// a time; the streams of other services needn't be archived. choose returns the archivists; it is called only if
// there are services with several versions.
func (o *outbox) due(now time.Time, choose func() []string, hasSeveral func(service string, life time.Duration) bool) []*batchToSend {
	o.forget(now)
	several := o.withSeveral(hasSeveral)
	if len(several) == 0 {
		return nil
	}
	archivists := choose()
	o.reassign(archivists)
	last := map[string]*batchToSend{}
	var out []*batchToSend
	count := 0
	for _, s := range o.streams {
		if s.archivist != "" || !several[s.origin.Service] || count == maxToldPerRound {
			continue
		}
		count++
		name := archivistOf(s.hash, archivists)
		n := last[name]
		if n == nil || !n.add(now, s) {
			n = &batchToSend{archivist: name}
			n.add(now, s)
			last[name] = n
			out = append(out, n)
		}
	}
	return out
}

// withSeveral returns the services of the streams that have had several versions.
func (o *outbox) withSeveral(hasSeveral func(service string, life time.Duration) bool) map[string]bool {
	known, out := map[string]bool{}, map[string]bool{}
	for _, s := range o.streams {
		if known[s.origin.Service] {
			continue
		}
		known[s.origin.Service] = true
		if hasSeveral(s.origin.Service, o.longest) {
			out[s.origin.Service] = true
		}
	}
	return out
}

// reassign takes the archivists of now. A stream that was told to another one has to be told again.
func (o *outbox) reassign(archivists []string) {
	if slices.Equal(o.archivists, archivists) {
		return
	}
	o.archivists = slices.Clone(archivists)
	for _, s := range o.streams {
		if s.archivist != "" && s.archivist != archivistOf(s.hash, archivists) {
			s.archivist = ""
		}
	}
}

func (n *batchToSend) add(now time.Time, s *ownStream) bool {
	if !n.batch.add(s.hash, s.origin, maxBatchBytes) {
		return false
	}
	n.streams = append(n.streams, s)
	n.batch.LifeMillis = max(n.batch.LifeMillis, s.until.Sub(now).Milliseconds()+1)
	return true
}

// told records that the archivist was told.
func (n *batchToSend) told() {
	for _, s := range n.streams {
		s.archivist = n.archivist
	}
}
