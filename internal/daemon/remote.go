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

// remoteTimeout limits a call to another instance on an operator's behalf. In this file,
// "remote" stands for such calls.
const remoteTimeout = 2 * time.Second

// The messages below are calls of peers.KindStatus, which carries all calls on an operator's
// behalf, also the request for a drain. Instances of different versions exchange them, so the
// values of remoteAction and the numbers of the CBOR keys may not change or be used again.

// remoteAction is what one instance asks another to do on an operator's behalf.
type remoteAction uint8

const (
	remoteDrain remoteAction = iota + 1
	remoteSnapshot
	remoteExplain
)

// remoteRequest asks another instance for an action.
type remoteRequest struct {
	Action remoteAction `cbor:"1,keyasint"`
	// Ref is the version to explain. It is empty for other actions.
	Ref modelref.Ref `cbor:"2,keyasint,omitempty"`
}

// remoteReply answers a remoteRequest. Only the field for the requested action is set.
type remoteReply struct {
	Snapshot    placer.Snapshot    `cbor:"1,keyasint,omitempty"`
	Explanation placer.Explanation `cbor:"2,keyasint,omitempty"`
}

// remoteHandler handles the calls that other instances make on an operator's behalf.
type remoteHandler struct{ daemon *Daemon }

var _ peers.Handler = (*remoteHandler)(nil)

// HandleDatagram implements peers.Handler. Messages of this kind are sent as calls only.
func (h *remoteHandler) HandleDatagram(string, []byte) {}

func (h *remoteHandler) HandleCall(_ context.Context, from string, payload []byte) ([]byte, error) {
	var request remoteRequest
	if err := cbor.Unmarshal(payload, &request); err != nil {
		return nil, fmt.Errorf("daemon: decode request: %w", err)
	}
	d := h.daemon
	var reply remoteReply
	switch request.Action {
	case remoteDrain:
		d.log(logging.Operator).WithField("peer", from).Info("Drain requested by an operator through another instance")
		d.startDrain()
	case remoteSnapshot:
		reply.Snapshot = d.placer.Snapshot()
	case remoteExplain:
		reply.Explanation, _ = d.placer.Explain(request.Ref)
	default:
		return nil, fmt.Errorf("daemon: unknown request %d", request.Action)
	}
	return cbor.Marshal(reply)
}

// startDrain starts a drain in the background.
func (d *Daemon) startDrain() {
	go func() { _ = d.Drain(context.Background()) }()
}

// callInstance sends a request to another instance and returns its reply.
func (d *Daemon) callInstance(ctx context.Context, instance string, request remoteRequest) (remoteReply, error) {
	var reply remoteReply
	address, ok := (&peerAddresses{cluster: d.cluster}).PeerAddress(instance)
	if !ok {
		return reply, &operatorapi.NotFoundError{Kind: "instance", Name: instance}
	}
	payload, err := cbor.Marshal(request)
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

// placementSnapshot returns the placement holder's snapshot, or this instance's own if the
// holder is unknown or doesn't answer.
func (d *Daemon) placementSnapshot(ctx context.Context) placer.Snapshot {
	own := d.placer.Snapshot()
	holder := d.placementHolder()
	if own.Lease.Holding || holder == "" || holder == d.settings.Instance {
		return own
	}
	reply, err := d.callInstance(ctx, holder, remoteRequest{Action: remoteSnapshot})
	if err != nil {
		return own
	}
	return reply.Snapshot
}

// placementExplanation returns the placement holder's explanation of a version, or this
// instance's own if the holder is unknown or doesn't answer.
func (d *Daemon) placementExplanation(ctx context.Context, ref modelref.Ref) placer.Explanation {
	own, _ := d.placer.Explain(ref)
	if own.Holding || own.Holder == "" {
		return own
	}
	reply, err := d.callInstance(ctx, d.placementHolder(), remoteRequest{Action: remoteExplain, Ref: ref})
	if err != nil {
		return own
	}
	return reply.Explanation
}
