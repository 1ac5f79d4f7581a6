package notices

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// versionBytesPerSecond and versionBurstBytes limit what notices of versions take of an instance's link, to all peers
	// together, with the headers and acknowledgments of the network.
	versionBytesPerSecond = 10_000
	versionBurstBytes     = 20_000
	// departureBytesPerSecond and departureBurstBytes are the same for notices of servers that leave.
	departureBytesPerSecond = 5_000
	departureBurstBytes     = 100_000
	// answerBytesPerSecond and answerBurstBytes are the same for notices of versions to peers that wait for them.
	answerBytesPerSecond = 6_000
	answerBurstBytes     = 12_000
	// versionBytes and departureBytes are about what one notice takes in a full datagram, and datagramBytes what a datagram
	// takes besides.
	versionBytes   = 90
	departureBytes = 60
	datagramBytes  = 180
)

// Limiter says how many notices there is room for. What is sent is charged also if it is more than that, and then there is no
// room until it is paid back. It is safe for concurrent use.
type Limiter struct {
	bytes       *rate.Limiter
	noticeBytes int
}

// NewVersionLimiter returns a Limiter for notices of versions, with all its room.
func NewVersionLimiter() *Limiter {
	return &Limiter{bytes: rate.NewLimiter(versionBytesPerSecond, versionBurstBytes), noticeBytes: versionBytes}
}

// NewDepartureLimiter returns a Limiter for notices of servers that leave, with all its room.
func NewDepartureLimiter() *Limiter {
	return &Limiter{bytes: rate.NewLimiter(departureBytesPerSecond, departureBurstBytes), noticeBytes: departureBytes}
}

// NewAnswerLimiter returns a Limiter for notices of versions to peers that wait for them, with all its room.
func NewAnswerLimiter() *Limiter {
	return &Limiter{bytes: rate.NewLimiter(answerBytesPerSecond, answerBurstBytes), noticeBytes: versionBytes}
}

// Notices returns how many notices there is room for, if each is sent to the given number of peers.
func (l *Limiter) Notices(now time.Time, peers int) int {
	perPeer := int(l.bytes.TokensAt(now)) / max(1, peers)
	return max(0, (perPeer-datagramBytes)/l.noticeBytes)
}

// MorePeers returns to how many peers besides the given number a message of so many bytes may be sent at once, so that half
// of the room is left.
func (l *Limiter) MorePeers(now time.Time, peers, bytes int) int {
	room := int(l.bytes.TokensAt(now)) - l.bytes.Burst()/2
	return max(0, room/max(1, bytes)-peers)
}

// Charge counts a datagram of so many bytes.
func (l *Limiter) Charge(now time.Time, bytes int) {
	l.bytes.ReserveN(now, min(bytes, l.bytes.Burst()))
}
