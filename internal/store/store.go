// Package store defines the interface to the platform's key-value service, which holds
// configuration, leases and ledgers. Package etcdstore and the adapter in the folder
// platform implement it; implementations register with the kernel as "store.<name>".
// Package storecall wraps an implementation to limit the calls of one instance.
package store

import (
	"context"
	"errors"
	"time"
)

// Revision is the version of a key's value. It grows with each write; 0 means that the
// key is absent.
type Revision int64

// LeaseID identifies a lease of the service; 0 means none.
type LeaseID int64

// Entry is one key with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
}

// MaxValueBytes is the size limit of the service for one value.
const MaxValueBytes = 1 << 20

// Errors of the service. A write that fails with any other error is unclear: it may
// have taken effect.
var (
	// ErrNotFound means that the key is absent.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict means that the key did not have the expected revision.
	ErrConflict = errors.New("store: revision conflict")
	// ErrLeaseLost means that the lease has expired or was revoked.
	ErrLeaseLost = errors.New("store: lease lost")
	// ErrCompacted means that the service has discarded the history that a watch asked
	// for. List the keys again and watch from the listing's revision.
	ErrCompacted = errors.New("store: history compacted")
	// ErrThrottled means that the service, or the instance's own call budget, refused
	// the call before it took effect.
	ErrThrottled = errors.New("store: too many calls")
)

// Store is the platform's key-value service. Each call blocks until it is answered or
// its context ends, and counts against the service's rate limits.
type Store interface {
	// Get reads a key. It returns ErrNotFound if the key is absent.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes a key if its revision is the expected one, and returns the
	// new revision; expected 0 means that the key must be absent. A key written with a
	// lease is removed when the lease ends.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected Revision, lease LeaseID) (Revision, error)
	// Delete removes a key if its revision is the expected one.
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch blocks until the key's revision is above after, and returns the entry. It
	// returns ErrNotFound if the key was deleted.
	Watch(ctx context.Context, key string, after Revision) (Entry, error)
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by the ttl that it was granted with.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// Listing holds all keys below a prefix. They may be read one after the other, so
// that their values can be of slightly different times.
type Listing struct {
	Entries []Entry
	// Revision is the service's revision before the first key was read. A watch from
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

// Removal is the removal of one key.
type Removal struct {
	Key      string
	Revision Revision
}

// PrefixReader is implemented by services that can read and watch all keys below a
// prefix.
type PrefixReader interface {
	// List reads all keys below a prefix. A stale listing costs the service less but may
	// be seconds old.
	List(ctx context.Context, prefix string, stale bool) (Listing, error)
	// WatchPrefix blocks until a key below the prefix changes after a revision, or
	// until some seconds pass without a change. It returns ErrCompacted if the history
	// after the revision is gone.
	WatchPrefix(ctx context.Context, prefix string, after Revision) (Changes, error)
}
