// Package intake limits how many new connections and requests of a process are at once in the phase in which they only need the
// processor: from the first byte that is read until the request is queued, sent, refused, or waits for something else. The others
// wait for their turn outside of the run queue of the Go scheduler, so that what matters more than a further request (a
// caller that leaves, a server's answer, a heartbeat, a configuration) is run within a few milliseconds, however much is due.
//
// While somebody waits, there is a rest every few milliseconds: no turn is given until the runtime has looked for input. It does
// that by itself only when nothing is runnable, and rarely otherwise.
package intake

import (
	"context"
	"runtime"
	"sync"
	"time"
)

// Gate gives turns. It is safe for concurrent use.
type Gate struct {
	mu   sync.Mutex
	line line
	// timer is set while somebody waits. It ends the turns that are held for too long.
	timer *time.Timer
	// isResting is true while a rest runs, which uses the poller.
	isResting bool
	poller    poller
}

// New returns a Gate for the processors that the process may use.
func New() *Gate {
	return &Gate{line: line{limit: turnsPerProcessor * runtime.GOMAXPROCS(0)}}
}

// Turn is the right of the request on one connection, or of a listener, to use the processor.
type Turn struct {
	gate *Gate
	// given gets a value when the turn is given to somebody who waits for it.
	given chan struct{}
	// heldSince is when the turn was given last, and waited how long its request waited for it. The mutex of the gate guards both.
	heldSince time.Time
	waited    time.Duration
}

// NewTurn returns a turn that isn't held.
func (g *Gate) NewTurn() *Turn { return &Turn{gate: g, given: make(chan struct{}, 1)} }

// Pass waits for a turn, or lets those run that are runnable if there is one, and leaves it at once. Whoever accepts connections
// calls it after some of them, so that their requests ask for turns before there are more.
func (t *Turn) Pass() {
	if waited := t.take(connections); waited == 0 {
		runtime.Gosched()
	}
	t.Leave()
}

// Take waits until a request may go on. A turn that is held already is kept.
func (t *Turn) Take() {
	if waited := t.take(requests); waited > 0 {
		t.gate.mu.Lock()
		defer t.gate.mu.Unlock()
		t.waited += waited
	}
}

func (t *Turn) take(k kind) (waited time.Duration) {
	g, start := t.gate, time.Now()
	g.mu.Lock()
	held := g.line.holds(t) || g.line.enter(start, t, k)
	if !held {
		g.watch()
	}
	g.mu.Unlock()
	if held {
		return 0
	}
	<-t.given
	return time.Since(start)
}

// Leave ends the turn. It does nothing if the turn isn't held.
func (t *Turn) Leave() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.line.holds(t) {
		g.wake(g.line.leave(time.Now(), t))
	}
}

// End ends the turn at the end of a request. The next one on the connection hasn't waited.
func (t *Turn) End() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	t.waited = 0
	if g.line.holds(t) {
		g.wake(g.line.leave(time.Now(), t))
	}
}

// Waited returns how long the present request has waited for its turn.
func (t *Turn) Waited() time.Duration {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	return t.waited
}

// wake lets those go on that were given a turn, and begins a rest if one is due. The lock is held.
func (g *Gate) wake(given []*Turn) {
	for _, t := range given {
		t.given <- struct{}{}
	}
	if g.line.resting && !g.isResting {
		g.isResting = true
		go g.rest()
	}
}

func (g *Gate) rest() {
	g.poller.poll()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isResting = false
	g.wake(g.line.rested(time.Now()))
}

// watch sets the timer, if it isn't set. The lock is held.
func (g *Gate) watch() {
	if g.timer == nil {
		g.timer = time.AfterFunc(maxTurn, g.tick)
	}
}

func (g *Gate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = nil
	g.wake(g.line.give(time.Now()))
	if g.line.waits() {
		g.watch()
	}
}

type turnKey struct{}

// WithTurn returns a context with the turn of a request.
func WithTurn(ctx context.Context, t *Turn) context.Context {
	return context.WithValue(ctx, turnKey{}, t)
}

// Leave ends the turn of the request that a context belongs to, if it has one. It is called where a request begins to wait.
func Leave(ctx context.Context) {
	if t, ok := ctx.Value(turnKey{}).(*Turn); ok {
		t.Leave()
	}
}
