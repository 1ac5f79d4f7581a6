// Package repeats is the shell around atmostonce: it asks other instances what became
// of earlier attempts, and answers their questions.
package repeats

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"limpethub/internal/atmostonce"
	"limpethub/internal/gateway"
	"limpethub/internal/peers"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// askTimeout bounds one question to a peer.
const askTimeout = 2 * time.Second

// Directory finds the peer address of an instance.
type Directory interface {
	PeerAddress(instance string) (string, bool)
}

// Options are the parts that a Guard works with.
type Options struct {
	Registry  *atmostonce.Registry
	Transport peers.Transport
	Directory Directory
	Logger    *logrus.Entry
	Now       func() time.Time
}

// Guard keeps non-idempotent requests from running twice.
type Guard struct {
	options Options
	mu      sync.Mutex
}

var (
	_ gateway.Repeats = (*Guard)(nil)
	_ peers.Handler   = (*Guard)(nil)
)

// New makes a Guard and sets it as the transport's handler of repeats.
func New(options Options) *Guard {
	g := &Guard{options: options}
	options.Transport.Handle(peers.KindRepeat, g)
	return g
}

// Begin implements gateway.Repeats.
func (g *Guard) Begin(ctx context.Context, r request.Request, first string) (gateway.Claim, error) {
	origin, err := atmostonce.ParseOrigin(first)
	if err != nil {
		return nil, verdict.Refused(verdict.CodeBadRequest, "header %s: %v", request.HeaderFirstInstance, err)
	}
	step := g.locked(func(registry *atmostonce.Registry) atmostonce.Step {
		return registry.Begin(g.options.Now(), r.ID, origin)
	})
	for step.Action == atmostonce.AskPeer {
		answer := g.ask(ctx, step)
		step = g.locked(func(registry *atmostonce.Registry) atmostonce.Step {
			return registry.PeerAnswer(g.options.Now(), r.ID, answer)
		})
	}
	if step.Action == atmostonce.Run {
		return &claim{guard: g, id: r.ID}, nil
	}
	return nil, step.Err
}

func (g *Guard) locked(f func(*atmostonce.Registry) atmostonce.Step) atmostonce.Step {
	g.mu.Lock()
	defer g.mu.Unlock()
	return f(g.options.Registry)
}

// ask puts a question to a peer. No answer counts as CannotTell.
func (g *Guard) ask(ctx context.Context, step atmostonce.Step) atmostonce.Answer {
	answer, err := g.call(ctx, step)
	if err != nil {
		g.options.Logger.WithFields(logrus.Fields{"request": step.Question.ID, "peer": step.Peer, "error": err.Error()}).Warn("earlier attempt unclear")
		return atmostonce.Answer{Finding: atmostonce.CannotTell}
	}
	g.options.Logger.WithFields(logrus.Fields{"request": step.Question.ID, "peer": step.Peer, "finding": answer.Finding, "verdict": answer.Verdict.String()}).Info("earlier attempt asked")
	return answer
}

func (g *Guard) call(ctx context.Context, step atmostonce.Step) (atmostonce.Answer, error) {
	var answer atmostonce.Answer
	address, ok := g.options.Directory.PeerAddress(step.Peer)
	if !ok {
		return answer, fmt.Errorf("repeats: instance %q is not known", step.Peer)
	}
	question, err := cbor.Marshal(step.Question)
	if err != nil {
		return answer, fmt.Errorf("repeats: encode question: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	body, err := g.options.Transport.Call(ctx, address, peers.KindRepeat, question)
	if err != nil {
		return answer, fmt.Errorf("repeats: ask %s: %w", step.Peer, err)
	}
	if err := cbor.Unmarshal(body, &answer); err != nil {
		return answer, fmt.Errorf("repeats: decode answer: %w", err)
	}
	return answer, nil
}

// HandleCall implements peers.Handler: it answers a peer's question.
func (g *Guard) HandleCall(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var question atmostonce.Question
	if err := cbor.Unmarshal(payload, &question); err != nil {
		return nil, fmt.Errorf("repeats: decode question: %w", err)
	}
	g.mu.Lock()
	answer := g.options.Registry.Bar(g.options.Now(), question)
	g.mu.Unlock()
	return cbor.Marshal(answer)
}

// HandleDatagram implements peers.Handler. Repeats use no datagrams.
func (g *Guard) HandleDatagram(string, []byte) {}

// claim is the right to run one request.
type claim struct {
	guard *Guard
	id    request.ID
}

// End implements gateway.Claim.
func (c *claim) End(v verdict.Verdict) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.options.Registry.End(c.guard.options.Now(), c.id, v)
}
