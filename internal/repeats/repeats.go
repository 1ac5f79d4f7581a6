// Package repeats keeps a non-idempotent request from running twice when its caller
// repeats it. It connects package atmostonce, which makes the decisions, to the network:
// it asks other instances for the outcome of earlier attempts and answers their questions.
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

// askTimeout limits the wait for a peer's answer to one question.
const askTimeout = 2 * time.Second

// Directory looks up the peer address of an instance.
type Directory interface {
	PeerAddress(instance string) (string, bool)
}

// Options holds the dependencies of a Guard.
type Options struct {
	Registry  *atmostonce.Registry
	Transport peers.Transport
	Directory Directory
	Logger    *logrus.Entry
	Now       func() time.Time
}

// Guard keeps non-idempotent requests from running twice. It serializes access to the
// registry, which isn't safe for concurrent use.
type Guard struct {
	options Options
	mu      sync.Mutex
}

var (
	_ gateway.Repeats = (*Guard)(nil)
	_ peers.Handler   = (*Guard)(nil)
)

// New creates a Guard and registers it as the transport's handler of peers.KindRepeat.
func New(options Options) *Guard {
	g := &Guard{options: options}
	options.Transport.Handle(peers.KindRepeat, g)
	return g
}

// Begin implements gateway.Repeats. The originHeader is the value of the caller's
// request.HeaderFirstInstance header. Begin doesn't hold the lock while it waits for a
// peer.
func (g *Guard) Begin(ctx context.Context, r request.Request, originHeader string) (gateway.Claim, error) {
	origin, err := atmostonce.ParseOrigin(originHeader)
	if err != nil {
		return nil, verdict.Refused(verdict.CodeBadRequest, "header %s: %v", request.HeaderFirstInstance, err)
	}
	step := g.withLock(func(registry *atmostonce.Registry) atmostonce.Step {
		return registry.Begin(g.options.Now(), r.ID, origin)
	})
	for step.Action == atmostonce.AskPeer {
		answer := g.ask(ctx, step)
		step = g.withLock(func(registry *atmostonce.Registry) atmostonce.Step {
			return registry.PeerAnswer(g.options.Now(), r.ID, answer)
		})
	}
	if step.Action == atmostonce.Run {
		return &claim{guard: g, id: r.ID}, nil
	}
	return nil, step.Err
}

func (g *Guard) withLock(f func(*atmostonce.Registry) atmostonce.Step) atmostonce.Step {
	g.mu.Lock()
	defer g.mu.Unlock()
	return f(g.options.Registry)
}

// ask sends a question to a peer. If that fails, the answer is CannotTell. The finding is logged
// as the number of its constant in package atmostonce; the logged verdict is meaningful only
// with the finding Ended.
func (g *Guard) ask(ctx context.Context, step atmostonce.Step) atmostonce.Answer {
	answer, err := g.call(ctx, step)
	if err != nil {
		g.options.Logger.WithFields(logrus.Fields{"request": step.Question.ID, "peer": step.Peer, "error": err.Error()}).Warn("outcome of earlier attempt unknown: asking the peer failed")
		return atmostonce.Answer{Finding: atmostonce.CannotTell}
	}
	g.options.Logger.WithFields(logrus.Fields{"request": step.Question.ID, "peer": step.Peer, "finding": answer.Finding, "verdict": answer.Verdict.String()}).Info("peer answered about earlier attempt")
	return answer
}

func (g *Guard) call(ctx context.Context, step atmostonce.Step) (atmostonce.Answer, error) {
	var answer atmostonce.Answer
	address, ok := g.options.Directory.PeerAddress(step.Peer)
	if !ok {
		return answer, fmt.Errorf("repeats: no peer address for instance %q", step.Peer)
	}
	question, err := cbor.Marshal(step.Question)
	if err != nil {
		return answer, fmt.Errorf("repeats: encode question: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	body, err := g.options.Transport.Call(ctx, address, peers.KindRepeat, question)
	if err != nil {
		return answer, fmt.Errorf("repeats: ask instance %s: %w", step.Peer, err)
	}
	if err := cbor.Unmarshal(body, &answer); err != nil {
		return answer, fmt.Errorf("repeats: decode answer: %w", err)
	}
	return answer, nil
}

// HandleCall implements peers.Handler. It answers a peer's question.
func (g *Guard) HandleCall(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var question atmostonce.Question
	if err := cbor.Unmarshal(payload, &question); err != nil {
		return nil, fmt.Errorf("repeats: decode question: %w", err)
	}
	g.mu.Lock()
	answer := g.options.Registry.AnswerPeer(g.options.Now(), question)
	g.mu.Unlock()
	return cbor.Marshal(answer)
}

// HandleDatagram implements peers.Handler. It ignores all datagrams, because questions
// are sent as calls.
func (g *Guard) HandleDatagram(string, []byte) {}

// claim is the right to run one request. It implements gateway.Claim.
type claim struct {
	guard *Guard
	id    request.ID
}

// End records the request's verdict.
func (c *claim) End(v verdict.Verdict) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.options.Registry.End(c.guard.options.Now(), c.id, v)
}
