package workspacequota

import (
	"math/rand/v2"
	"time"
)

const (
	// freshFor is the age up to which a state is fully trusted, and usableFor the age at which it is discarded. In between,
	// the admitted share falls linearly to 0. freshFor exceeds the usual propagation delay of states.
	freshFor  = 1250 * time.Millisecond
	usableFor = 2500 * time.Millisecond
	// spentAfter is the age of a state from which its balance above the set point is assumed to be consumed gradually.
	spentAfter = 750 * time.Millisecond
	// partAfter is the time after the last state from which an instance without one uses a fixed, equal part of the limit.
	// Before, the limiter may still count the instance as alive and give that part to others.
	partAfter = 3 * time.Second
	// partCapacity is how much of its own part an instance saves.
	partCapacity = 2 * time.Second
	// returnedLifetime is how long what was returned can be used.
	returnedLifetime = 2 * time.Second
	// minRetryAfter and maxRetryAfter limit what callers are told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// withoutStateRetryAfter is when callers of an instance without a state should try again. It asks for one,
	// and an answer takes some milliseconds.
	withoutStateRetryAfter = 200 * time.Millisecond
)

// Reason says why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonLimit means that the workspace has used up its limit.
	ReasonLimit Reason = "limit"
	// ReasonUnreported means that the instance has admitted as much as it may before the limiter has counted it.
	ReasonUnreported Reason = "unreported"
	// ReasonNoState means that the instance has no recent state of the limiter.
	ReasonNoState Reason = "no_state"
	// ReasonPart means that the instance has used up its own part, which it uses without a state.
	ReasonPart Reason = "own_part"
)

// Verdict is the decision about a request.
type Verdict struct {
	Admitted bool
	// RetryAfter is when the limit will allow the request, and Reason why it was refused.
	RetryAfter time.Duration
	Reason     Reason
	// Balance is the balance of the last state.
	Balance float64
}

// Share decides about the requests of one workspace at one instance. It isn't safe for concurrent use.
type Share struct {
	limit Limit
	// known is the number of instances that may run.
	known int
	// used and demanded count since the process started, and the counted ones are what the limiter has counted
	// of them.
	used, demanded               int64
	countedUsed, countedDemanded int64
	// returned is what was returned and hasn't been used for other requests, and returnedAt when it was last.
	returned   int64
	returnedAt time.Time
	// weight is the instance's part of the demand, by the limiter's last answer.
	weight float64
	state  State
	// madeAt is when the state was made, at the latest; zero if there is none. lastStateAt is that of the last
	// state, even if it has been dropped.
	madeAt, lastStateAt time.Time
	// part is the unused own part, and partAt when it was counted; zero while states arrive.
	part   float64
	partAt time.Time
	// resumedAt is when the process last ran again after it had stood still.
	resumedAt time.Time
}

// NewShare returns the share of an instance whose process starts now or has just learned of the limit.
func NewShare(now time.Time, limit Limit, known int) *Share {
	return &Share{limit: limit, known: max(1, known), lastStateAt: now}
}

// SetLimit puts another limit in force.
func (s *Share) SetLimit(limit Limit) { s.limit = limit }

// SetKnown sets the number of instances that may run.
func (s *Share) SetKnown(known int) { s.known = max(1, known) }

// Observe takes a state that was made at a time, or later.
func (s *Share) Observe(madeAt time.Time, state State) {
	s.state, s.madeAt, s.lastStateAt = state, madeAt, madeAt
	s.part, s.partAt = 0, time.Time{}
}

// Acknowledge takes the limiter's answer to a report.
func (s *Share) Acknowledge(ack Ack) {
	s.countedUsed, s.countedDemanded, s.weight = ack.Used, ack.Demanded, ack.Weight
}

// Drop forgets the state: the process stood still, so that the limiter may have given this instance up.
func (s *Share) Drop(now time.Time) {
	s.madeAt, s.resumedAt = time.Time{}, now
	s.part, s.partAt = 0, time.Time{}
}

// age returns the age of the state. A quiet one doesn't get old: no other state follows while nothing is used.
func (s *Share) age(now time.Time) (age time.Duration, ok bool) {
	switch {
	case s.madeAt.IsZero():
		return 0, false
	case s.state.Quiet:
		return 0, true
	}
	age = max(0, now.Sub(s.madeAt))
	return age, age < usableFor
}

// Admit decides about a request and counts it if it is admitted.
func (s *Share) Admit(now time.Time, cost int, random *rand.Rand) Verdict {
	s.demanded += int64(cost)
	v := s.decide(now, float64(cost), random)
	v.Balance = s.state.Balance
	if v.Admitted {
		s.use(now, int64(cost))
	}
	return v
}

