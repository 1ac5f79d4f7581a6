// Package serverlimits keeps the limits that servers in need name in their answers: how many
// requests a second they take from all instances together, or how many they may turn away. It tells
// the other instances of them, since each one sees only the answers to its own requests.
package serverlimits

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/engine"
	"limpethub/internal/gossip"
	"limpethub/internal/scheduling/quota"
)

const (
	// lifetime is how long a limit is in force after an answer last named it. Each answer without it
	// ends it, so this only matters if no answer comes any more.
	lifetime = 10 * time.Second
	// confirmPeriod is the time after which the instances are told again that answers still name a
	// limit.
	confirmPeriod = 2 * time.Second
	// maxKnown limits how many processes are remembered whose limit has ended or was invalid.
	maxKnown = 1000
)

// Options configures Limits.
type Options struct {
	// Topic is that of the facts, and Kind names in logs what is limited.
	Topic gossip.Topic
	Kind  string
	// Publish spreads a fact to all instances; nil means that there are no others. It must not call
	// Limits.
	Publish func(gossip.Timed)
	// OnChange is called with the limit of a server, or with nil once it has none any more, also when
	// nothing has changed. It must not call Limits; nil means no call.
	OnChange func(server string, limit *quota.Limit)
	Logger   *logrus.Entry
	Now      func() time.Time
}

// Limits holds the limits in force. It is safe for concurrent use.
type Limits struct {
	options Options

	mu sync.Mutex
	// known holds what was last heard of a server's process, by its number.
	known map[uint64]*known
	// limited holds, by the name of the server, its process whose limit is in force.
	limited  map[string]*known
	reported map[uint64]bool
}

// known is what is known of the limit of a server's process.
type known struct {
	server engine.Server
	// inForce is false once the limit has ended.
	inForce   bool
	perSecond float64
	// since is when the process first named this number. heardAt is when an answer last named it or,
	// once the limit has ended, named none.
	since, heardAt time.Time
	// toldAt is when the instances were last told.
	toldAt time.Time
	// expiry ends the limit if no answer names it any more.
	expiry *time.Timer
}

// New returns Limits without any.
func New(options Options) *Limits {
	return &Limits{options: options, known: map[uint64]*known{}, limited: map[string]*known{}, reported: map[uint64]bool{}}
}

// Observe takes what an answer says; see engine.AnswerObserver.ServerLimit.
func (l *Limits) Observe(server engine.Server, perSecond *float64, invalid error, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	if before := l.limited[server.Name]; before != nil && before.server.StartMillis < server.StartMillis {
		l.end(before, now, "the server has started again")
		l.tell(before, now)
	}
	switch {
	case invalid != nil:
		l.reportInvalid(server, invalid)
	case perSecond != nil:
		k := l.entry(server)
		if !k.inForce || k.perSecond != *perSecond {
			l.begin(k, *perSecond, now)
		}
		k.heardAt = now
		l.confirm(k, now)
	default:
		// The answer to a request from before the limit was last named says nothing.
		if k := l.known[server.ProcessNumber()]; k != nil && k.inForce && sentAt.After(k.heardAt) {
			l.end(k, now, "the server names none any more")
			l.tell(k, now)
		}
	}
}

// entry returns what is known of a server's process. The lock is held.
func (l *Limits) entry(server engine.Server) *known {
	number := server.ProcessNumber()
	k := l.known[number]
	if k == nil {
		l.makeRoom()
		k = &known{server: server}
		l.known[number] = k
	}
	return k
}

// makeRoom drops what has ended if much is known. The lock is held.
func (l *Limits) makeRoom() {
	if len(l.known) < maxKnown {
		return
	}
	for number, k := range l.known {
		if !k.inForce {
			delete(l.known, number)
		}
	}
}

// begin puts a limit in force. The lock is held.
func (l *Limits) begin(k *known, perSecond float64, since time.Time) {
	k.inForce, k.perSecond, k.since, k.toldAt = true, perSecond, since, time.Time{}
	if other := l.limited[k.server.Name]; other == nil || other.server.StartMillis <= k.server.StartMillis {
		l.limited[k.server.Name] = k
	}
	l.options.Logger.WithFields(logrus.Fields{
		"server": k.server.Name, "address": k.server.Address, "per_second": perSecond, "kind": l.options.Kind,
	}).Info("Server names a limit")
}

// confirm records that an answer has named the limit, and now and then tells others. It applies the limit
// each time, since the server may have become known only after the limit did. The lock is held.
func (l *Limits) confirm(k *known, now time.Time) {
	l.restartExpiry(k, now)
	l.apply(k)
	if now.Sub(k.toldAt) >= confirmPeriod {
		l.tell(k, now)
	}
}

// restartExpiry has the limit end a lifetime after the last answer that named it. The lock is held.
func (l *Limits) restartExpiry(k *known, now time.Time) {
	left := lifetime - now.Sub(k.heardAt)
	if k.expiry != nil {
		k.expiry.Reset(left)
		return
	}
	k.expiry = time.AfterFunc(left, func() { l.expire(k) })
}

func (l *Limits) expire(k *known) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	if k.inForce && now.Sub(k.heardAt) >= lifetime {
		l.end(k, now, "no answer names it any more")
	}
}

// end ends a limit. The lock is held.
func (l *Limits) end(k *known, at time.Time, reason string) {
	k.inForce, k.heardAt = false, at
	k.expiry.Stop()
	if l.limited[k.server.Name] == k {
		delete(l.limited, k.server.Name)
	}
	l.options.Logger.WithFields(logrus.Fields{"server": k.server.Name, "reason": reason, "kind": l.options.Kind}).Info("The limit of a server ends")
	l.apply(k)
}

// apply passes on what holds for the server of a process now. The lock is held.
func (l *Limits) apply(k *known) {
	if l.options.OnChange == nil {
		return
	}
	limited := l.limited[k.server.Name]
	if limited == nil {
		l.options.OnChange(k.server.Name, nil)
		return
	}
	l.options.OnChange(k.server.Name, &quota.Limit{Process: limited.server.ProcessNumber(), PerSecond: limited.perSecond, Since: limited.since})
}

// reportInvalid logs an invalid limit once for each process. The lock is held.
func (l *Limits) reportInvalid(server engine.Server, invalid error) {
	number := server.ProcessNumber()
	if l.reported[number] {
		return
	}
	if len(l.reported) >= maxKnown {
		clear(l.reported)
	}
	l.reported[number] = true
	l.options.Logger.WithFields(logrus.Fields{"server": server.Name, "kind": l.options.Kind}).WithError(invalid).Warn("Ignored the limit of a server: it isn't a number that can be meant")
}

// InForce reports whether a server's process names a limit now.
func (l *Limits) InForce(server engine.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.known[server.ProcessNumber()]
	return k != nil && k.inForce
}

// Count returns the number of servers with a limit.
func (l *Limits) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, k := range l.known {
		if k.inForce {
			count++
		}
	}
	return count
}
