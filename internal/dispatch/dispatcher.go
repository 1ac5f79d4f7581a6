// Package dispatch makes a scheduling.Scheduler usable from many goroutines: it passes
// events to it under a lock, logs its decisions, and wakes the goroutine that waits for a
// decision. Package scheduling makes the decisions.
package dispatch

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"limpethub/internal/intake"
	"limpethub/internal/meteredlock"
	"limpethub/internal/request"
	"limpethub/internal/scheduling"
	"limpethub/internal/verdict"
)

// Observer is notified of arrivals and decisions, for metrics and demand estimates.
type Observer interface {
	ObserveArrival(r request.Request)
	ObserveDecision(r request.Request, d scheduling.Decision, waited time.Duration)
}

// Options holds the dependencies of a Dispatcher.
type Options struct {
	Scheduler scheduling.Scheduler
	// Observer may be nil, which means none.
	Observer Observer
	Logger   *logrus.Entry
	Now      func() time.Time
	// OnUrgentUpdates is called with the servers whose load changed so much that peers should
	// be told without waiting for the next regular digest; see
	// scheduling.Scheduler.TakeUrgentUpdates. It must not block; nil means that peers needn't
	// be told.
	OnUrgentUpdates func(servers []string)
	// ViewAge returns how old the view of the servers is by which requests are dispatched, for
	// logs. It must not call the Dispatcher; nil means that it isn't known.
	ViewAge func() time.Duration
}

// Dispatcher passes requests to a Scheduler and waits for its decisions. It is safe for
// concurrent use.
type Dispatcher struct {
	scheduler       scheduling.Scheduler
	observer        Observer
	logger          *logrus.Entry
	now             func() time.Time
	onUrgentUpdates func(servers []string)
	viewAge         func() time.Duration

	mu meteredlock.Mutex
	// pendingLogs are decisions to log once the lock is released, so that a slow log
	// doesn't delay other requests.
	pendingLogs []decisionLog
	// waiters holds the requests for which Admit or Retry waits, by request ID: those in a
	// queue and those that are not decided yet.
	waiters map[request.ID]*waiter
	timer   *time.Timer
	closed  bool
	// stopping is true once requests are refused instead of queued.
	stopping bool
}

// waiter is a request that has no Dispatch or Refuse decision yet. It counts as waiting from
// the call of Admit or Retry, also before it is in a queue.
type waiter struct {
	request  request.Request
	queuedAt time.Time
	ready    chan scheduling.Decision
}

// decisionLog is a decision to log, with the time that the request had waited.
type decisionLog struct {
	request  request.Request
	decision scheduling.Decision
	waited   time.Duration
}

func New(options Options) *Dispatcher {
	d := &Dispatcher{
		scheduler:       options.Scheduler,
		observer:        options.Observer,
		logger:          options.Logger,
		now:             options.Now,
		onUrgentUpdates: options.OnUrgentUpdates,
		viewAge:         options.ViewAge,
		waiters:         make(map[request.ID]*waiter),
	}
	d.mu.Measure("dispatcher")
	return d
}

// Collectors returns the metrics of the lock.
func (d *Dispatcher) Collectors() []prometheus.Collector { return d.mu.Collectors() }

// Admit passes a new request to the scheduler and waits until it is dispatched or refused,
// or ctx ends. The error of a refusal or an ended ctx is a *verdict.Error with NotRun.
func (d *Dispatcher) Admit(ctx context.Context, r request.Request) (scheduling.Decision, error) {
	if d.observer != nil {
		d.observer.ObserveArrival(r)
	}
	return d.await(ctx, r, func(now time.Time) []scheduling.Decision {
		return d.scheduler.Arrive(now, r)
	})
}

// Retry asks for another dispatch of a request after an attempt, and waits like Admit.
// lastOutcome describes that attempt. If the scheduler refuses the retry, its error has the
// verdict of lastOutcome, so that should be MayHaveRun if any attempt may have run. Package
// forward passes the last attempt's own verdict and replaces the verdict of the refusal by that
// of all attempts.
func (d *Dispatcher) Retry(ctx context.Context, r request.Request, lastOutcome scheduling.Outcome) (scheduling.Decision, error) {
	return d.await(ctx, r, func(now time.Time) []scheduling.Decision {
		return d.scheduler.Retry(now, r, lastOutcome)
	})
}

