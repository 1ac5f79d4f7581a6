// Package dispatch is the shell around scheduling: it feeds events to a
// scheduling.Scheduler under a lock, logs each decision, and wakes the goroutine
// that waits for it.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/scheduling"
	"limpethub/internal/verdict"
)

// Observer is told of arrivals and decisions, for metrics and demand.
type Observer interface {
	ObserveArrival(r request.Request)
	ObserveDecision(r request.Request, d scheduling.Decision, waited time.Duration)
}

// Options are the parts that a Dispatcher works with.
type Options struct {
	Scheduler scheduling.Scheduler
	Observer  Observer
	Logger    *logrus.Entry
	// Now returns the current time.
	Now func() time.Time
	// OnNews is told, without blocking, the servers whose load peers should learn soon;
	// nil means that they needn't.
	OnNews func(servers []string)
}

// Dispatcher hands requests to a Scheduler and waits for its decisions.
type Dispatcher struct {
	scheduler scheduling.Scheduler
	observer  Observer
	logger    *logrus.Entry
	now       func() time.Time
	onNews    func(servers []string)

	mu sync.Mutex
	// lines are log lines to write once the lock is released, so that a slow log holds
	// up no other request.
	lines   []line
	waiters map[request.ID]*waiter
	timer   *time.Timer
	closed  bool
	// stopping is true once nothing may wait any more.
	stopping bool
}

// waiter is one request that waits for its Dispatch or Refuse decision.
type waiter struct {
	request request.Request
	since   time.Time
	ready   chan scheduling.Decision
}

// line is a decision to log.
type line struct {
	request  request.Request
	decision scheduling.Decision
	waited   time.Duration
}

// New makes a Dispatcher.
func New(options Options) *Dispatcher {
	return &Dispatcher{
		scheduler: options.Scheduler,
		observer:  options.Observer,
		logger:    options.Logger,
		now:       options.Now,
		onNews:    options.OnNews,
		waiters:   make(map[request.ID]*waiter),
	}
}

// Admit gives a new request to the scheduler and waits until it may be dispatched.
// A refusal is a *verdict.Error with the verdict NotRun.
func (d *Dispatcher) Admit(ctx context.Context, r request.Request) (scheduling.Decision, error) {
	if d.observer != nil {
		d.observer.ObserveArrival(r)
	}
	return d.await(ctx, r, func(now time.Time) []scheduling.Decision {
		return d.scheduler.Arrive(now, r)
	})
}

// Retry asks for another dispatch of a request whose last one ended with last.
func (d *Dispatcher) Retry(ctx context.Context, r request.Request, last scheduling.Outcome) (scheduling.Decision, error) {
	return d.await(ctx, r, func(now time.Time) []scheduling.Decision {
		return d.scheduler.Retry(now, r, last)
	})
}

func (d *Dispatcher) await(ctx context.Context, r request.Request, event func(time.Time) []scheduling.Decision) (scheduling.Decision, error) {
	w := &waiter{request: r, since: d.now(), ready: make(chan scheduling.Decision, 1)}
	d.locked(func() {
		d.waiters[r.ID] = w
		d.apply(event(d.now()))
	})

	select {
	case decision := <-w.ready:
		return conclude(decision)
	case <-ctx.Done():
		return d.abandon(w)
	}
}

// abandon ends the wait of a request whose caller has gone. A dispatch that was
// decided meanwhile is undone, since nothing was sent.
func (d *Dispatcher) abandon(w *waiter) (scheduling.Decision, error) {
	gone := verdict.Refused(verdict.CodeCanceled, "the caller canceled the request before it was dispatched")
	d.locked(func() {
		select {
		case decision := <-w.ready:
			d.undo(w, decision, gone)
		default:
			delete(d.waiters, w.request.ID)
			d.apply(d.scheduler.Cancel(d.now(), w.request.ID))
		}
	})
	return scheduling.Decision{}, gone
}

// undo gives back the place of a dispatch of which nothing was sent. The lock is held.
func (d *Dispatcher) undo(w *waiter, decision scheduling.Decision, cause error) {
	if decision.Action != scheduling.Dispatch {
		return
	}
	d.apply(d.scheduler.Finish(d.now(), scheduling.Outcome{
		ID: w.request.ID, Server: decision.Server, Verdict: verdict.NotRun, Err: cause,
	}))
}

func conclude(decision scheduling.Decision) (scheduling.Decision, error) {
	if decision.Action == scheduling.Refuse {
		return decision, decision.Err
	}
	return decision, nil
}

// Finish reports the end of a dispatched request.
func (d *Dispatcher) Finish(outcome scheduling.Outcome) {
	d.event(func(now time.Time) []scheduling.Decision { return d.scheduler.Finish(now, outcome) })
}

// Progress reports that tokens of a dispatched request arrived.
func (d *Dispatcher) Progress(id request.ID, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.Progress(d.now(), id, tokens)
}

// SetServers replaces the set of known servers.
func (d *Dispatcher) SetServers(servers []scheduling.Server) {
	d.event(func(now time.Time) []scheduling.Decision { return d.scheduler.SetServers(now, servers) })
}

// ObserveReport passes on a server's report.
func (d *Dispatcher) ObserveReport(server string, report engine.Report) {
	d.event(func(now time.Time) []scheduling.Decision { return d.scheduler.ObserveReport(now, server, report) })
}

