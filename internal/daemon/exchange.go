package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/cluster"
	"limpethub/internal/dispatch"
	"limpethub/internal/membership"
	"limpethub/internal/peers"
	"limpethub/internal/peers/digest"
)

// exchangePeriod is the time between two digests.
const exchangePeriod = 250 * time.Millisecond

// demandSource counts this instance's demand per model.
type demandSource interface {
	// TakeDemand returns the demand since the last call.
	TakeDemand() (window time.Duration, demands []digest.ModelDemand)
	// ObserveDemand takes a peer's demand.
	ObserveDemand(d digest.Digest)
}

// exchange tells peers of this instance's load and demand, and takes theirs.
type exchange struct {
	instance   string
	dispatcher *dispatch.Dispatcher
	cluster    *cluster.Cluster
	demand     demandSource
	logger     *logrus.Entry
	sequence   uint64
}

var _ peers.Handler = (*exchange)(nil)

func newExchange(instance string, dispatcher *dispatch.Dispatcher, c *cluster.Cluster, transport peers.Transport, logger *logrus.Entry) *exchange {
	e := &exchange{instance: instance, dispatcher: dispatcher, cluster: c, logger: logger, sequence: uint64(time.Now().UnixNano())}
	transport.Handle(peers.KindDigest, e)
	c.OnChange(e.memberChanged)
	return e
}

// memberChanged drops what a dead peer last said of its load.
func (e *exchange) memberChanged(t membership.Transition) {
	if t.To == membership.Dead {
		e.dispatcher.ForgetRemote(t.Name)
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
		case <-ticker.C:
			e.send()
		}
	}
}

func (e *exchange) send() {
	e.sequence++
	d := digest.FromRemotes(e.instance, e.sequence, e.dispatcher.Digest())
	if e.demand != nil {
		window, demands := e.demand.TakeDemand()
		d.WindowMillis = window.Milliseconds()
		d.Demands = demands
		e.demand.ObserveDemand(d)
	}
	datagrams, err := d.Encode()
	if err != nil {
		e.logger.WithField("error", err.Error()).Error("digest not encoded")
		return
	}
	for _, payload := range datagrams {
		e.cluster.Broadcast(peers.KindDigest, payload)
	}
}

// HandleDatagram implements peers.Handler.
func (e *exchange) HandleDatagram(from string, payload []byte) {
	d, err := digest.Decode(payload)
	if err != nil || d.Instance != from {
		e.logger.WithField("peer", from).Warn("digest not understood")
		return
	}
	for _, remote := range d.Remotes() {
		e.dispatcher.ObserveRemote(remote)
	}
	if e.demand != nil {
		e.demand.ObserveDemand(d)
	}
}

// HandleCall implements peers.Handler. Digests use no calls.
func (e *exchange) HandleCall(context.Context, string, []byte) ([]byte, error) { return nil, nil }
