package notices

import "time"

const (
	// departureLifetime is how long after it was learned a notice of a server that leaves is sent. Later each instance has read it.
	departureLifetime = 3 * time.Second
	// sendsPerDeparture is how often each instance sends a notice of a server that leaves.
	sendsPerDeparture = 2
	// departureMemory is how long a notice of a server that leaves is remembered, so that it is passed on only once.
	departureMemory = time.Minute
)

// Departure says that a process of a server is leaving, or that a server's announcement was removed at a revision.
type Departure struct {
	Server string
	// StartMillis identifies the process, and Revision the removal; 0 if the server is leaving.
	StartMillis, Revision int64
}

// SentDeparture is a Departure that a message carries.
type SentDeparture struct {
	Departure
	// FirstHand is true if this instance itself found out and hasn't sent it before.
	FirstHand bool
}

// Departures holds the notices of servers that leave which one instance knows, and says which of them its next message
// carries. It isn't safe for concurrent use.
type Departures struct{ outbox outbox[Departure, Departure] }

// NewDepartures returns Departures without notices.
func NewDepartures() *Departures {
	return &Departures{outbox: newOutbox[Departure, Departure](outboxSettings{lifetime: departureLifetime, memory: departureMemory, sends: sendsPerDeparture})}
}

// Publish adds what this instance itself found out, unless a peer has told it.
func (d *Departures) Publish(now time.Time, departure Departure) {
	if d.outbox.get(departure) == nil {
		d.outbox.put(now, departure, &entry[Departure]{value: departure, madeAt: now, firstHand: true})
	}
}

// Receive records a peer's notice, and reports whether it is to be passed on.
func (d *Departures) Receive(now time.Time, departure Departure) (passOn bool) {
	return d.outbox.get(departure) == nil && d.outbox.put(now, departure, &entry[Departure]{value: departure, madeAt: now})
}

// Take returns up to limit notices for a message, and marks them as sent: those that weren't sent before, and also others if
// repeat is true.
func (d *Departures) Take(now time.Time, limit int, repeat bool) []SentDeparture {
	var out []SentDeparture
	for _, e := range d.outbox.take(now, limit, repeat) {
		out = append(out, SentDeparture{Departure: e.value, FirstHand: e.firstHand && e.sends == 1})
	}
	return out
}
