// Package storecontact asks other instances from when until when they have read the key-value store, so that an
// instance which didn't reach the store can tell whether the store was away.
package storecontact

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"limpethub/internal/discovery"
	"limpethub/internal/membership"
	"limpethub/internal/peers"
)

const (
	// askedPeers is how many instances are asked at the same time.
	askedPeers = 3
	// askTimeout limits the time of a question.
	askTimeout = 400 * time.Millisecond
)

var errMalformed = errors.New("storecontact: malformed answer: a negative age, or a contact that ended before it began")

// Options configures an Asker.
type Options struct {
	// Self is the name of this instance, and Members returns all.
	Self    string
	Members func() []membership.Member
	// Transport carries the questions. New registers the handler for KindContact.
	Transport peers.Transport
	// Own returns this instance's contact with the store.
	Own    func() discovery.Contact
	Logger *logrus.Entry
}

// Asker asks other instances for their contact with the store, and answers their questions. It is safe for
// concurrent use.
type Asker struct{ options Options }

// New makes an Asker and registers it as the transport's handler of peers.KindContact.
func New(options Options) *Asker {
	a := &Asker{options: options}
	options.Transport.Handle(peers.KindContact, a)
	return a
}

// answer tells a contact by its ages. Instances of different versions exchange it, so the numbers may not
// change or be used again. Without a contact, both are nil.
type answer struct {
	// SinceMillis is how long ago the contact began, UntilMillis how long ago the last read succeeded.
	SinceMillis *int64 `cbor:"1,keyasint,omitempty"`
	UntilMillis *int64 `cbor:"2,keyasint,omitempty"`
}

func answerOf(now time.Time, c discovery.Contact) answer {
	if c.Until.IsZero() {
		return answer{}
	}
	since, until := now.Sub(c.Since).Milliseconds(), now.Sub(c.Until).Milliseconds()
	return answer{SinceMillis: &since, UntilMillis: &until}
}

// contact converts an answer to times of this instance. A delay on the way makes the contact shorter,
// never longer. ok is false if the peer has had none.
func (a answer) contact(sentAt, receivedAt time.Time) (c discovery.Contact, ok bool, err error) {
	if a.SinceMillis == nil || a.UntilMillis == nil {
		return discovery.Contact{}, false, nil
	}
	if *a.UntilMillis < 0 || *a.SinceMillis < *a.UntilMillis {
		return discovery.Contact{}, false, errMalformed
	}
	c.Since = receivedAt.Add(-time.Duration(*a.SinceMillis) * time.Millisecond)
	c.Until = sentAt.Add(-time.Duration(*a.UntilMillis) * time.Millisecond)
	return c, true, nil
}

// Ask asks some instances, drawn at random, and returns the contacts of those that have answered within
// askTimeout.
func (a *Asker) Ask(ctx context.Context) []discovery.Contact {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var mu sync.Mutex
	var out []discovery.Contact
	var calls sync.WaitGroup
	for _, peer := range a.draw() {
		calls.Go(func() {
			c, ok, err := a.askOne(ctx, peer.PeerAddress)
			if err != nil {
				a.options.Logger.WithField("peer", peer.Name).WithError(err).Debug("A peer didn't tell its contact with the store")
				return
			}
			if ok {
				mu.Lock()
				defer mu.Unlock()
				out = append(out, c)
			}
		})
	}
	calls.Wait()
	return out
}

// draw returns up to askedPeers other instances. Those that count as dead are asked too, after the others: right
// after a cut, an instance takes all others for dead.
func (a *Asker) draw() []membership.Member {
	var reachable, dead []membership.Member
	for _, m := range a.options.Members() {
		switch {
		case m.Name == a.options.Self:
		case m.Reachable():
			reachable = append(reachable, m)
		default:
			dead = append(dead, m)
		}
	}
	for _, group := range [][]membership.Member{reachable, dead} {
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	all := append(reachable, dead...)
	return all[:min(askedPeers, len(all))]
}

func (a *Asker) askOne(ctx context.Context, address string) (c discovery.Contact, ok bool, err error) {
	sentAt := time.Now()
	body, err := a.options.Transport.Call(ctx, address, peers.KindContact, nil)
	if err != nil {
		return discovery.Contact{}, false, fmt.Errorf("storecontact: ask: %w", err)
	}
	var said answer
	if err := cbor.Unmarshal(body, &said); err != nil {
		return discovery.Contact{}, false, fmt.Errorf("storecontact: decode answer: %w", err)
	}
	return said.contact(sentAt, time.Now())
}

// HandleDatagram implements peers.Handler. It does nothing: questions are calls.
func (a *Asker) HandleDatagram(string, []byte) {}

// HandleCall implements peers.Handler. It answers with this instance's contact.
func (a *Asker) HandleCall(context.Context, string, []byte) ([]byte, error) {
	data, err := cbor.Marshal(answerOf(time.Now(), a.options.Own()))
	if err != nil {
		return nil, fmt.Errorf("storecontact: encode answer: %w", err)
	}
	return data, nil
}
