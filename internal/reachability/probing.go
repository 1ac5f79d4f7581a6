package reachability

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/engine"
)

// Prober asks a server for a sign of life on a connection of its own. The error is an engine.UnsentError if the server took
// no connection.
type Prober interface {
	ProbeAnew(ctx context.Context, server engine.Server) error
}

// ProbeCounts counts probes by their outcome.
type ProbeCounts struct {
	// Answered counts those that were answered, Silent those whose server took the connection but didn't answer in time,
	// and Unsent those for which there was no connection.
	Answered, Silent, Unsent uint64
}

func (c *ProbeCounts) count(err error) (outcome string) {
	switch {
	case err == nil:
		c.Answered++
		return "answered"
	case engine.IsUnsent(err):
		c.Unsent++
		return "unsent"
	}
	c.Silent++
	return "silent"
}

// lately is how long ago a server may have been heard for its silence to say something of this instance.
const lately = 10 * time.Second

// manySilent is how many silent servers show that others may be gone as well.
const manySilent = 3

func (m *Monitor) beginRound() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.BeginRound(m.options.Now())
}

// round probes some servers at the same time.
func (m *Monitor) round(ctx context.Context) {
	servers, r := m.pickServers(m.options.Servers())
	answers := make(chan error, len(servers))
	for _, s := range servers {
		go func() { answers <- m.probe(ctx, s) }()
	}
	for range servers {
		switch err := <-answers; {
		case err == nil:
			r.Answered++
		case !engine.IsUnsent(err):
			r.Silent++
		}
	}
	if ctx.Err() == nil {
		m.roundEnded(r, servers)
	}
}

func (m *Monitor) probe(ctx context.Context, server engine.Server) error {
	probeCtx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	err := m.options.Prober.ProbeAnew(probeCtx, server)
	if ctx.Err() == nil {
		m.probed(server, err)
	}
	return err
}

// probed records the outcome of the probe of a server.
func (m *Monitor) probed(server engine.Server, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	outcome := m.probes.count(err)
	m.options.Logger.WithFields(logrus.Fields{"server": server.Name, "outcome": outcome}).Debug("Probed a server")
	if err != nil {
		m.connectFailed(server)
		return
	}
	m.heard(m.options.Now(), server.Name)
}

// silentToProbe returns the silent servers whose probe is due. Those that may not be probed any more get requests again. After a
// round without an answer only rounds ask: all servers seem to be silent to an instance that is cut off.
func (m *Monitor) silentToProbe() (probes []engine.Server) {
	now := m.options.Now()
	m.mu.Lock()
	var due []engine.Server
	if m.tracker.failedRounds == 0 {
		due = m.silent.due(now)
	}
	m.mu.Unlock()
	if len(due) == 0 {
		return nil
	}
	probeable := map[engine.Server]bool{}
	for _, s := range m.options.Servers() {
		probeable[s] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range due {
		if probeable[s] {
			m.askedAt[s.Name] = now
			probes = append(probes, s)
			continue
		}
		m.release(s.Name)
	}
	return probes
}

// release makes a server that was silent count as others do. The lock is held.
func (m *Monitor) release(name string) {
	if m.silent.heard(name) {
		m.options.OnHeard(name)
	}
}

// releaseAll is release for all servers. The lock is held.
func (m *Monitor) releaseAll() {
	for name := range m.silent {
		m.release(name)
	}
}

// pickServers returns the servers of a round that begins now: those that were heard lately, but for one, and others, both
// in turn, so that each is asked at some time. While none was heard lately, or many are silent, there are more of them, and in the
// round that confirms the first one without an answer.
func (m *Monitor) pickServers(servers []engine.Server) ([]engine.Server, Round) {
	now := m.options.Now()
	turns := newTurns(m.options.Self, m.options.Instances())
	m.mu.Lock()
	defer m.mu.Unlock()
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	slices.SortStableFunc(servers, func(a, b engine.Server) int { return m.askedAt[a.Name].Compare(m.askedAt[b.Name]) })
	var heard, others []engine.Server
	for _, s := range m.mayAsk(now, turns, servers) {
		if m.wasHeardLately(now, s.Name) && len(heard) < ProbesPerRound-1 {
			heard = append(heard, s)
			continue
		}
		others = append(others, s)
	}
	most := ProbesPerRound - len(heard)
	if len(heard) == 0 || m.tracker.confirms() || len(m.silent) >= manySilent {
		most = WideProbesPerRound
	}
	picked := slices.Concat(heard, others[:min(most, len(others))])
	for _, s := range picked {
		m.askedAt[s.Name] = now
	}
	if len(picked) > 0 {
		m.pickedAt = now
	}
	return picked, Round{BeganAt: now, Tried: len(picked), HeardLately: len(heard), Known: len(servers)}
}

// mayAsk returns which of the servers, those asked longest ago first, the round that begins now may ask. The lock is held.
func (m *Monitor) mayAsk(now time.Time, turns turns, servers []engine.Server) []engine.Server {
	switch {
	case m.tracker.confirms():
		return m.notJustAsked(now, servers)
	case m.tracker.isDecisive(now):
		return servers
	}
	isSuspect := m.tracker.failedRounds > 0 || m.tracker.State() != Direct
	var out []engine.Server
	for _, s := range servers {
		if !isSuspect && m.hasAnswered(s.Name) || turns.mayAsk(now, s.Name, m.askedAt[s.Name]) {
			out = append(out, s)
		}
	}
	if len(out) > 0 {
		return out
	}
	index, ok := turns.without(now, m.pickedAt, len(servers))
	if !ok {
		return nil
	}
	slices.SortFunc(servers, func(a, b engine.Server) int { return cmp.Compare(a.Name, b.Name) })
	return servers[index : index+1]
}

// hasAnswered reports whether something has come from a server since it was asked last. The lock is held.
func (m *Monitor) hasAnswered(name string) bool { return !m.heardAt[name].Before(m.askedAt[name]) }

// notJustAsked returns the servers that the last round didn't ask, or all if none of these was heard lately. The lock is held.
func (m *Monitor) notJustAsked(now time.Time, servers []engine.Server) []engine.Server {
	var out []engine.Server
	speaks := false
	for _, s := range servers {
		if m.askedAt[s.Name].Before(m.pickedAt) {
			out = append(out, s)
			speaks = speaks || m.wasHeardLately(now, s.Name)
		}
	}
	if !speaks {
		return servers
	}
	return out
}

// wasHeardLately reports whether the silence of a server says something of this instance. The lock is held.
func (m *Monitor) wasHeardLately(now time.Time, name string) bool {
	return now.Sub(m.heardAt[name]) <= lately
}

// forgetPeriod is how often servers that aren't known any more are forgotten.
const forgetPeriod = time.Minute

// forgetGone drops what is remembered of servers that aren't known any more, once in forgetPeriod.
func (m *Monitor) forgetGone() {
	now := m.options.Now()
	if now.Sub(m.forgotAt) < forgetPeriod {
		return
	}
	m.forgotAt = now
	known := map[string]bool{}
	for _, s := range m.options.Servers() {
		known[s.Name] = true
	}
	isGone := func(name string, _ time.Time) bool { return !known[name] }
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.heardAt, isGone)
	maps.DeleteFunc(m.askedAt, isGone)
}
