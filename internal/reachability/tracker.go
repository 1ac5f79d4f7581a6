// Package reachability tells whether this instance reaches the backend servers by itself, and which
// other instances do. Tracker decides from what is heard of servers, and from probes; it has no
// goroutine, clock or socket. Monitor is the shell around it. Peers holds what other instances say of
// themselves.
package reachability

import "time"

// State says how this instance reaches the servers.
type State uint8

const (
	// Direct means that nothing speaks against new connections to servers.
	Direct State = iota
	// OpenOnly means that no server takes a new connection of this instance, while open ones still bring
	// answers.
	OpenOnly
	// CutOff means that no server answers this instance on any connection.
	CutOff
)

var stateNames = [...]string{Direct: "direct", OpenOnly: "open connections only", CutOff: "cut off"}

func (s State) String() string { return stateNames[s] }

const (
	// ProbesPerRound is how many servers a round of probes asks, if any of them was heard lately. An instance with
	// fewer servers asks all.
	ProbesPerRound = 3
	// WideProbesPerRound is the same while no server was heard lately, as each may be gone, and after the first round without
	// an answer, so that it takes most servers to confirm it.
	WideProbesPerRound = 8
	// enoughUnanswered is how many servers, none of which was heard lately, must have been asked in a row without an
	// answer before that says anything of this instance. With fewer servers, all must have been asked.
	enoughUnanswered = 24
	// ProbeTimeout limits one probe. All probes of a round run at the same time.
	ProbeTimeout = 300 * time.Millisecond
	// quietAfter is how long no server may have been heard, while calls wait for an answer, before a round.
	quietAfter = 250 * time.Millisecond
	// quietRoundPeriod is the shortest time between two rounds because of silence. Calls may wait for long
	// without anything being wrong.
	quietRoundPeriod = time.Second
	// roundPeriod is the time from the end of a round to the next one while the last one got no answer, and
	// after a failed attempt to connect. The first round without an answer is confirmed at once.
	roundPeriod = 200 * time.Millisecond
	// maxRoundTime is how long a round may last. A longer one says nothing, as the process was held up.
	maxRoundTime = ProbeTimeout + 150*time.Millisecond
	// failedRoundsForChange and goodRoundsForDirect are the rounds in a row that it takes to change the
	// state, so that neither lost packets nor some servers that are gone do.
	failedRoundsForChange = 2
	goodRoundsForDirect   = 2
	// soundSilence is how long sound servers may send nothing although they take connections. Only after that do
	// rounds in which a server has taken a connection show that the instance is cut off.
	soundSilence = 1800 * time.Millisecond
	// openSilence is how long open connections may bring nothing before they count as cut off too, if
	// there are no new ones.
	openSilence = 700 * time.Millisecond
)

// Round is the outcome of one round of probes.
type Round struct {
	BeganAt time.Time
	// Tried is how many servers were asked, and Answered how many of them answered.
	Tried, Answered int
	// Silent is how many took the connection, so that packets pass in both directions, but didn't answer.
	Silent int
	// HeardLately is how many of those asked had been heard lately, and Known how many servers there are.
	HeardLately, Known int
}

// Tracker decides on the State. It isn't safe for concurrent use.
type Tracker struct {
	state State
	// calls is how many calls wait for a server, and waitingSince when the first of them began.
	calls        int
	waitingSince time.Time
	heardAt      time.Time
	// connectFailed is true if an attempt to connect has failed since the last round.
	connectFailed bool
	probing       bool
	roundEndedAt  time.Time
	// failedRounds and goodRounds are the rounds in a row without an answer, and with one.
	failedRounds, goodRounds int
	// failingSince is when the first of failedRounds began, or when the process went on after it was held up.
	failingSince time.Time
	// unanswered is how many servers were asked since the last answer to a probe.
	unanswered int
}

// State returns the present state.
func (t *Tracker) State() State { return t.state }

