package storecontact

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

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
		transport.handlers["b:1"] = New(Options{Transport: transport, Known: func() []discovery.Contact { return []discovery.Contact{told} }})
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
	for _, a := range []answer{
		{SinceMillis: millis(5), UntilMillis: millis(-1)}, {SinceMillis: millis(-5), UntilMillis: millis(-6)},
		{SinceMillis: millis(1), UntilMillis: millis(2)},
		{Contacts: []contactAges{{SinceMillis: 5, UntilMillis: -1}}}, {Contacts: []contactAges{{SinceMillis: -5, UntilMillis: -6}}},
		{Contacts: []contactAges{{SinceMillis: 9, UntilMillis: 8}, {SinceMillis: 1, UntilMillis: 2}}},
		{Contacts: make([]contactAges, discovery.MaxContacts+1)},
	} {
		if _, err := a.contacts(now, now); !errors.Is(err, errMalformed) {
			t.Errorf("%+v: error %v, want %v", a, err, errMalformed)
		}
	}
	if got, err := (answer{}).contacts(now, now); len(got) > 0 || err != nil {
		t.Errorf("a peer without a contact: contacts %v, error %v, want neither", got, err)
	}
}

// earlierAnswer is an answer as an earlier build sends and reads it.
type earlierAnswer struct {
	SinceMillis *int64 `cbor:"1,keyasint,omitempty"`
	UntilMillis *int64 `cbor:"2,keyasint,omitempty"`
}

// TestContactsPassBetweenBuilds guards against an upgrade during which instances of two builds can't tell each other when the
// store was in service.
func TestContactsPassBetweenBuilds(t *testing.T) {
	now := time.Now()
	ago := func(seconds int) time.Time { return now.Add(-time.Duration(seconds) * time.Second) }
	known := []discovery.Contact{{Since: ago(60), Until: ago(40)}, {Since: ago(30), Until: ago(1)}}
	data, err := cbor.Marshal(answerOf(now, known))
	if err != nil {
		t.Fatal(err)
	}
	var earlier earlierAnswer
	if err := cbor.Unmarshal(data, &earlier); err != nil || *earlier.SinceMillis != 30_000 || *earlier.UntilMillis != 1000 {
		t.Errorf("an earlier build reads %+v, error %v, want the latest contact", earlier, err)
	}
	var current answer
	if err := cbor.Unmarshal(data, &current); err != nil {
		t.Fatal(err)
	}
	if got, err := current.contacts(now, now); err != nil || !slices.Equal(got, known) {
		t.Errorf("got %v, error %v, want %v", got, err, known)
	}
	if data, err = cbor.Marshal(earlier); err != nil {
		t.Fatal(err)
	}
	current = answer{}
	if err := cbor.Unmarshal(data, &current); err != nil {
		t.Fatal(err)
	}
	if got, err := current.contacts(now, now); err != nil || !slices.Equal(got, known[1:]) {
		t.Errorf("of an earlier build: got %v, error %v, want %v", got, err, known[1:])
	}
}
