package discovery

import (
	"context"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/scheduling"
	"limpethub/internal/store"
)

// Update is a set of changes to announcements.
type Update struct {
	// Announced lists announcements, the oldest first. There may be several of a server.
	Announced []Server
	// Withdrawn lists those that are followed by a removal. The server may have got requests of other instances
	// in between.
	Withdrawn []Server
	// Unusable lists servers whose announcement can't be used.
	Unusable []UnusableEntry
	// Removed lists servers whose announcement is gone.
	Removed []Removal
	// Revision is the revision to watch from next.
	Revision store.Revision
}

// Removal says that the announcement of a server was removed.
type Removal struct {
	// ID identifies the server, and Revision is the store's revision of the removal.
	ID       string
	Revision store.Revision
}

// UnusableEntry says why the announcement of a server can't be used.
type UnusableEntry struct {
	ID  string
	Err error
}

// Departure says that a server takes no new requests.
type Departure struct {
	// Server identifies the server, and StartMillis its process.
	Server      string
	StartMillis int64
	// RemovedAt is the store's revision at which its announcement was removed; 0 if the server has said that
	// it is leaving.
	RemovedAt store.Revision
}

// Source reads announcements.
type Source interface {
	// List reads all announcements.
	List(ctx context.Context) (Update, error)
	// Watch waits for changes after a revision. It returns store.ErrCompacted if the changes
	// since that revision are no longer available.
	Watch(ctx context.Context, after store.Revision) (Update, error)
}

// Sink receives the known servers and what is resident on them.
type Sink interface {
	SetServers(servers []scheduling.Server)
	ObserveResident(server string, refs []modelref.Ref)
	// ObservePaused is called when a server wants no requests until the given time.
	ObservePaused(server string, until time.Time)
}
