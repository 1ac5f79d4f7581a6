// Package store is the seam towards the platform's key-value service. Adapters
// register with the kernel under "store.<name>".
package store

import (
	"context"
	"errors"
	"time"
)

// Revision is the version of a key's value. It grows with each write; 0 means absent.
type Revision int64

// LeaseID names a lease; 0 means none.
type LeaseID int64

// Entry is one key with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
}

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// Errors of the service. An error that is none of these leaves the outcome of a
// write unclear: it may have taken effect.
var (
	// ErrNotFound means that the key is absent.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict means that the key's revision was not the expected one.
	ErrConflict = errors.New("store: revision conflict")
	// ErrLeaseLost means that the lease no longer exists.
	ErrLeaseLost = errors.New("store: lease lost")
	// ErrCompacted means that the service no longer has the history that a watch asked
	// for. The keys have to be listed again.
	ErrCompacted = errors.New("store: history compacted")
	// ErrThrottled means that the call was refused, by the service or by the
	// instance's own budget, before it took effect.
	ErrThrottled = errors.New("store: too many calls")
)

// Store is the platform's key-value service. Every call may block up to its
// context; every call counts against the service's rates.
type Store interface {
	// Get reads a key. An absent key is ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes a key if its revision is the expected one (0: absent).
	// With a lease, the key goes when the lease goes.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected Revision, lease LeaseID) (Revision, error)
	// Delete removes a key if its revision is the expected one.
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch blocks until the key has a revision above after, and returns it.
	// A deleted key is ErrNotFound.
	Watch(ctx context.Context, key string, after Revision) (Entry, error)
	// Grant makes a lease that lasts for ttl unless renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its ttl.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// Listing is all keys below a prefix at about one moment.
type Listing struct {
	Entries []Entry
	// Revision is the service's revision before the first key was read: a watch from
	// there misses no later change.
	Revision Revision
}

// Changes is what happened below a prefix after a revision.
type Changes struct {
	// Entries lists keys as they were written, in order.
	Entries []Entry
	// Removed lists keys that went, with the revision at which they did.
	Removed []Removal
	// Revision is where the next watch goes on.
	Revision Revision
}

// Removal is a key that went.
type Removal struct {
	Key      string
	Revision Revision
}

// PrefixReader is offered by services that can read and watch many keys at once.
type PrefixReader interface {
	// List reads all keys below a prefix. A stale listing is cheaper and may be seconds
	// old.
	List(ctx context.Context, prefix string, stale bool) (Listing, error)
	// WatchPrefix blocks until something below the prefix changes after a revision, or
	// some seconds have passed without a change. A history that is gone is ErrCompacted.
	WatchPrefix(ctx context.Context, prefix string, after Revision) (Changes, error)
}
