package storecontact

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/discovery"
	"limpethub/internal/logging"
	"limpethub/internal/membership"
	"limpethub/internal/peers"
)

// slowPeers is a transport whose peers answer after a time, or not at all.
type slowPeers struct {
	peers.Transport
	handlers map[string]peers.Handler
	delay    map[string]time.Duration
}

func (p *slowPeers) Handle(peers.Kind, peers.Handler) {}

func (p *slowPeers) Call(ctx context.Context, address string, _ peers.Kind, payload []byte) ([]byte, error) {
	delay, known := p.delay[address]
	if !known {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(delay / 2)
	answer, err := p.handlers[address].HandleCall(ctx, "a", payload)
	time.Sleep(delay / 2)
	return answer, err
}

// TestDelayNeverMakesAContactCoverMore guards against a slow answer that is taken for a contact which lasted longer than it
// did, and against a question that waits for a silent peer.
func TestDelayNeverMakesAContactCoverMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		time.Sleep(10 * time.Second)
		told := discovery.Contact{Since: start.Add(2 * time.Second), Until: start.Add(9 * time.Second)}
		transport := &slowPeers{delay: map[string]time.Duration{"b:1": 300 * time.Millisecond}, handlers: map[string]peers.Handler{}}
		transport.handlers["b:1"] = New(Options{Transport: transport, Own: func() discovery.Contact { return told }})
		var members []membership.Member
		for _, name := range []string{"a", "b", "c"} {
			members = append(members, membership.Member{Identity: membership.Identity{Name: name, PeerAddress: name + ":1"}, State: membership.Dead})
		}
		asker := New(Options{
			Self: "a", Members: func() []membership.Member { return members }, Transport: transport, Logger: logging.Discard().WithField("part", "test"),
		})
		asked := time.Now()
		got := asker.Ask(t.Context())
		if len(got) != 1 || got[0].Since.Before(told.Since) || got[0].Until.After(told.Until) {
			t.Errorf("got %v, want one contact within %v", got, told)
		}
		if took := time.Since(asked); took > askTimeout {
			t.Errorf("asking took %v, want %v at most", took, askTimeout)
		}
	})
}

// TestMalformedContactIsRefused guards against an answer of a faulty peer that would cover any absence.
func TestMalformedContactIsRefused(t *testing.T) {
	millis := func(n int64) *int64 { return &n }
	now := time.Now()
	for _, a := range []answer{{millis(5), millis(-1)}, {millis(-5), millis(-6)}, {millis(1), millis(2)}} {
		if _, _, err := a.contact(now, now); !errors.Is(err, errMalformed) {
			t.Errorf("%v: error %v, want %v", fmt.Sprint(*a.SinceMillis, *a.UntilMillis), err, errMalformed)
		}
	}
	if _, ok, err := (answer{}).contact(now, now); ok || err != nil {
		t.Errorf("a peer without a contact: contact %v, error %v, want neither", ok, err)
	}
}
