package workspacequota

import "time"

// delayDrift is by how much two machines' clocks may drift apart.
const delayDrift = 1e-4

// delays tells how much longer than usual the messages of a peer took, from the difference of the two
// machines' clocks. So an old message is known as such that waited in a queue or for a process that stood
// still. The first message of a process gives the usual delay.
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
