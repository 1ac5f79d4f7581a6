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

// fetchRequest asks a peer for its configuration if it is newer.
type fetchRequest struct {
	// Have is the revision that the asker holds.
	Have uint64 `cbor:"1,keyasint"`
	// RevisionOnly asks for no body.
	RevisionOnly bool `cbor:"2,keyasint,omitempty"`
}

// fetchReply is a peer's answer.
type fetchReply struct {
	// Revision is what the peer has in force; 0 means nothing yet.
	Revision uint64 `cbor:"1,keyasint"`
	// Value is the stored form, when asked for and newer.
	Value []byte `cbor:"2,keyasint,omitempty"`
}

// HandleDatagram implements peers.Handler. Configuration has no datagrams: the
// revision travels with heartbeats.
func (s *Sync) HandleDatagram(string, []byte) {}

// HandleCall implements peers.Handler: it answers with the configuration held.
func (s *Sync) HandleCall(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var request fetchRequest
	if err := cbor.Unmarshal(payload, &request); err != nil {
		return nil, fmt.Errorf("confsync: decode request: %w", err)
	}
	s.mu.Lock()
	reply := fetchReply{Revision: s.held.Accepted.Revision}
	if !request.RevisionOnly && reply.Revision > request.Have {
		reply.Value = s.value
	}
	s.mu.Unlock()
	data, err := cbor.Marshal(reply)
	if err != nil {
		return nil, fmt.Errorf("confsync: encode reply: %w", err)
	}
	return data, nil
}

// fetch gets a newer configuration from a peer.
func (s *Sync) fetch(ctx context.Context, peer string) error {
	member, ok := s.options.Members.Member(peer)
	if !ok {
		return fmt.Errorf("confsync: peer %s is unknown", peer)
	}
	reply, err := s.ask(ctx, member, fetchRequest{Have: s.heldRevision()})
	if err != nil {
		return err
	}
	if len(reply.Value) == 0 {
		if s.heldRevision() >= reply.Revision {
			return nil
		}
		return errors.New("confsync: peer sent no configuration")
	}
	stored, err := Decode(reply.Value)
	if err != nil {
		return err
	}
	s.offer("peer "+peer, stored, reply.Value)
	return nil
}

func (s *Sync) heldRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spread.Held()
}

func (s *Sync) ask(ctx context.Context, member membership.Member, request fetchRequest) (fetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	payload, err := cbor.Marshal(request)
	if err != nil {
		return fetchReply{}, fmt.Errorf("confsync: encode request: %w", err)
	}
	data, err := s.options.Transport.Call(ctx, member.PeerAddress, peers.KindConfiguration, payload)
	if err != nil {
		return fetchReply{}, fmt.Errorf("confsync: ask %s: %w", member.Name, err)
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
	// Revision is 0 while the instance has no configuration, or when Error is set.
	Revision uint64 `json:"revision"`
	// Error says why the instance could not be asked.
	Error string `json:"error,omitempty"`
}

// maxAsks is how many instances are asked at once.
const maxAsks = 16

// Revisions asks all instances that aren't dead for the revision in force.
func (s *Sync) Revisions(ctx context.Context) []InstanceRevision {
	var mu sync.Mutex
	out := []InstanceRevision{{Instance: s.options.Members.Self(), Revision: s.heldRevision()}}
	var group errgroup.Group
	group.SetLimit(maxAsks)
	for _, member := range s.options.Members.Members() {
		if member.Name == s.options.Members.Self() || !member.Reachable() {
			continue
		}
		group.Go(func() error {
			answer := InstanceRevision{Instance: member.Name}
			reply, err := s.ask(ctx, member, fetchRequest{RevisionOnly: true})
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
