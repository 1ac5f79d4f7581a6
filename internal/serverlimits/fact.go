package serverlimits

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"limpethub/internal/engine"
	"limpethub/internal/gossip"
)

// factValue is what instances tell each other of a limit. The fact's key is the number of the
// server's process, and its time is when an answer last named the limit, or named none.
type factValue struct {
	Server      string `cbor:"1,keyasint"`
	StartMillis int64  `cbor:"2,keyasint,omitempty"`
	// PerSecond is nil if the process names no limit any more.
	PerSecond *float64 `cbor:"3,keyasint,omitempty"`
	// InForceMillis is how long the process had named this number at the time of the fact.
	InForceMillis int64 `cbor:"4,keyasint,omitempty"`
}

// maxServerName limits the name in a received fact, in bytes.
const maxServerName = 256

// tell tells the other instances what is known of a process. The lock is held.
func (l *Limits) tell(k *known, now time.Time) {
	k.toldAt = now
	if l.options.Publish == nil {
		return
	}
	if f, ok := l.fact(k); ok {
		l.options.Publish(f)
	}
}

func (l *Limits) fact(k *known) (gossip.Timed, bool) {
	value := factValue{Server: k.server.Name, StartMillis: k.server.StartMillis}
	if k.inForce {
		value.PerSecond, value.InForceMillis = &k.perSecond, max(0, k.heardAt.Sub(k.since).Milliseconds())
	}
	data, err := cbor.Marshal(value)
	if err != nil || len(data) > gossip.MaxValueBytes {
		l.options.Logger.WithField("server", k.server.Name).WithError(err).Error("A server's limit can't be told to other instances: it can't be encoded in few bytes")
		return gossip.Timed{}, false
	}
	return gossip.Timed{Topic: l.options.Topic, Key: k.server.ProcessNumber(), Value: data, At: k.heardAt}, true
}

// HandleFact joins what a peer says of a limit. It is the cluster's handler of gossip.TopicLimit.
func (l *Limits) HandleFact(now time.Time, f gossip.Timed) (gossip.Timed, bool) {
	var value factValue
	if err := cbor.Unmarshal(f.Value, &value); err != nil || value.Server == "" || len(value.Server) > maxServerName ||
		value.InForceMillis < 0 || value.PerSecond != nil && !(*value.PerSecond >= 0) {
		l.options.Logger.WithField("bytes", len(f.Value)).Warn("Ignored a peer's word of a limit: it is malformed")
		return f, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.entry(engine.Server{Name: value.Server, StartMillis: value.StartMillis})
	if !f.At.After(k.heardAt) || now.Sub(f.At) >= lifetime {
		return f, false
	}
	if value.PerSecond == nil {
		return f, l.endedElsewhere(k, f.At)
	}
	return f, l.namedElsewhere(k, *value.PerSecond, time.Duration(value.InForceMillis)*time.Millisecond, f.At, now)
}

// endedElsewhere records that another instance got an answer without a limit, and reports whether
// that is new. The lock is held.
func (l *Limits) endedElsewhere(k *known, at time.Time) bool {
	if !k.inForce {
		k.heardAt = at
		return false
	}
	l.end(k, at, "the server names none any more")
	return true
}

// namedElsewhere records that another instance got an answer with a limit, and reports whether others
// should know. The lock is held.
func (l *Limits) namedElsewhere(k *known, perSecond float64, inForce time.Duration, at, now time.Time) bool {
	isNew := !k.inForce || k.perSecond != perSecond
	if isNew {
		l.begin(k, perSecond, at.Add(-inForce))
	}
	k.heardAt = at
	l.restartExpiry(k, now)
	// The server may have become known only after the limit did.
	l.apply(k)
	if !isNew && now.Sub(k.toldAt) < confirmPeriod/2 {
		return false
	}
	k.toldAt = now
	return true
}
