package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"limpethub/internal/logging"
	"limpethub/internal/modelref"
	"limpethub/internal/operatorapi"
	"limpethub/internal/peers"
	"limpethub/internal/placer"
)

// remoteTimeout bounds a question to another instance on an operator's behalf.
const remoteTimeout = 2 * time.Second

// remoteAction says what one instance asks of another on an operator's behalf.
type remoteAction uint8

const (
	remoteDrain remoteAction = iota + 1
	remoteSnapshot
	remoteExplain
)

// remoteRequest is a message of peers.KindStatus.
type remoteRequest struct {
	Action remoteAction `cbor:"1,keyasint"`
	// Ref is the version to explain.
	Ref modelref.Ref `cbor:"2,keyasint,omitempty"`
}

// remoteReply answers a remoteRequest.
type remoteReply struct {
	Snapshot    placer.Snapshot    `cbor:"1,keyasint,omitempty"`
	Explanation placer.Explanation `cbor:"2,keyasint,omitempty"`
}

// remoteHandler answers other instances.
type remoteHandler struct{ daemon *Daemon }

var _ peers.Handler = (*remoteHandler)(nil)

// HandleDatagram implements peers.Handler. Status uses no datagrams.
func (h *remoteHandler) HandleDatagram(string, []byte) {}

// HandleCall implements peers.Handler.
func (h *remoteHandler) HandleCall(_ context.Context, from string, payload []byte) ([]byte, error) {
	var asked remoteRequest
	if err := cbor.Unmarshal(payload, &asked); err != nil {
		return nil, fmt.Errorf("daemon: decode request: %w", err)
	}
	d := h.daemon
	var reply remoteReply
	switch asked.Action {
	case remoteDrain:
		d.log(logging.Operator).WithField("peer", from).Info("drain asked for")
		d.startDrain()
	case remoteSnapshot:
		reply.Snapshot = d.placer.Snapshot()
	case remoteExplain:
		reply.Explanation, _ = d.placer.Explain(asked.Ref)
	default:
		return nil, fmt.Errorf("daemon: unknown request %d", asked.Action)
	}
	return cbor.Marshal(reply)
}

// startDrain begins the planned stop in the background.
func (d *Daemon) startDrain() {
	go func() { _ = d.Drain(context.Background()) }()
}

// askInstance puts a request to another instance.
func (d *Daemon) askInstance(ctx context.Context, instance string, asked remoteRequest) (remoteReply, error) {
	var reply remoteReply
	address, ok := (&peerDirectory{cluster: d.cluster}).PeerAddress(instance)
	if !ok {
		return reply, &operatorapi.NotFoundError{Kind: "instance", Name: instance}
	}
	payload, err := cbor.Marshal(asked)
	if err != nil {
		return reply, fmt.Errorf("daemon: encode request: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	body, err := d.plugins.peers.Call(ctx, address, peers.KindStatus, payload)
	if err != nil {
		return reply, &operatorapi.UnavailableError{Reason: fmt.Sprintf("instance %s does not answer: %v", instance, err)}
	}
	if err := cbor.Unmarshal(body, &reply); err != nil {
		return reply, fmt.Errorf("daemon: decode reply: %w", err)
	}
	return reply, nil
}

// placementSnapshot is the holder's snapshot, or this instance's own if the holder
// can't be asked.
func (d *Daemon) placementSnapshot(ctx context.Context) placer.Snapshot {
	own := d.placer.Snapshot()
	holder := d.placementHolder()
	if own.Lease.Holding || holder == "" || holder == d.settings.Instance {
		return own
	}
	reply, err := d.askInstance(ctx, holder, remoteRequest{Action: remoteSnapshot})
	if err != nil {
		return own
	}
	return reply.Snapshot
}

// placementExplanation is the holder's explanation of a version, or this instance's own.
func (d *Daemon) placementExplanation(ctx context.Context, ref modelref.Ref) placer.Explanation {
	own, _ := d.placer.Explain(ref)
	if own.Holding || own.Holder == "" {
		return own
	}
	reply, err := d.askInstance(ctx, d.placementHolder(), remoteRequest{Action: remoteExplain, Ref: ref})
	if err != nil {
		return own
	}
	return reply.Explanation
}