func (s *Share) decide(now time.Time, cost float64, random *rand.Rand) Verdict {
	age, ok := s.age(now)
	if !ok {
		return s.decideByPart(now, cost, random)
	}
	if float64(s.Unreported()) >= s.mayHoldBack(age) {
		return Verdict{Reason: ReasonUnreported, RetryAfter: minRetryAfter}
	}
	admit := min(s.state.Admit*trust(age)*s.unspent(age), s.available()/cost)
	// Chance decides, and not a count, so that a request that is larger than this instance's part of the balance
	// is admitted as often as the share says. The balance corrects what that gives too much or too little.
	if random.Float64() < admit {
		return Verdict{Admitted: true}
	}
	return Verdict{Reason: ReasonLimit, RetryAfter: s.retryAfter(cost, admit)}
}

// trust returns how much a state of the given age counts.
func trust(age time.Duration) float64 {
	if age <= freshFor {
		return 1
	}
	return max(0, (usableFor-age).Seconds()/(usableFor-freshFor).Seconds())
}

// unspent returns the factor that reduces the admitted share of an aging state: it allows for the balance above the set
// point being consumed meanwhile.
func (s *Share) unspent(age time.Duration) float64 {
	part := s.limit.times(s.state.Covered)
	above := s.state.Balance - restShare*part.Capacity
	if age <= spentAfter || above <= 0 {
		return 1
	}
	extra := above / part.correction()
	spent := min(1, (age-spentAfter).Seconds()/part.correction())
	return 1 - spent*extra/(part.PerSecond+extra)
}

// Unreported returns what was admitted here and isn't counted by the limiter yet.
func (s *Share) Unreported() int64 { return s.used - s.countedUsed }

// mayHoldBack returns the bound of Unreported: at or above it, requests are refused with ReasonUnreported. It is this
// instance's share of the available amount, which bounds the overshoot of all instances when demand jumps or messages
// are lost. A single request may exceed it.
func (s *Share) mayHoldBack(age time.Duration) float64 {
	perSecond := s.state.Covered * s.limit.PerSecond
	available := s.available() + perSecond*age.Seconds()
	covered := max(1, s.state.Covered*float64(s.known))
	return max(s.weight, 1/covered) * available
}

// available returns what all instances may use from the state on.
func (s *Share) available() float64 {
	return max(0, s.state.Balance+s.state.Covered*s.limit.Debt)
}

// retryAfter returns when the balance will cover a request, given the demand.
func (s *Share) retryAfter(cost, admit float64) time.Duration {
	part := s.limit.times(s.state.Covered)
	if part.PerSecond <= 0 {
		return maxRetryAfter
	}
	missing := cost + max(0, restShare*part.Capacity-s.state.Balance)
	// Demand is the rate divided by the admitted share: others wait for the same balance.
	crowd := 1 / max(admit, 1/maxAdmit)
	return clampRetry(missing / part.PerSecond * crowd)
}

func clampRetry(seconds float64) time.Duration {
	return time.Duration(min(max(seconds, minRetryAfter.Seconds()), maxRetryAfter.Seconds()) * float64(time.Second))
}

// decideByPart decides without a state: the instance's own part of the limit counts, from the time on at which
// the limiter must have given this instance up.
func (s *Share) decideByPart(now time.Time, cost float64, random *rand.Rand) Verdict {
	s.madeAt = time.Time{}
	from := s.lastStateAt.Add(partAfter)
	if s.resumedAt.After(from) {
		from = s.resumedAt
	}
	if now.Before(from) {
		return Verdict{Reason: ReasonNoState, RetryAfter: withoutStateRetryAfter}
	}
	if s.partAt.IsZero() {
		s.partAt = from
	}
	perSecond := s.limit.PerSecond / float64(s.known)
	s.part = min(s.part+now.Sub(s.partAt).Seconds()*perSecond, partCapacity.Seconds()*perSecond)
	s.partAt = now
	// A request that is larger than the part is admitted as often as the part allows.
	if random.Float64()*cost < s.part {
		s.part = max(0, s.part-cost)
		return Verdict{Admitted: true}
	}
	return Verdict{Reason: ReasonPart, RetryAfter: clampRetry(cost / max(perSecond, 1e-9))}
}

// Charge counts a request that is sent to another server after it was admitted.
func (s *Share) Charge(now time.Time, cost int) {
	s.use(now, int64(cost))
	s.demanded += int64(cost)
}

// use counts what is sent, as far as it isn't paid by what was returned.
func (s *Share) use(now time.Time, cost int64) {
	if now.Sub(s.returnedAt) > returnedLifetime {
		s.returned = 0
	}
	paid := min(cost, s.returned)
	s.returned -= paid
	s.used += cost - paid
}

// Return takes back a request that was admitted and not sent. It pays for the next requests of this instance, so
// that the counters don't fall.
func (s *Share) Return(now time.Time, cost int) {
	s.returned += int64(cost)
	s.returnedAt = now
}

// Report returns the counters.
func (s *Share) Report(now time.Time, sequence uint64) Report {
	r := Report{
		Sequence: sequence, Used: s.used, Demanded: s.demanded,
		CountedUsed: s.countedUsed, CountedDemanded: s.countedDemanded,
	}
	if age, ok := s.age(now); ok {
		r.StateAge, r.State = max(age, time.Millisecond), s.state
	}
	return r
}
