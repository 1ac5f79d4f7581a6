package scheduling

import (
	"slices"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/scheduling/pace"
)

const (
	// paceRefreshPeriod is how often the factors of the servers are computed. It is longer with many servers, by
	// refreshPeriodPerServer each, so that its share of the processor time doesn't grow with them.
	paceRefreshPeriod, refreshPeriodPerServer = 100 * time.Millisecond, 100 * time.Microsecond
	// refreshesPerUsual is how often factors are computed for each time that what is usual is.
	refreshesPerUsual = 5
	// spreadHold is how long requests are spread over several servers after the servers of a service
	// have differed. A server that has recovered is emptier than all others for a while.
	spreadHold = 5 * time.Second
	// momentaryLifetime is how long a server's statement of its momentary speed counts.
	momentaryLifetime = 500 * time.Millisecond
	// momentaryShare is how much of it counts in the choice of a server, since it is one sample.
	// minMomentary is the lowest that does: below it, the server is about as fast as usual.
	momentaryShare, minMomentary = 0.5, 1.25
	// uncoveredWeight is the weight of a sample of a server that states its momentary speed, but
	// hasn't for the time of the sample.
	uncoveredWeight = 0.3
	// minWindowTokens is the least number of tokens from which a time per token is learned.
	minWindowTokens = 8
	// slowFactor is the factor from which a server counts as found slow.
	slowFactor = 1.4
	// minChangePeriod is the least time between two changes of one server that are told, and
	// changesPerSecond and maxChanges limit those of all servers, so that neither a server between fast and
	// slow nor a large service fills the log. What isn't told for that reason is told later if it still holds.
	minChangePeriod              = 10 * time.Second
	changesPerSecond, maxChanges = 1, 10
)

// serverPace is what was learned of the speed of a server, and what follows from it now.
type serverPace struct {
	pace.Pace
	// factor is how long the server takes, as a multiple of what is usual in its service; 1 if it
	// doesn't differ enough to matter. limit is the most requests that it should have; 0 for no limit of
	// its own.
	factor float64
	limit  int
	// differsUntil is until when the server counts as one that differs from others.
	differsUntil time.Time
	// momentary is the last statement of the server's momentary speed, as a multiple of the usual time,
	// and statedAt when it came; zero if there was none.
	momentary float64
	statedAt  time.Time
	// nextProbe is when this instance may next send a probe to the server if it is slow.
	nextProbe time.Time
	// toldSlow is true if the last change that was told is that the server is slow.
	toldSlow bool
	toldAt   time.Time
}

// SpeedChange says that a server was found slow or has recovered.
type SpeedChange struct {
	Server string
	// Slow is false if the server has recovered.
	Slow bool
	// Factor is how long the server takes, as a multiple of what is usual in its service.
	Factor float64
}

// ServerSpeed describes what an instance assumes of the speed of a server.
type ServerSpeed struct {
	Server string
	// Factor is how long the server takes, as a multiple of what is usual in its service; 1 if it doesn't
	// differ enough to matter.
	Factor float64
	// Limit is the most requests that the server gets since it slows down with more; 0 for no such limit.
	Limit int
}

// SpeedSummary summarizes the speed of all servers.
type SpeedSummary struct {
	// Slow and Fast are how many servers take longer and less than usual, and Limited how many have a limit
	// of their own.
	Slow, Fast, Limited int
	// Min and Max are the lowest and the highest factor; 1 if no server differs.
	Min, Max float64
}

// SummarizeSpeeds returns the summary of the given speeds.
func SummarizeSpeeds(speeds []ServerSpeed) SpeedSummary {
	out := SpeedSummary{Min: 1, Max: 1}
	for _, s := range speeds {
		out.Min, out.Max = min(out.Min, s.Factor), max(out.Max, s.Factor)
		switch {
		case s.Factor > 1:
			out.Slow++
		case s.Factor < 1:
			out.Fast++
		}
		if s.Limit > 0 {
			out.Limited++
		}
	}
	return out
}

// slowdown returns what predictions for the server are multiplied by.
func (s *server) slowdown(now time.Time) float64 {
	return s.pace.factor * s.pace.momentarySlowdown(now)
}

// momentarySlowdown returns the part of the server's last statement that still counts.
func (p *serverPace) momentarySlowdown(now time.Time) float64 {
	age := now.Sub(p.statedAt)
	if p.momentary < minMomentary || age >= momentaryLifetime {
		return 1
	}
	left := 1 - float64(age)/float64(momentaryLifetime)
	return 1 + momentaryShare*left*(p.momentary-1)
}

