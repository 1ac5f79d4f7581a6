package confsync

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"limpethub/internal/membership"
	"limpethub/internal/peers"
)

// fetchRequest asks a peer for its configuration if that is newer.
type fetchRequest struct {
	// Have is the revision that the requesting instance holds.
	Have uint64 `cbor:"1,keyasint"`
	// RevisionOnly asks for the revision without the configuration.
	RevisionOnly bool `cbor:"2,keyasint,omitempty"`
}

// fetchReply is a peer's reply to a fetchRequest.
type fetchReply struct {
	// Revision is the revision in force on the peer; 0 means none.
	Revision uint64 `cbor:"1,keyasint"`
	// Value is the stored form, if it was asked for and is newer.
	Value []byte `cbor:"2,keyasint,omitempty"`
}

// HandleDatagram implements peers.Handler. It does nothing: revisions are sent with
// membership messages, so that configuration needs no datagrams.
func (s *Sync) HandleDatagram(string, []byte) {}

// HandleCall implements peers.Handler. It answers with the configuration that
// this instance holds, if that is newer and was asked for, and with its revision.
func (s *Sync) HandleCall(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var request fetchRequest
	if err := cbor.Unmarshal(payload, &request); err != nil {
		return nil, fmt.Errorf("confsync: decode request: %w", err)
	}
	s.mu.Lock()
	reply := fetchReply{Revision: s.held.Accepted.Revision}
	if !request.RevisionOnly && reply.Revision > request.Have {
		reply.Value = s.heldValue
	}
	s.mu.Unlock()
	data, err := cbor.Marshal(reply)
	if err != nil {
		return nil, fmt.Errorf("confsync: encode reply: %w", err)
	}
	return data, nil
}

// fetch requests a newer configuration from a peer and puts it in force.
func (s *Sync) fetch(ctx context.Context, peer string) error {
	member, ok := s.options.Members.Member(peer)
	if !ok {
		return fmt.Errorf("confsync: peer %s is unknown", peer)
	}
	reply, err := s.callPeer(ctx, member, fetchRequest{Have: s.heldRevision()})
	if err != nil {
		return err
	}
	if len(reply.Value) == 0 {
		// The revision may have arrived from elsewhere during the call.
		if s.heldRevision() >= reply.Revision {
			return nil
		}
		return errors.New("confsync: peer sent a newer revision without its configuration")
	}
	stored, err := Decode(reply.Value)
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.planner.Undecodable(reply.Revision)
		return err
	}
	s.offer("peer "+peer, stored, reply.Value)
	return nil
}

// heldRevision returns the revision in force; 0 means none.
func (s *Sync) heldRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.Held()
}

func (s *Sync) callPeer(ctx context.Context, member membership.Member, request fetchRequest) (fetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	payload, err := cbor.Marshal(request)
	if err != nil {
		return fetchReply{}, fmt.Errorf("confsync: encode request: %w", err)
	}
	data, err := s.options.Transport.Call(ctx, member.PeerAddress, peers.KindConfiguration, payload)
	if err != nil {
		return fetchReply{}, fmt.Errorf("confsync: call %s: %w", member.Name, err)
	}
	var reply fetchReply
	if err := cbor.Unmarshal(data, &reply); err != nil {
		return fetchReply{}, fmt.Errorf("confsync: decode reply of %s: %w", member.Name, err)
	}
	return reply, nil
}

// InstanceRevision is the configuration revision in force on one instance.
type InstanceRevision struct {
	Instance string `json:"instance"`
	// Revision is 0 while the instance has no configuration or if Error is set.
	Revision uint64 `json:"revision"`
	// Error is the reason why the instance didn't answer.
	Error string `json:"error,omitempty"`
}

// maxConcurrentCalls limits how many instances Revisions calls at the same time.
const maxConcurrentCalls = 16

// Revisions returns the revision in force on each instance that isn't dead, sorted by
// instance name.
func (s *Sync) Revisions(ctx context.Context) []InstanceRevision {
	var mu sync.Mutex
	out := []InstanceRevision{{Instance: s.options.Members.Self(), Revision: s.heldRevision()}}
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, member := range s.options.Members.Members() {
		if member.Name == s.options.Members.Self() || !member.Reachable() {
			continue
		}
		group.Go(func() error {
			answer := InstanceRevision{Instance: member.Name}
			reply, err := s.callPeer(ctx, member, fetchRequest{RevisionOnly: true})
			if err != nil {
				answer.Error = err.Error()
			}
			answer.Revision = reply.Revision
			mu.Lock()
			defer mu.Unlock()
			out = append(out, answer)
			return nil
		})
	}
	_ = group.Wait()
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}