// ObserveLoad passes on what a server told of its load with an answer.
func (d *Dispatcher) ObserveLoad(server string, load engine.Load) {
	d.event(func(now time.Time) []scheduling.Decision { return d.scheduler.ObserveLoad(now, server, load) })
}

// ObserveResident passes on what a server holds.
func (d *Dispatcher) ObserveResident(server string, refs []modelref.Ref) {
	d.event(func(now time.Time) []scheduling.Decision { return d.scheduler.ObserveResident(now, server, refs) })
}

// ObserveUnreachable passes on that a server didn't answer.
func (d *Dispatcher) ObserveUnreachable(server string) {
	d.event(func(now time.Time) []scheduling.Decision { return d.scheduler.ObserveUnreachable(now, server) })
}

// ObserveRemote passes on a peer's digest.
func (d *Dispatcher) ObserveRemote(remote scheduling.Remote) {
	d.event(func(now time.Time) []scheduling.Decision { return d.scheduler.ObserveRemote(now, remote) })
}

// ForgetRemote drops what a dead peer last said.
func (d *Dispatcher) ForgetRemote(instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.ForgetRemote(instance)
}

// Digest lists this instance's outstanding work per server.
func (d *Dispatcher) Digest() []scheduling.Remote {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Digest()
}

// Outlook says what a request would do now.
func (d *Dispatcher) Outlook(r request.Request) scheduling.Outlook {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Outlook(d.now(), r)
}

// RefLoads counts this instance's requests, by version.
func (d *Dispatcher) RefLoads() map[modelref.Ref]scheduling.RefLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.RefLoads(d.now())
}

// ServerLoads estimates the requests on each server, from all instances.
func (d *Dispatcher) ServerLoads() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.ServerLoads(d.now())
}

// ClassLoads counts this instance's requests by class.
func (d *Dispatcher) ClassLoads() []scheduling.ClassLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.ClassLoads()
}

// StopWaiting refuses all requests that wait, and from now on those that would have to:
// the instance will be gone before their turn comes.
func (d *Dispatcher) StopWaiting() {
	d.locked(func() {
		d.stopping = true
		for id := range d.waiters {
			d.scheduler.Cancel(d.now(), id)
			d.applyOne(stopped(id))
		}
	})
}

// stopped refuses a request because the instance stops.
func stopped(id request.ID) scheduling.Decision {
	return scheduling.Decision{ID: id, Action: scheduling.Refuse, Reason: "the instance stops", Err: verdict.Stopping(stoppedRetry)}
}

// stoppedRetry is when a caller that was refused by a stopping instance should come back
// to another one.
const stoppedRetry = 50 * time.Millisecond

// Do runs a function on the scheduler under the lock, for events that only some
// schedulers have, and applies the decisions that it returns.
func (d *Dispatcher) Do(event func(now time.Time, s scheduling.Scheduler) []scheduling.Decision) {
	d.event(func(now time.Time) []scheduling.Decision { return event(now, d.scheduler) })
}

// Waiting is the number of requests that wait for a dispatch.
func (d *Dispatcher) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiters)
}

// Close stops the timer. Waiting requests end with their contexts.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.timer != nil {
		d.timer.Stop()
	}
}

func (d *Dispatcher) event(f func(now time.Time) []scheduling.Decision) {
	d.locked(func() { d.apply(f(d.now())) })
}

// locked runs f under the lock and then writes the log lines that came of it.
func (d *Dispatcher) locked(f func()) {
	d.mu.Lock()
	f()
	lines := d.lines
	d.lines = nil
	var news []string
	if d.onNews != nil {
		news = d.scheduler.TakeNews()
	}
	d.mu.Unlock()
	if len(news) > 0 {
		d.onNews(news)
	}
	for _, l := range lines {
		d.log(l.request, l.decision, l.waited)
	}
}

// apply carries out decisions and arms the timer for the next tick. The lock is held.
func (d *Dispatcher) apply(decisions []scheduling.Decision) {
	for _, decision := range decisions {
		d.applyOne(decision)
	}
	d.arm()
}

func (d *Dispatcher) applyOne(decision scheduling.Decision) {
	w, ok := d.waiters[decision.ID]
	if !ok {
		return
	}
	if d.stopping && decision.Action == scheduling.Queue {
		d.scheduler.Cancel(d.now(), decision.ID)
		decision = stopped(decision.ID)
	}
	waited := d.now().Sub(w.since)
	d.lines = append(d.lines, line{request: w.request, decision: decision, waited: waited})
	if d.observer != nil {
		d.observer.ObserveDecision(w.request, decision, waited)
	}
	if decision.Action == scheduling.Queue {
		return
	}
	delete(d.waiters, decision.ID)
	w.ready <- decision
}

func (d *Dispatcher) arm() {
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
	d.locked(func() {
		if !d.closed {
			d.apply(d.scheduler.Tick(d.now()))
		}
	})
}

var actionWords = [...]string{scheduling.Dispatch: "dispatch", scheduling.Queue: "queue", scheduling.Refuse: "refuse"}

func (d *Dispatcher) log(r request.Request, decision scheduling.Decision, waited time.Duration) {
	if !d.logger.Logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	d.logger.WithFields(logrus.Fields{
		"request":   r.ID,
		"model":     r.Model,
		"service":   r.Service,
		"class":     r.Class,
		"server":    decision.Server,
		"reason":    decision.Reason,
		"waited_ms": waited.Milliseconds(),
	}).Info(ActionWord(decision.Action))
}

// ActionWord names an action, for logs and operators.
func ActionWord(a scheduling.Action) string { return actionWords[a] }
