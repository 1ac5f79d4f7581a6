package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethub/internal/store"
)

// Times of the simulation of orders.
const (
	handoverTick = 10 * time.Millisecond
	// orderCallTimeout is when an order that got no answer counts as unanswered.
	orderCallTimeout = 1200 * time.Millisecond
	// longestDial is how long the connection of an order may take, and longestTransit the order itself.
	longestDial    = time.Second
	longestTransit = 200 * time.Millisecond
	// storeCallTimeout is when a call of the store without an answer fails.
	storeCallTimeout = 800 * time.Millisecond
	// readNowShare is the share of ticks at which a candidate reads the lease at once, as it does when it
	// doesn't hear of the holder.
	readNowShare = 0.2
	// latestWrite is how long after it was sent a write may take effect.
	latestWrite = 5 * time.Second
)

// orderPhase says how far an order is.
type orderPhase uint8

const (
	orderNone orderPhase = iota
	orderDialing
	orderSent
	orderArrived
)

// ordering is a candidate that gives orders, one at a time, whenever it may.
type ordering struct {
	machine     *Machine
	frozenUntil time.Time

	phase orderPhase
	term  uint64
	// begunAt is when the order was decided on, dialedAt when its connection is open, arrivesAt when it
	// reaches the server. Its answer is lost if lost is true.
	begunAt, dialedAt, arrivesAt time.Time
	lost                         bool
}

// pendingWrite is a write on its way to the store.
type pendingWrite struct {
	at        time.Time
	operation Operation
	// answers is nil for a copy, and for a write whose answer is lost.
	answers *ordering
}

// pendingAnswer is what a candidate learns at a time.
type pendingAnswer struct {
	at   time.Time
	to   *ordering
	tell func(*Machine, time.Time)
}

// handover is candidates that give orders to one server, before a store that loses, delays and doubles.
type handover struct {
	t          *rapid.T
	random     *rand.Rand
	now        time.Time
	candidates []*ordering
	started    int
	key        fakeKey
	writes     []pendingWrite
	answers    []pendingAnswer
	// unreliable is the share of writes that are lost, late or doubled, and of orders without an answer.
	unreliable float64
	// highest is the highest term of an order so far, and holders has the candidate of each term.
	highest uint64
	holders map[uint64]*ordering
}

func (h *handover) start() *ordering {
	h.started++
	config := Config{
		Instance: fmt.Sprintf("i%d", h.started), TTL: 3 * time.Second, Margin: 500 * time.Millisecond, Jitter: h.upTo(300 * time.Millisecond),
		ReadPeriod: 6 * time.Second, TrustUnchanged: true, StepDownReach: 0.5, ReachDelay: 3 * time.Second,
	}
	return &ordering{machine: New(config, rand.New(rand.NewPCG(h.random.Uint64(), 1)))}
}

func (h *handover) upTo(d time.Duration) time.Duration {
	return time.Duration(h.random.Int64N(int64(d) + 1))
}

func (h *handover) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(handoverTick)
		h.executeWrites()
		h.deliver()
		for _, c := range h.candidates {
			h.moveOrder(c)
			if !h.now.Before(c.frozenUntil) {
				h.step(c)
			}
		}
	}
}

// step makes the candidate's next call of the store, and begins an order if it may.
func (h *handover) step(c *ordering) {
	c.machine.SetBusy(c.phase != orderNone)
	if h.random.Float64() < readNowShare {
		c.machine.ReadNow(h.now)
	}
	operation := c.machine.Next(h.now)
	switch operation.Step {
	case Read:
		record, revision := h.key.record, h.key.revision
		h.answer(c, 5*time.Millisecond, func(m *Machine, now time.Time) { m.Observed(now, record, revision) })
	case Write:
		h.send(c, operation)
	}
	if c.phase == orderNone && c.machine.Holds(h.now) {
		c.phase, c.term, c.begunAt = orderDialing, c.machine.Term(), h.now
		c.dialedAt, c.lost = h.now.Add(h.upTo(longestDial)), h.random.Float64() < h.unreliable
	}
}

// send puts a write on its way: in time, late, without an answer, or twice.
func (h *handover) send(c *ordering, operation Operation) {
	if h.random.Float64() >= h.unreliable {
		h.writes = append(h.writes, pendingWrite{h.now.Add(5 * time.Millisecond), operation, c})
		return
	}
	switch h.random.IntN(4) {
	case 0: // The write is lost.
	case 1: // The answer is lost.
		h.writes = append(h.writes, pendingWrite{h.now.Add(5 * time.Millisecond), operation, nil})
	case 2: // The write takes effect late.
		h.writes = append(h.writes, pendingWrite{h.now.Add(h.upTo(latestWrite)), operation, nil})
	case 3: // It arrives twice, and the answer to the second copy counts.
		h.writes = append(h.writes, pendingWrite{h.now, operation, nil}, pendingWrite{h.now.Add(h.upTo(storeCallTimeout / 2)), operation, c})
		return
	}
	h.answer(c, storeCallTimeout, func(m *Machine, now time.Time) { m.Failed(now) })
}

func (h *handover) answer(c *ordering, after time.Duration, tell func(*Machine, time.Time)) {
	h.answers = append(h.answers, pendingAnswer{h.now.Add(after), c, tell})
}

