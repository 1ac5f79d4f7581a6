package confsync

import (
	"math/rand/v2"
	"time"
)

const (
	// peersFirst is how long an instance that has heard of a newer configuration tries to get it from peers alone.
	peersFirst = 500 * time.Millisecond
	// behindReadSpread spreads the reads after that, and those after a failed one: the instances of a fleet that are all
	// behind, or all refused by the store, begin at most one read per behindReadSpread together.
	behindReadSpread = 2500 * time.Microsecond
)

// behindReads decides when an instance reads the store because it holds an older configuration than it has heard of. Peers
// may not answer it, or only late, while the store does. It is a state machine without goroutine, socket or clock.
type behindReads struct {
	rand *rand.Rand
	// held and highest are the revisions held and heard of when due was called last. readAt is the time of the next read,
	// zero while the instance isn't behind.
	held, highest uint64
	readAt        time.Time
	// without is how many reads that began after highest was heard of were answered without it.
	without int
}

// due reports whether to read the store now.
func (b *behindReads) due(now time.Time, held, highest uint64, instances int) bool {
	heldSame, highestSame := b.held == held, b.highest == highest
	b.held, b.highest = held, highest
	if held >= highest {
		b.readAt, b.without = time.Time{}, 0
		return false
	}
	// A time that was set for an earlier revision is sooner, unless reads have been answered without that.
	if b.readAt.IsZero() || !heldSame || !highestSame && b.without > 0 {
		b.without = 0
		b.readAt = now.Add(peersFirst + time.Duration(b.rand.Int64N(int64(behindSpread(instances)))))
		return false
	}
	if now.Before(b.readAt) {
		return false
	}
	b.readAt = now.Add(b.wait(instances))
	return true
}

// answeredWithout takes the answer of the store to a read that began after the highest revision was heard of, and that didn't
// bring it. So the store may not have that revision: each such answer doubles the wait, up to that between two reads that
// verify.
func (b *behindReads) answeredWithout(now time.Time, instances int) {
	b.without++
	b.readAt = now.Add(b.wait(instances))
}

// wait returns the time between two reads. It is the same for all instances, so that their reads stay spread as the first ones
// were: random waits would make the second reads of some meet the first ones of others.
func (b *behindReads) wait(instances int) time.Duration {
	wait, longest := peersFirst+behindSpread(instances), verifyReadWait(instances)
	for range b.without {
		wait = min(2*wait, longest)
	}
	return wait
}

// behindSpread returns the time over which a fleet's reads are spread.
func behindSpread(instances int) time.Duration {
	return behindReadSpread * time.Duration(max(1, instances))
}

// spreadWait returns a random wait whose mean is the spread.
func spreadWait(random *rand.Rand, instances int) time.Duration {
	spread := behindSpread(instances)
	return spread/2 + time.Duration(random.Int64N(int64(spread)))
}
