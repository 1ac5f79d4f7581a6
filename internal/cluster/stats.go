package cluster

import (
	"io"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

type stats struct {
	membershipBytes, membershipMessages atomic.Uint64
	broadcastBytes, broadcastSkipped    atomic.Uint64
	listErrors, malformed               atomic.Uint64
}

// Stats counts what a cluster sent and met. Bytes include an estimate of the
// headers of QUIC, UDP and IP.
type Stats struct {
	MembershipBytes    uint64
	MembershipMessages uint64
	BroadcastBytes     uint64
	// BroadcastSkipped counts datagrams that the byte budget left out.
	BroadcastSkipped uint64
	ListErrors       uint64
	Malformed        uint64
}

// Stats returns the counts since New.
func (c *Cluster) Stats() Stats {
	return Stats{
		MembershipBytes:    c.stats.membershipBytes.Load(),
		MembershipMessages: c.stats.membershipMessages.Load(),
		BroadcastBytes:     c.stats.broadcastBytes.Load(),
		BroadcastSkipped:   c.stats.broadcastSkipped.Load(),
		ListErrors:         c.stats.listErrors.Load(),
		Malformed:          c.stats.malformed.Load(),
	}
}

func discardLogger() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}
