package membership

import "time"

// Settings are the timings and limits of membership.
type Settings struct {
	// Period is the time between two heartbeats to the same peer.
	Period time.Duration
	// AckTimeout is how long to wait for an answer to a heartbeat before other members
	// are asked to ping the peer.
	AckTimeout time.Duration
	// ProbeTimeout is how long to wait for an answer, direct or through other members,
	// before the peer is suspected.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect has to refute the suspicion.
	SuspicionTimeout time.Duration
	// DeadProbePeriod is the time between two pings to dead members.
	DeadProbePeriod time.Duration
	// SyncPeriod is the time between two comparisons of complete views with a peer.
	// ChangeSyncPeriod is the longest time until the next one after a change.
	SyncPeriod, ChangeSyncPeriod time.Duration
	// ForgetAfter is how long a dead member that isn't listed is kept.
	ForgetAfter time.Duration
	// RecordBytesPerSecond limits the rate at which records are sent; RecordBurstBytes is
	// the largest burst after a period with little traffic.
	RecordBytesPerSecond, RecordBurstBytes int
}

// DefaultSettings returns settings that detect a dead member in less than 3 s.
func DefaultSettings() Settings {
	return Settings{
		Period:               250 * time.Millisecond,
		AckTimeout:           250 * time.Millisecond,
		ProbeTimeout:         700 * time.Millisecond,
		SuspicionTimeout:     1200 * time.Millisecond,
		DeadProbePeriod:      time.Second,
		SyncPeriod:           5 * time.Second,
		ChangeSyncPeriod:     500 * time.Millisecond,
		ForgetAfter:          10 * time.Minute,
		RecordBytesPerSecond: 8 << 10,
		RecordBurstBytes:     64 << 10,
	}
}

const (
	// ringCount is how many rings there are, and so how many peers each instance sends
	// heartbeats to while none of them is suspect.
	ringCount = 4
	// maxHeartbeatPeersPerRing limits the peers on one ring that get heartbeats while the nearest
	// ones are suspect.
	maxHeartbeatPeersPerRing = 3
	// recentChangeAge is the age up to which a change is sent first when views are compared.
	recentChangeAge = time.Minute
	// indirectPings is how many members are asked to ping a peer that doesn't answer.
	indirectPings = 3
	// joinPingsPerPeriod is how many listed members are pinged per period until a first
	// message arrives.
	joinPingsPerPeriod = 5
	// sendsPerRecord is how many messages, pings and answers together, carry a record while few
	// records are queued.
	sendsPerRecord = 6 * ringCount
	// sendsPerRecordBusy is how many messages carry a record while many records are queued,
	// since all of them share the rate limit for records.
	sendsPerRecordBusy = 3 * ringCount
	// busyQueueLength is the queue length above which sendsPerRecordBusy applies.
	busyQueueLength = 20
	// bucketCount is the number of hashes by which two views are compared. One message
	// carries all of them.
	bucketCount = 64
	// maxRecordBytes limits the records in one message. It leaves room for the message's other
	// fields within peers.MaxDatagramBytes.
	maxRecordBytes = 850
	// maxSyncMessages limits the number of full messages in the answer to one Sync.
	maxSyncMessages = 8
	// pausePeriods is how many periods without a tick count as a pause of this process.
	pausePeriods = 4
)
