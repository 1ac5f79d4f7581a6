package workspacequota

import "time"

// delayDrift is the assumed maximum relative drift between the clocks of two machines: twice what a clock that is
// adjusted over a network may run fast or slow. With a lower one, the estimated delay would grow for as long as a peer
// runs, until its states count as old.
const delayDrift = 1e-3

// delays estimates how much longer than the minimum the messages of one peer process took, from the difference between
// the receiver's and the sender's clock. This detects messages that were queued or delayed by a suspended process. The
// first message of a process sets the baseline.
type delays struct {
	process uint64
	// usual is the least difference between arrival and departure.
	usual time.Duration
	at    time.Time
}

// observe returns the additional delay of a message.
func (d *delays) observe(now time.Time, process uint64, sentMillis int64) time.Duration {
	difference := time.Duration(now.UnixMilli()-sentMillis) * time.Millisecond
	if process != d.process {
		d.process, d.usual, d.at = process, difference, now
		return 0
	}
	// The clocks may have drifted since the least difference was seen.
	drift := time.Duration(delayDrift * float64(now.Sub(d.at)))
	d.usual, d.at = min(d.usual+drift, difference), now
	return difference - d.usual
}