func (h *handover) executeWrites() {
	h.writes = slices.DeleteFunc(h.writes, func(w pendingWrite) bool {
		if w.at.After(h.now) {
			return false
		}
		effective := w.operation.Expected == h.key.revision
		if effective {
			h.key.record = w.operation.Record
			h.key.revision++
		}
		if w.answers != nil {
			h.answer(w.answers, 5*time.Millisecond, writeAnswer(effective, h.key.revision))
		}
		return true
	})
}

func writeAnswer(effective bool, revision store.Revision) func(*Machine, time.Time) {
	if !effective {
		return func(m *Machine, now time.Time) { m.Conflicted(now) }
	}
	return func(m *Machine, now time.Time) { m.Written(now, revision) }
}

func (h *handover) deliver() {
	due := h.answers
	h.answers = nil
	for _, a := range due {
		if a.at.After(h.now) || h.now.Before(a.to.frozenUntil) {
			h.answers = append(h.answers, a)
			continue
		}
		a.tell(a.to.machine, h.now)
	}
}

// moveOrder moves a candidate's order on. What has been sent arrives even if the candidate is frozen.
func (h *handover) moveOrder(c *ordering) {
	frozen := h.now.Before(c.frozenUntil)
	switch {
	case c.phase == orderDialing && !frozen && !h.now.Before(c.dialedAt):
		if !c.machine.Holds(h.now) || c.machine.Term() != c.term {
			c.phase = orderNone
			return
		}
		c.phase, c.arrivesAt = orderSent, h.now.Add(h.upTo(longestTransit))
	case c.phase == orderSent && !h.now.Before(c.arrivesAt):
		h.arrived(c)
		c.phase = orderArrived
	case c.phase == orderArrived && !frozen && (!c.lost || h.now.Sub(c.begunAt) >= orderCallTimeout):
		c.phase = orderNone
	}
}

// arrived judges an order as a server does that doesn't check fencing numbers.
func (h *handover) arrived(c *ordering) {
	if c.term < h.highest {
		h.t.Fatalf("an order of term %d arrives %v after %v, when one of term %d has arrived", c.term, h.now.Sub(c.begunAt), c.begunAt.Unix(), h.highest)
	}
	if other := h.holders[c.term]; other != nil && other != c {
		h.t.Fatalf("orders of two holders in term %d", c.term)
	}
	h.highest, h.holders[c.term] = c.term, c
}

// report tells the candidates the lease as a holder tells it, some of them late.
func (h *handover) report() {
	for _, holder := range h.candidates {
		if !holder.machine.Holds(h.now) {
			continue
		}
		record, revision := holder.machine.Record(), holder.machine.Revision()
		for _, c := range h.candidates {
			if c != holder {
				h.answer(c, h.upTo(time.Second), func(m *Machine, now time.Time) { m.HolderReported(now, record, revision) })
			}
		}
	}
}

// holder returns the index of the candidate that holds the lease; -1 if there is none.
func (h *handover) holder() int {
	return slices.IndexFunc(h.candidates, func(c *ordering) bool { return c.machine.Holds(h.now) })
}

// disturb lets something happen to one candidate or to all.
func (h *handover) disturb(t *rapid.T) {
	i := rapid.IntRange(0, len(h.candidates)-1).Draw(t, "candidate")
	if holder := h.holder(); holder >= 0 && rapid.Bool().Draw(t, "at the holder") {
		i = holder
	}
	c := h.candidates[i]
	switch rapid.SampledFrom([]string{"release", "release", "low reach", "kill", "freeze", "low reach", "reach", "report", "unreliable", "supersede"}).Draw(t, "event") {
	case "release":
		c.machine.Release()
		// Its process goes on until all requests have ended, and another one starts in its place.
		h.candidates = append(h.candidates, h.start())
	case "kill":
		h.candidates[i] = h.start()
	case "freeze":
		c.frozenUntil = h.now.Add(h.upTo(8 * time.Second))
	case "low reach":
		c.machine.SetReach(h.now, 0)
		h.run(3 * time.Second)
	case "reach":
		c.machine.SetReach(h.now, 1)
	case "report":
		h.report()
	case "unreliable":
		h.unreliable = rapid.Float64Range(0, 0.9).Draw(t, "share")
	case "supersede":
		c.machine.Supersede(c.machine.Term())
	}
}

// TestNoOrderOfAFormerHolderAfterOneOfItsSuccessor guards against a holder that goes on giving orders though
// its release may be in force, its lease has run out, or it can't prove that it holds the lease.
func TestNoOrderOfAFormerHolderAfterOneOfItsSuccessor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &handover{t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2)), now: time.Unix(1000, 0), holders: map[uint64]*ordering{}}
		for range 3 {
			h.candidates = append(h.candidates, h.start())
		}
		h.run(2 * time.Second)
		h.unreliable = rapid.Float64Range(0, 0.9).Draw(t, "unreliable")
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			h.disturb(t)
			h.run(time.Duration(rapid.IntRange(0, 40).Draw(t, "wait")) * 100 * time.Millisecond)
		}
		h.unreliable = 0
		for _, c := range h.candidates {
			c.machine.SetReach(h.now, 1)
		}
		h.run(25 * time.Second)
		if h.holder() < 0 {
			t.Fatal("nobody holds the lease 25 s after the last fault")
		}
	})
}