// AdmitAtOnce is Admit for a request that may not wait: ok is false if it isn't dispatched at once.
func (d *Dispatcher) AdmitAtOnce(r request.Request) (decision scheduling.Decision, ok bool) {
	if d.observer != nil {
		d.observer.ObserveArrival(r)
	}
	w := newWaiter(r, d.now())
	d.withLock(func() {
		isOnly := d.beginWait(w, func(now time.Time) []scheduling.Decision { return d.scheduler.Arrive(now, r) })
		select {
		case decision = <-w.ready:
		default:
			if isOnly {
				delete(d.waiters, r.ID)
				d.apply(d.scheduler.Cancel(d.now(), r.ID))
			}
		}
	})
	return decision, decision.Action == scheduling.Dispatch || decision.Action == scheduling.PassOn
}

// MayRetry reports whether another instance may make another attempt of a request, and takes it from the retry
// budget. lastOutcome describes the last attempt.
func (d *Dispatcher) MayRetry(r request.Request, lastOutcome scheduling.Outcome) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.MayRetry(d.now(), r, lastOutcome)
}

// await passes an event of the request to the scheduler and waits for the decision.
func (d *Dispatcher) await(ctx context.Context, r request.Request, event func(time.Time) []scheduling.Decision) (scheduling.Decision, error) {
	w := newWaiter(r, d.now())
	d.withLock(func() { d.beginWait(w, event) })

	if len(w.ready) == 0 {
		intake.Leave(ctx)
	}
	select {
	case decision := <-w.ready:
		return decisionResult(decision)
	case <-ctx.Done():
		return d.abandon(w)
	}
}

func newWaiter(r request.Request, now time.Time) *waiter {
	return &waiter{request: r, queuedAt: now, ready: make(chan scheduling.Decision, 1)}
}

// beginWait passes an event of a request to the scheduler, with a waiter for the decision. It reports false, and refuses the request, if
// another one with the same ID waits: the decision about that one would find nobody. The lock is held.
func (d *Dispatcher) beginWait(w *waiter, event func(time.Time) []scheduling.Decision) bool {
	id := w.request.ID
	if d.waiters[id] == nil {
		d.waiters[id] = w
		returned := false
		defer func() {
			if !returned {
				// The event panics, and nobody waits for the decision any more.
				delete(d.waiters, id)
			}
		}()
		d.apply(event(d.now()))
		returned = true
		return true
	}
	refused := verdict.Unclear(verdict.CodeDuplicate, nil, "a request with the ID %s is in progress", id)
	w.ready <- scheduling.Decision{Action: scheduling.Refuse, ID: id, Err: refused}
	return false
}

// abandon ends the wait of a request whose context has ended. If it was dispatched in the
// meantime, the dispatch is released, because nothing was sent.
func (d *Dispatcher) abandon(w *waiter) (scheduling.Decision, error) {
	// If the context ended at the deadline, package forward replaces the code.
	canceled := verdict.Refused(verdict.CodeCanceled, "the caller canceled the request before it was dispatched")
	d.withLock(func() {
		select {
		case decision := <-w.ready:
			d.releaseDispatch(w, decision, canceled)
		default:
			delete(d.waiters, w.request.ID)
			d.apply(d.scheduler.Cancel(d.now(), w.request.ID))
		}
	})
	return scheduling.Decision{}, canceled
}

// releaseDispatch ends a dispatch of which nothing was sent, so that the server's slot is
// free again. The lock is held.
func (d *Dispatcher) releaseDispatch(w *waiter, decision scheduling.Decision, cause error) {
	if decision.Action != scheduling.Dispatch {
		return
	}
	d.apply(d.scheduler.Finish(d.now(), scheduling.Outcome{
		ID: w.request.ID, Server: decision.Server, Verdict: verdict.NotRun, Err: cause,
	}))
}

func decisionResult(decision scheduling.Decision) (scheduling.Decision, error) {
	if decision.Action == scheduling.Refuse {
		return decision, decision.Err
	}
	return decision, nil
}

// Finish tells the scheduler that a dispatched request has ended.
func (d *Dispatcher) Finish(outcome scheduling.Outcome) {
	d.handleEvent(func(now time.Time) []scheduling.Decision { return d.scheduler.Finish(now, outcome) })
}

// Progress tells the scheduler how many tokens of the answer to a dispatched request have
// arrived so far, in total.
func (d *Dispatcher) Progress(id request.ID, tokens int) {
	d.withLock(func() {
		if decisions := d.scheduler.Progress(d.now(), id, tokens); len(decisions) > 0 {
			d.apply(decisions)
		}
	})
}

