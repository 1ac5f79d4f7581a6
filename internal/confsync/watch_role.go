package confsync

import (
	"math/rand/v2"
	"time"

	"limpethub/internal/membership"
)

const (
	// confirmationSlack is how much older than the store's progress interval a confirmation may
	// be: it takes a call of the store and a heartbeat to reach an instance.
	confirmationSlack = 500 * time.Millisecond
	// heartbeatFanOut is about how many instances an instance sends its heartbeats to. Each of them passes its confirmation on
	// with the answer.
	heartbeatFanOut = 4
	// backupSpread spreads the instances that become backups: together they begin at most one
	// watch per backupSpread, so that most hear of the first ones that succeed.
	backupSpread = 10 * time.Millisecond
	// minBackupTime and maxBackupTime bound how long a backup goes on after others confirm the
	// configuration again. The time is random, so that several backups don't stop together.
	minBackupTime = 10 * time.Second
	maxBackupTime = 30 * time.Second
)

// watchRole decides whether an instance watches the store. A few instances of each failure domain
// are chosen to watch, by a hash. They may be alive and yet not reach the store while others do.
// So the store's answers to an instance are passed on to all as confirmations, and an instance
// that gets no recent one becomes a backup, which watches as well.
//
// It is a state machine without goroutine, socket or clock.
type watchRole struct {
	self string
	rand *rand.Rand
	// chosen is whether the hash chooses this instance.
	chosen bool
	// progressInterval is the longest time between two answers of the store to a watch.
	progressInterval time.Duration

	// startedAt is the time of the first tick.
	startedAt time.Time
	// latest is the latest confirmation known. ownAt and othersAt are the times of the latest
	// ones by this instance and by others.
	latest          membership.Confirmation
	ownAt, othersAt time.Time

	backup bool
	// backupAt is when this instance becomes a backup, unless a confirmation arrives before;
	// zero while there is a recent one.
	backupAt time.Time
	// backupUntil is when a backup stops; zero while no other instance confirms.
	backupUntil time.Time
}

func (r *watchRole) watching() bool { return r.chosen || r.backup }

// observe takes a confirmation of the revision in force or of an older one.
func (r *watchRole) observe(c membership.Confirmation) {
	if c.By == r.self {
		r.ownAt = latest(r.ownAt, c.At)
	} else {
		r.othersAt = latest(r.othersAt, c.At)
	}
	if c.At.After(r.latest.At) {
		r.latest = c
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// maxAge returns the age up to which a confirmation counts as recent among so many instances:
// enough for one progress interval and the heartbeats to pass it on.
func (r *watchRole) maxAge(instances int) time.Duration {
	age := r.progressInterval + confirmationSlack
	for reached := 1 + heartbeatFanOut; reached < instances; reached *= heartbeatFanOut {
		age += membership.DefaultSettings().Period
	}
	return age
}

// tick takes the time and the number of instances, this one included.
func (r *watchRole) tick(now time.Time, instances int) {
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	oldest := now.Add(-r.maxAge(instances))
	if r.backup {
		r.tickBackup(now, oldest)
		return
	}
	if latest(r.latest.At, r.startedAt).After(oldest) {
		r.backupAt = time.Time{}
		return
	}
	if r.backupAt.IsZero() {
		r.backupAt = now.Add(r.retryWait(instances))
	}
	r.backup = !now.Before(r.backupAt)
}

// tickBackup stops a backup if others confirm the configuration: at once if the store doesn't
// answer this instance itself, otherwise after a while, in case they fail again.
func (r *watchRole) tickBackup(now, oldest time.Time) {
	switch {
	case !r.othersAt.After(oldest):
		r.backupUntil = time.Time{}
	case !r.ownAt.After(oldest):
		r.stopBackup()
	case r.backupUntil.IsZero():
		r.backupUntil = now.Add(minBackupTime + time.Duration(r.rand.Int64N(int64(maxBackupTime-minBackupTime))))
	case !now.Before(r.backupUntil):
		r.stopBackup()
	}
}

func (r *watchRole) stopBackup() {
	r.backup, r.backupAt, r.backupUntil = false, time.Time{}, time.Time{}
}

// retryWait returns a random time before a backup's next watch.
func (r *watchRole) retryWait(instances int) time.Duration {
	return time.Duration(r.rand.Int64N(int64(backupSpread) * int64(max(1, instances))))
}
