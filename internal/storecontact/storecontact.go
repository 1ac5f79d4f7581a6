// Package storecontact asks other instances when the key-value store was in service, by their own reads and by what they were
// told, so that an instance which didn't reach the store can tell whether the store was away.
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

var errMalformed = errors.New("storecontact: malformed answer: a negative age, a contact that ended before it began, or too many contacts")

// Options configures an Asker.
type Options struct {
	// Self is the name of this instance, and Members returns all.
	Self    string
	Members func() []membership.Member
	// Transport carries the questions. New registers the handler for KindContact.
	Transport peers.Transport
	// Known returns the times in which the store is known here to have been in service, in ascending order.
	Known  func() []discovery.Contact
	Logger *logrus.Entry
}

// Asker asks other instances when the store was in service, and answers their questions. It is safe for
// concurrent use.
type Asker struct{ options Options }

// New makes an Asker and registers it as the transport's handler of peers.KindContact.
func New(options Options) *Asker {
	a := &Asker{options: options}
	options.Transport.Handle(peers.KindContact, a)
	return a
}

// answer tells contacts by their ages. Instances of different versions exchange it, so the numbers may not
// change or be used again.
type answer struct {
	// SinceMillis and UntilMillis are the ages of the latest contact, which is all that earlier versions tell and
	// read. Without a contact, both are nil.
	SinceMillis *int64 `cbor:"1,keyasint,omitempty"`
	UntilMillis *int64 `cbor:"2,keyasint,omitempty"`
	// Contacts are all contacts. Earlier versions don't send them.
	Contacts []contactAges `cbor:"3,keyasint,omitempty"`
}

// contactAges is how long ago a contact began and ended.
type contactAges struct {
	_           struct{} `cbor:",toarray"`
	SinceMillis int64
	UntilMillis int64
}

// agesOf returns the ages of a contact, rounded so that it gets shorter.
func agesOf(now time.Time, c discovery.Contact) contactAges {
	return contactAges{
		SinceMillis: now.Sub(c.Since).Milliseconds(),
		UntilMillis: (now.Sub(c.Until) + time.Millisecond - 1).Milliseconds(),
	}
}

func answerOf(now time.Time, known []discovery.Contact) (out answer) {
	for _, c := range known {
		if ages := agesOf(now, c); ages.isValid() {
			out.Contacts = append(out.Contacts, ages)
		}
	}
	if n := len(out.Contacts); n > 0 {
		latest := out.Contacts[n-1]
		out.SinceMillis, out.UntilMillis = &latest.SinceMillis, &latest.UntilMillis
	}
	return out
}

func (c contactAges) isValid() bool { return c.UntilMillis >= 0 && c.SinceMillis >= c.UntilMillis }

// contacts converts an answer to times of this instance. A delay on the way makes a contact shorter, never longer;
// one of which nothing is left is omitted.
func (a answer) contacts(sentAt, receivedAt time.Time) (out []discovery.Contact, err error) {
	told := a.Contacts
	if len(told) == 0 && a.SinceMillis != nil && a.UntilMillis != nil {
		told = []contactAges{{SinceMillis: *a.SinceMillis, UntilMillis: *a.UntilMillis}}
	}
	if len(told) > discovery.MaxContacts {
		return nil, errMalformed
	}
	for _, ages := range told {
		if !ages.isValid() {
			return nil, errMalformed
		}
		c := discovery.Contact{
			Since: receivedAt.Add(-time.Duration(ages.SinceMillis) * time.Millisecond),
			Until: sentAt.Add(-time.Duration(ages.UntilMillis) * time.Millisecond),
		}
		if !c.Until.Before(c.Since) {
			out = append(out, c)
		}
	}
	return out, nil
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
			told, err := a.askOne(ctx, peer.PeerAddress)
			if err != nil {
				a.options.Logger.WithField("peer", peer.Name).WithError(err).Debug("A peer didn't tell its contact with the store")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, told...)
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

func (a *Asker) askOne(ctx context.Context, address string) ([]discovery.Contact, error) {
	sentAt := time.Now()
	body, err := a.options.Transport.Call(ctx, address, peers.KindContact, nil)
	if err != nil {
		return nil, fmt.Errorf("storecontact: ask: %w", err)
	}
	receivedAt := time.Now()
	var said answer
	if err := cbor.Unmarshal(body, &said); err != nil {
		return nil, fmt.Errorf("storecontact: decode answer: %w", err)
	}
	return said.contacts(sentAt, receivedAt)
}

// HandleDatagram implements peers.Handler. It does nothing: questions are calls.
func (a *Asker) HandleDatagram(string, []byte) {}

// HandleCall implements peers.Handler. It answers with the contacts that are known here.
func (a *Asker) HandleCall(context.Context, string, []byte) ([]byte, error) {
	data, err := cbor.Marshal(answerOf(time.Now(), a.options.Known()))
	if err != nil {
		return nil, fmt.Errorf("storecontact: encode answer: %w", err)
	}
	return data, nil
}