// RefuseWaiting refuses all waiting requests, and from now on every request that the
// scheduler would queue, because the instance stops before they can be dispatched.
func (d *Dispatcher) RefuseWaiting() {
	d.withLock(func() {
		d.stopping = true
		for id := range d.waiters {
			// The returned decisions refuse other requests that wait too long. They needn't be
			// applied, because this loop refuses all waiting requests.
			d.scheduler.Cancel(d.now(), id)
			d.applyOne(refuseStopping(id))
		}
	})
}

// refuseStopping returns the refusal of a request because this instance is stopping.
func refuseStopping(id request.ID) scheduling.Decision {
	return scheduling.Decision{ID: id, Action: scheduling.Refuse, Reason: "the instance stops", Err: verdict.Stopping(stoppingRetryAfter)}
}

// stoppingRetryAfter is the retry delay given to callers that a stopping instance refuses. It
// is short, because another instance can take the request at once.
const stoppingRetryAfter = 50 * time.Millisecond

// ApplyEvent calls event with the scheduler under the lock and applies the decisions that it
// returns. It is for events that only some schedulers have.
func (d *Dispatcher) ApplyEvent(event func(now time.Time, s scheduling.Scheduler) []scheduling.Decision) {
	d.handleEvent(func(now time.Time) []scheduling.Decision { return event(now, d.scheduler) })
}

// Waiting returns the number of requests that wait to be dispatched.
func (d *Dispatcher) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiters)
}

// Close stops the timer. Requests that still wait end with their contexts.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.timer != nil {
		d.timer.Stop()
	}
}

// handleEvent calls event under the lock, with the current time, and applies the decisions that
// it returns.
func (d *Dispatcher) handleEvent(event func(now time.Time) []scheduling.Decision) {
	d.withLock(func() { d.apply(event(d.now())) })
}

// withLock runs f under the lock. After it releases the lock, it calls onUrgentUpdates and
// writes the pending logs.
func (d *Dispatcher) withLock(f func()) {
	logs, changedServers := d.runLocked(f)
	if len(changedServers) > 0 {
		d.onUrgentUpdates(changedServers)
	}
	for _, l := range logs {
		d.logDecision(l.request, l.decision, l.waited)
	}
}

// runLocked runs f under the lock, and returns the pending logs and the servers of which peers should be told. The lock is
// released also if f panics: otherwise no other request would get an answer.
func (d *Dispatcher) runLocked(f func()) (logs []decisionLog, changedServers []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	logs, d.pendingLogs = d.pendingLogs, nil
	if d.onUrgentUpdates != nil {
		changedServers = d.scheduler.TakeUrgentUpdates()
	}
	return logs, changedServers
}

// apply carries out decisions and sets the timer for the scheduler's next tick. The lock is
// held.
func (d *Dispatcher) apply(decisions []scheduling.Decision) {
	for _, decision := range decisions {
		d.applyOne(decision)
	}
	d.armTimer()
}

// applyOne carries out one decision. A Queue decision is only logged and observed: the
// request continues to wait, unless the instance is stopping. The lock is held.
func (d *Dispatcher) applyOne(decision scheduling.Decision) {
	w, ok := d.waiters[decision.ID]
	if !ok {
		return
	}
	if d.stopping && decision.Action == scheduling.Queue {
		// The returned decisions needn't be applied: RefuseWaiting has refused the requests that
		// waited before.
		d.scheduler.Cancel(d.now(), decision.ID)
		decision = refuseStopping(decision.ID)
	}
	waited := d.now().Sub(w.queuedAt)
	d.pendingLogs = append(d.pendingLogs, decisionLog{request: w.request, decision: decision, waited: waited})
	if d.observer != nil {
		d.observer.ObserveDecision(w.request, decision, waited)
	}
	if decision.Action == scheduling.Queue {
		return
	}
	delete(d.waiters, decision.ID)
	w.ready <- decision
}

// armTimer sets the timer to the scheduler's next tick, in place of a time set earlier. If
// the scheduler needs no tick, the timer stays as it is. The lock is held.
func (d *Dispatcher) armTimer() {
	next := d.scheduler.NextTick()
	if next.IsZero() || d.closed {
		return
	}
	wait := max(next.Sub(d.now()), 0)
	if d.timer == nil {
		d.timer = time.AfterFunc(wait, d.tick)
		return
	}
	d.timer.Reset(wait)
}

func (d *Dispatcher) tick() {
	d.withLock(func() {
		if !d.closed {
			d.apply(d.scheduler.Tick(d.now()))
		}
	})
}