func scaled(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// learnsSpeedOf reports whether the speed of a server is learned.
func (c *core) learnsSpeedOf(s *server) bool {
	switch c.speeds {
	case SpeedsAlways:
		return true
	case SpeedsNever:
		return false
	}
	return c.statesSpeed[s.service()]
}

// observeMomentary records a server's statement of its momentary speed.
func (c *core) observeMomentary(now time.Time, s *server, load engine.StatedLoad) {
	if load.MomentaryPercent <= 0 || c.speeds == SpeedsNever {
		return
	}
	c.statesSpeed[s.service()] = true
	s.pace.momentary, s.pace.statedAt = float64(load.MomentaryPercent)/100, now
}

// correction returns by what the time from start to now is divided, since the server's machine was slower or
// faster than usual, and how much the sample counts. A statement says little about a sample that is much
// longer than it stays valid.
func (p *serverPace) correction(start, now time.Time) (momentary, weight float64) {
	switch {
	case p.statedAt.IsZero():
		return 1, 1
	case p.statedAt.Before(start.Add(-momentaryLifetime / 2)):
		return 1, uncoveredWeight
	}
	covered := min(1, float64(momentaryLifetime)/float64(max(1, now.Sub(start))))
	return 1 + covered*(p.momentary-1), 1
}

// work is something that a server did for a request and that takes about as long on each server of usual speed.
type work struct {
	start, end time.Time
	// units is by what the time is divided: tokens, or 1.
	units int
	// expected is the time of one unit on a server of usual speed, and trust how much it is trusted, from 0 to 1.
	expected time.Duration
	trust    float64
	// observe learns expected from the time of one unit.
	observe func(time.Duration)
}

// learnPace learns the speed of a request's server. A stream that goes on elsewhere is left out: its events may
// come faster than the server makes tokens.
func (c *core) learnPace(now time.Time, d *dispatchedRequest, w work) {
	s := d.targetCopy.server
	actual := w.end.Sub(w.start) / time.Duration(w.units)
	if actual <= 0 || d.resumed || s.prediction.ReportsStep() || !c.learnsSpeedOf(s) {
		return
	}
	momentary, weight := s.pace.correction(w.start, w.end)
	s.pace.Observe(now, pace.Sample{
		Expected: w.expected, Actual: actual, Running: s.load.Total(now), Slots: s.limit.Batch(),
		Momentary: momentary, Weight: weight * w.trust,
	})
	c.learnsPaces = true
	w.observe(scaled(actual, 1/(s.pace.factor*momentary)))
}

// learnFirst learns from the time to the first token. It is left out if the request waited in the server
// or if a part of the prompt may have been cached: that isn't the server's speed.
func (c *core) learnFirst(now, first time.Time, d *dispatchedRequest) {
	d.windowStart, d.windowTokens = first, 1
	if d.predictedWait > 0 || d.predictedBacklog > 0 || d.cached || d.mayBeCached || d.prefillTokens <= 0 {
		return
	}
	reference := d.target.prediction.Reference()
	expected, trust := reference.First(d.prefillTokens)
	c.learnPace(now, d, work{
		start: d.dispatchedAt, end: first, units: 1, expected: expected, trust: trust,
		observe: func(t time.Duration) { reference.ObserveFirst(d.prefillTokens, t) },
	})
}

// learnTokens learns from the tokens since the last time, if they are enough.
func (c *core) learnTokens(now, end time.Time, d *dispatchedRequest, tokens int) {
	units := tokens - d.windowTokens
	if d.windowTokens == 0 || units < minWindowTokens {
		return
	}
	reference := d.target.prediction.Reference()
	expected, trust := reference.PerToken()
	c.learnPace(now, d, work{
		start: d.windowStart, end: end, units: units, expected: expected, trust: trust, observe: reference.ObservePerToken,
	})
	d.windowStart, d.windowTokens = end, tokens
}

// learnWhole learns from a whole answer of a plain service.
func (c *core) learnWhole(now time.Time, d *dispatchedRequest, duration time.Duration) {
	if d.predictedWait > 0 {
		return
	}
	reference := d.target.prediction.Reference()
	expected, trust := reference.Whole()
	c.learnPace(now, d, work{
		start: now.Add(-duration), end: now, units: 1, expected: expected, trust: trust, observe: reference.ObserveWhole,
	})
}

// learnProgress learns from the tokens that have arrived.
func (c *core) learnProgress(now time.Time, d *dispatchedRequest, tokens int) {
	if d.windowTokens == 0 && tokens == 1 {
		c.learnFirst(now, now, d)
		return
	}
	c.learnTokens(now, now, d, tokens)
}

// learnEnd learns from a complete answer what progress hasn't shown.
func (c *core) learnEnd(now time.Time, d *dispatchedRequest, o Outcome) {
	if o.Tokens == 0 {
		if d.maxTokens == 0 {
			c.learnWhole(now, d, o.Duration)
		}
		return
	}
	start := now.Add(-o.Duration)
	if d.windowTokens == 0 && o.FirstToken > 0 {
		c.learnFirst(now, start.Add(o.FirstToken), d)
	}
	c.learnTokens(now, now, d, o.Tokens)
}

// refreshPaces computes the factors and limits of the servers anew if that is due.
func (c *core) refreshPaces(now time.Time) {
	period := max(paceRefreshPeriod, time.Duration(len(c.servers))*refreshPeriodPerServer)
	if !c.learnsPaces || now.Sub(c.pacesAt) < period {
		return
	}
	c.changeCredit = min(maxChanges, c.changeCredit+changesPerSecond*now.Sub(c.pacesAt).Seconds())
	c.pacesAt = now
	if now.Sub(c.usualAt) >= refreshesPerUsual*period {
		c.usualAt = now
		c.refreshUsual(now)
	}
	for _, s := range c.servers {
		if !s.pace.LastSample().IsZero() {
			c.refreshPace(now, s)
		}
	}
}

// refreshUsual computes what is usual in each service.
func (c *core) refreshUsual(now time.Time) {
	byService := map[string][]*pace.Pace{}
	for _, s := range c.servers {
		if s.listed {
			service := s.service()
			byService[service] = append(byService[service], &s.pace.Pace)
		}
	}
	for _, paces := range byService {
		usual := pace.UsualOf(now, paces)
		for _, p := range paces {
			p.SetUsual(usual)
		}
	}
}

// service returns the service with whose servers this one is compared.
func (s *server) service() string {
	if s.Pool == "" && len(s.Services) > 0 {
		return s.Services[0]
	}
	return s.Pool
}

func (c *core) refreshPace(now time.Time, s *server) {
	p := &s.pace
	differed := now.Before(p.differsUntil)
	p.factor = p.Factor(now)
	p.limit = p.Limit(now, s.limit.Batch())
	if p.factor != 1 || p.limit > 0 {
		p.differsUntil = now.Add(spreadHold)
		if !differed {
			s.forgetSpeeds()
		}
	}
	c.tellChange(now, s)
}

// forgetSpeeds drops what was learned of single targets on the server before it counted as one that
// differs. It holds a part of the difference, which would count twice now and still once it is over.
func (s *server) forgetSpeeds() {
	for _, tc := range s.knownCopies {
		tc.speed.Forget()
	}
}

func (c *core) tellChange(now time.Time, s *server) {
	p := &s.pace
	changed := !p.toldSlow && p.factor >= slowFactor || p.toldSlow && p.factor <= 1
	if !changed || !p.toldAt.IsZero() && now.Sub(p.toldAt) < minChangePeriod || c.changeCredit < 1 {
		return
	}
	c.changeCredit--
	p.toldSlow, p.toldAt = !p.toldSlow, now
	c.speedChanges = append(c.speedChanges, SpeedChange{Server: s.Name, Slow: p.toldSlow, Factor: p.factor})
}

// TakeSpeedChanges implements Scheduler.
func (c *core) TakeSpeedChanges() []SpeedChange {
	changes := c.speedChanges
	c.speedChanges = nil
	return changes
}

// ServerSpeeds implements Scheduler.
func (c *core) ServerSpeeds(now time.Time) []ServerSpeed {
	c.refreshPaces(now)
	out := make([]ServerSpeed, 0, len(c.servers))
	for _, s := range c.servers {
		if s.listed {
			out = append(out, ServerSpeed{Server: s.Name, Factor: s.pace.factor, Limit: s.pace.limit})
		}
	}
	return out
}

// differs reports whether one of the candidates' servers differs from others, or did a short time ago.
func (c *core) differs(now time.Time) bool {
	return slices.ContainsFunc(c.candidateCopies, func(tc *targetCopy) bool { return now.Before(tc.server.pace.differsUntil) })
}
