package cluster

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"limpethub/internal/gossip"
	"limpethub/internal/membership"
	"limpethub/internal/pause"
	"limpethub/internal/peers"
)

const (
	// messageReserveBytes is what the encoding of the facts' list adds to a message.
	messageReserveBytes = 8
	// fetchFactsTimeout limits the time that an instance which has just started takes to learn the
	// facts from another one before it serves, fetchFactsCallTimeout that of one call, so that a silent
	// peer leaves time to ask others. fetchFactsPause is the time between two tries.
	fetchFactsTimeout     = 800 * time.Millisecond
	fetchFactsCallTimeout = 250 * time.Millisecond
	fetchFactsPause       = 50 * time.Millisecond
	// completeFactsTimeout limits how long an instance goes on asking while it serves, until a peer has
	// answered that isn't still learning the facts itself, completeFactsCallTimeout limits one call, and
	// completeFactsPause is the time between two rounds.
	completeFactsTimeout     = 5 * time.Second
	completeFactsCallTimeout = 800 * time.Millisecond
	completeFactsPause       = 300 * time.Millisecond
	// maxPeersAsked is how many peers are asked for the facts in one round. When a whole fleet starts, all
	// of them are still learning.
	maxPeersAsked = 3
	// aloneAfter is how long after its start an instance that has found no other one takes itself for
	// the first.
	aloneAfter = 300 * time.Millisecond
)

// FactHandler joins a fact that a peer sent with what this instance knows. It returns the joined
// fact, and whether it says more than what was known, so that it has to be passed on. It must not
// block.
type FactHandler func(now time.Time, f gossip.Timed) (joined gossip.Timed, isNew bool)

// facts spreads the facts that belong to the fleet along with the membership messages.
type facts struct {
	mu       sync.Mutex
	spreader *gossip.Spreader
	handlers map[gossip.Topic]FactHandler
	// learned is true once a peer that had learned the facts has told them, or none was found in time.
	learned bool
}

// OnFact sets the handler of a topic. It must be called before Run.
func (c *Cluster) OnFact(topic gossip.Topic, handler FactHandler) {
	c.facts.mu.Lock()
	defer c.facts.mu.Unlock()
	c.facts.handlers[topic] = handler
}

// Publish spreads a fact that this instance has learned to all instances.
func (c *Cluster) Publish(f gossip.Timed) {
	c.facts.put(f)
	c.notifyIfDue()
}

func (f *facts) put(fact gossip.Timed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spreader.Put(fact)
}

// takeFacts returns the facts for a message with room for so many bytes.
func (c *Cluster) takeFacts(roomBytes int) []gossip.Fact {
	c.facts.mu.Lock()
	defer c.facts.mu.Unlock()
	return c.facts.spreader.Take(c.options.Now(), roomBytes)
}

// withFacts adds facts to an encoded message as far as there is room, and encodes it again.
func (c *Cluster) withFacts(message membership.Message, payload []byte) ([]byte, error) {
	message.Facts = c.takeFacts(peers.MaxDatagramBytes - len(payload) - messageReserveBytes)
	if len(message.Facts) == 0 {
		return payload, nil
	}
	return message.Encode()
}

// receiveFacts joins the facts of a peer with those known, and passes on what is new.
func (c *Cluster) receiveFacts(received []gossip.Fact) {
	now := c.options.Now()
	for _, f := range received {
		c.facts.mu.Lock()
		handler := c.facts.handlers[f.Topic]
		c.facts.mu.Unlock()
		if handler == nil {
			continue // A peer of a newer version sent it.
		}
		if joined, isNew := handler(now, f.Timed(now)); isNew {
			c.facts.put(joined)
		}
	}
	c.notifyIfDue()
}

// notifyIfDue sends messages that only carry facts if that is due.
func (c *Cluster) notifyIfDue() {
	c.facts.mu.Lock()
	due := c.facts.spreader.NotifyDue(c.options.Now())
	c.facts.mu.Unlock()
	if due {
		c.step(func(m *membership.Machine, now time.Time) []membership.OutgoingMessage { return m.Notify(now) })
	}
}

// FactsHandler answers the calls of instances that have just started, for peers.KindFacts.
func (c *Cluster) FactsHandler() peers.Handler { return factsHandler{c} }

