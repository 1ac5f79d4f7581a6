package membership

import "time"

// Settings are the timings and bounds of membership.
type Settings struct {
	// Period is the time between two heartbeats to one peer.
	Period time.Duration
	// AckTimeout is how long a heartbeat waits before others are asked to try.
	AckTimeout time.Duration
	// ProbeTimeout is how long a heartbeat and the others' tries may take before the
	// peer is suspected.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect has to refute.
	SuspicionTimeout time.Duration
	// DeadProbePeriod is the time between two heartbeats to members held dead.
	DeadProbePeriod time.Duration
	// SyncPeriod is the time between two comparisons of whole views, ChangeSyncPeriod
	// the same after a change.
	SyncPeriod, ChangeSyncPeriod time.Duration
	// ForgetAfter is how long a dead member that isn't listed is remembered.
	ForgetAfter time.Duration
	// RecordBytesPerSecond bounds the records sent, RecordBurstBytes how many may come
	// at once after a quiet time.
	RecordBytesPerSecond, RecordBurstBytes int
}

// DefaultSettings hold a dead member's detection under 3 s.
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
	// rings is how many peers each instance sends heartbeats to.
	rings = 4
	// maxSubjectsPerRing bounds the peers of a ring that get heartbeats while the first
	// ones are suspect.
	maxSubjectsPerRing = 3
	// recentChange is how long a change counts as recent in comparisons of views.
	recentChange = time.Minute
	// indirectProbes is how many others are asked to try a silent peer.
	indirectProbes = 3
	// joinProbes is how many listed members are tried per period before the first answer.
	joinProbes = 5
	// sendsPerRecord is how often a record is passed on, in a quiet time.
	sendsPerRecord = 6 * rings
	// sendsPerRecordBusy is the same while many records wait.
	sendsPerRecordBusy = 3 * rings
	// busyQueue is how many waiting records make a busy time.
	busyQueue = 20
	// buckets is how many hashes a view is compared by.
	buckets = 64
	// maxRecordBytes bounds the records of one message.
	maxRecordBytes = 850
	// maxSyncMessages bounds the answer to one Sync.
	maxSyncMessages = 8
	// pauseFactor is how many periods without a tick count as a pause of this process.
	pauseFactor = 4
)
