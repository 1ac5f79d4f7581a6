// Package callerload bounds the memory that callers make an instance hold: the heads and bodies of their requests, the whole answers that
// wait for them, and what each of their connections takes. Bytes are charged to the account of a connection as buffers grow, never as
// announced.
//
// When the budget is used up, the connection yields that has moved the fewest bytes lately, rather than the next one that comes:
// otherwise callers that stop in the middle of their requests or answers would lock out all others. A request that was read whole never
// yields until its answer is written. While there is room nobody yields, however slow.
package callerload

import (
	"errors"
	"sync"
	"time"
)

const (
	// maxWait is how long a charge waits for the bytes of those that yield, and maxAnswerWait how long that of an answer does, which
	// would be lost otherwise.
	maxWait       = 200 * time.Millisecond
	maxAnswerWait = time.Second
	// reportInterval is the least time between two reports.
	reportInterval = 10 * time.Second
)

// ErrNoRoom is the error of a charge that finds no room in the budget, or whose account has to yield.
var ErrNoRoom = errors.New("callerload: the memory for requests of callers is used up")

// Counts says how many connections didn't get what they asked for.
type Counts struct {
	// Refused counts requests and answers that found no room, BodiesEnded the requests that yielded while their bodies were read,
	// AnswersEnded those whose answers were being written, and ConnectionsClosed the connections that yielded while there was no
	// whole head.
	Refused, BodiesEnded, AnswersEnded, ConnectionsClosed uint64
}

// Options configures a Budget.
type Options struct {
	// Limit is how many bytes all accounts may hold; 0 means no limit.
	Limit int64
	// Report is called when the budget is used up, with the counts since the last call, at most once in 10 s. It may be nil.
	Report func(since Counts)
	Now    func() time.Time
}

// Budget is the memory that all callers of an instance may make it hold. It is safe for concurrent use. A nil budget has no limit.
type Budget struct {
	options Options

	mu         sync.Mutex
	state      state
	reportedAt time.Time
	reported   Counts
}

// New returns a budget; nil if there is no limit.
func New(options Options) *Budget {
	if options.Limit <= 0 {
		return nil
	}
	return &Budget{options: options, state: state{limit: options.Limit}}
}

// Limit returns how many bytes all accounts may hold; 0 means no limit.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.options.Limit
}

// MostForOne returns how many bytes a single large request may hold; 0 means no limit.
func (b *Budget) MostForOne() int64 { return b.Limit() - b.Limit()/keptShare }

// Held returns how many bytes all accounts hold.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.held
}

// Counts returns the counts since the start.
func (b *Budget) Counts() Counts {
	if b == nil {
		return Counts{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.counts
}

// Open returns the account of a new connection. yield is called if the connection has to yield, once at most. It mustn't block.
func (b *Budget) Open(yield func(Yield)) *Account {
	if b == nil {
		return nil
	}
	a := &Account{budget: b, yield: yield}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.open(b.options.Now(), a)
	return a
}

// Close returns all that the account holds. It may be called more than once.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.state.close(a)
}

// Received records that n bytes were read from the connection; begins is true if they are the first ones of a request. The bytes of
// a head are charged. With an error, nothing more may be read.
func (a *Account) Received(n int, begins bool) error {
	if a == nil {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	charged := b.state.received(b.options.Now(), a, int64(n), begins)
	b.mu.Unlock()
	if charged == 0 {
		return nil
	}
	return a.Charge(charged)
}

// BeginBody records that the head was read.
func (a *Account) BeginBody() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.enter(a.budget.options.Now(), body)
}

// EndBody records that the request was read whole. It reports false if the account has to yield: the request must be refused then.
func (a *Account) EndBody() bool {
	if a == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.yielding {
		return false
	}
	a.enter(a.budget.options.Now(), whole)
	return true
}

// Sent records that n bytes were written to the connection.
func (a *Account) Sent(n int) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.moved.add(a.budget.options.Now(), int64(n))
}

// BeginAnswer records that an answer is written to the connection from now on.
func (a *Account) BeginAnswer() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.enter(a.budget.options.Now(), answer)
}

// EndRequest returns all that the request holds.
func (a *Account) EndRequest() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.enter(a.budget.options.Now(), idle)
	a.budget.state.release(a, a.request)
}

// Charge charges n bytes to the request of an account. It may wait for those that yield. The error is ErrNoRoom.
func (a *Account) Charge(n int64) error {
	if a == nil {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	decision := b.state.ask(b.options.Now(), a, n)
	b.mu.Unlock()
	for _, v := range decision.victims {
		v.account.yield(v.ends)
	}
	granted := decision.granted || decision.waiter != nil && b.await(decision.waiter)
	if !granted || len(decision.victims) > 0 {
		b.report()
	}
	if !granted {
		return ErrNoRoom
	}
	return nil
}

// Release returns n of the bytes that were charged to the request of an account.
func (a *Account) Release(n int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.state.release(a, n)
}

// Hold charges n bytes that belong to no connection of a caller, until Return. It reports false if there is no room; nobody yields.
func (b *Budget) Hold(n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.hold(n)
}

// Return returns n bytes that Hold has charged.
func (b *Budget) Return(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.held -= n
	b.state.grant()
}

// await waits until a charge is decided.
func (b *Budget) await(w *waiter) (granted bool) {
	timer := time.NewTimer(w.longest)
	defer timer.Stop()
	select {
	case <-w.decided:
	case <-timer.C:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.expire(w)
	return w.granted
}

func (b *Budget) report() {
	if b.options.Report == nil {
		return
	}
	b.mu.Lock()
	now, counts, last := b.options.Now(), b.state.counts, b.reported
	due := b.reportedAt.IsZero() || now.Sub(b.reportedAt) >= reportInterval
	if due {
		b.reportedAt, b.reported = now, counts
	}
	b.mu.Unlock()
	if due {
		b.options.Report(Counts{
			Refused: counts.Refused - last.Refused, BodiesEnded: counts.BodiesEnded - last.BodiesEnded,
			AnswersEnded: counts.AnswersEnded - last.AnswersEnded, ConnectionsClosed: counts.ConnectionsClosed - last.ConnectionsClosed,
		})
	}
}