type factsHandler struct{ cluster *Cluster }

// HandleDatagram implements peers.Handler. It does nothing: facts are sent with membership messages.
func (h factsHandler) HandleDatagram(string, []byte) {}

// HandleCall implements peers.Handler. It answers with all facts, and says so while there may be others that
// this instance has still to learn.
func (h factsHandler) HandleCall(context.Context, string, []byte) ([]byte, error) {
	f := &h.cluster.facts
	f.mu.Lock()
	defer f.mu.Unlock()
	now := h.cluster.options.Now()
	answer := f.spreader.All(now)
	if !f.learned {
		answer = append(answer, gossip.Timed{Topic: gossip.TopicStillLearning, At: now}.Fact(now))
	}
	data, err := cbor.Marshal(answer)
	if err != nil {
		return nil, fmt.Errorf("cluster: encode facts: %w", err)
	}
	return data, nil
}

// errNoPeer is the error of FetchFacts if there was no peer to ask.
var errNoPeer = errors.New("cluster: no other instance is known")

// errStillLearning is the error of a call to a peer that has answered, but is still learning the facts itself.
var errStillLearning = errors.New("cluster: the peer is still learning the facts")

// FetchFacts learns the facts that the fleet knows from one of the peers that are alive. It returns
// an error if none answered in time. CompleteFacts has to be called after it.
func (c *Cluster) FetchFacts(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fetchFactsTimeout)
	defer cancel()
	start := c.options.Now()
	for {
		err := c.fetchFactsFromAny(ctx, fetchFactsCallTimeout)
		switch {
		case err == nil, errors.Is(err, errStillLearning):
			return nil
		case errors.Is(err, errNoPeer) && c.options.Now().Sub(start) >= aloneAfter:
			return err
		case !pause.For(ctx, fetchFactsPause):
			return err
		}
	}
}

// CompleteFacts goes on asking peers, while this instance serves already, until one has answered that isn't still
// learning the facts itself. Facts that were spread before the start of this instance come with the heartbeats
// one by one: a crash of a server can arrive long before the proof that clears a part of a prompt of it.
func (c *Cluster) CompleteFacts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, completeFactsTimeout)
	defer cancel()
	for !c.factsLearned() {
		err := c.fetchFactsFromAny(ctx, completeFactsCallTimeout)
		if err != nil && !pause.For(ctx, completeFactsPause) {
			c.setFactsLearned() // Nobody else may know more.
		}
	}
}

func (c *Cluster) factsLearned() bool {
	c.facts.mu.Lock()
	defer c.facts.mu.Unlock()
	return c.facts.learned
}

func (c *Cluster) setFactsLearned() {
	c.facts.mu.Lock()
	defer c.facts.mu.Unlock()
	c.facts.learned = true
}

// fetchFactsFromAny asks up to maxPeersAsked of the peers that are alive, one after the other, until one has answered
// that isn't still learning the facts itself. Its error is errStillLearning if only others have answered.
func (c *Cluster) fetchFactsFromAny(ctx context.Context, callTimeout time.Duration) error {
	result := errNoPeer
	asked := c.reachablePeers()
	for _, peer := range asked[:min(len(asked), maxPeersAsked)] {
		err := c.fetchFactsFrom(ctx, peer.PeerAddress, callTimeout)
		if err == nil {
			c.setFactsLearned()
			return nil
		}
		if !errors.Is(result, errStillLearning) {
			result = err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return result
}

// fetchFactsFrom learns what one peer knows. Its error is errStillLearning if that may not be all.
func (c *Cluster) fetchFactsFrom(ctx context.Context, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := c.options.Transport.Call(ctx, address, peers.KindFacts, nil)
	if err != nil {
		return fmt.Errorf("cluster: fetch facts: %w", err)
	}
	var received []gossip.Fact
	if err := cbor.Unmarshal(answer, &received); err != nil {
		return fmt.Errorf("cluster: decode facts: %w", err)
	}
	stillLearning := false
	for _, f := range received {
		if !f.Valid() {
			return errors.New("cluster: a fact exceeds the limits")
		}
		stillLearning = stillLearning || f.Topic == gossip.TopicStillLearning
	}
	c.receiveFacts(received)
	if stillLearning {
		return errStillLearning
	}
	return nil
}