// CallBegan and CallEnded record that a call to a server waits for bytes, or no longer does.
func (t *Tracker) CallBegan(now time.Time) {
	if t.calls == 0 {
		t.waitingSince = now
	}
	t.calls++
}

func (t *Tracker) CallEnded() { t.calls-- }

// Heard records that something arrived from a server.
func (t *Tracker) Heard(now time.Time) { t.heardAt = now }

// ConnectFailed records that a server couldn't be connected to.
func (t *Tracker) ConnectFailed() { t.connectFailed = true }

// quiet returns for how long calls have waited without a byte from any server.
func (t *Tracker) quiet(now time.Time) time.Duration {
	if t.calls == 0 {
		return 0
	}
	if t.heardAt.After(t.waitingSince) {
		return now.Sub(t.heardAt)
	}
	return now.Sub(t.waitingSince)
}

// BeginRound reports whether a round of probes is due; it then counts as begun.
//
// The load is a cut: each call to a server hangs or fails, whichever server it goes to.
func (t *Tracker) BeginRound(now time.Time) bool {
	sinceLast := now.Sub(t.roundEndedAt)
	isSuspect := t.connectFailed || t.failedRounds > 0 || t.state != Direct
	due := isSuspect && sinceLast >= roundPeriod ||
		t.confirms() ||
		t.quiet(now) >= quietAfter && sinceLast >= quietRoundPeriod
	if t.probing || !due {
		return false
	}
	t.probing, t.connectFailed = true, false
	return true
}

// confirms reports whether the next round confirms the first one without an answer.
func (t *Tracker) confirms() bool { return t.state == Direct && t.failedRounds == 1 }

// isDecisive reports whether a round that begins now may be the last one before a change of the state.
func (t *Tracker) isDecisive(now time.Time) bool {
	switch {
	case t.state != Direct && t.goodRounds > 0:
		return true
	case t.state == OpenOnly:
		return now.Sub(t.heardAt) >= openSilence
	}
	return t.state == Direct && t.failedRounds >= failedRoundsForChange && now.Sub(t.failingSince) >= soundSilence
}

// RoundEnded takes the outcome of a round and reports whether the state has changed.
func (t *Tracker) RoundEnded(now time.Time, r Round) bool {
	if t.failedRounds == 0 || r.BeganAt.Sub(t.roundEndedAt) > quietRoundPeriod {
		t.failingSince = r.BeganAt
	}
	t.probing, t.roundEndedAt = false, now
	if r.Tried == 0 {
		return false
	}
	if r.Answered == 0 && now.Sub(r.BeganAt) > maxRoundTime {
		t.failingSince = now
		return false
	}
	if r.Answered > 0 {
		t.failedRounds, t.unanswered = 0, 0
		t.goodRounds++
	} else {
		t.goodRounds = 0
		t.unanswered += r.Tried
		if !t.speaksOfInstance(r) {
			return false
		}
		t.failedRounds++
	}
	before := t.state
	t.state = t.next(now, r)
	return t.state != before
}

// speaksOfInstance reports whether a round without an answer shows something of this instance, and not only that
// some servers are gone while their announcements are still there.
func (t *Tracker) speaksOfInstance(r Round) bool {
	return r.HeardLately > 0 || t.unanswered >= min(enoughUnanswered, r.Known)
}

// mayBeSilence reports whether a round without an answer only shows that servers are silent, which sound ones are for a while.
func (t *Tracker) mayBeSilence(now time.Time, r Round) bool {
	return r.Silent > 0 && now.Sub(t.failingSince) < soundSilence
}

func (t *Tracker) next(now time.Time, r Round) State {
	switch {
	case t.state != Direct && t.goodRounds >= goodRoundsForDirect:
		return Direct
	case r.Answered > 0:
		return t.state
	case t.failedRounds < failedRoundsForChange || t.mayBeSilence(now, r):
		return t.state
	case !t.heardAt.After(r.BeganAt) && (t.state == Direct || now.Sub(t.heardAt) >= openSilence):
		return CutOff
	case t.state == Direct:
		return OpenOnly
	}
	return t.state
}
