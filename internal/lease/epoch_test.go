package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethub/internal/store"
)

// restorableKey is the lease key of a store that can come back from an older copy of itself. Its
// counts are then given out again.
type restorableKey struct {
	record Record
	count  int64
	epoch  store.Epoch
	// copies holds the key after each write, the newest last.
	copies []savedKey
}

type savedKey struct {
	record Record
	count  int64
}

// restore brings back the key as it was before the given number of writes.
func (k *restorableKey) restore(lostWrites int) {
	k.epoch++
	k.copies = k.copies[:max(0, len(k.copies)-lostWrites)]
	k.record, k.count = Record{}, 0
	if n := len(k.copies); n > 0 {
		k.record, k.count = k.copies[n-1].record, k.copies[n-1].count
	}
}

func (k *restorableKey) revision() store.Revision { return store.NewRevision(k.epoch, k.count) }

// write writes the record if the counts agree, as the store does: it doesn't know of epochs.
func (k *restorableKey) write(o Operation) (effective bool) {
	if o.Expected.Count() != k.count {
		return false
	}
	k.record = o.Record
	k.count++
	k.copies = append(k.copies, savedKey{k.record, k.count})
	return true
}

// candidate is a Machine with what its adapter knows of the store's epoch.
type candidate struct {
	machine *Machine
	epoch   store.Epoch
}

// serve performs the candidate's next operation as the adapter does: a write with a revision of
// an earlier epoch is a conflict if the adapter knows so beforehand, or else unclear if it took
// effect.
func (k *restorableKey) serve(now time.Time, c *candidate) {
	o := c.machine.Next(now)
	switch {
	case o.Step == Read:
		c.epoch = k.epoch
		c.machine.Observed(now, k.record, k.revision())
	case o.Step == Write && o.Expected != 0 && o.Expected.Epoch() != c.epoch:
		c.machine.Conflicted(now)
	case o.Step == Write:
		effective := k.write(o)
		c.epoch = k.epoch
		switch {
		case !effective:
			c.machine.Conflicted(now)
		case o.Expected != 0 && o.Expected.Epoch() != k.epoch:
			c.machine.Failed(now)
		default:
			c.machine.Written(now, k.revision())
		}
	}
}

// TestStoreFromAnOlderCopyNeverGivesTwoHolders guards against what follows when the store loses
// its last writes and counts again: a released or absent record that was held in truth, a write
// whose expected count fits another record by chance, and a term that is given out twice.
// Candidates start anew at any moment, right after a loss too, and know nothing then.
func TestStoreFromAnOlderCopyNeverGivesTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		config := Config{TTL: 3 * time.Second, Margin: 500 * time.Millisecond, Jitter: 300 * time.Millisecond, ReadPeriod: 6 * time.Second, TrustUnchanged: true}
		started := 0
		start := func() *candidate {
			started++
			config.Instance = fmt.Sprintf("i%d", started)
			return &candidate{machine: New(config, rand.New(rand.NewPCG(seed, uint64(started))))}
		}
		key := &restorableKey{epoch: 1}
		candidates := []*candidate{start(), start(), start()}
		now := time.Unix(1000, 0)
		holderOfTerm := map[uint64]*candidate{}
		highestTerm := uint64(0)
		run := func(d time.Duration) {
			for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
				holders := 0
				for _, c := range candidates {
					key.serve(now, c)
				}
				for _, c := range candidates {
					if !c.machine.Holds(now) {
						continue
					}
					holders++
					term := c.machine.Term()
					if other := holderOfTerm[term]; other != nil && other != c {
						t.Fatalf("term %d had two holders", term)
					}
					if term < highestTerm {
						t.Fatalf("term %d after term %d", term, highestTerm)
					}
					holderOfTerm[term], highestTerm = c, term
				}
				if holders > 1 {
					t.Fatalf("%d holders at %v", holders, now)
				}
			}
		}
		run(3 * time.Second)
		for range rapid.IntRange(1, 10).Draw(t, "events") {
			i := rapid.IntRange(0, 2).Draw(t, "candidate")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				key.restore(rapid.IntRange(0, 6).Draw(t, "lost"))
			case 1: // The candidate's process is killed; another one starts.
				candidates[i] = start()
			case 2:
				candidates[i].machine.Release()
				run(300 * time.Millisecond)
				candidates[i] = start()
			case 3: // The holder hands over, and the store loses some of it.
				for _, c := range candidates {
					if c.machine.Holds(now) {
						c.machine.Release()
					}
				}
				run(time.Duration(rapid.IntRange(0, 20).Draw(t, "handover")) * 50 * time.Millisecond)
				key.restore(rapid.IntRange(1, 3).Draw(t, "lost"))
				for j, c := range candidates {
					if c.machine.Released() || c.machine.stopping {
						candidates[j] = start()
					}
				}
			}
			run(time.Duration(rapid.IntRange(0, 60).Draw(t, "wait")) * 100 * time.Millisecond)
		}
		run(15 * time.Second)
		for _, c := range candidates {
			if c.machine.Holds(now) {
				return
			}
		}
		t.Fatal("nobody holds the lease 15 s after the last fault")
	})
}
