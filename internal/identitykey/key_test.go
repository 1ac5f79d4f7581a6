package identitykey

import (
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/gossip"
	"limpethub/internal/logging"
	"limpethub/internal/request"
)

// newKeepers returns keepers whose facts reach all others, and a function that exchanges them until
// nothing new comes.
func newKeepers(n int) (keepers []*Keeper, exchange func()) {
	facts := make([][]gossip.Timed, n)
	for i := range n {
		keepers = append(keepers, New(func(f gossip.Timed) { facts[i] = append(facts[i], f) }, logging.Discard(), time.Now))
		time.Sleep(10 * time.Millisecond)
	}
	return keepers, func() {
		for more := true; more; {
			more = false
			for i := range keepers {
				told := facts[i]
				facts[i] = nil
				for _, f := range told {
					for j, other := range keepers {
						if joined, isNew := other.HandleFact(time.Now(), f); i != j && isNew {
							facts[j] = append(facts[j], joined)
							more = true
						}
					}
				}
			}
		}
	}
}

func identityOf(k *Keeper) request.Identity { return k.Hasher().Begin("GET", "/a").Identity() }

// TestAllInstancesGiveARequestTheSameIdentity guards against instances that don't recognize each other's
// requests, also where they reach the platform by different addresses or start without it.
func TestAllInstancesGiveARequestTheSameIdentity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keepers, exchange := newKeepers(5)
		for _, k := range keepers {
			k.Announce()
		}
		oldest := identityOf(keepers[0])
		exchange()
		for n, k := range keepers {
			if got := identityOf(k); got != oldest {
				t.Errorf("instance %d: got identity %v, want %v, by the oldest key", n, got, oldest)
			}
		}
	})
}

// TestRestartedInstanceChangesNoIdentity guards against an instance that hears of no other one when it
// starts, and whose new key makes all others forget what they know of requests.
func TestRestartedInstanceChangesNoIdentity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keepers, exchange := newKeepers(3)
		for _, k := range keepers {
			k.Announce()
		}
		exchange()
		before := identityOf(keepers[0])
		time.Sleep(time.Hour)
		var told []gossip.Timed
		started := New(func(f gossip.Timed) { told = append(told, f) }, logging.Discard(), time.Now)
		started.Announce()
		for _, f := range told {
			answer, isNew := keepers[1].HandleFact(time.Now(), f)
			if !isNew {
				t.Fatal("the instance with a newer key isn't told of the older one")
			}
			started.HandleFact(time.Now(), answer)
		}
		if got := identityOf(started); got != before || identityOf(keepers[1]) != before {
			t.Errorf("got identity %v from the one that started, %v from another one, want %v", got, identityOf(keepers[1]), before)
		}
	})
}

// TestMalformedKeysAreIgnored guards against a key that no instance has made.
func TestMalformedKeysAreIgnored(t *testing.T) {
	k := New(func(gossip.Timed) {}, logging.Discard(), time.Now)
	before := identityOf(k)
	for _, value := range [][]byte{nil, {0}, make([]byte, 31), make([]byte, 33)} {
		if _, isNew := k.HandleFact(time.Now(), gossip.Timed{Topic: gossip.TopicIdentityKey, Key: factKey, Value: value}); isNew || identityOf(k) != before {
			t.Errorf("a key of %d bytes was used", len(value))
		}
	}
}
