// Package store defines the interface to the platform's key-value store, which holds
// configuration, leases and ledgers. Package etcdstore and the adapter in the folder
// platform at the root of the repository implement it; implementations register with the
// kernel as "store.<name>". Package storecall wraps an implementation to limit the calls
// of one instance.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Revision counts the writes of the store. A key has the revision of its last write, 0
// if it is absent; Listing and Changes have the revision of the whole store, which is a
// position in the same count.
//
// A store that came back from an older copy counts again from an earlier number. Its adapter
// uses NewRevision, so that the revisions of different epochs differ and those of a later epoch
// are higher.
type Revision int64

// Epoch counts how often the store came back from an older copy, in which its last writes are
// lost. Stores to which that can't happen have epoch 0.
type Epoch int64

const (
	// countBits is how many bits of a Revision hold the store's count. The bits above them
	// hold the epoch.
	countBits = 48
	// MaxCount is the highest count of the store, and MaxEpoch the highest epoch, that fit
	// into a Revision or a LeaseID.
	MaxCount = 1<<countBits - 1
	MaxEpoch = 1<<(63-countBits) - 1
)

// NewRevision returns the revision with the given count. count and epoch must be from 0 to
// MaxCount and MaxEpoch.
func NewRevision(epoch Epoch, count int64) Revision {
	return Revision(int64(epoch)<<countBits | count)
}

// Epoch returns the epoch of the store to which the revision belongs.
func (r Revision) Epoch() Epoch { return Epoch(r >> countBits) }

// Count returns the store's own count, which is unique in its epoch only.
func (r Revision) Count() int64 { return int64(r) & MaxCount }

// LeaseID identifies a lease of the store; 0 means none. It holds the epoch in the same way as
// a Revision, since a store that came back from a copy gives out the same numbers again.
type LeaseID int64

// NewLeaseID returns the id of the lease that the store numbers with number.
func NewLeaseID(epoch Epoch, number int64) LeaseID { return LeaseID(NewRevision(epoch, number)) }

// Epoch returns the epoch of the store to which the lease belongs.
func (l LeaseID) Epoch() Epoch { return Revision(l).Epoch() }

// Number returns the store's own number of the lease.
func (l LeaseID) Number() int64 { return Revision(l).Count() }

// Entry is one key with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
}

// MaxValueBytes is the store's size limit for one value.
const MaxValueBytes = 1 << 20

// Errors of the store. A write that fails with any other error is unclear: it may have
// taken effect.
var (
	// ErrNotFound means that the key is absent.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict means that the key did not have the expected revision.
	ErrConflict = errors.New("store: revision conflict")
	// ErrLeaseLost means that the lease has expired or was revoked.
	ErrLeaseLost = errors.New("store: lease lost")
	// ErrCompacted means that the store has discarded the history that a watch asked
	// for. List the keys again and watch from the listing's revision.
	ErrCompacted = errors.New("store: history compacted")
	// ErrRestored is an ErrCompacted because the store came back from an older copy. Keys
	// that were written shortly before may be missing until their writers write them again.
	ErrRestored = fmt.Errorf("store: came back from an older copy: %w", ErrCompacted)
	// ErrUndecodable means that the store has answered with a value that this build can't decode. To read it again
	// helps only after another write.
	ErrUndecodable = errors.New("store: the value can't be decoded")
	// ErrThrottled means that the store, or the instance's own call budget, refused
	// the call before it took effect.
	ErrThrottled = errors.New("store: too many calls")
)

// AbsentError is an ErrNotFound of a store whose epoch can rise.
type AbsentError struct {
	// Epoch is the epoch in which the key is absent.
	Epoch Epoch
}

func (e *AbsentError) Error() string { return fmt.Sprintf("store: key not found in epoch %d", e.Epoch) }

// Is makes errors.Is find ErrNotFound.
func (e *AbsentError) Is(target error) bool { return target == ErrNotFound }

// AbsentRevision returns the revision of a key that a read didn't find, from the error of that
// read. Its count is 0.
func AbsentRevision(err error) Revision {
	var absent *AbsentError
	if errors.As(err, &absent) {
		return NewRevision(absent.Epoch, 0)
	}
	return 0
}

// Store is the platform's key-value store. Each call blocks until it is answered or its
// context ends, and counts against the store's rate limits.
type Store interface {
	// Get reads a key. It returns ErrNotFound if the key is absent.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes a key and returns the new revision; an expected revision with
	// count 0 means that the key must be absent. It returns ErrConflict if the key's revision is not the expected
	// one, and ErrLeaseLost if the lease has ended. A key written with a lease is removed
	// when the lease ends.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected Revision, lease LeaseID) (Revision, error)
	// Delete removes a key. It returns ErrConflict if the key's revision is not the
	// expected one.
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch blocks until the key's revision is above after, and returns the entry. A revision
	// below after also ends it, if the implementation learns of one: the store has lost
	// writes, and counts again. It returns ErrNotFound if the key was deleted. If the key is absent and after is 0, an
	// implementation may wait for its creation or return ErrNotFound at once. It calls
	// progress, which must not block, each time that the store says that the revision is
	// still the same.
	Watch(ctx context.Context, key string, after Revision, progress func()) (Entry, error)
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by the ttl that it was granted with. It returns ErrLeaseLost
	// if the lease has ended.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys. It returns ErrLeaseLost if the lease has
	// already ended.
	Revoke(ctx context.Context, lease LeaseID) error
}

// ProgressReporter is implemented by those Stores whose Watch calls progress regularly: each time after the answer to a
// call that was sent after progress was called before, or after Watch was. So the revision was the newest one at the time
// of the earlier of the two calls.
type ProgressReporter interface {
	// ProgressInterval returns the longest time between two calls of progress while the store
	// answers; 0 means that there is no bound.
	ProgressInterval() time.Duration
}

// Listing holds all keys below a prefix. They may be read one after the other, so
// that their values can be of slightly different times.
type Listing struct {
	Entries []Entry
	// Revision is the store's revision before the first key was read. A watch from
	// this revision sees every later change.
	Revision Revision
}

// Changes holds the changes below a prefix after a revision.
type Changes struct {
	// Entries lists the written keys in the order of the writes.
	Entries []Entry
	// Removed lists the removed keys with the revisions of their removal.
	Removed []Removal
	// Revision is the revision from which the next watch continues.
	Revision Revision
}

type Removal struct {
	Key      string
	Revision Revision
}

// PrefixReader is implemented by those Stores that can read and watch all keys below a
// prefix.
type PrefixReader interface {
	// List reads all keys below a prefix. A stale listing costs the store less but may
	// be seconds old.
	List(ctx context.Context, prefix string, stale bool) (Listing, error)
	// WatchPrefix blocks until a key below the prefix changes after a revision, or
	// until some seconds pass without a change. It returns ErrCompacted if the history
	// after the revision is gone.
	WatchPrefix(ctx context.Context, prefix string, after Revision) (Changes, error)
}
