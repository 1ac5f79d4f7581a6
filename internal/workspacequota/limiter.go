package workspacequota

import (
	"math"
	"time"
)

const (
	// demandMemory is the time constant of the demand that the admitted share goes by, and weightMemory that of
	// the parts of instances in it.
	demandMemory = 600 * time.Millisecond
	weightMemory = 3 * time.Second
	// minRateTime is the least time that a rate is taken over.
	minRateTime = 300 * time.Millisecond
	// lastingFactor is how far above the rate the demand of the last seconds may be for all to be admitted while the
	// balance isn't low.
	lastingFactor = 1.3
	// maxAdmit limits the admitted share of a state.
	maxAdmit = 4.0
	// quietAfter is how long after the last usage, or its start, a limiter tells its state.
	quietAfter = time.Minute
	// quietTold is for how long it then tells that the workspace is quiet.
	quietTold = 3 * time.Second
	// startSilence is for how long after its start a limiter waits for the first report of another instance.
	startSilence = 500 * time.Millisecond
	// reporterLifetime is how long the counters of an instance are remembered after its last report.
	reporterLifetime = 2 * time.Minute
)

// Limiter counts what all instances use of one workspace's limit. It isn't safe for concurrent use.
type Limiter struct {
	limit Limit
	// covered is the part of the limit that is given out.
	covered   float64
	balance   float64
	countedAt time.Time
	startedAt time.Time
	// gap is the time between the last state of the previous limiter and the start of this one. owed is what the limit
	// granted in that time and no report has claimed yet; the first reports of instances are charged to it.
	gap  time.Duration
	owed float64
	// usedAt is when a report last brought demand.
	usedAt    time.Time
	demand    rate
	weighed   rate
	reporters map[string]*reporter
	// forgotAt is when reporters were last looked through for old ones.
	forgotAt time.Time
}

// reporter holds the last counters of an instance.
type reporter struct {
	process    uint64
	sequence   uint64
	used       int64
	demanded   int64
	reportedAt time.Time
	demand     rate
}

// NewLimiter returns a limiter that starts now. Its balance starts at the set point instead of the full capacity,
// because the usage just before the start is unknown.
func NewLimiter(now time.Time, limit Limit, covered float64) *Limiter {
	return &Limiter{
		limit: limit, covered: covered, balance: restShare * covered * limit.Capacity,
		countedAt: now, startedAt: now, usedAt: now, forgotAt: now,
		demand: rate{memory: demandMemory}, weighed: rate{memory: weightMemory}, reporters: map[string]*reporter{},
	}
}

// SetLimit puts another limit in force.
func (l *Limiter) SetLimit(now time.Time, limit Limit) {
	l.advance(now)
	l.limit = limit
	l.advance(now)
}

// SetCovered sets which part of the limit is given out: that of the instances which are alive, of all that may
// still run. The rest is withheld, since the others may use it without a message getting here.
func (l *Limiter) SetCovered(now time.Time, covered float64) {
	l.advance(now)
	l.covered = covered
	l.advance(now)
}

// advance adds the limit of the time since the last call.
func (l *Limiter) advance(now time.Time) {
	part := l.limit.times(l.covered)
	if elapsed := now.Sub(l.countedAt); elapsed > 0 {
		l.balance += elapsed.Seconds() * part.PerSecond
		l.countedAt = now
	}
	l.balance = min(l.balance, part.Capacity)
}

// Report counts what an instance reports. It returns false if the report is older than one before.
func (l *Limiter) Report(now time.Time, instance string, process uint64, report Report) (Ack, bool) {
	l.advance(now)
	r := l.reporters[instance]
	if r != nil && (process < r.process || process == r.process && report.Sequence <= r.sequence) {
		return Ack{}, false
	}
	isNew := r == nil || process > r.process
	if isNew {
		r = newReporter(r, process)
		l.reporters[instance] = r
	}
	// What another limiter has acknowledged was counted there.
	used := report.Used - max(r.used, report.CountedUsed)
	demanded := report.Demanded - max(r.demanded, report.CountedDemanded)
	if isNew {
		l.learn(now, report)
		paid := min(float64(used), l.owed)
		l.owed -= paid
		l.balance += paid
	}
	r.sequence, r.used, r.demanded, r.reportedAt = report.Sequence, report.Used, report.Demanded, now
	l.balance -= float64(used)
	if demanded > 0 {
		l.usedAt = now
		for _, d := range []*rate{&l.demand, &l.weighed, &r.demand} {
			d.add(now, float64(demanded))
		}
	}
	return Ack{Used: r.used, Demanded: r.demanded, Weight: l.weight(now, r)}, true
}

