package daemon

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"limpethub/internal/cluster"
)

// digestContent says what a digest carries.
type digestContent int

const (
	contentLoad digestContent = iota
	contentCounts
	contentLease
	contentVersions
	contentDepartures
	digestContents
)

// digestContentNames holds the names in metrics and logs.
var digestContentNames = [digestContents]string{
	contentLoad: "load", contentCounts: "counts", contentLease: "lease", contentVersions: "versions", contentDepartures: "departures",
}

// droppedDigestsLogPeriod is the least time between two log lines about digests that were dropped.
const droppedDigestsLogPeriod = 5 * time.Second

// digestTraffic counts the datagrams with digests that were sent to peers, and those that were dropped because the byte budget had
// no room. The zero digestTraffic is ready for use.
type digestTraffic struct {
	byContent [digestContents]digestCounts
	// loggedAt is when log looked at the counts last, and logged what they were then, with the cluster's.
	loggedAt      time.Time
	logged        [digestContents]digestCountsRead
	loggedCluster cluster.Stats
}

type digestCounts struct{ sent, dropped, bytes atomic.Uint64 }

type digestCountsRead struct{ sent, dropped, bytes uint64 }

func (c *digestCounts) read() digestCountsRead {
	return digestCountsRead{sent: c.sent.Load(), dropped: c.dropped.Load(), bytes: c.bytes.Load()}
}

// record counts datagrams of the given size.
func (t *digestTraffic) record(content digestContent, sent, dropped, bytes int) {
	counts := &t.byContent[content]
	counts.sent.Add(uint64(sent))
	counts.dropped.Add(uint64(dropped))
	counts.bytes.Add(uint64(sent * bytes))
}

// log logs what was sent since the last call that was droppedDigestsLogPeriod ago, if something was dropped. all has all that the
// cluster sent, and room what is left of the byte budget; it is negative while more was sent. It is called by one goroutine only.
func (t *digestTraffic) log(now time.Time, all cluster.Stats, room int, logger *logrus.Entry) {
	if now.Sub(t.loggedAt) < droppedDigestsLogPeriod {
		return
	}
	fields, dropped := logrus.Fields{"ms": now.Sub(t.loggedAt).Milliseconds(), "room_bytes": room}, uint64(0)
	fields["membership_bytes"] = all.MembershipBytes - t.loggedCluster.MembershipBytes
	otherBytes := all.DigestBytes - t.loggedCluster.DigestBytes
	for content := range digestContents {
		counts, before := t.byContent[content].read(), t.logged[content]
		name := digestContentNames[content]
		fields[name+"_sent"], fields[name+"_bytes"] = counts.sent-before.sent, counts.bytes-before.bytes
		fields[name+"_dropped"] = counts.dropped - before.dropped
		dropped += counts.dropped - before.dropped
		otherBytes -= counts.bytes - before.bytes
		t.logged[content] = counts
	}
	isFirst := t.loggedAt.IsZero()
	fields["other_bytes"] = otherBytes
	t.loggedAt, t.loggedCluster = now, all
	if dropped > 0 && !isFirst {
		logger.WithFields(fields).Info("Digests were dropped: the byte budget has no room")
	}
}

// Collectors returns the metrics.
func (t *digestTraffic) Collectors() []prometheus.Collector {
	var out []prometheus.Collector
	counter := func(name, help string, labels prometheus.Labels, value *atomic.Uint64) {
		out = append(out, prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels}, func() float64 {
			return float64(value.Load())
		}))
	}
	const digestsHelp = "Datagrams with digests for peers; those dropped found no room in the byte budget."
	for content := range digestContents {
		counts, name := &t.byContent[content], digestContentNames[content]
		counter("limpethub_digests_total", digestsHelp, prometheus.Labels{"content": name, "result": "sent"}, &counts.sent)
		counter("limpethub_digests_total", digestsHelp, prometheus.Labels{"content": name, "result": "dropped"}, &counts.dropped)
		counter("limpethub_digest_bytes_total", "Bytes of the datagrams with digests that were sent, with headers.", prometheus.Labels{"content": name}, &counts.bytes)
	}
	return out
}