// learn initializes the balance and the demand from the state of the previous limiter that an instance reports.
func (l *Limiter) learn(now time.Time, report Report) {
	gap := report.StateAge - now.Sub(l.startedAt)
	if gap <= l.gap || report.StateAge >= usableFor {
		return
	}
	last := &report.State
	perSecond := last.Covered * l.limit.PerSecond
	if l.gap == 0 {
		l.balance += min(0, last.Balance)
		if last.Admit > 0 && last.Admit < 1 {
			l.demand.start(now, max(l.demand.perSecond(now), perSecond/last.Admit))
		}
	}
	l.owed += (gap - l.gap).Seconds() * perSecond
	l.gap = gap
}

// newReporter begins to count an instance's process.
func newReporter(before *reporter, process uint64) *reporter {
	r := &reporter{process: process, demand: rate{memory: weightMemory}}
	if before != nil {
		r.demand = before.demand
	}
	return r
}

// weight returns an instance's part of the demand.
func (l *Limiter) weight(now time.Time, r *reporter) float64 {
	all := l.weighed.perSecond(now)
	if all <= 0 {
		return 0
	}
	return min(1, r.demand.perSecond(now)/all)
}

// State returns the state for the other instances, without the limiter's name and the version.
func (l *Limiter) State(now time.Time) State {
	l.advance(now)
	l.forget(now)
	return State{Balance: l.balance, Admit: l.admit(now), Covered: l.covered, Quiet: now.Sub(l.usedAt) > quietAfter}
}

// Silent reports whether other instances get no states: they know that the workspace is quiet, or the limiter has
// just started and knows less than they do.
func (l *Limiter) Silent(now time.Time) bool {
	return len(l.reporters) <= 1 && now.Sub(l.startedAt) < startSilence || now.Sub(l.usedAt) > quietAfter+quietTold
}

// admit returns which share of the requests may be admitted.
func (l *Limiter) admit(now time.Time) float64 {
	part := l.limit.times(l.covered)
	if part.PerSecond <= 0 || l.balance <= -part.Debt {
		return 0
	}
	rest := restShare * part.Capacity
	allowed := part.PerSecond + (l.balance-rest)/part.correction()
	share := maxAdmit
	if demand := l.demand.perSecond(now); demand > allowed/maxAdmit {
		share = allowed / demand
	}
	switch {
	case l.balance >= lowShare*part.Capacity:
		// While the balance is high, admit all unless the demand over weightMemory exceeds the rate by lastingFactor. In
		// lasting overload the remaining balance is a reserve: if the limiter fails, instances act on its last state for a while.
		lasting := l.weighed.perSecond(now)
		share = max(share, min(1, lastingFactor*part.PerSecond/max(lasting, 1e-9)))
	case l.balance < 0:
		share = min(share, 1+l.balance/part.Debt)
	}
	return max(0, share)
}

// forget drops the counters of instances that haven't reported for long.
func (l *Limiter) forget(now time.Time) {
	if now.Sub(l.forgotAt) < reporterLifetime/4 {
		return
	}
	l.forgotAt = now
	for name, r := range l.reporters {
		if now.Sub(r.reportedAt) > reporterLifetime {
			delete(l.reporters, name)
		}
	}
}

// rate is a rate per second with exponential decay.
type rate struct {
	memory time.Duration
	sum    float64
	at     time.Time
	since  time.Time
}

// start makes the rate go on from a known one.
func (r *rate) start(now time.Time, perSecond float64) {
	r.sum, r.at, r.since = perSecond*r.memory.Seconds(), now, now.Add(-minRateTime-10*r.memory)
}

func (r *rate) add(now time.Time, amount float64) {
	if r.since.IsZero() {
		r.since = now
	}
	r.sum, r.at = r.decayed(now)+amount, now
}

// perSecond returns the rate. Shortly after the first amount, the time since then counts instead of the memory.
func (r *rate) perSecond(now time.Time) float64 {
	if r.sum == 0 {
		return 0
	}
	time := max(minRateTime, now.Sub(r.since)).Seconds()
	filled := 1 - math.Exp(-time/r.memory.Seconds())
	return r.decayed(now) / (r.memory.Seconds() * filled)
}

func (r *rate) decayed(now time.Time) float64 {
	if r.sum == 0 {
		return 0
	}
	return r.sum * math.Exp(-max(0, now.Sub(r.at).Seconds())/r.memory.Seconds())
}
